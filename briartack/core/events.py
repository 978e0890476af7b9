"""Everything that can happen to a daemon, as data.

The shell makes these from sockets and timers and feeds them to the reducer
one at a time. Bodies stay in the shell under a `BodyId`.
"""

import enum
from typing import TypeAlias, final

import msgspec

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
class Started(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the process runs, under a fresh incarnation."""

    now: float
    incarnation: Incarnation


@final
class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Report the time, at least every 100 ms."""

    now: float


@final
class StoreRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report the full answer to a read of one prefix."""

    now: float
    prefix: str
    revision: Revision
    entries: tuple[Entry, ...]
    elapsed_seconds: float | None = None


@final
class StoreWatched(msgspec.Struct, frozen=True, kw_only=True):
    """Report the answer to a watch; it may hold no entries."""

    now: float
    revision: Revision
    entries: tuple[Entry, ...]


@final
class StoreFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a call to the store gave no usable answer."""

    now: float
    operation: StoreOperation
    prefix: str  # empty for a watch
    reason: str
    retry_after_seconds: float | None = None
    is_history_gone: bool = False  # a watch can't go on from its revision


@final
class PeerConnected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a stream is up and its first message has been read."""

    now: float
    peer: InstanceId
    hello: Hello


@final
class PeerDisconnected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a stream is down, or that dialling failed."""

    now: float
    peer: InstanceId
    reason: str


@final
class PeerMessageReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Report a message; a body in several chunks is reported separately."""

    now: float
    peer: InstanceId
    message: PeerMessage


@final
class AttemptBodyRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the whole body of an attempt is here and verified."""

    now: float
    peer: InstanceId
    attempt_id: AttemptId


@final
class CallArrived(msgspec.Struct, frozen=True, kw_only=True):
    """Report the head of a caller's request, before its body is read."""

    now: float
    call_id: CallId
    method: str
    target: str  # path and query as received
    host: str = ''  # empty if the dialect does not route by host
    request_id: str = ''  # that callers and upstreams know
    parent_id: str = ''  # of the request whose run would make this one
    headers: Headers  # end-to-end headers only
    tenant: str = ''
    idempotency_key: str = ''
    deadline_ms: float | None = None
    is_nested: bool = False  # an upstream's call on behalf of another call
    body_bytes: int | None = 0  # None when the length is not known yet


@final
class CallBodyRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the whole body of a caller's request is here."""

    now: float
    call_id: CallId
    body_bytes: int
    body_digest: Digest


@final
class CallCancelled(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a caller went away or sent a broken body."""

    now: float
    call_id: CallId


@final
class KeyRequested(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a caller asks for an idempotency key of a service."""

    now: float
    call_id: CallId
    service: str


@final
class UpstreamAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """Report a whole answer of the local upstream."""

    now: float
    attempt_id: AttemptId
    status: int
    headers: Headers
    body_bytes: int
    body_digest: Digest
    elapsed_seconds: float


@final
class UpstreamFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the local upstream gave no whole answer."""

    now: float
    attempt_id: AttemptId
    may_have_run: bool  # false only if no byte of the request was sent
    is_reset: bool  # the connection was refused or reset
    reason: str
    # The upstream itself refused to run the request.
    is_refusal: bool = False
    # Another upstream answered than the request named; empty otherwise.
    identity: str = ''


@final
class UpstreamProbed(msgspec.Struct, frozen=True, kw_only=True):
    """Report a probe of the local upstream; identity is empty if unknown."""

    now: float
    is_healthy: bool
    is_draining: bool
    identity: str
    reported_load: float | None
    cold_seconds: float | None = None  # left; none if the probe did not say


@final
class StopRequested(msgspec.Struct, frozen=True, kw_only=True):
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
