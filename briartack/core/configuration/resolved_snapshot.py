"""Immutable snapshot of the effective configuration, and its builder.

A daemon replaces the snapshot by swapping one reference; a call keeps the
snapshot that routed the call.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from operator import itemgetter
from types import MappingProxyType
from typing import Final, TypeAlias, final

from briartack.core.configuration.settings import (
    CallerLimits,
    PlatformSettings,
    Policy,
    Route,
    ServiceLimits,
    Workspace,
)
from briartack.core.configuration.validation import Resource
from briartack.core.configuration.value_checks import get_tenants
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    list_references,
)
from briartack.core.entries import StatedOrder, is_platform_key
from briartack.core.tenants.tenant_table import TenantTable, build_tenant_table
from briartack.core.units import Digest, Revision

_EMPTY_PLATFORM: Final = PlatformSettings()
_DEFAULT_CALLER_LIMITS: Final = CallerLimits()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ResolvedShare:
    """Hold one service of a route with its limits and its weight."""

    service: str  # TEAM/NAME
    limits: ServiceLimits
    weight: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ResolvedRoute:
    """Hold a route with the resources to which the route refers."""

    name: str  # TEAM/ROUTE
    team: str
    path_prefix: str
    host: str  # empty allows every host
    methods: frozenset[str]  # empty allows every method
    shares: tuple[ResolvedShare, ...]  # several only if the route is split
    policy_name: str  # TEAM/NAME
    policy: Policy
    home_regions: frozenset[str] | None  # `None` allows every region
    is_public: bool  # callers need no API key

    @property
    def service(self) -> str:
        """Return the service of the route, the first if the route is split."""
        return self.shares[0].service

    @property
    def limits(self) -> ServiceLimits:
        """Return the limits of each upstream of `service`."""
        return self.shares[0].limits


_KeyedRoute: TypeAlias = tuple[tuple[int, str, str], ResolvedRoute]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Hold the effective configuration and the versions that state it."""

    versions: tuple[tuple[str, Revision], ...]  # of active keys, sorted
    # Of the active versions whose writers state an order.
    stated: tuple[tuple[str, StatedOrder], ...]
    digest: Digest  # of active versions and pooled definitions
    highest: Revision
    routes: tuple[ResolvedRoute, ...]  # longest prefix first, then by team
    services: Mapping[str, ServiceLimits]
    tenant_regions: Mapping[str, frozenset[str]]
    tenants: TenantTable
    platform: PlatformSettings
    caller_limits: CallerLimits
    retained: tuple[str, ...]  # KIND/TEAM/NAME that the owner has removed


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class EffectiveConfiguration:
    """Hold the input of a snapshot: active versions and their resources."""

    active: Mapping[str, Version]
    resources: Mapping[ResourceId, Resource]
    # Resources that the active version of the owner lacks, or has in an older
    # revision.
    pooled_ids: tuple[ResourceId, ...]
    digest: Digest
    retained: tuple[str, ...]


@final
class SnapshotBuilder:
    """Build snapshots, reusing the resolved routes of unchanged teams."""

    __slots__ = ('_resolved_teams',)

    def __init__(self) -> None:
        self._resolved_teams: dict[str, _ResolvedTeam] = {}

    def build(self, configuration: EffectiveConfiguration) -> Snapshot:
        """Build the snapshot of an effective configuration."""
        self._resolved_teams = {
            key: self._resolve_team(version, configuration)
            for key, version in sorted(configuration.active.items())
        }
        tenants = build_tenant_table(
            (version.team, get_tenants(version.settings))
            for _, version in sorted(configuration.active.items())
        )
        ordered = [
            pair
            for team in self._resolved_teams.values()
            for pair in team.routes
        ]
        # The sort is stable, so the routes of a team keep their order.
        ordered.sort(key=itemgetter(0))
        return Snapshot(
            versions=tuple(
                (key, configuration.active[key].revision)
                for key in self._resolved_teams
            ),
            stated=tuple(
                (key, configuration.active[key].stated)
                for key in self._resolved_teams
                if configuration.active[key].stated
            ),
            digest=configuration.digest,
            highest=max(
                version.revision for version in configuration.active.values()
            ),
            routes=tuple(route for _, route in ordered),
            services=MappingProxyType(_collect_services(configuration)),
            tenant_regions=MappingProxyType(
                _collect_tenant_regions(configuration, tenants)
            ),
            tenants=tenants,
            platform=_merge_platform_settings(configuration),
            caller_limits=_merge_caller_limits(configuration),
            retained=configuration.retained,
        )

    def _resolve_team(
        self, version: Version, configuration: EffectiveConfiguration
    ) -> '_ResolvedTeam':
        dependencies = (
            # A set object yields its items in the same order each time, so
            # the dependencies of the same version stay comparable.
            *map(configuration.resources.get, version.foreign_references),
            *(
                configuration.resources[name]
                for name in configuration.pooled_ids
                if name.team == version.team
            ),
        )
        present = self._resolved_teams.get(version.key)
        if present is not None and present.is_current_for(
            version, dependencies
        ):
            return present
        return _ResolvedTeam(
            version=version,
            dependencies=dependencies,
            routes=tuple(
                _with_sort_key(
                    _resolve_route(version.team, route, configuration.resources)
                )
                for route in version.settings.routes
            ),
        )


