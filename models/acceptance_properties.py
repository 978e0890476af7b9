"""Define the properties that the states of two proxies must satisfy."""

from itertools import chain, combinations
from typing import Final, final

import z3

from models.acceptance_rules import Acceptance, Held
from models.acceptance_state import (
    ALL_CHOICES,
    PROXIES,
    Choice,
    entries,
    held,
    pull_all,
)
from models.subtree_history import TEAMS, Versions, others
from models.transitions import Variables

PROPERTIES: Final = (
    'never_back',
    'definition_never_back',
    'resolved',
    'well_formed',
    'whole',
    'settled',
    'quiet',
    'finite',
    'exchanged',
)
# The proxies that pull all entries, in this order. Two pulls do not suffice:
# the first proxy may activate versions that are new to the second.
PULLERS: Final = (1, 0, 1)


@final
class Properties:
    """Build the properties of one state as formulas."""

    __slots__ = ('_both', '_choices', '_history', '_now', '_rules')

    def __init__(
        self,
        *,
        now: Variables,
        rules: Acceptance,
        choices: tuple[Choice, ...],
    ) -> None:
        """Set the rules that pulls follow and the pairs checked by `finite`."""
        self._now = now
        self._rules = rules
        self._choices = choices
        self._history = rules.history
        self._both = tuple(held(now, proxy) for proxy in PROXIES)

    def formula(self, name: str) -> z3.BoolRef:
        """Return the formula of the property with the given name."""
        formulas = {
            'never_back': self.never_back,
            'definition_never_back': self.definition_never_back,
            'resolved': self.resolved,
            'well_formed': self.well_formed,
            'whole': self.whole,
            'settled': self.settled,
            'quiet': self.quiet,
            'finite': self.finite,
            'exchanged': self.exchanged,
        }
        return formulas[name]()

    def never_back(self) -> z3.BoolRef:
        """Return the condition that no active version fell except by restart."""
        return z3.Not(self._now['went_back'])

    def definition_never_back(self) -> z3.BoolRef:
        """Return the condition that no definition fell except by restart.

        A definition that its owner removed and no other team refers to is not
        in force, and may come back at an older revision.
        """
        return z3.Not(self._now['definition_went_back'])

    def resolved(self) -> z3.BoolRef:
        """Return the condition that references of active versions resolve."""
        conditions: list[z3.BoolRef] = []
        for mine in self._both:
            known = self._rules.known(mine)
            conditions.extend(
                z3.Implies(
                    self._history.refers(team, mine.active[team], owner),
                    known[owner] != 0,
                )
                for team in TEAMS
                for owner in others(team)
            )
        return z3.And(*conditions)

    def well_formed(self) -> z3.BoolRef:
        """Return the condition that no proxy holds a malformed version."""
        lists: list[Versions] = []
        for mine in self._both:
            lists.extend((mine.active, mine.waiting, mine.retained))
        return z3.Not(
            z3.Or(
                *(
                    self._history.is_malformed(team, versions[team])
                    for versions in lists
                    for team in TEAMS
                ),
            ),
        )

    def whole(self) -> z3.BoolRef:
        """Return the condition that routes and resources have one version."""
        return z3.And(
            *(
                routes == resources
                for mine in self._both
                for routes, resources in zip(
                    mine.active,
                    mine.resources,
                    strict=True,
                )
            ),
        )

    def settled(self) -> z3.BoolRef:
        """Return the condition that no waiting versions could be activated."""
        return z3.Not(
            z3.Or(
                *(
                    self._could_activate(mine, group)
                    for mine in self._both
                    for group in _groups()
                ),
            ),
        )

    def quiet(self) -> z3.BoolRef:
        """Return the condition that proxies agree once pulls change nothing."""
        changes = [
            z3.Not(before.equals(taken))
            for before, taken in self._pulled(ALL_CHOICES)
        ]
        return z3.Or(*changes, self._both[0].equals(self._both[1]))

    def finite(self) -> z3.BoolRef:
        """Return the condition that each pull with an effect raises a measure.

        The measure has an upper bound, so pulls eventually change nothing.
        """
        known = self._rules.known
        return z3.And(
            *(
                z3.Or(
                    before.equals(taken),
                    _rises(
                        (before.active, before.highest, known(before)),
                        (taken.active, taken.highest, known(taken)),
                    ),
                )
                for before, taken in self._pulled(self._choices)
            ),
        )

    def exchanged(self) -> z3.BoolRef:
        """Return the condition that proxies agree after pulling all entries."""
        both = list(self._both)
        for puller in PULLERS:
            both[puller] = pull_all(
                self._rules,
                both[puller],
                both[1 - puller],
            )
        return _same_active(*both)

    def has_shape(self) -> z3.BoolRef:
        """Return which versions may wait and which definitions are retained."""
        return z3.And(
            *(
                self._has_shape(mine, team)
                for mine in self._both
                for team in TEAMS
            ),
        )

    def _pulled(self, choices: tuple[Choice, ...]) -> list[tuple[Held, Held]]:
        # Pairs of the receiver's states before and after one entry is pulled.
        pairs: list[tuple[Held, Held]] = []
        for proxy, team in choices:
            mine = self._both[proxy]
            theirs = self._both[1 - proxy]
            pairs.extend(
                (mine, self._rules.take(mine, incoming))
                for incoming in entries(self._rules, theirs, team)
            )
        return pairs

    def _could_activate(
        self,
        mine: Held,
        group: tuple[int, ...],
    ) -> z3.BoolRef:
        known = self._rules.known(mine)
        return z3.And(
            *(mine.waiting[team] != 0 for team in group),
            *(
                z3.Implies(
                    self._history.refers(team, mine.waiting[team], owner),
                    z3.Or(
                        known[owner] != 0,
                        z3.And(
                            owner in group,
                            self._history.defines(owner, mine.waiting[owner]),
                        ),
                    ),
                )
                for team in group
                for owner in others(team)
            ),
        )

    def _has_shape(self, mine: Held, team: int) -> z3.BoolRef:
        active = mine.active[team]
        waiting = mine.waiting[team]
        retained = mine.retained[team]
        return z3.And(
            z3.Or(waiting == 0, z3.ULT(active, waiting)),
            z3.Or(
                retained == 0,
                z3.And(
                    self._history.defines(team, retained),
                    z3.Or(
                        self._rules.is_referred(
                            team,
                            mine.active,
                            mine.waiting,
                        ),
                        z3.ULT(active, retained),
                    ),
                    retained != active,
                    z3.Or(
                        z3.ULT(active, retained),
                        z3.Not(self._history.defines(team, active)),
                    ),
                ),
            ),
        )


def _same_active(left: Held, right: Held) -> z3.BoolRef:
    pairs = zip(left.active, right.active, strict=True)
    return z3.And(*(mine == theirs for mine, theirs in pairs))


def _rises(
    before: tuple[Versions, ...],
    after: tuple[Versions, ...],
) -> z3.BoolRef:
    # Lexicographic: no team's version falls in the first changed component.
    if not before:
        return z3.BoolVal(val=False)
    pairs = list(zip(before[0], after[0], strict=True))
    is_same = z3.And(*(old == new for old, new in pairs))
    return z3.If(
        is_same,
        _rises(before[1:], after[1:]),
        z3.And(*(z3.ULE(old, new) for old, new in pairs)),
    )


def _groups() -> tuple[tuple[int, ...], ...]:
    sizes = range(1, len(TEAMS) + 1)
    return tuple(
        chain.from_iterable(combinations(TEAMS, size) for size in sizes),
    )
