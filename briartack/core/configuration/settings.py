"""Types of the decoded values of the store: teams, platform, instances."""

import enum
from typing import Annotated, Final, final

import msgspec
from msgspec import Meta

from briartack.core.messages import (
    MAX_ALLOWED_BODY_BYTES,
    MAX_ALLOWED_HEAD_BYTES,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
)

# `\Z` instead of `$`, which would accept a trailing line break.
Name = Annotated[str, Meta(pattern=r'^[a-z][a-z0-9-]{0,62}\Z')]
Reference = Annotated[
    str,
    Meta(pattern=r'^([a-z][a-z0-9-]{0,62}/)?[a-z][a-z0-9-]{0,62}\Z'),
]
MAX_COUNT: Final = 100_000
MAX_MILLISECONDS: Final = 3_600_000
MAX_RAMP_SECONDS: Final = 3600.0
MAX_COLD_PER_SECOND: Final = 100_000.0
MAX_ATTEMPTS: Final = 10
MAX_RANK: Final = 1000
MAX_WEIGHT: Final = 1_000_000.0
# Far above what one data centre serves; keeps sums of caps exact.
MAX_CALLS_PER_SECOND: Final = 1_000_000.0
MAX_CALL_BURST: Final = 10_000_000.0
# A SHA-256 digest as URL-safe base64 without padding.
KeyDigest = Annotated[str, Meta(pattern=r'^[A-Za-z0-9_-]{43}\Z')]
# The bytes of a header value as Latin-1 characters.
HeaderText = Annotated[
    str, Meta(pattern=r'^[\x20-\x7e\x80-\xff]*\Z', max_length=1024)
]
PositiveInt = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
_BodyLimit = Annotated[int, Meta(ge=MAX_BODY_BYTES, le=MAX_ALLOWED_BODY_BYTES)]
_HeadLimit = Annotated[int, Meta(ge=MAX_HEAD_BYTES, le=MAX_ALLOWED_HEAD_BYTES)]


