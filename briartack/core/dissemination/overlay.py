"""The distribution tree: who is whose parent and who watches the store.

Every daemon computes the tree from its own list, without an election.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Final, final

from briartack.core import rendezvous
from briartack.core.units import InstanceId

FAN_OUT: Final = 8
ROOTS_PER_REGION: Final = 2
TOP_LEVEL_SIZE: Final = 2
# Ranks of 2,600 instances in a region and in a data centre fit twice.
RANK_CACHE_SIZE: Final = 16384


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Describe an instance of the platform's list."""

    instance: InstanceId
    service: str
    data_centre: str
    region: str
    peer_address: str  # IP:PORT
    slots: int | None = None  # of the upstream, if the platform lists them


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Hold the neighbours of one daemon in the tree."""

    parents: tuple[Member, ...] = ()
    children: tuple[Member, ...] = ()
    remote_roots: tuple[Member, ...] = ()  # empty unless this is a root
    is_first_root: bool = False
    is_second_root: bool = False

    @property
    def is_root(self) -> bool:
        """Tell whether the daemon is one of the roots of its region."""
        return self.is_first_root or self.is_second_root


@lru_cache(maxsize=RANK_CACHE_SIZE)
def rank(scope: str, instance: InstanceId) -> int:
    """Return the rank of an instance in a region or a data centre."""
    return rendezvous.rank(scope, instance)


def ordered(scope: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Sort members by rank within a scope."""
    return tuple(
        sorted(
            members,
            key=lambda member: (rank(scope, member.instance), member.instance),
        ),
    )


def parent_positions(position: int) -> tuple[int, ...]:
    """Find the parents of a position below the top level."""
    start, size = 0, TOP_LEVEL_SIZE
    while position >= start + size * (1 + FAN_OUT):
        start, size = start + size, size * FAN_OUT
    first = (position - start - size) // FAN_OUT
    return start + first, start + (first + 1) % size


def region_roots(members: Iterable[Member]) -> dict[str, tuple[Member, ...]]:
    """Find the first two members of each region."""
    regions: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        regions[member.region].append(member)
    return {
        region: ordered(region, group)[:ROOTS_PER_REGION]
        for region, group in regions.items()
    }


@final
class Tree:
    """Hold the order of one region, as seen by one of its daemons.

    A daemon that is not listed takes parents as if it were, but no other
    daemon counts on it, so it is no root while its region has one. If its
    record names another place than its own settings, the record counts, since
    all others go by it.
    """

    __slots__ = ('_own', '_orders', '_positions', '_roots', '_remote_roots')

    def __init__(self, *, own: Member, members: Iterable[Member]) -> None:
        """Sort the members; the own daemon may be missing among them."""
        listed = {member.instance: member for member in members}
        self._own = listed.get(own.instance, own)
        roots = region_roots(listed.values())
        region = self._own.region
        self._roots = roots.pop(region, ()) or (self._own,)
        self._remote_roots = tuple(
            root for remote in sorted(roots) for root in roots[remote]
        )
        listed[own.instance] = self._own
        self._orders = _centre_orders(region, listed.values())
        self._positions = {
            member.instance: position
            for order in self._orders.values()
            for position, member in enumerate(order)
        }

    def place(self) -> Place:
        """Return the neighbours of the own daemon."""
        is_root = self._own in self._roots
        is_first_root = self._own == self._roots[0]
        return Place(
            parents=self.parents(self._own),
            children=self._children(),
            remote_roots=self._remote_roots if is_root else (),
            is_first_root=is_first_root,
            is_second_root=is_root and not is_first_root,
        )

    def parents(self, member: Member) -> tuple[Member, ...]:
        """Find the parents of a member, at most two and never itself."""
        if member in self._roots:
            # The first root has no parent, the second has the first.
            return self._roots[: self._roots.index(member)]
        position = self._positions.get(member.instance)
        if position is None:
            return ()
        if position < TOP_LEVEL_SIZE:
            return self._roots
        order = self._orders[member.data_centre]
        return tuple(order[parent] for parent in parent_positions(position))

    def _children(self) -> tuple[Member, ...]:
        candidates = list(self._orders[self._own.data_centre])
        if self._own in self._roots:
            candidates.extend(self._roots)
            for order in self._orders.values():
                candidates.extend(order[:TOP_LEVEL_SIZE])
        return tuple(
            candidate
            for candidate in dict.fromkeys(candidates)
            if self._own in self.parents(candidate)
        )


def place_of(own: Member, members: Iterable[Member]) -> Place:
    """Find the neighbours of a daemon, which may be missing in the list."""
    return Tree(own=own, members=members).place()


def _centre_orders(
    region: str,
    members: Iterable[Member],
) -> dict[str, tuple[Member, ...]]:
    centres: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        if member.region == region:
            centres[member.data_centre].append(member)
    return {centre: ordered(centre, group) for centre, group in centres.items()}
