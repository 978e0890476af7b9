"""Express the acceptance rules of docs/design.md, section 6, as z3 formulas.

A proxy accepts one entry at a time: a version of a team's subtree with the
definitions to which its references resolve at the sender. Entries from the
store carry no definitions. A definition is identified by the version of its
owner's subtree that contains the definition.
"""

from dataclasses import dataclass, replace
from typing import Final, final

import z3

from models.subtree_history import (
    TEAMS,
    SubtreeHistory,
    Versions,
    list_other_teams,
    no_version,
    select_highest,
)

RULES: Final = (
    'well_formed',
    'revision',
    'whole',
    'joint',
    'fixed_point',
    'retention',
    'definitions',
    'no_fall_back',
    'kept_ahead',
)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyState:
    """Hold the versions that one proxy has; version 0 stands for none."""

    # Each team's version whose routes (active) and whose resources are in
    # force.
    active: Versions
    resources: Versions
    waiting: Versions
    # The version that contained the retained definition of each resource.
    retained: Versions

    @property
    def highest(self) -> Versions:
        """Return the highest version of each team, active or waiting."""
        return tuple(map(select_highest, self.active, self.waiting))

    @property
    def flat(self) -> Versions:
        """Return all versions concatenated in one tuple."""
        return self.active + self.resources + self.waiting + self.retained

    def equals(self, other: 'ProxyState') -> z3.BoolRef:
        """Return the condition that two proxy states are equal."""
        pairs = zip(self.flat, other.flat, strict=True)
        return z3.And(*(left == right for left, right in pairs))


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingEntry:
    """Represent an entry received from the store or from a peer."""

    team: int
    version: z3.BitVecRef
    definitions: Versions