@final
@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class _ResolvedTeam:
    """Cache the resolved routes of a version with their dependencies.

    The dependencies are the resources used besides the version itself.
    """

    version: Version
    dependencies: tuple[object, ...]
    routes: tuple[_KeyedRoute, ...]

    def is_current_for(
        self, version: Version, dependencies: tuple[object, ...]
    ) -> bool:
        """Return whether resolving again would give the same routes."""
        return self.version is version and self.dependencies == dependencies


def _with_sort_key(route: ResolvedRoute) -> _KeyedRoute:
    return (-len(route.path_prefix), route.path_prefix, route.team), route


def _resolve_route(
    team: str,
    route: Route,
    resources: Mapping[ResourceId, Resource],
) -> ResolvedRoute:
    service, policy, *others = list_references(team, route)
    bounds = resources[policy]
    # `AcceptedConfiguration` only activates versions whose references resolve.
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
            _resolve_share(name, weight, resources)
            for name, weight in zip(
                split or (service,), weights or (1.0,), strict=True
            )
        ),
        policy_name=policy.qualified,
        policy=bounds,
        home_regions=_resolve_home_regions(others[len(split) :], resources),
        is_public=route.public is True,
    )


def _resolve_share(
    name: ResourceId,
    weight: float,
    resources: Mapping[ResourceId, Resource],
) -> ResolvedShare:
    limits = resources[name]
    assert isinstance(limits, ServiceLimits)  # noqa: S101
    return ResolvedShare(service=name.qualified, limits=limits, weight=weight)


def _merge_platform_settings(
    configuration: EffectiveConfiguration,
) -> PlatformSettings:
    """Combine the out-of-service lists of all platform keys."""
    active = [
        version.platform
        for key, version in sorted(configuration.active.items())
        if is_platform_key(key)
    ]
    if len(active) < 2:
        return active[0] if active else _EMPTY_PLATFORM
    return PlatformSettings(
        data_centres_out=_concatenate_unique(
            settings.data_centres_out for settings in active
        ),
        instances_out=_concatenate_unique(
            settings.instances_out for settings in active
        ),
    )


def _merge_caller_limits(configuration: EffectiveConfiguration) -> CallerLimits:
    stated = [
        limits
        for version in configuration.active.values()
        if isinstance(limits := version.settings.callers, CallerLimits)
    ]
    if not stated:
        return _DEFAULT_CALLER_LIMITS
    return CallerLimits(
        idle_timeout_ms=max(limits.idle_timeout_ms for limits in stated),
        header_timeout_ms=max(limits.header_timeout_ms for limits in stated),
        max_body_bytes=max(limits.body_limit for limits in stated),
        max_header_bytes=max(limits.head_limit for limits in stated),
    )


def _concatenate_unique(lists: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(name for names in lists for name in names))


def _resolve_home_regions(
    names: Iterable[ResourceId],
    resources: Mapping[ResourceId, Resource],
) -> frozenset[str] | None:
    for name in names:
        workspace = resources[name]
        assert isinstance(workspace, Workspace)  # noqa: S101
        return frozenset(workspace.home_regions)
    return None


def _collect_services(
    configuration: EffectiveConfiguration,
) -> dict[str, ServiceLimits]:
    return {
        name.qualified: resource
        for name, resource in sorted(
            configuration.resources.items(),
            key=itemgetter(0),
        )
        if isinstance(resource, ServiceLimits)
    }


def _collect_tenant_regions(
    configuration: EffectiveConfiguration, tenants: TenantTable
) -> dict[str, frozenset[str]]:
    """Intersect the home regions of all workspaces that name a tenant.

    A tenant with API keys is listed as TEAM/NAME. It has home regions of its
    own, and workspaces name it by its header.

    Retained workspaces restrict their tenants too: refusing a request is
    safer than serving the request outside its home regions.
    """
    regions: dict[str, frozenset[str]] = {}
    for workspace in configuration.resources.values():
        if not isinstance(workspace, Workspace):
            continue
        own = frozenset(workspace.home_regions)
        for tenant in workspace.tenants:
            regions[tenant] = regions.get(tenant, own) & own
    for keyed in tenants.by_name.values():
        homes = _intersect(regions.get(keyed.header), keyed.home_regions)
        if homes is not None:
            regions[keyed.name] = homes
    return dict(sorted(regions.items()))


def _intersect(
    left: frozenset[str] | None, right: frozenset[str] | None
) -> frozenset[str] | None:
    if left is None or right is None:
        return right if left is None else left
    return left & right
