"""Routing: match routes, list candidate instances and choose by load."""

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

MAX_SCOPE_ENDPOINTS: Final = 32
FULL_LOAD: Final = 1.0
MAX_CACHED_CANDIDATES: Final = 4096

# Candidates in the same data centre, in the same region and in other regions.
Scopes: TypeAlias = tuple[tuple[Member, ...], ...]
# Returns the load of an instance, or `None` if it may not be chosen now.
LoadFunction: TypeAlias = Callable[[Member], float | None]


def is_out_of_service(platform: PlatformSettings, member: Member) -> bool:
    """Return whether an instance or its data centre is out of service."""
    return (
        member.data_centre in platform.data_centres_out
        or member.instance in platform.instances_out
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _CachedCandidates:
    """Cache the candidates of a service for one instance list."""

    members: tuple[Member, ...]
    scopes: Scopes


@final
class RoutingState:
    """Hold the route index, the cached candidates and the share credits."""

    __slots__ = (
        '_snapshot',
        '_platform',
        '_by_prefix',
        '_prefix_lengths',
        '_cached_candidates',
        '_credits',
    )

    def __init__(self) -> None:
        """Create a state without an index; the first use builds one."""
        self._snapshot: SnapshotView | None = None
        self._platform: PlatformSettings | None = None
        self._by_prefix: dict[str, list[RouteView]] = {}
        self._prefix_lengths: tuple[int, ...] = ()
        self._cached_candidates: dict[
            tuple[str, Regions], _CachedCandidates
        ] = {}
        self._credits: dict[str, list[float]] = {}

    def match_route(
        self,
        snapshot: SnapshotView,
        method: str,
        target: str,
        host: str = '',
    ) -> RouteView | None:
        """Return the route with the longest prefix that accepts a request.

        The route's host and methods must match too. Hosts are compared
        without regard to case.
        """
        self._update_index(snapshot)
        host = host.lower()
        path = target.partition('?')[0]
        for length in self._prefix_lengths:
            for route in self._by_prefix.get(path[:length], ()):
                if _accepts_request(route, method, host):
                    return route
        return None

    def choose_share(self, random: Random, route: RouteView) -> ShareView:
        """Choose the share of a route that serves the next call.

        Smooth weighted round-robin: credits keep the shares close to their
        weights over a few calls. Credits start at random, so that the daemons
        of a fleet do not choose in step.
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
            # A share of weight 0 keeps its credit, which may be the highest.
            is_better = (
                credits[index] > credits[best] or not route.shares[best].weight
            )
            if share.weight and is_better:
                best = index
        credits[best] -= total
        return route.shares[best]

    def list_candidates(
        self,
        context: CallContext,
        snapshot: SnapshotView,
        service: str,
        regions: Regions,
    ) -> Scopes:
        """Return the candidates of a service by scope.

        Instances outside the home regions or out of service are left out.
        """
        self._update_index(snapshot)
        members = context.members.live_members_of(service)
        cached = self._cached_candidates.get((service, regions))
        if cached is not None and cached.members is members:
            return cached.scopes
        scopes = _build_scopes(context, snapshot.platform, members, regions)
        if len(self._cached_candidates) >= MAX_CACHED_CANDIDATES:
            self._cached_candidates.clear()
        self._cached_candidates[(service, regions)] = _CachedCandidates(
            members=members,
            scopes=scopes,
        )
        return scopes

    def _update_index(self, snapshot: SnapshotView) -> None:
        """Rebuild the route index if the snapshot has changed.

        Cached candidates are kept unless the platform's settings changed too.
        """
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        self._credits.clear()
        self._by_prefix = {}
        for route in snapshot.routes:
            self._by_prefix.setdefault(route.path_prefix, []).append(route)
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._prefix_lengths = tuple(sorted(lengths, reverse=True))
        if snapshot.platform != self._platform:
            self._platform = snapshot.platform
            self._cached_candidates.clear()


def _accepts_request(route: RouteView, method: str, host: str) -> bool:
    matches_host = route.host.lower() in {'', host}
    return matches_host and (not route.methods or method in route.methods)


def choose_member(
    random: Random,
    scopes: Scopes,
    load_of: LoadFunction,
    full_load: float = FULL_LOAD,
) -> Member | None:
    """Choose the less loaded of two random instances in the nearest scope.

    A scope is skipped if its least loaded instance is full. If every scope is
    full, the least loaded instance of the nearest scope is chosen, and its
    owner queues or refuses the attempt.
    """
    fallback: Member | None = None
    for scope in scopes:
        member, load = _pick_less_loaded(random, scope, load_of)
        if member is None:
            continue
        if load >= full_load:
            member, load = _find_least_loaded(scope, load_of)
        if load < full_load:
            return member
        fallback = fallback or member
    return fallback


def find_nearest_scope(
    scopes: Scopes, load_of: LoadFunction
) -> tuple[Member, ...]:
    """Return the nearest scope with an instance that may be chosen."""
    for scope in scopes:
        if any(load_of(member) is not None for member in scope):
            return scope
    return ()


def _pick_less_loaded(
    random: Random,
    scope: tuple[Member, ...],
    load_of: LoadFunction,
) -> tuple[Member | None, float]:
    """Return the less loaded of two random instances, with its load."""
    left, left_load = _pick_available(random, scope, load_of)
    if left is None or len(scope) == 1:
        return left, left_load
    right, right_load = _pick_available(random, scope, load_of)
    if right_load < left_load:
        return right, right_load
    return left, left_load


def _pick_available(
    random: Random,
    scope: tuple[Member, ...],
    load_of: LoadFunction,
) -> tuple[Member | None, float]:
    """Return a random instance that may be chosen, with its load.

    Scans from a random position to the first instance that may be chosen.
    """
    size = len(scope)
    start = int(random.random() * size)
    for offset in range(size):
        member = scope[(start + offset) % size]
        load = load_of(member)
        if load is not None:
            return member, load
    return None, FULL_LOAD


def _find_least_loaded(
    scope: tuple[Member, ...],
    load_of: LoadFunction,
) -> tuple[Member | None, float]:
    """Return the least loaded instance of a scope, with its load."""
    best: Member | None = None
    best_load = float('inf')
    for member in scope:
        load = load_of(member)
        if load is not None and load < best_load:
            best, best_load = member, load
    return best, best_load


def _build_scopes(
    context: CallContext,
    platform: PlatformSettings,
    members: tuple[Member, ...],
    regions: Regions,
) -> Scopes:
    """Sort the allowed instances into scopes by their distance."""
    own = context.identity
    scopes: tuple[list[Member], ...] = ([], [], [])
    for member in members:
        if is_out_of_service(platform, member):
            continue
        if not placement.may_hold(regions, member.region):
            continue
        if member.data_centre == own.data_centre:
            scopes[0].append(member)
        elif member.region == own.region:
            scopes[1].append(member)
        else:
            scopes[2].append(member)
    return tuple(_limit_scope(own.instance, scope) for scope in scopes)


def _limit_scope(own: str, scope: list[Member]) -> tuple[Member, ...]:
    """Limit a large scope to 32 instances, chosen by rendezvous hashing.

    The subset differs between daemons and is stable for each of them.
    """
    if len(scope) <= MAX_SCOPE_ENDPOINTS:
        return tuple(scope)
    return tuple(
        heapq.nsmallest(
            MAX_SCOPE_ENDPOINTS,
            scope,
            key=lambda member: rank(own, member.instance),
        ),
    )
