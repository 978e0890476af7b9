"""Events: everything that the shell reports to the reducer, as data.

The shell creates events from sockets and timers and passes them to the
reducer one at a time. Bodies stay in the shell, identified by a `BodyId`.
"""

import enum
from typing import TypeAlias, final

import msgspec

from briartack.core.calls.call_rules import CallRules
from briartack.core.entries import Entry
from briartack.core.messages import Headers, Hello, PeerMessage
from briartack.core.units import (
    FIRST_ERA,
    AttemptId,
    CallId,
    Digest,
    Era,
    Incarnation,
    InstanceId,
    Revision,
)


@final
@enum.unique
class StoreOperation(enum.Enum):
    """Identify one of the two operations of the store."""

    READ = 'read'
    WATCH = 'watch'


@final
class Started(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the process started, with a new incarnation."""

    now: float
    incarnation: Incarnation


@final
class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Report the current time, at least every 100 ms."""

    now: float


@final
class StoreRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report the complete answer to a read of one prefix."""

    now: float
    prefix: str
    revision: Revision
    entries: tuple[Entry, ...]
    # Keys that the store holds, but whose values were refused.
    unusable_keys: tuple[str, ...] = ()
    elapsed_seconds: float | None = None
    era: Era = FIRST_ERA


@final
class StoreWatched(msgspec.Struct, frozen=True, kw_only=True):
    """Report the answer to a watch, possibly without entries."""

    now: float
    revision: Revision
    entries: tuple[Entry, ...]
    era: Era = FIRST_ERA


@final
class StoreFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a store operation gave no usable answer."""

    now: float
    operation: StoreOperation
    prefix: str  # empty for a watch
    reason: str
    retry_after_seconds: float | None = None
    # A watch cannot continue from its revision.
    is_history_gone: bool = False


@final
class PeerConnected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a stream is up and that its hello message was read."""

    now: float
    peer: InstanceId
    hello: Hello
    # False if the peer dialled: a dial of this daemon may still be in progress.
    is_outgoing: bool = True


@final
class PeerDisconnected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a stream went down, or that dialling failed."""

    now: float
    peer: InstanceId
    reason: str


@final
class PeerMessageReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Report a peer message; a chunked body is reported separately."""

    now: float
    peer: InstanceId
    message: PeerMessage
    # False if the daemon has no memory for the body of the attempt.
    has_room: bool = True


@final
class AttemptBodyRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the body of an attempt was received and verified."""

    now: float
    peer: InstanceId
    attempt_id: AttemptId


@final
class BodyRoomMissing(msgspec.Struct, frozen=True, kw_only=True):
    """Report that there is no memory for a body that was to be granted."""

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
    request_id: str = ''  # as known to callers and upstreams
    parent_id: str = ''  # request id of the presumed parent call
    headers: Headers  # end-to-end headers only
    tenant: str = ''
    idempotency_key: str = ''
    deadline_ms: float | None = None
    is_nested: bool = False  # made by an upstream while it runs a call
    body_bytes: int | None = 0  # `None` while the length is unknown
    has_room: bool = True  # the daemon has memory for the body
    key_digest: str = ''  # of the caller's API key; empty if it has none


@final
class CallBodyRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the body of a caller's request was received completely."""

    now: float
    call_id: CallId
    body_bytes: int
    body_digest: Digest
    # False if a body of unknown length has outgrown the memory for it.
    has_room: bool = True


@final
class CallCancelled(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a caller disconnected or sent a malformed body."""

    now: float
    call_id: CallId


@final
class KeyRequested(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a caller requests an idempotency key for a service."""

    now: float
    call_id: CallId
    service: str


@final
class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the load that an upstream states in a response."""

    running: int
    waiting: int
    slots: int
    # Factor by which work takes longer at present on the upstream's machine,
    # where 1 is usual; `None` if not stated.
    slowdown: float | None = None


@final
class UpstreamAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """Report a complete answer of the local upstream."""

    now: float
    attempt_id: AttemptId
    status: int
    headers: Headers
    body_bytes: int
    body_digest: Digest
    elapsed_seconds: float
    # Requests per second that the upstream says it takes; `None` if it states
    # no limit.
    stated_limit: float | None = None
    # Identity of the upstream that answered, if it says that it leaves; empty
    # otherwise.
    leaving_identity: str = ''
    load_report: LoadReport | None = None


@final
class UpstreamFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the local upstream gave no complete answer."""

    now: float
    attempt_id: AttemptId
    # False only if no byte of the request was sent, or if the upstream stated
    # that it did not run the request.
    may_have_run: bool
    is_reset: bool  # the connection was refused or reset
    reason: str
    # The upstream stated that it did not run the request.
    is_refusal: bool = False
    # Identity of the upstream that answered, if it is not the expected one;
    # empty otherwise.
    identity: str = ''
    # Stated by a refusal; `None` says nothing about an earlier limit.
    stated_limit: float | None = None
    leaving_identity: str = ''  # as in `UpstreamAnswered`
    load_report: LoadReport | None = None


@final
class UpstreamProbed(msgspec.Struct, frozen=True, kw_only=True):
    """Report the result of a probe; `identity` is empty if unknown."""

    now: float
    is_healthy: bool
    is_draining: bool
    identity: str
    reported_load: float | None
    cold_seconds: float | None = None  # remaining; `None` if not reported
    # Requests per second; `None` says nothing about an earlier limit.
    stated_limit: float | None = None
    leaving_identity: str = ''  # as in `UpstreamAnswered`
    load_report: LoadReport | None = None
    # A malformed statement of the load, which was ignored.
    refused_load: str = ''


@final
class StopRequested(msgspec.Struct, frozen=True, kw_only=True):
    """Report the first stop signal."""

    now: float


@final
class SuspectClearRequested(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an operator clears a request suspected of crashes."""

    now: float
    fingerprint: bytes


@final
class SettingsReloaded(msgspec.Struct, frozen=True, kw_only=True):
    """Report the call rules, drain time and service of changed settings."""

    now: float
    rules: CallRules
    drain_seconds: float
    service: str = ''  # of this instance; empty changes nothing


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
    | BodyRoomMissing
    | CallArrived
    | CallBodyRead
    | CallCancelled
    | KeyRequested
    | UpstreamAnswered
    | UpstreamFailed
    | UpstreamProbed
    | StopRequested
    | SuspectClearRequested
    | SettingsReloaded
)
