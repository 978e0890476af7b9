"""Everything that can happen to a daemon, as data.

The shell makes these from sockets and timers and feeds them to the reducer
one at a time. Bodies stay in the shell under a `BodyId`.
"""

import enum
from dataclasses import dataclass
from typing import TypeAlias, final

from briartack.core.entries import Entry
from briartack.core.messages import Headers, Hello, PeerMessage
from briartack.core.units import (
    AttemptId,
    CallId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)


@final
@enum.unique
class StoreOperation(enum.Enum):
    """Name the two calls that the store offers."""

    READ = 'read'
    WATCH = 'watch'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """Report that the process runs, under a fresh incarnation."""

    now: float
    incarnation: Incarnation


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Report the time, at least every 100 ms."""

    now: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreRead:
    """Report the full answer to a read of one prefix."""

    now: float
    prefix: str
    revision: Revision
    entries: tuple[Entry, ...]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreWatched:
    """Report the answer to a watch; it may hold no entries."""

    now: float
    revision: Revision
    entries: tuple[Entry, ...]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailed:
    """Report that a call to the store gave no usable answer."""

    now: float
    operation: StoreOperation
    prefix: str  # empty for a watch
    reason: str
    retry_after_seconds: float | None = None


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class PeerConnected:
    """Report that a stream is up and its first message has been read."""

    now: float
    peer: InstanceId
    hello: Hello


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class PeerDisconnected:
    """Report that a stream is down, or that dialling failed."""

    now: float
    peer: InstanceId
    reason: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessageReceived:
    """Report a message; a body in several chunks is reported separately."""

    now: float
    peer: InstanceId
    message: PeerMessage


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptBodyRead:
    """Report that the whole body of an attempt is here and verified."""

    now: float
    peer: InstanceId
    attempt_id: AttemptId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallArrived:
    """Report the head of a caller's request, before its body is read."""

    now: float
    call_id: CallId
    method: str
    target: str  # path and query as received
    headers: Headers  # end-to-end headers only
    tenant: str = ''
    idempotency_key: str = ''
    deadline_ms: float | None = None
    is_nested: bool = False  # an upstream's call on behalf of another call
    body_bytes: int | None = 0  # None when the length is not known yet


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallBodyRead:
    """Report that the whole body of a caller's request is here."""

    now: float
    call_id: CallId
    body_bytes: int
    body_digest: Digest


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallCancelled:
    """Report that a caller went away or sent a broken body."""

    now: float
    call_id: CallId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRequested:
    """Report that a caller asks for an idempotency key of a service."""

    now: float
    call_id: CallId
    service: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamAnswered:
    """Report a whole answer of the local upstream."""

    now: float
    attempt_id: AttemptId
    status: int
    headers: Headers
    body_bytes: int
    body_digest: Digest
    elapsed_seconds: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFailed:
    """Report that the local upstream gave no whole answer."""

    now: float
    attempt_id: AttemptId
    may_have_run: bool  # false only if no byte of the request was sent
    is_reset: bool  # the connection was refused or reset
    reason: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamProbed:
    """Report a probe of the local upstream; identity is empty if unknown."""

    now: float
    is_healthy: bool
    is_draining: bool
    identity: str
    reported_load: float | None


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StopRequested:
    """Report the first request to stop, from a signal."""

    now: float


Event: TypeAlias = (
    Started
    | Tick
    | StoreRead
    | StoreWatched
    | StoreFailed
    | PeerConnected
    | PeerDisconnected
    | PeerMessageReceived
    | AttemptBodyRead
    | CallArrived
    | CallBodyRead
    | CallCancelled
    | KeyRequested
    | UpstreamAnswered
    | UpstreamFailed
    | UpstreamProbed
    | StopRequested
)