@final
class AcceptanceRules:
    """Apply the acceptance rules to one proxy; a mutant omits one rule."""

    __slots__ = ('_history', '_rules', '_teams')

    def __init__(
        self,
        *,
        history: SubtreeHistory,
        without: str = '',
        teams: tuple[int, ...] = TEAMS,
    ) -> None:
        """Set the history, the omitted rule and the teams with versions."""
        self._history = history
        self._teams = teams
        self._rules = frozenset(RULES) - {without}

    @property
    def history(self) -> SubtreeHistory:
        """Return the history in which the rules look up versions."""
        return self._history

    @property
    def teams(self) -> tuple[int, ...]:
        """Return the teams that may have versions."""
        return self._teams

    def build_entry(
        self,
        sender: ProxyState,
        team: int,
        version: z3.BitVecRef,
    ) -> IncomingEntry:
        """Return a sender's entry with the definitions that it carries.

        An entry carries the definitions that its version refers to, and a
        retained definition of its own team that is newer than the active
        version. Version 0 carries only the latter.
        """
        known = self.find_definitions(sender)
        definitions = [no_version() for _ in TEAMS]
        if 'definitions' in self._rules:
            definitions[team] = z3.If(
                z3.ULT(sender.active[team], sender.retained[team]),
                sender.retained[team],
                no_version(),
            )
            for owner in list_other_teams(team):
                definitions[owner] = z3.If(
                    self._history.refers(team, version, owner),
                    known[owner],
                    no_version(),
                )
        return IncomingEntry(
            team=team,
            version=version,
            definitions=tuple(definitions),
        )

    def accept(self, state: ProxyState, incoming: IncomingEntry) -> ProxyState:
        """Return the state of a proxy after it has processed an entry."""
        team = incoming.team
        version = incoming.version
        newest = select_highest(state.waiting[team], version)
        known = tuple(
            select_highest(mine, theirs)
            for mine, theirs in zip(
                self.find_definitions(state),
                incoming.definitions,
                strict=True,
            )
        )
        active = state.active
        # The highest version is tried first. If that version has to wait, a
        # lower version may still resolve, and the definition in the lower
        # version may then resolve the highest.
        for candidate in (newest, version, newest):
            active, known = self._resolve(
                active,
                known,
                _replace_version(state.waiting, team, candidate),
            )
        waiting = _drop_superseded(
            _replace_version(state.waiting, team, newest), active
        )
        accepted = ProxyState(
            active=active,
            resources=self._select_resources(active, waiting),
            waiting=waiting,
            retained=self._select_retained(active, waiting, known),
        )
        return _select_state(self._is_acceptable(incoming), accepted, state)

    def find_definitions(self, state: ProxyState) -> Versions:
        """Return the definition that a proxy has of each resource."""
        return tuple(
            z3.If(
                self._history.defines(team, state.resources[team]),
                select_highest(state.resources[team], state.retained[team]),
                state.retained[team],
            )
            for team in TEAMS
        )

    def is_referenced(
        self,
        owner: int,
        active: Versions,
        waiting: Versions,
    ) -> z3.BoolRef:
        """Return whether any other team refers to the owner's resource."""
        return z3.Or(
            *(
                self._history.refers(team, versions[team], owner)
                for team in list_other_teams(owner)
                for versions in (active, waiting)
            ),
        )

    def _is_acceptable(self, incoming: IncomingEntry) -> z3.BoolRef:
        # Stale versions pass: they activate nothing, but the definitions that
        # they carry are used.
        if 'well_formed' not in self._rules:
            return z3.BoolVal(val=True)
        return z3.Not(
            self._history.is_malformed(incoming.team, incoming.version),
        )

    def _resolve(
        self,
        active: Versions,
        known: Versions,
        candidates: Versions,
    ) -> tuple[Versions, Versions]:
        # Computes a greatest fixed point: assumes that all candidates are
        # active and drops those with an undefined reference until no candidate
        # is dropped. Each pass but the last drops at least one candidate, so
        # one pass for each team suffices.
        assumed = self._select_candidates(active, candidates)
        passes = len(self._teams) if 'fixed_point' in self._rules else 1
        for _ in range(passes):
            assumed = tuple(
                z3.If(
                    self._may_remain_active(team, active, known, assumed),
                    assumed[team],
                    active[team],
                )
                for team in TEAMS
            )
        return assumed, tuple(
            z3.If(
                self._history.defines(team, assumed[team]),
                select_highest(known[team], assumed[team]),
                known[team],
            )
            for team in TEAMS
        )

    def _select_candidates(
        self, active: Versions, candidates: Versions
    ) -> Versions:
        if 'revision' in self._rules:
            return tuple(map(select_highest, active, candidates))
        return tuple(
            z3.If(candidate == 0, current, candidate)
            for current, candidate in zip(active, candidates, strict=True)
        )

    def _may_remain_active(
        self,
        team: int,
        active: Versions,
        known: Versions,
        assumed: Versions,
    ) -> z3.BoolRef:
        resolved = z3.And(
            *(
                z3.Implies(
                    self._history.refers(team, assumed[team], owner),
                    self._is_defined(owner, known, assumed),
                )
                for owner in list_other_teams(team)
            ),
        )
        if 'no_fall_back' in self._rules:
            return resolved
        # The mutant follows the rejected rule that retains no definition and
        # instead reverts a change that removes a resource in use.
        removes = z3.And(
            self._history.defines(team, active[team]),
            z3.Not(self._history.defines(team, assumed[team])),
            self.is_referenced(team, assumed, assumed),
        )
        return z3.And(resolved, z3.Not(removes))

    def _is_defined(
        self,
        owner: int,
        known: Versions,
        assumed: Versions,
    ) -> z3.BoolRef:
        by_candidate = self._history.defines(owner, assumed[owner])
        if 'no_fall_back' not in self._rules:
            return by_candidate
        if 'joint' not in self._rules:
            return known[owner] != 0
        return z3.Or(known[owner] != 0, by_candidate)

    def _select_resources(
        self, active: Versions, waiting: Versions
    ) -> Versions:
        if 'whole' in self._rules:
            return active
        return tuple(map(select_highest, active, waiting))

    def _select_retained(
        self,
        active: Versions,
        waiting: Versions,
        known: Versions,
    ) -> Versions:
        if 'no_fall_back' not in self._rules:
            return tuple(no_version() for _ in TEAMS)
        return tuple(
            z3.If(
                z3.And(
                    self._is_retainable(known[team], active[team]),
                    z3.Or(
                        self.is_referenced(team, active, waiting),
                        self._is_kept_ahead(known[team], active[team]),
                    ),
                ),
                known[team],
                no_version(),
            )
            for team in TEAMS
        )

    def _is_retainable(
        self,
        known: z3.BitVecRef,
        active: z3.BitVecRef,
    ) -> z3.BoolRef:
        if 'retention' in self._rules:
            return known != active
        return z3.ULT(active, known)

    def _is_kept_ahead(
        self,
        known: z3.BitVecRef,
        active: z3.BitVecRef,
    ) -> z3.BoolRef:
        if 'kept_ahead' in self._rules:
            return z3.ULT(active, known)
        return z3.BoolVal(val=False)


def _select_state(
    condition: z3.BoolRef, chosen: ProxyState, otherwise: ProxyState
) -> ProxyState:
    return replace(
        otherwise,
        active=_select_versions(condition, chosen.active, otherwise.active),
        resources=_select_versions(
            condition, chosen.resources, otherwise.resources
        ),
        waiting=_select_versions(condition, chosen.waiting, otherwise.waiting),
        retained=_select_versions(
            condition, chosen.retained, otherwise.retained
        ),
    )


def _select_versions(
    condition: z3.BoolRef, chosen: Versions, otherwise: Versions
) -> Versions:
    return tuple(
        z3.If(condition, left, right)
        for left, right in zip(chosen, otherwise, strict=True)
    )


def _replace_version(
    versions: Versions,
    team: int,
    version: z3.BitVecRef,
) -> Versions:
    return (*versions[:team], version, *versions[team + 1 :])


def _drop_superseded(waiting: Versions, active: Versions) -> Versions:
    return tuple(
        z3.If(z3.ULT(current, candidate), candidate, no_version())
        for candidate, current in zip(waiting, active, strict=True)
    )