class Setting(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Define the base of all settings; unknown fields fail to decode."""


@final
@enum.unique
class Priority(enum.Enum):
    """Select the priority class of calls in an owner's queue."""

    INTERACTIVE = 'interactive'
    BACKGROUND = 'background'


@final
class ServiceLimits(Setting, frozen=True, kw_only=True):
    """Limit the load on each upstream of a service."""

    slots: PositiveInt
    connections: PositiveInt
    # Time in which the slow start grows from one slot to all slots.
    ramp_seconds: Annotated[float, Meta(ge=0, le=MAX_RAMP_SECONDS)] = 10.0
    queue_length: Annotated[int, Meta(ge=0, le=10_000)] = 40
    # Requests per second sent to a cold upstream. If set, this rate replaces
    # the growing concurrency limit of the slow start.
    cold_per_second: (
        Annotated[float, Meta(gt=0, le=MAX_COLD_PER_SECOND)] | None
    ) = None
    health_path: Annotated[str, Meta(pattern='^/', max_length=1024)] = (
        '/healthz'
    )


@final
class Policy(Setting, frozen=True, kw_only=True):
    """Set the timeout, retries and priority of the calls of a route."""

    timeout_ms: Annotated[int, Meta(ge=1, le=MAX_MILLISECONDS)] = 1000
    max_attempts: Annotated[int, Meta(ge=1, le=MAX_ATTEMPTS)] = 2
    # Retries earned by calls, as a percentage of the number of calls.
    retry_percent: Annotated[int, Meta(ge=0, le=100)] = 10
    priority: Priority = Priority.INTERACTIVE
    # Position among the calls of the same priority; 0 is served first.
    rank: Annotated[int, Meta(ge=0, le=MAX_RANK)] = 0
    # Target latency; an answer after that time is worth less to the caller.
    target_ms: Annotated[int, Meta(ge=1, le=MAX_MILLISECONDS)] | None = None
    # Whether a request that may have run may be attempted again.
    repeatable: bool = False
    # Whether most answers are large, so that a near upstream is preferred as
    # for large bodies. Left out of the encoded form if unset: earlier releases
    # refuse the field.
    has_large_answers: bool | msgspec.UnsetType = msgspec.UNSET


@final
class Workspace(Setting, frozen=True, kw_only=True):
    """Restrict tenants, and routes of this workspace, to home regions."""

    tenants: tuple[str, ...] = ()
    home_regions: Annotated[tuple[Name, ...], Meta(min_length=1)]


@final
class Share(Setting, frozen=True, kw_only=True):
    """Assign a weighted part of the calls of a route to a service."""

    service: Reference
    weight: Annotated[float, Meta(ge=0, le=MAX_WEIGHT)]


@final
class Route(Setting, frozen=True, kw_only=True):
    """Route the calls under a path prefix to a service."""

    name: Name
    path_prefix: Annotated[str, Meta(pattern='^/', max_length=1024)]
    host: Annotated[str, Meta(max_length=255)] = ''  # empty allows every host
    methods: tuple[str, ...] = ()  # empty allows every method
    service: Reference
    split: tuple[Share, ...] = ()  # replaces `service` if not empty
    policy: Reference
    workspace: Reference | None = None
    # Whether callers without an API key may use the route. Left out of the
    # encoded form if unset: earlier releases refuse the field.
    public: bool | msgspec.UnsetType = msgspec.UNSET


@final
class CallerLimits(Setting, frozen=True, kw_only=True):
    """Limit how long callers may take, and how much they may send.

    The sizes only raise the product's own limits. They are left out of the
    encoded form if unset: earlier releases refuse the fields.
    """

    # A connection without a request for this long is closed.
    idle_timeout_ms: Annotated[int, Meta(ge=1, le=MAX_MILLISECONDS)] = 75_000
    # From the first byte of a request to the end of its head.
    header_timeout_ms: Annotated[int, Meta(ge=1, le=MAX_MILLISECONDS)] = 75_000
    max_body_bytes: _BodyLimit | msgspec.UnsetType = msgspec.UNSET
    # The request line is limited apart from it.
    max_header_bytes: _HeadLimit | msgspec.UnsetType = msgspec.UNSET

    @property
    def body_limit(self) -> int:
        """Return the size of the largest body of a request."""
        stated = self.max_body_bytes
        return stated if isinstance(stated, int) else MAX_BODY_BYTES

    @property
    def head_limit(self) -> int:
        """Return the size of the largest head of a request."""
        stated = self.max_header_bytes
        return stated if isinstance(stated, int) else MAX_HEAD_BYTES


@final
class Tenant(Setting, frozen=True, kw_only=True, omit_defaults=True):
    """Identify a tenant by its API keys, and limit its calls."""

    # Value of the tenant header; by default the name in the section.
    header: HeaderText | msgspec.UnsetType = msgspec.UNSET
    keys: tuple[KeyDigest, ...] = ()
    # Precedes the rank of the policy; 0 is served first.
    rank: Annotated[int, Meta(ge=0, le=MAX_RANK)] = 0
    # Calls of all daemons together; 0 is no limit.
    calls_per_second: Annotated[float, Meta(ge=0, le=MAX_CALLS_PER_SECOND)] = 0
    burst: Annotated[float, Meta(ge=0, le=MAX_CALL_BURST)] = 0
    home_regions: tuple[Name, ...] = ()  # empty allows every region


@final
class TeamSettings(Setting, frozen=True, kw_only=True):
    """Hold all resources and routes of one team."""

    services: dict[Name, ServiceLimits] = {}
    policies: dict[Name, Policy] = {}
    workspaces: dict[Name, Workspace] = {}
    routes: tuple[Route, ...] = ()
    # Callers share the connections of all teams; the longest times apply.
    # Left out of the encoded form if unset: earlier releases refuse the field.
    callers: CallerLimits | msgspec.UnsetType = msgspec.UNSET
    # Unset like `callers`. With a tenant, callers need an API key on all routes
    # that are not public.
    tenants: dict[Name, Tenant] | msgspec.UnsetType = msgspec.UNSET


@final
class PlatformSettings(Setting, frozen=True, kw_only=True):
    """List the data centres and instances that are out of service."""

    data_centres_out: tuple[str, ...] = ()
    instances_out: tuple[str, ...] = ()


@final
@enum.unique
class InstanceState(enum.Enum):
    """State whether the platform lists an instance as live or leaving."""

    LIVE = 'live'
    LEAVING = 'leaving'


@final
class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the entry of one upstream in the platform's instance list.

    `instance` is set by platforms that list each start of an upstream under
    an id of its own; otherwise the key names the instance.
    """

    service: str
    data_centre: str
    region: str
    peer_address: str
    state: InstanceState = InstanceState.LIVE
    instance: str = ''
    slots: PositiveInt | None = None
    # Unix time of the upstream's start, on platforms that may list several
    # starts under one id.
    started_ms: int | None = None
    # For how long the upstream was cold when it wrote this; 0 if warm.
    cold_ms: int = 0
