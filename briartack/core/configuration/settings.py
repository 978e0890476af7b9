"""Decoded values of the store: team subtrees, platform, instances."""

import enum
from typing import Annotated, final

import msgspec
from msgspec import Meta

# `\Z` and not `$`, which lets a line break at the end pass.
Name = Annotated[str, Meta(pattern=r'^[a-z][a-z0-9-]{0,62}\Z')]
Reference = Annotated[
    str,
    Meta(pattern=r'^([a-z][a-z0-9-]{0,62}/)?[a-z][a-z0-9-]{0,62}\Z'),
]
PositiveInt = Annotated[int, Meta(ge=1, le=100_000)]


class Setting(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of all settings; an unknown field is an error."""


@final
@enum.unique
class Priority(enum.Enum):
    """Rank calls in an owner's queue."""

    INTERACTIVE = 'interactive'
    BACKGROUND = 'background'


@final
class ServiceLimits(Setting, frozen=True, kw_only=True):
    """Bound what one upstream of a service is given."""

    slots: PositiveInt
    connections: PositiveInt
    ramp_seconds: Annotated[float, Meta(ge=0, le=3600)] = 10.0
    queue_length: Annotated[int, Meta(ge=0, le=10_000)] = 40


@final
class Policy(Setting, frozen=True, kw_only=True):
    """Bound the attempts and the time of a call."""

    timeout_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 1000
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 2
    retry_percent: Annotated[int, Meta(ge=0, le=100)] = 10
    priority: Priority = Priority.INTERACTIVE
    repeatable: bool = False


@final
class Workspace(Setting, frozen=True, kw_only=True):
    """Bind tenants, or the routes that name it, to home regions."""

    tenants: tuple[str, ...] = ()
    home_regions: Annotated[tuple[Name, ...], Meta(min_length=1)]


@final
class Route(Setting, frozen=True, kw_only=True):
    """Send the calls under a path to a service."""

    name: Name
    path_prefix: Annotated[str, Meta(pattern='^/', max_length=1024)]
    methods: tuple[str, ...] = ()  # empty allows every method
    service: Reference
    policy: Reference
    workspace: Reference | None = None


@final
class TeamSettings(Setting, frozen=True, kw_only=True):
    """Hold the whole subtree of one team."""

    services: dict[Name, ServiceLimits] = {}
    policies: dict[Name, Policy] = {}
    workspaces: dict[Name, Workspace] = {}
    routes: tuple[Route, ...] = ()


@final
class PlatformSettings(Setting, frozen=True, kw_only=True):
    """List what operators have taken out of service."""

    data_centres_out: tuple[str, ...] = ()
    instances_out: tuple[str, ...] = ()


@final
@enum.unique
class InstanceState(enum.Enum):
    """Tell what the platform's list says of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@final
class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the platform's list says of one instance."""

    service: str
    data_centre: str
    region: str
    peer_address: str
    state: InstanceState = InstanceState.LIVE
