"""Distribution tree: the parents of each daemon, and the roots of each region.

The roots are the daemons that normally watch the store. Every daemon computes
the tree from its own list of instances, without an election.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final, final

from briartack.core import rendezvous
from briartack.core.units import InstanceId

FAN_OUT: Final = 8
ROOTS_PER_REGION: Final = 2
TOP_LEVEL_SIZE: Final = 2
# Enough for twice the ranks of 2,600 instances, each of which has a rank in its
# region and one in its data centre.
RANK_CACHE_SIZE: Final = 16384


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Describe an instance in the platform's list."""

    instance: InstanceId
    service: str
    data_centre: str
    region: str
    peer_address: str  # IP:PORT
    slots: int | None = None  # of the upstream, if the platform lists them
    # A change of it is no change of the tree.
    cold_ms: int = field(default=0, compare=False)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Neighbours:
    """List a daemon's neighbours in the tree; state whether it is a root."""

    parents: tuple[Member, ...] = ()
    children: tuple[Member, ...] = ()
    remote_roots: tuple[Member, ...] = ()  # empty unless the daemon is a root
    is_first_root: bool = False
    is_second_root: bool = False
    is_below_roots: bool = False  # its parents are the roots of its region

    @property
    def is_root(self) -> bool:
        """Return whether the daemon is one of the roots of its region."""
        return self.is_first_root or self.is_second_root


@lru_cache(maxsize=RANK_CACHE_SIZE)
def rank(scope: str, instance: InstanceId) -> int:
    """Return the rank of an instance in a region or data centre (scope)."""
    return rendezvous.rank(scope, instance)


def sort_by_rank(scope: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Sort members by rank within a scope."""
    return tuple(
        sorted(
            members,
            key=lambda member: (rank(scope, member.instance), member.instance),
        ),
    )


def parent_positions(position: int) -> tuple[int, ...]:
    """Return the positions of the two parents of a position.

    Positions count from 0 in the order of ranks within a data centre. The
    given position has to be below the top level.
    """
    start, size = 0, TOP_LEVEL_SIZE
    while position >= start + size * (1 + FAN_OUT):
        start, size = start + size, size * FAN_OUT
    first = (position - start - size) // FAN_OUT
    return start + first, start + (first + 1) % size


def find_region_roots(
    members: Iterable[Member],
) -> dict[str, tuple[Member, ...]]:
    """Return the roots of each region: its first two members by rank."""
    regions: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        regions[member.region].append(member)
    return {
        region: sort_by_rank(region, group)[:ROOTS_PER_REGION]
        for region, group in regions.items()
    }


@final
class Tree:
    """Compute the tree of one region, as seen by one of its daemons.

    Holds the members of each data centre in order of rank, and the roots of
    this and of the other regions.

    A daemon that is not listed takes parents as if it were listed, but no
    other daemon expects changes from it, so it is no root while its region has
    a listed member. If the daemon's record names another region or data
    centre than its own settings, the record counts, because all other daemons
    use the record.
    """

    __slots__ = (
        '_own',
        '_ranked_by_centre',
        '_positions',
        '_roots',
        '_remote_roots',
    )

    def __init__(self, *, own: Member, members: Iterable[Member]) -> None:
        """Sort the members, among which this daemon may be missing."""
        listed = {member.instance: member for member in members}
        self._own = listed.get(own.instance, own)
        roots = find_region_roots(listed.values())
        region = self._own.region
        self._roots = roots.pop(region, ()) or (self._own,)
        self._remote_roots = tuple(
            root for remote in sorted(roots) for root in roots[remote]
        )
        listed[own.instance] = self._own
        self._ranked_by_centre = _rank_by_centre(region, listed.values())
        self._positions = {
            member.instance: position
            for order in self._ranked_by_centre.values()
            for position, member in enumerate(order)
        }

    def own_neighbours(self) -> Neighbours:
        """Return the neighbours of this daemon."""
        is_root = self._own in self._roots
        is_first_root = self._own == self._roots[0]
        parents = self.parents(self._own)
        return Neighbours(
            parents=parents,
            children=self._own_children(),
            remote_roots=self._remote_roots if is_root else (),
            is_first_root=is_first_root,
            is_second_root=is_root and not is_first_root,
            is_below_roots=not is_root and parents == self._roots,
        )

    def parents(self, member: Member) -> tuple[Member, ...]:
        """Return the parents of a member: at most two, and never itself."""
        if member in self._roots:
            # The first root has no parent; the second root has the first as
            # its only parent.
            return self._roots[: self._roots.index(member)]
        position = self._positions.get(member.instance)
        if position is None:
            return ()
        if position < TOP_LEVEL_SIZE:
            return self._roots
        order = self._ranked_by_centre[member.data_centre]
        return tuple(order[parent] for parent in parent_positions(position))

    def _own_children(self) -> tuple[Member, ...]:
        candidates = list(self._ranked_by_centre[self._own.data_centre])
        if self._own in self._roots:
            candidates.extend(self._roots)
            for order in self._ranked_by_centre.values():
                candidates.extend(order[:TOP_LEVEL_SIZE])
        return tuple(
            candidate
            for candidate in dict.fromkeys(candidates)
            if self._own in self.parents(candidate)
        )


def find_neighbours(own: Member, members: Iterable[Member]) -> Neighbours:
    """Return the neighbours of a daemon, which may be missing in the list."""
    return Tree(own=own, members=members).own_neighbours()


def _rank_by_centre(
    region: str,
    members: Iterable[Member],
) -> dict[str, tuple[Member, ...]]:
    centres: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        if member.region == region:
            centres[member.data_centre].append(member)
    return {
        centre: sort_by_rank(centre, group) for centre, group in centres.items()
    }
