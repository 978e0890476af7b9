"""Represent the history of each team's subtree in the store symbolically.

Each version may be malformed, may define the one resource of its team and may
refer to the resource of each other team, so one formula covers all histories
of the given size. Version 0 stands for an absent subtree.
"""

from typing import Final, TypeAlias, final

import z3

from models.transitions import Variables

# Two bits hold version 0 and the three versions of a subtree.
VERSION_SORT: Final = z3.BitVecSort(2)
VERSIONS: Final = (1, 2, 3)
TEAMS: Final = (0, 1, 2)

Versions: TypeAlias = tuple[z3.BitVecRef, ...]


@final
class SubtreeHistory:
    """Look up properties of versions in one state's variables."""

    __slots__ = ('_formulas', '_now')

    def __init__(self, now: Variables) -> None:
        """Read the history from any state; no step changes the history."""
        self._now = now
        # Cached because building formulas takes longer than solving them. The
        # cache keeps each version alive because z3 reuses ids of freed terms.
        self._formulas: dict[
            tuple[str, int],
            tuple[z3.BitVecRef, z3.BoolRef],
        ] = {}

    def is_malformed(self, team: int, version: z3.BitVecRef) -> z3.BoolRef:
        """Return whether a version violates the syntax rules of a subtree."""
        return self._find_flag(f'malformed_{team}', version)

    def defines(self, team: int, version: z3.BitVecRef) -> z3.BoolRef:
        """Return whether a version defines its team's resource."""
        return self._find_flag(f'defines_{team}', version)

    def refers(
        self,
        team: int,
        version: z3.BitVecRef,
        owner: int,
    ) -> z3.BoolRef:
        """Return whether a version refers to the resource of an owner."""
        return self._find_flag(f'refers_{team}_{owner}', version)

    def _find_flag(self, prefix: str, version: z3.BitVecRef) -> z3.BoolRef:
        place = (prefix, version.get_id())
        if place not in self._formulas:
            formula = z3.Or(
                *(
                    z3.And(version == number, self._now[f'{prefix}_{number}'])
                    for number in VERSIONS
                ),
            )
            self._formulas[place] = (version, formula)
        return self._formulas[place][1]


def build_history_sorts() -> dict[str, z3.SortRef]:
    """Return the sorts of the variables of a history."""
    prefixes = [
        *(f'malformed_{team}' for team in TEAMS),
        *(f'defines_{team}' for team in TEAMS),
        *(
            f'refers_{team}_{owner}'
            for team in TEAMS
            for owner in list_other_teams(team)
        ),
    ]
    return {
        f'{prefix}_{number}': z3.BoolSort()
        for prefix in prefixes
        for number in VERSIONS
    }


def list_other_teams(team: int) -> tuple[int, ...]:
    """Return all teams except the given team."""
    return tuple(other for other in TEAMS if other != team)


def select_highest(left: z3.BitVecRef, right: z3.BitVecRef) -> z3.BitVecRef:
    """Return the higher of two versions."""
    return z3.If(z3.ULT(left, right), right, left)


def no_version() -> z3.BitVecRef:
    """Return the version that stands for an absent subtree or definition."""
    return z3.BitVecVal(0, VERSION_SORT)
