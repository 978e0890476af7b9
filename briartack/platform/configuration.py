"""Translate the operators' configuration to the subtree of one team.

A route of the platform contains its policy and its home regions. Equal
policies become one policy of the product, equal lists of home regions one
workspace, and the translated routes refer to these by name.
"""

from collections import Counter
from typing import Annotated, Final, TypeAlias, TypeVar, final

import msgspec
from msgspec import Meta

from briartack.core.configuration.settings import (
    MAX_ATTEMPTS,
    MAX_CALL_BURST,
    MAX_CALLS_PER_SECOND,
    MAX_COLD_PER_SECOND,
    MAX_COUNT,
    MAX_MILLISECONDS,
    MAX_RAMP_SECONDS,
    MAX_RANK,
    MAX_WEIGHT,
    CallerLimits,
    Policy,
    Route,
    ServiceLimits,
    Share,
    TeamSettings,
    Tenant,
    Workspace,
)
from briartack.core.entries import TEAM_PREFIX, StatedOrder
from briartack.core.json_decoding import decode_json
from briartack.core.messages import (
    MAX_ALLOWED_BODY_BYTES,
    MAX_ALLOWED_HEAD_BYTES,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_INTEGER,
)
from briartack.credentials import digest_key
from briartack.platform.names import (
    TEAM,
    encode_name,
    format_header_value,
)

CONFIG_KEY: Final = 'op/config'
TEAM_KEY: Final = TEAM_PREFIX + TEAM
_DOWNLOAD_KIND: Final = 'download'
_REPEATABLE_KINDS: Final = frozenset(('idempotent', _DOWNLOAD_KIND))
# A cold upstream that takes no requests; the product has no rate of zero.
_LOWEST_COLD_PER_SECOND: Final = 0.001

_Spec = TypeVar('_Spec')
_Milliseconds: TypeAlias = Annotated[float, Meta(gt=0)]


