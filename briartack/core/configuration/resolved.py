"""The configuration in force, as one immutable value.

A proxy swaps one reference to replace it; a call keeps the snapshot that it
was routed with.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from operator import itemgetter
from types import MappingProxyType
from typing import Final, TypeAlias, final

from briartack.core.configuration.settings import (
    PlatformSettings,
    Policy,
    Route,
    ServiceLimits,
    Workspace,
)
from briartack.core.configuration.validation import Resource
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    references_of,
)
from briartack.core.entries import is_platform_key
from briartack.core.units import Digest, Revision

_NO_PLATFORM: Final = PlatformSettings()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ResolvedShare:
    """Hold one service of a route and its part of the calls."""

    service: str  # TEAM/NAME
    limits: ServiceLimits
    weight: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ResolvedRoute:
    """Hold a route with everything that it refers to."""

    name: str  # TEAM/ROUTE
    team: str
    path_prefix: str
    host: str  # empty allows every host
    methods: frozenset[str]  # empty allows every method
    shares: tuple[ResolvedShare, ...]  # one, unless the route is split
    policy_name: str  # TEAM/NAME
    policy: Policy
    home_regions: frozenset[str] | None  # none binds the route to no region

    @property
    def service(self) -> str:
        """Name its service, or the first one of a split route."""
        return self.shares[0].service

    @property
    def limits(self) -> ServiceLimits:
        """Bound one upstream of that service."""
        return self.shares[0].limits


_OrderedRoute: TypeAlias = tuple[tuple[int, str, str], ResolvedRoute]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Hold the active configuration and its version."""

    versions: tuple[tuple[str, Revision], ...]  # of active keys, sorted
    digest: Digest  # over active versions and the definitions they retain
    highest: Revision
    routes: tuple[ResolvedRoute, ...]  # longest prefix first, then by team
    services: Mapping[str, ServiceLimits]
    tenant_regions: Mapping[str, frozenset[str]]
    platform: PlatformSettings
    retained: tuple[str, ...]  # KIND/TEAM/NAME that the owner has removed


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """Hold what a snapshot is made of."""

    active: Mapping[str, Version]
    resources: Mapping[ResourceId, Resource]
    # Resources whose owner's active version has none, or an older one.
    pooled: tuple[ResourceId, ...]
    digest: Digest
    retained: tuple[str, ...]


@final
class SnapshotBuilder:
    """Make snapshots, and resolve again only the routes that changed."""

    __slots__ = ('_resolved',)

    def __init__(self) -> None:
        """Start with no route resolved."""
        self._resolved: dict[str, _ResolvedTeam] = {}

    def build(self, parts: InForce) -> Snapshot:
        """Make the snapshot of what is in force."""
        self._resolved = {
            key: self._team(version, parts)
            for key, version in sorted(parts.active.items())
        }
        ordered = [
            pair for team in self._resolved.values() for pair in team.routes
        ]
        # The sort is stable, so the routes of a team keep their order.
        ordered.sort(key=itemgetter(0))
        return Snapshot(
            versions=tuple(
                (key, parts.active[key].revision) for key in self._resolved
            ),
            digest=parts.digest,
            highest=max(version.revision for version in parts.active.values()),
            routes=tuple(route for _, route in ordered),
            services=MappingProxyType(_services(parts)),
            tenant_regions=MappingProxyType(_tenant_regions(parts)),
            platform=_platform(parts),
            retained=parts.retained,
        )

    def _team(self, version: Version, parts: InForce) -> '_ResolvedTeam':
        used = (
            # The same set gives its items in the same order each time.
            *map(parts.resources.get, version.foreign),
            *(
                parts.resources[name]
                for name in parts.pooled
                if name.team == version.team
            ),
        )
        present = self._resolved.get(version.key)
        if present is not None and present.is_of(version, used):
            return present
        return _ResolvedTeam(
            version=version,
            used=used,
            routes=tuple(
                _ordered(_resolve(version.team, route, parts.resources))
                for route in version.settings.routes
            ),
        )


@final
@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class _ResolvedTeam:
    """Hold the routes of a version and what else they were made of."""

    version: Version
    used: tuple[object, ...]
    routes: tuple[_OrderedRoute, ...]

    def is_of(self, version: Version, used: tuple[object, ...]) -> bool:
        """Tell whether the routes would be the same again."""
        return self.version is version and self.used == used


def _ordered(route: ResolvedRoute) -> _OrderedRoute:
    return (-len(route.path_prefix), route.path_prefix, route.team), route


def _resolve(
    team: str,
    route: Route,
    resources: Mapping[ResourceId, Resource],
) -> ResolvedRoute:
    service, policy, *others = references_of(team, route)
    bounds = resources[policy]
    # An active version never lacks a resource; see Accepted.
    assert isinstance(bounds, Policy)  # noqa: S101
    split = others[: len(route.split)]
    weights = tuple(share.weight for share in route.split)
    return ResolvedRoute(
        name=f'{team}/{route.name}',
        team=team,
        path_prefix=route.path_prefix,
        host=route.host,
        methods=frozenset(route.methods),
        shares=tuple(
            _share(name, weight, resources)
            for name, weight in zip(
                split or (service,), weights or (1.0,), strict=True
            )
        ),
        policy_name=policy.qualified,
        policy=bounds,
        home_regions=_home_regions(others[len(split) :], resources),
    )


def _share(
    name: ResourceId,
    weight: float,
    resources: Mapping[ResourceId, Resource],
) -> ResolvedShare:
    limits = resources[name]
    assert isinstance(limits, ServiceLimits)  # noqa: S101
    return ResolvedShare(service=name.qualified, limits=limits, weight=weight)


def _platform(parts: InForce) -> PlatformSettings:
    """Join what all keys of the platform take out of service."""
    active = [
        version.platform
        for key, version in sorted(parts.active.items())
        if is_platform_key(key)
    ]
    if len(active) < 2:
        return active[0] if active else _NO_PLATFORM
    return PlatformSettings(
        data_centres_out=_joined(one.data_centres_out for one in active),
        instances_out=_joined(one.instances_out for one in active),
    )


def _joined(lists: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(name for names in lists for name in names))


def _home_regions(
    names: Iterable[ResourceId],
    resources: Mapping[ResourceId, Resource],
) -> frozenset[str] | None:
    for name in names:
        workspace = resources[name]
        assert isinstance(workspace, Workspace)  # noqa: S101
        return frozenset(workspace.home_regions)
    return None


def _services(parts: InForce) -> dict[str, ServiceLimits]:
    return {
        name.qualified: resource
        for name, resource in sorted(
            parts.resources.items(),
            key=itemgetter(0),
        )
        if isinstance(resource, ServiceLimits)
    }


def _tenant_regions(parts: InForce) -> dict[str, frozenset[str]]:
    """Intersect the home regions of all workspaces that name a tenant.

    Retained workspaces bind their tenants too: a request that is refused is
    safer than one that is served outside its home regions.
    """
    regions: dict[str, frozenset[str]] = {}
    for workspace in parts.resources.values():
        if not isinstance(workspace, Workspace):
            continue
        own = frozenset(workspace.home_regions)
        for tenant in workspace.tenants:
            regions[tenant] = regions.get(tenant, own) & own
    return dict(sorted(regions.items()))
