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
    # Requests a second that a cold upstream is given, in place of the growing
    # concurrency of the slow start.
    cold_per_second: Annotated[float, Meta(gt=0, le=100_000)] | None = None
    health_path: Annotated[str, Meta(pattern='^/', max_length=1024)] = (
        '/healthz'
    )


@final
class Policy(Setting, frozen=True, kw_only=True):
    """Bound the attempts and the time of a call."""

    timeout_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 1000
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 2
    retry_percent: Annotated[int, Meta(ge=0, le=100)] = 10
    priority: Priority = Priority.INTERACTIVE
    # Orders the calls of one priority; 0 goes first.
    rank: Annotated[int, Meta(ge=0, le=1000)] = 0
    # A later answer is worth less to the caller.
    target_ms: Annotated[int, Meta(ge=1, le=3_600_000)] | None = None
    repeatable: bool = False


@final
class Workspace(Setting, frozen=True, kw_only=True):
    """Bind tenants, or the routes that name it, to home regions."""

    tenants: tuple[str, ...] = ()
    home_regions: Annotated[tuple[Name, ...], Meta(min_length=1)]


@final
class Share(Setting, frozen=True, kw_only=True):
    """Give a service its part of the calls of a route."""

    service: Reference
    weight: Annotated[float, Meta(ge=0, le=1_000_000)]


@final
class Route(Setting, frozen=True, kw_only=True):
    """Send the calls under a path to a service."""

    name: Name
    path_prefix: Annotated[str, Meta(pattern='^/', max_length=1024)]
    host: Annotated[str, Meta(max_length=255)] = ''  # empty allows every host
    methods: tuple[str, ...] = ()  # empty allows every method
    service: Reference
    split: tuple[Share, ...] = ()  # takes the place of `service`
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
    """Hold what the platform's list says of one upstream.

    A platform that lists each start of an upstream under an id of its own
    names the instance in the record; otherwise the key names it.
    """

    service: str
    data_centre: str
    region: str
    peer_address: str
    state: InstanceState = InstanceState.LIVE
    instance: str = ''
    slots: PositiveInt | None = None
