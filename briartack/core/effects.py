"""Effects: the actions that the core requests from the shell, as data."""

import enum
from typing import TypeAlias, final

import msgspec

from briartack.core.audit_trail import AuditRecord
from briartack.core.messages import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Answer,
    Attempt,
    Headers,
    PeerMessage,
)
from briartack.core.units import (
    AttemptId,
    BodyId,
    CallId,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict


@final
@enum.unique
class LogLevel(enum.IntEnum):
    """Set the severity of a log line, by the numbers of `logging`."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@final
class ReadStore(msgspec.Struct, frozen=True, kw_only=True):
    """Read all entries under a prefix; the empty prefix reads all keys."""

    prefix: str
    may_lag: bool = False  # the answer may be seconds old


@final
class WatchStore(msgspec.Struct, frozen=True, kw_only=True):
    """Watch the store for entries above a revision."""

    after: Revision
    wait_seconds: float


@final
class CancelWatch(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel the pending watch, if there is one."""


@final
class Connect(msgspec.Struct, frozen=True, kw_only=True):
    """Dial a peer unless a stream to the peer is up."""

    peer: InstanceId
    address: str  # IP:PORT


@final
class Disconnect(msgspec.Struct, frozen=True, kw_only=True):
    """Close the stream to a peer."""

    peer: InstanceId
    reason: str


@final
class SendMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message without a body to a peer."""

    peer: InstanceId
    message: PeerMessage


@final
class SendAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Send an attempt with its body to the owner of an upstream."""

    peer: InstanceId
    attempt: Attempt
    body_id: BodyId


@final
class SendAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Send an answer with its body back to the sender of an attempt."""

    peer: InstanceId
    answer: Answer
    body_id: BodyId | None
    deadline: float | None = None  # after which the sender needs no answer


@final
class GrantBody(msgspec.Struct, frozen=True, kw_only=True):
    """Reserve memory for the body of a peer's attempt, and ask for it.

    `BodyRoomMissing` reports that there is no memory.
    """

    peer: InstanceId
    attempt_id: AttemptId


@final
class ReadBody(msgspec.Struct, frozen=True, kw_only=True):
    """Read the body of a caller's request, up to the limit."""

    call_id: CallId


@final
class AnswerCall(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a caller; `body_id` identifies the body stored in the shell."""

    call_id: CallId
    verdict: Verdict
    status: int
    headers: Headers
    reason: str  # error code of a refusal, empty when the upstream answered
    body_id: BodyId | None = None
    detail: str = ''  # text of a refusal, or the issued idempotency key
    retry_after_seconds: float = 0  # for refusals with verdict not-run


@final
class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Send a request to the local upstream."""

    attempt_id: AttemptId
    body_id: BodyId
    method: str
    target: str
    headers: Headers
    timeout_seconds: float
    expected_identity: str = ''  # of the upstream; empty accepts any


@final
class LimitCallers(msgspec.Struct, frozen=True, kw_only=True):
    """Set how long callers may take, and how much they may send."""

    idle_seconds: float  # without a request
    header_seconds: float  # from the first byte of a request to its head's end
    max_body_bytes: int = MAX_BODY_BYTES
    max_head_bytes: int = MAX_HEAD_BYTES


@final
class ProbeUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """Probe the local upstream now, and use this path for later probes."""

    path: str


@final
class AbortDispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Close the upstream connection that an attempt runs on."""

    attempt_id: AttemptId


@final
class DropBody(msgspec.Struct, frozen=True, kw_only=True):
    """Release a stored body that is no longer needed."""

    body_id: BodyId


@final
class WakeAt(msgspec.Struct, frozen=True, kw_only=True):
    """Schedule a tick before the next regular one."""

    at: float


@final
class WriteAudit(msgspec.Struct, frozen=True, kw_only=True):
    """Write one record to the audit trail."""

    record: AuditRecord


@final
class WriteLog(msgspec.Struct, frozen=True, kw_only=True):
    """Write one log line; its text is looked up by code in `error_texts`."""

    level: LogLevel
    code: str
    fields: tuple[tuple[str, str], ...] = ()


@final
class Count(msgspec.Struct, frozen=True, kw_only=True):
    """Add an amount to a counter metric."""

    name: str
    amount: int = 1
    attributes: tuple[tuple[str, str], ...] = ()


@final
class Exit(msgspec.Struct, frozen=True, kw_only=True):
    """Exit the process gracefully with a status code."""

    code: int


Effect: TypeAlias = (
    ReadStore
    | WatchStore
    | CancelWatch
    | Connect
    | Disconnect
    | SendMessage
    | SendAttempt
    | SendAnswer
    | GrantBody
    | ReadBody
    | AnswerCall
    | Dispatch
    | ProbeUpstream
    | LimitCallers
    | AbortDispatch
    | DropBody
    | WakeAt
    | WriteAudit
    | WriteLog
    | Count
    | Exit
)
Effects: TypeAlias = list[Effect]
