"""Define the properties that the states of two proxies must satisfy."""

from itertools import chain, combinations
from typing import Final, final

import z3

from models.acceptance_rules import AcceptanceRules, ProxyState
from models.proxy_variables import (
    ALL_CHOICES,
    PROXIES,
    DeliveryChoice,
    list_entries,
    pull_all,
    read_state,
)
from models.subtree_history import TEAMS, Versions, list_other_teams
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
PULL_ORDER: Final = (1, 0, 1)


@final
class PropertyFormulas:
    """Build the properties of one state as formulas."""

    __slots__ = ('_states', '_choices', '_history', '_now', '_rules')

    def __init__(
        self,
        *,
        now: Variables,
        rules: AcceptanceRules,
        choices: tuple[DeliveryChoice, ...],
    ) -> None:
        """Set the rules that pulls follow and the pairs checked by `finite`."""
        self._now = now
        self._rules = rules
        self._choices = choices
        self._history = rules.history
        self._states = tuple(read_state(now, proxy) for proxy in PROXIES)

    def build_formula(self, name: str) -> z3.BoolRef:
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
        """Return the condition that active versions fell only by restart."""
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
        for state in self._states:
            known = self._rules.find_definitions(state)
            conditions.extend(
                z3.Implies(
                    self._history.refers(team, state.active[team], owner),
                    known[owner] != 0,
                )
                for team in TEAMS
                for owner in list_other_teams(team)
            )
        return z3.And(*conditions)

    def well_formed(self) -> z3.BoolRef:
        """Return the condition that no proxy holds a malformed version."""
        lists: list[Versions] = []
        for state in self._states:
            lists.extend((state.active, state.waiting, state.retained))
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
                for state in self._states
                for routes, resources in zip(
                    state.active,
                    state.resources,
                    strict=True,
                )
            ),
        )

    def settled(self) -> z3.BoolRef:
        """Return the condition that no waiting versions could be activated."""
        return z3.Not(
            z3.Or(
                *(
                    self._could_activate(state, group)
                    for state in self._states
                    for group in _list_team_groups()
                ),
            ),
        )

    def quiet(self) -> z3.BoolRef:
        """Return the condition that proxies agree once pulls change nothing."""
        changes = [
            z3.Not(before.equals(accepted))
            for before, accepted in self._list_pull_results(ALL_CHOICES)
        ]
        return z3.Or(*changes, self._states[0].equals(self._states[1]))

    def finite(self) -> z3.BoolRef:
        """Return the condition that each pull with an effect raises a measure.

        The measure has an upper bound, so pulls eventually change nothing.
        """
        known = self._rules.find_definitions
        return z3.And(
            *(
                z3.Or(
                    before.equals(accepted),
                    _is_increase(
                        (before.active, before.highest, known(before)),
                        (accepted.active, accepted.highest, known(accepted)),
                    ),
                )
                for before, accepted in self._list_pull_results(self._choices)
            ),
        )

    def exchanged(self) -> z3.BoolRef:
        """Return the condition that proxies agree after pulling all entries."""
        states = list(self._states)
        for puller in PULL_ORDER:
            states[puller] = pull_all(
                self._rules,
                states[puller],
                states[1 - puller],
            )
        return _has_same_active(*states)

    def has_shape(self) -> z3.BoolRef:
        """Return the condition on waiting versions and retained definitions."""
        return z3.And(
            *(
                self._has_shape(state, team)
                for state in self._states
                for team in TEAMS
            ),
        )

    def _list_pull_results(
        self, choices: tuple[DeliveryChoice, ...]
    ) -> list[tuple[ProxyState, ProxyState]]:
        # Pairs of the receiver's states before and after one entry is pulled.
        pairs: list[tuple[ProxyState, ProxyState]] = []
        for proxy, team in choices:
            state = self._states[proxy]
            sender = self._states[1 - proxy]
            pairs.extend(
                (state, self._rules.accept(state, incoming))
                for incoming in list_entries(self._rules, sender, team)
            )
        return pairs

    def _could_activate(
        self,
        state: ProxyState,
        group: tuple[int, ...],
    ) -> z3.BoolRef:
        known = self._rules.find_definitions(state)
        return z3.And(
            *(state.waiting[team] != 0 for team in group),
            *(
                z3.Implies(
                    self._history.refers(team, state.waiting[team], owner),
                    z3.Or(
                        known[owner] != 0,
                        z3.And(
                            owner in group,
                            self._history.defines(owner, state.waiting[owner]),
                        ),
                    ),
                )
                for team in group
                for owner in list_other_teams(team)
            ),
        )

    def _has_shape(self, state: ProxyState, team: int) -> z3.BoolRef:
        active = state.active[team]
        waiting = state.waiting[team]
        retained = state.retained[team]
        return z3.And(
            z3.Or(waiting == 0, z3.ULT(active, waiting)),
            z3.Or(
                retained == 0,
                z3.And(
                    self._history.defines(team, retained),
                    z3.Or(
                        self._rules.is_referenced(
                            team,
                            state.active,
                            state.waiting,
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


def _has_same_active(left: ProxyState, right: ProxyState) -> z3.BoolRef:
    pairs = zip(left.active, right.active, strict=True)
    return z3.And(*(one == other for one, other in pairs))


def _is_increase(
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
        _is_increase(before[1:], after[1:]),
        z3.And(*(z3.ULE(old, new) for old, new in pairs)),
    )


def _list_team_groups() -> tuple[tuple[int, ...], ...]:
    sizes = range(1, len(TEAMS) + 1)
    return tuple(
        chain.from_iterable(combinations(TEAMS, size) for size in sizes),
    )
