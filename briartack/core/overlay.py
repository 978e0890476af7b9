"""The distribution tree: who is whose parent and who watches the store.

Every daemon computes the tree from its own list, without an election.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import Final, final

from briartack.core.units import InstanceId

FAN_OUT: Final = 8
ROOTS_PER_REGION: Final = 2
TOP_LEVEL_SIZE: Final = 2
RANK_BYTES: Final = 8
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
    """Hash an instance within a scope, alike in every process."""
    text = f'{scope}\0{instance}'.encode()
    return int.from_bytes(blake2b(text, digest_size=RANK_BYTES).digest())


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
    """Answer who the parents of the daemons of one region are."""

    __slots__ = ('_orders', '_positions', '_roots')

    def __init__(
        self,
        *,
        members: Sequence[Member],
        roots: Sequence[Member],
    ) -> None:
        """Sort the data centres of one region."""
        self._roots = tuple(roots)
        centres: defaultdict[str, list[Member]] = defaultdict(list)
        for listed in members:
            centres[listed.data_centre].append(listed)
        self._orders = {
            centre: ordered(centre, group) for centre, group in centres.items()
        }
        self._positions = {
            member.instance: position
            for order in self._orders.values()
            for position, member in enumerate(order)
        }

    def parents(self, member: Member) -> tuple[Member, ...]:
        """Find the parents of a member, at most two and never itself."""
        if member in self._roots:
            # The first root has no parent, the second has the first.
            return self._roots[: self._roots.index(member)]
        position = self._positions[member.instance]
        if position < TOP_LEVEL_SIZE:
            return self._roots
        order = self._orders[member.data_centre]
        return tuple(order[parent] for parent in parent_positions(position))

    def children(self, member: Member) -> tuple[Member, ...]:
        """Find the members that have a member as one of their parents."""
        candidates = list(self._orders[member.data_centre])
        if member in self._roots:
            candidates.extend(self._roots)
            for order in self._orders.values():
                candidates.extend(order[:TOP_LEVEL_SIZE])
        return tuple(
            candidate
            for candidate in dict.fromkeys(candidates)
            if member in self.parents(candidate)
        )


def place_of(own: Member, members: Iterable[Member]) -> Place:
    """Find the neighbours of a daemon, which may be missing in the list.

    A daemon that is not listed takes parents as if it were, but no other
    daemon counts on it, so it is no root while its region has one.
    """
    listed = {member.instance: member for member in members}
    own = listed.get(own.instance, own)
    roots = region_roots(listed.values())
    own_roots = roots.pop(own.region, ()) or (own,)
    region = {
        instance: member
        for instance, member in listed.items()
        if member.region == own.region
    }
    region[own.instance] = own
    tree = Tree(members=tuple(region.values()), roots=own_roots)
    is_root = own in own_roots
    return Place(
        parents=tree.parents(own),
        children=tree.children(own),
        remote_roots=_flat(roots) if is_root else (),
        is_first_root=own == own_roots[0],
        is_second_root=is_root and own != own_roots[0],
    )


def _flat(roots: Mapping[str, tuple[Member, ...]]) -> tuple[Member, ...]:
    return tuple(member for region in sorted(roots) for member in roots[region])
