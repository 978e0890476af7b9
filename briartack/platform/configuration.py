"""Translate the operators' configuration to the subtree of one team.

A route of the platform contains its policy and its home regions. Equal
policies become one policy of the product, equal lists of home regions one
workspace, and the translated routes refer to these by name.
"""

from typing import Annotated, Final, TypeAlias, TypeVar, final

import msgspec
from msgspec import Meta

from briartack.core.configuration.settings import (
    Policy,
    Route,
    ServiceLimits,
    Share,
    TeamSettings,
    Workspace,
)
from briartack.core.entries import TEAM_PREFIX, StatedOrder
from briartack.core.json_decoding import decode_json
from briartack.core.messages import MAX_INTEGER
from briartack.platform.names import TEAM

CONFIG_KEY: Final = 'op/config'
TEAM_KEY: Final = TEAM_PREFIX + TEAM
_MAX_ATTEMPTS: Final = 10  # the product's limit for a policy

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
    service: str = ''
    split: tuple[_Part, ...] = ()
    max_attempts: Annotated[int, Meta(ge=1)] = 1
    home_regions: tuple[str, ...] = ()  # an empty list allows all regions


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the `spec` of a service."""

    health_path: str = '/health'
    max_conns: Annotated[int, Meta(ge=1)]  # over all callers together
    cold_start_s: Annotated[float, Meta(ge=0)] = 0
    cold_per_s: Annotated[float, Meta(gt=0)] | None = None


_CONFIG_DECODER: Final = msgspec.json.Decoder(_Config)
_ROUTE_DECODER: Final = msgspec.json.Decoder(_Route)
_SERVICE_DECODER: Final = msgspec.json.Decoder(_Service)


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

    __slots__ = ('_config', '_policies', '_workspaces')

    def __init__(self, config: _Config) -> None:
        self._config = config
        self._policies: dict[Policy, str] = {}
        self._workspaces: dict[Workspace, str] = {}

    def translate(self) -> TeamSettings:
        services: dict[str, ServiceLimits] = {}
        routes: list[Route] = []
        for resource in self._config.resources:
            name = resource.metadata.name
            if resource.resource_kind == 'services':
                services[name] = _translate_service(
                    _decode_spec(resource, _SERVICE_DECODER)
                )
            elif resource.resource_kind == 'routes':
                routes.append(
                    self._translate_route(
                        name, _decode_spec(resource, _ROUTE_DECODER)
                    )
                )
        return TeamSettings(
            services=services,
            policies={name: policy for policy, name in self._policies.items()},
            workspaces={
                name: workspace for workspace, name in self._workspaces.items()
            },
            routes=tuple(routes),
        )

    def _translate_route(self, name: str, spec: _Route) -> Route:
        policy = Policy(
            timeout_ms=max(1, round(spec.timeout_ms)),
            max_attempts=min(spec.max_attempts, _MAX_ATTEMPTS),
            rank=spec.priority,
            target_ms=_round_milliseconds(spec.target_latency_ms),
            repeatable=spec.kind == 'idempotent',
        )
        policy_name = self._policies.setdefault(
            policy,
            f'p{len(self._policies)}',
        )
        split = tuple(
            Share(service=part.service, weight=part.weight)
            for part in spec.split
        )
        return Route(
            name=name,
            path_prefix=spec.prefix,
            host=spec.host,
            service=spec.service or _first_service(split),
            split=split,
            policy=policy_name,
            workspace=self._register_workspace(spec.home_regions),
        )

    def _register_workspace(self, homes: tuple[str, ...]) -> str | None:
        if not homes:
            return None
        workspace = Workspace(home_regions=homes)
        return self._workspaces.setdefault(
            workspace,
            f'homes{len(self._workspaces)}',
        )


def _decode_spec(
    resource: _Resource, decoder: msgspec.json.Decoder[_Spec]
) -> _Spec:
    return decode_json(bytes(resource.spec), decoder)


def _round_milliseconds(milliseconds: float | None) -> int | None:
    return None if milliseconds is None else max(1, round(milliseconds))


def _translate_service(spec: _Service) -> ServiceLimits:
    return ServiceLimits(
        # A default, since the registry of servers states the slots of each
        # upstream.
        slots=spec.max_conns,
        connections=spec.max_conns,
        ramp_seconds=spec.cold_start_s,
        cold_per_second=spec.cold_per_s,
        health_path=spec.health_path,
    )


def _first_service(split: tuple[Share, ...]) -> str:
    return split[0].service if split else ''
