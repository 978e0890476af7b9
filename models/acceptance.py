"""Model how two proxies accept versions of the configuration.

The system follows section 6 of docs/design.md. It has two proxies and three
teams with one resource each; each team's subtree has up to three versions. The
store and the other proxy deliver any version in any order, more than once or
never. A proxy may restart at any time and then holds no version.
"""

from collections.abc import Mapping
from typing import Final, final

import z3

from models.acceptance_properties import PROPERTIES, PropertyFormulas
from models.acceptance_rules import AcceptanceRules, IncomingEntry, ProxyState
from models.proxy_variables import (
    ALL_CHOICES,
    PROXIES,
    DeliveryChoice,
    build_empty_state,
    build_proxy_sorts,
    list_proxy_variables,
    read_state,
)
from models.subtree_history import (
    TEAMS,
    VERSION_SORT,
    VERSIONS,
    SubtreeHistory,
    Versions,
    build_history_sorts,
    no_version,
)
from models.transitions import Variables, unchanged

# The formulas are symmetric in proxies and teams, so an induction over one
# pair covers all six. Without the rule kept_ahead, the induction over all six
# pairs for three teams proved the same in 144 s of CPU, against 3 s for one.
REPRESENTATIVE_CHOICES: Final[tuple[DeliveryChoice, ...]] = ((0, 0),)
# Each mutant's fault shows with these pairs; fewer pairs shorten the search.
SEARCH_CHOICES: Final[tuple[DeliveryChoice, ...]] = ((0, 0), (0, 1), (1, 0))
TWO_TEAM_CHOICES: Final[tuple[DeliveryChoice, ...]] = (*SEARCH_CHOICES, (1, 1))


@final
class AcceptanceSystem:
    """Model two proxies that accept versions of three subtrees."""

    __slots__ = ('_choices', '_properties', '_teams', '_without')

    def __init__(
        self,
        *,
        without: str = '',
        properties: tuple[str, ...] = PROPERTIES,
        choices: tuple[DeliveryChoice, ...] = ALL_CHOICES,
        teams: int = len(TEAMS),
    ) -> None:
        """Create a mutant by omitting a rule, or reduce the model's size."""
        self._without = without
        self._properties = properties
        self._choices = choices
        self._teams = TEAMS[:teams]

    @property
    def sorts(self) -> Mapping[str, z3.SortRef]:
        """Return the sorts of the history, proxy states and last delivery."""
        return {
            **build_history_sorts(),
            **build_proxy_sorts(),
            'went_back': z3.BoolSort(),
            'definition_went_back': z3.BoolSort(),
            'is_from_peer': z3.BoolSort(),
            'version': VERSION_SORT,
        }

    def initial(self, now: Variables) -> z3.BoolRef:
        """Return the condition that both proxies are empty.

        The history is arbitrary.
        """
        return z3.And(
            self._has_team_count(now),
            *(
                read_state(now, proxy).equals(build_empty_state())
                for proxy in PROXIES
            ),
            z3.Not(now['went_back']),
            z3.Not(now['definition_went_back']),
        )

    def step(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition that one proxy accepts an entry or restarts."""
        rules = self._build_rules(now)
        return z3.Or(
            *(_restart(now, after, proxy) for proxy in PROXIES),
            *(
                _accept(rules, now, after, (proxy, team))
                for proxy, team in self._choices
            ),
        )

    def safe(self, now: Variables) -> z3.BoolRef:
        """Return the conjunction of the selected properties."""
        properties = self._build_properties(now)
        return z3.And(*map(properties.build_formula, self._properties))

    def invariant(self, now: Variables) -> z3.BoolRef:
        """Return the safety properties and the shape of the proxy states."""
        properties = self._build_properties(now)
        return z3.And(
            self._has_team_count(now),
            properties.never_back(),
            properties.definition_never_back(),
            properties.resolved(),
            properties.well_formed(),
            properties.whole(),
            properties.settled(),
            properties.has_shape(),
        )

    def _build_rules(self, now: Variables) -> AcceptanceRules:
        return AcceptanceRules(
            history=SubtreeHistory(now),
            without=self._without,
            teams=self._teams,
        )

    def _build_properties(self, now: Variables) -> PropertyFormulas:
        return PropertyFormulas(
            now=now,
            rules=self._build_rules(now),
            choices=self._choices,
        )

    def _has_team_count(self, now: Variables) -> z3.BoolRef:
        # An excluded team has no well-formed version, and no proxy holds one.
        history = SubtreeHistory(now)
        numbers = [z3.BitVecVal(number, VERSION_SORT) for number in VERSIONS]
        conditions: list[z3.BoolRef] = []
        for team in TEAMS[len(self._teams) :]:
            conditions.extend(
                history.is_malformed(team, number) for number in numbers
            )
            conditions.extend(
                now[name] == 0
                for proxy in PROXIES
                for name in list_proxy_variables(proxy, team)
            )
        return z3.And(*conditions)


def _accept(
    rules: AcceptanceRules,
    now: Variables,
    after: Variables,
    choice: DeliveryChoice,
) -> z3.BoolRef:
    proxy, team = choice
    receiver = read_state(now, proxy)
    sender = read_state(now, 1 - proxy)
    version = after['version']
    from_peer = rules.build_entry(sender, team, version)
    incoming = IncomingEntry(
        team=team,
        version=version,
        definitions=tuple(
            z3.If(after['is_from_peer'], definition, no_version())
            for definition in from_peer.definitions
        ),
    )
    accepted = rules.accept(receiver, incoming)
    is_held_there = z3.Or(
        version == sender.active[team],
        version == sender.waiting[team],
    )
    return z3.And(
        z3.Implies(after['is_from_peer'], is_held_there),
        read_state(after, proxy).equals(accepted),
        after['went_back']
        == z3.Or(now['went_back'], _is_downgrade(receiver, accepted)),
        after['definition_went_back']
        == z3.Or(
            now['definition_went_back'],
            _is_definition_downgrade(
                rules.find_definitions(receiver),
                rules.find_definitions(accepted),
            ),
        ),
        _keeps_other_variables(now, after, proxy),
    )


def _restart(now: Variables, after: Variables, proxy: int) -> z3.BoolRef:
    return z3.And(
        read_state(after, proxy).equals(build_empty_state()),
        after['went_back'] == now['went_back'],
        after['definition_went_back'] == now['definition_went_back'],
        _keeps_other_variables(now, after, proxy),
    )


def _is_downgrade(before: ProxyState, after: ProxyState) -> z3.BoolRef:
    return z3.Or(*map(z3.ULT, after.active, before.active))


def _is_definition_downgrade(before: Versions, after: Versions) -> z3.BoolRef:
    # A removed definition is not in force, so its removal is no regression.
    pairs = zip(before, after, strict=True)
    return z3.Or(*(z3.And(new != 0, z3.ULT(new, old)) for old, new in pairs))


def _keeps_other_variables(
    now: Variables,
    after: Variables,
    proxy: int,
) -> z3.BoolRef:
    changing = [
        name for team in TEAMS for name in list_proxy_variables(proxy, team)
    ]
    return unchanged(
        now,
        after,
        *changing,
        'went_back',
        'definition_went_back',
        'is_from_peer',
        'version',
    )