class _Meta(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the metadata of a resource."""

    name: str = ''


class _Resource(msgspec.Struct, frozen=True, kw_only=True):
    """Represent one resource; its kind determines the type of `spec`."""

    resource_kind: str
    metadata: _Meta = _Meta()
    spec: msgspec.Raw


class _Config(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the value of the configuration item."""

    version: Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
    resources: tuple[_Resource, ...]


class _Part(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the share of one service in the traffic of a route."""

    service: str
    weight: Annotated[float, Meta(ge=0)]


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the `spec` of a route."""

    host: str
    prefix: str
    kind: str  # determines only whether a request may run again
    timeout_ms: _Milliseconds
    target_latency_ms: _Milliseconds | None = None
    priority: Annotated[int, Meta(ge=0)] = 0  # 0 is the most urgent
    service: str | None = None
    split: tuple[_Part, ...] | None = None
    max_attempts: Annotated[int, Meta(ge=1)] = 1
    # An empty list allows all regions.
    home_regions: tuple[str, ...] | None = None
    public: bool | None = None


class _Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the `spec` of a tenant."""

    api_keys: tuple[str, ...] | None = None
    priority: Annotated[int, Meta(ge=0)] = 0  # 0 is the most urgent
    rate_per_s: float | None = None  # 0 is no limit
    burst: float | None = None
    home_regions: tuple[str, ...] | None = None


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the `spec` of a service."""

    health_path: str = '/health'
    max_conns: Annotated[int, Meta(ge=1)]  # over all callers together
    cold_start_s: Annotated[float, Meta(ge=0)] = 0
    cold_per_s: Annotated[float, Meta(ge=0)] | None = None


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the `spec` of the limits on consumers that are followed."""

    idle_timeout_ms: float | None = None
    header_timeout_ms: float | None = None
    max_body_bytes: float | None = None
    max_header_bytes: float | None = None


_OWN_LIMITS: Final = CallerLimits()
# The product's own limit and the highest one that operators can set.
_LIMIT_RANGES: Final = {
    'idle_timeout_ms': (_OWN_LIMITS.idle_timeout_ms, MAX_MILLISECONDS),
    'header_timeout_ms': (_OWN_LIMITS.header_timeout_ms, MAX_MILLISECONDS),
    'max_body_bytes': (MAX_BODY_BYTES, MAX_ALLOWED_BODY_BYTES),
    'max_header_bytes': (MAX_HEAD_BYTES, MAX_ALLOWED_HEAD_BYTES),
}
_CONFIG_DECODER: Final = msgspec.json.Decoder(_Config)
_ROUTE_DECODER: Final = msgspec.json.Decoder(_Route)
_SERVICE_DECODER: Final = msgspec.json.Decoder(_Service)
_TENANT_DECODER: Final = msgspec.json.Decoder(_Tenant)
_LIMITS_DECODER: Final = msgspec.json.Decoder(_Limits)


def translate_subtree(payload: bytes) -> tuple[str, StatedOrder]:
    """Translate a configuration to the JSON of a team's subtree.

    Returns the subtree and the version that the operators state. Raises
    ValueError if the configuration is malformed.
    """
    config = decode_json(payload, _CONFIG_DECODER)
    settings = _Translator(config).translate()
    return msgspec.json.encode(settings).decode(), (config.version,)


@final
class _Translator:
    """Translate the resources of one configuration.

    Holds the names given to the distinct policies and workspaces so far.
    """

    __slots__ = ('_config', '_policies', '_workspaces', '_route_counts')

    def __init__(self, config: _Config) -> None:
        self._config = config
        self._policies: dict[Policy, str] = {}
        self._workspaces: dict[Workspace, str] = {}
        self._route_counts: Counter[str] = Counter()

    def translate(self) -> TeamSettings:
        services: dict[str, ServiceLimits] = {}
        routes: list[Route] = []
        callers: CallerLimits | msgspec.UnsetType = msgspec.UNSET
        for resource in self._config.resources:
            name = resource.metadata.name
            if resource.resource_kind == 'services':
                services[encode_name(name)] = _translate_service(
                    _decode_spec(resource, _SERVICE_DECODER)
                )
            elif resource.resource_kind == 'routes':
                routes.append(
                    self._translate_route(
                        name, _decode_spec(resource, _ROUTE_DECODER)
                    )
                )
            elif resource.resource_kind == 'limits':
                callers = _translate_limits(
                    _decode_spec(resource, _LIMITS_DECODER)
                )
        return TeamSettings(
            services=services,
            policies={name: policy for policy, name in self._policies.items()},
            workspaces={
                name: workspace for workspace, name in self._workspaces.items()
            },
            routes=tuple(routes),
            callers=callers,
            tenants=self._translate_tenants() or msgspec.UNSET,
        )

    def _translate_tenants(self) -> dict[str, Tenant]:
        tenants: dict[str, Tenant] = {}
        for resource in self._config.resources:
            if resource.resource_kind != 'tenants':
                continue
            name = resource.metadata.name
            try:
                spec = _decode_spec(resource, _TENANT_DECODER)
            except ValueError as error:
                raise ValueError(f'tenant {name!r}: {error}') from None
            encoded = encode_name(name)
            if encoded in tenants:
                raise ValueError(
                    f'two tenants have the name {name!r}; rename one of them'
                )
            tenants[encoded] = _translate_tenant(name, encoded, spec)
        return tenants

    def _translate_route(self, name: str, spec: _Route) -> Route:
        policy = Policy(
            timeout_ms=_round_milliseconds(spec.timeout_ms),
            max_attempts=min(spec.max_attempts, MAX_ATTEMPTS),
            rank=min(spec.priority, MAX_RANK),
            target_ms=_round_optional(spec.target_latency_ms),
            repeatable=spec.kind in _REPEATABLE_KINDS,
            has_large_answers=spec.kind == _DOWNLOAD_KIND or msgspec.UNSET,
        )
        policy_name = self._policies.setdefault(
            policy,
            f'p{len(self._policies)}',
        )
        split = _translate_split(spec.split or ())
        service = encode_name(spec.service) if spec.service else ''
        return Route(
            name=self._register_route(name),
            path_prefix=spec.prefix,
            host=spec.host,
            service=service or _first_service(split),
            split=split,
            policy=policy_name,
            workspace=self._register_workspace(spec.home_regions or ()),
            public=spec.public or msgspec.UNSET,
        )

    def _register_route(self, name: str) -> str:
        """Return a name that no route before has."""
        self._route_counts[name] += 1
        count = self._route_counts[name]
        return encode_name(name if count == 1 else f'{name} {count}')

    def _register_workspace(self, homes: tuple[str, ...]) -> str | None:
        if not homes:
            return None
        # Keeps the order and drops repeated names.
        regions = dict.fromkeys(encode_name(region) for region in homes)
        workspace = Workspace(home_regions=tuple(regions))
        return self._workspaces.setdefault(
            workspace,
            f'homes{len(self._workspaces)}',
        )


def _decode_spec(
    resource: _Resource, decoder: msgspec.json.Decoder[_Spec]
) -> _Spec:
    return decode_json(bytes(resource.spec), decoder)


def _round_milliseconds(milliseconds: float) -> int:
    return max(1, round(min(milliseconds, MAX_MILLISECONDS)))


def _round_optional(milliseconds: float | None) -> int | None:
    return None if milliseconds is None else _round_milliseconds(milliseconds)


def _translate_split(parts: tuple[_Part, ...]) -> tuple[Share, ...]:
    """Keep the proportions of weights above the product's limit."""
    largest = max((part.weight for part in parts), default=0)
    scale = MAX_WEIGHT / largest if largest > MAX_WEIGHT else 1
    return tuple(
        Share(service=encode_name(part.service), weight=part.weight * scale)
        for part in parts
    )


def _translate_service(spec: _Service) -> ServiceLimits:
    return ServiceLimits(
        # A default, since the registry of servers states the slots of each
        # upstream.
        slots=min(spec.max_conns, MAX_COUNT),
        connections=min(spec.max_conns, MAX_COUNT),
        ramp_seconds=min(spec.cold_start_s, MAX_RAMP_SECONDS),
        cold_per_second=_translate_rate(spec.cold_per_s),
        health_path=spec.health_path,
    )


def _translate_tenant(name: str, encoded: str, spec: _Tenant) -> Tenant:
    """Translate a tenant; of its keys only the digests are kept.

    An empty key is left out, since a header without a key is none. Rates below
    0 are left for the validation to refuse.
    """
    # Keeps the order and drops repeated keys and regions.
    digests = dict.fromkeys(
        digest_key(key.encode(errors='surrogatepass'))
        for key in spec.api_keys or ()
        if key
    )
    regions = dict.fromkeys(
        encode_name(region) for region in spec.home_regions or ()
    )
    header = format_header_value(name)
    return Tenant(
        header=msgspec.UNSET if header == encoded else header,
        keys=tuple(digests),
        rank=min(spec.priority, MAX_RANK),
        calls_per_second=min(spec.rate_per_s or 0, MAX_CALLS_PER_SECOND),
        burst=min(spec.burst or 0, MAX_CALL_BURST),
        home_regions=tuple(regions),
    )


def _translate_limits(spec: _Limits) -> CallerLimits | msgspec.UnsetType:
    """Translate the limits that are above the product's own.

    To close a connection later than the operators ask harms no caller, and
    daemons of earlier releases refuse a version that states limits.
    """
    raised = {
        name: int(min(limit, most))
        for name, (own, most) in _LIMIT_RANGES.items()
        if (limit := getattr(spec, name)) is not None and limit > own
    }
    return CallerLimits(**raised) if raised else msgspec.UNSET


def _translate_rate(per_second: float | None) -> float | None:
    if per_second is None:
        return None
    return min(max(per_second, _LOWEST_COLD_PER_SECOND), MAX_COLD_PER_SECOND)


def _first_service(split: tuple[Share, ...]) -> str:
    return split[0].service if split else ''
