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
    History,
    Versions,
    highest,
    no_version,
    others,
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
class Held:
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
        return tuple(map(highest, self.active, self.waiting))

    @property
    def flat(self) -> Versions:
        """Return all versions concatenated in one tuple."""
        return self.active + self.resources + self.waiting + self.retained

    def equals(self, other: 'Held') -> z3.BoolRef:
        """Return the condition that two proxy states are equal."""
        pairs = zip(self.flat, other.flat, strict=True)
        return z3.And(*(left == right for left, right in pairs))


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Incoming:
    """Represent an entry received from the store or from a peer."""

    team: int
    version: z3.BitVecRef
    definitions: Versions


@final
class Acceptance:
    """Apply the acceptance rules to one proxy; a mutant omits one rule."""

    __slots__ = ('_history', '_rules', '_teams')

    def __init__(
        self,
        *,
        history: History,
        without: str = '',
        teams: tuple[int, ...] = TEAMS,
    ) -> None:
        """Set the history, the omitted rule and the teams with versions."""
        self._history = history
        self._teams = teams
        self._rules = frozenset(RULES) - {without}

    @property
    def history(self) -> History:
        """Return the history in which the rules look up versions."""
        return self._history

    @property
    def teams(self) -> tuple[int, ...]:
        """Return the teams that may have versions."""
        return self._teams

    def entry(
        self,
        sender: Held,
        team: int,
        version: z3.BitVecRef,
    ) -> Incoming:
        """Return a sender's entry with the definitions that it carries.

        An entry carries the definitions that its version refers to, and a
        retained definition of its own team that is newer than the active
        version. Version 0 carries only the latter.
        """
        known = self.known(sender)
        definitions = [no_version() for _ in TEAMS]
        if 'definitions' in self._rules:
            definitions[team] = z3.If(
                z3.ULT(sender.active[team], sender.retained[team]),
                sender.retained[team],
                no_version(),
            )
            for owner in others(team):
                definitions[owner] = z3.If(
                    self._history.refers(team, version, owner),
                    known[owner],
                    no_version(),
                )
        return Incoming(
            team=team,
            version=version,
            definitions=tuple(definitions),
        )

    def take(self, held: Held, incoming: Incoming) -> Held:
        """Return the state of a proxy after it has processed an entry."""
        team = incoming.team
        version = incoming.version
        top = highest(held.waiting[team], version)
        known = tuple(
            highest(mine, theirs)
            for mine, theirs in zip(
                self.known(held),
                incoming.definitions,
                strict=True,
            )
        )
        active = held.active
        # The highest version is tried first. If that version has to wait, a
        # lower version may still resolve, and the definition in the lower
        # version may then resolve the highest.
        for candidate in (top, version, top):
            active, known = self._resolve(
                active,
                known,
                _replace_at(held.waiting, team, candidate),
            )
        waiting = _above(_replace_at(held.waiting, team, top), active)
        taken = Held(
            active=active,
            resources=self._resources(active, waiting),
            waiting=waiting,
            retained=self._retained(active, waiting, known),
        )
        return _either(self._is_acceptable(incoming), taken, held)

    def known(self, held: Held) -> Versions:
        """Return the definition that a proxy has of each resource."""
        return tuple(
            z3.If(
                self._history.defines(team, held.resources[team]),
                highest(held.resources[team], held.retained[team]),
                held.retained[team],
            )
            for team in TEAMS
        )

    def is_referred(
        self,
        owner: int,
        active: Versions,
        waiting: Versions,
    ) -> z3.BoolRef:
        """Return whether any other team refers to the owner's resource."""
        return z3.Or(
            *(
                self._history.refers(team, versions[team], owner)
                for team in others(owner)
                for versions in (active, waiting)
            ),
        )

    def _is_acceptable(self, incoming: Incoming) -> z3.BoolRef:
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
        assumed = self._eligible(active, candidates)
        passes = len(self._teams) if 'fixed_point' in self._rules else 1
        for _ in range(passes):
            assumed = tuple(
                z3.If(
                    self._may_stay(team, active, known, assumed),
                    assumed[team],
                    active[team],
                )
                for team in TEAMS
            )
        return assumed, tuple(
            z3.If(
                self._history.defines(team, assumed[team]),
                highest(known[team], assumed[team]),
                known[team],
            )
            for team in TEAMS
        )

    def _eligible(self, active: Versions, candidates: Versions) -> Versions:
        if 'revision' in self._rules:
            return tuple(map(highest, active, candidates))
        return tuple(
            z3.If(candidate == 0, current, candidate)
            for current, candidate in zip(active, candidates, strict=True)
        )

    def _may_stay(
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
                for owner in others(team)
            ),
        )
        if 'no_fall_back' in self._rules:
            return resolved
        # The mutant follows the rejected rule that retains no definition and
        # instead reverts a change that removes a resource in use.
        removes = z3.And(
            self._history.defines(team, active[team]),
            z3.Not(self._history.defines(team, assumed[team])),
            self.is_referred(team, assumed, assumed),
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

    def _resources(self, active: Versions, waiting: Versions) -> Versions:
        if 'whole' in self._rules:
            return active
        return tuple(map(highest, active, waiting))

    def _retained(
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
                    self._is_kept(known[team], active[team]),
                    z3.Or(
                        self.is_referred(team, active, waiting),
                        self._is_kept_ahead(known[team], active[team]),
                    ),
                ),
                known[team],
                no_version(),
            )
            for team in TEAMS
        )

    def _is_kept(
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


def _either(condition: z3.BoolRef, chosen: Held, otherwise: Held) -> Held:
    return replace(
        otherwise,
        active=_choose(condition, chosen.active, otherwise.active),
        resources=_choose(condition, chosen.resources, otherwise.resources),
        waiting=_choose(condition, chosen.waiting, otherwise.waiting),
        retained=_choose(condition, chosen.retained, otherwise.retained),
    )


def _choose(
    condition: z3.BoolRef, chosen: Versions, otherwise: Versions
) -> Versions:
    return tuple(
        z3.If(condition, left, right)
        for left, right in zip(chosen, otherwise, strict=True)
    )


def _replace_at(
    versions: Versions,
    team: int,
    version: z3.BitVecRef,
) -> Versions:
    return (*versions[:team], version, *versions[team + 1 :])


def _above(waiting: Versions, active: Versions) -> Versions:
    return tuple(
        z3.If(z3.ULT(current, candidate), candidate, no_version())
        for candidate, current in zip(waiting, active, strict=True)
    )
