"""Routing: match a route, and choose the endpoint of an attempt."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final, TypeAlias, final

from briartack.core.calls import placement
from briartack.core.calls.call_context import (
    CallContext,
    Member,
    Regions,
    RouteView,
    ShareView,
    SnapshotView,
)
from briartack.core.configuration.settings import PlatformSettings
from briartack.core.rendezvous import rank

SCOPE_ENDPOINTS: Final = 32
FULL_LOAD: Final = 1.0
MAX_CACHED: Final = 4096

# The candidates in the data centre, then the region, then beyond.
Scopes: TypeAlias = tuple[tuple[Member, ...], ...]
# Load of a member that may be chosen now, otherwise `None`.
LoadOf: TypeAlias = Callable[[Member], float | None]


def is_out(platform: PlatformSettings, member: Member) -> bool:
    """Tell whether operators took a member out of service."""
    return (
        member.data_centre in platform.data_centres_out
        or member.instance in platform.instances_out
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Candidates:
    members: tuple[Member, ...]
    scopes: Scopes


@final
class RoutingState:
    """Own the indexes over the snapshot's routes and over candidates."""

    __slots__ = (
        '_snapshot',
        '_platform',
        '_by_prefix',
        '_lengths',
        '_candidates',
        '_credits',
    )

    def __init__(self) -> None:
        """Start without an index."""
        self._snapshot: SnapshotView | None = None
        self._platform: PlatformSettings | None = None
        self._by_prefix: dict[str, list[RouteView]] = {}
        self._lengths: tuple[int, ...] = ()
        self._candidates: dict[tuple[str, Regions], _Candidates] = {}
        self._credits: dict[str, list[float]] = {}

    def match(
        self,
        snapshot: SnapshotView,
        method: str,
        target: str,
        host: str = '',
    ) -> RouteView | None:
        """Find the route of the longest prefix that allows host and method."""
        self._index(snapshot)
        path = target.partition('?')[0]
        for length in self._lengths:
            for route in self._by_prefix.get(path[:length], ()):
                if _is_allowed(route, method, host):
                    return route
        return None

    def share(self, random: Random, route: RouteView) -> ShareView:
        """Choose the service of the next call of a route.

        Credits keep the parts close to their weights over a few calls; a
        random start keeps the daemons of a fleet from choosing in step.
        """
        if len(route.shares) == 1:
            return route.shares[0]
        total = sum(share.weight for share in route.shares)
        credits = self._credits.get(route.name)
        if credits is None or len(credits) != len(route.shares):
            credits = [random.random() * total for _ in route.shares]
            self._credits[route.name] = credits
        best = 0
        for index, share in enumerate(route.shares):
            credits[index] += share.weight
            if credits[index] > credits[best] or not route.shares[best].weight:
                best = index
        credits[best] -= total
        return route.shares[best]

    def candidates(
        self,
        context: CallContext,
        snapshot: SnapshotView,
        service: str,
        regions: Regions,
    ) -> Scopes:
        """List by scope the members that placement and operators allow."""
        self._index(snapshot)
        members = context.members.of_service(service)
        cached = self._candidates.get((service, regions))
        if cached is not None and cached.members is members:
            return cached.scopes
        scopes = _scopes(context, snapshot.platform, members, regions)
        if len(self._candidates) >= MAX_CACHED:
            self._candidates.clear()
        self._candidates[(service, regions)] = _Candidates(
            members=members,
            scopes=scopes,
        )
        return scopes

    def _index(self, snapshot: SnapshotView) -> None:
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        self._credits.clear()
        self._by_prefix = {}
        for route in snapshot.routes:
            self._by_prefix.setdefault(route.path_prefix, []).append(route)
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = tuple(sorted(lengths, reverse=True))
        if snapshot.platform != self._platform:
            self._platform = snapshot.platform
            self._candidates.clear()


def _is_allowed(route: RouteView, method: str, host: str) -> bool:
    is_host = route.host in {'', host}
    return is_host and (not route.methods or method in route.methods)


def choose(
    random: Random,
    scopes: Scopes,
    load_of: LoadOf,
    full_load: float = FULL_LOAD,
) -> Member | None:
    """Choose the less loaded of two in the nearest scope with room.

    If every scope is full, the nearest of the least loaded is chosen; its
    owner queues or refuses the attempt.
    """
    fallback: Member | None = None
    for scope in scopes:
        member, load = _less_loaded(random, scope, load_of)
        if member is None:
            continue
        if load >= full_load:
            member, load = _least_loaded(scope, load_of)
        if load < full_load:
            return member
        fallback = fallback or member
    return fallback


def _less_loaded(
    random: Random,
    scope: tuple[Member, ...],
    load_of: LoadOf,
) -> tuple[Member | None, float]:
    left, left_load = _pick(random, scope, load_of)
    if left is None or len(scope) == 1:
        return left, left_load
    right, right_load = _pick(random, scope, load_of)
    if right_load < left_load:
        return right, right_load
    return left, left_load


def _pick(
    random: Random,
    scope: tuple[Member, ...],
    load_of: LoadOf,
) -> tuple[Member | None, float]:
    """Take a random member, or the next one that may be chosen."""
    size = len(scope)
    start = int(random.random() * size)
    for offset in range(size):
        member = scope[(start + offset) % size]
        load = load_of(member)
        if load is not None:
            return member, load
    return None, FULL_LOAD


def _least_loaded(
    scope: tuple[Member, ...],
    load_of: LoadOf,
) -> tuple[Member | None, float]:
    best: Member | None = None
    best_load = float('inf')
    for member in scope:
        load = load_of(member)
        if load is not None and load < best_load:
            best, best_load = member, load
    return best, best_load


def _scopes(
    context: CallContext,
    platform: PlatformSettings,
    members: tuple[Member, ...],
    regions: Regions,
) -> Scopes:
    own = context.identity
    scopes: tuple[list[Member], ...] = ([], [], [])
    for member in members:
        if is_out(platform, member):
            continue
        if not placement.may_hold(regions, member.region):
            continue
        if member.data_centre == own.data_centre:
            scopes[0].append(member)
        elif member.region == own.region:
            scopes[1].append(member)
        else:
            scopes[2].append(member)
    return tuple(_subset(own.instance, scope) for scope in scopes)


def _subset(own: str, scope: list[Member]) -> tuple[Member, ...]:
    if len(scope) <= SCOPE_ENDPOINTS:
        return tuple(scope)
    return tuple(
        heapq.nsmallest(
            SCOPE_ENDPOINTS,
            scope,
            key=lambda member: rank(own, member.instance),
        ),
    )
