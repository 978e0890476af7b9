"""Everything that the core can ask of the shell, as data."""

import enum
from dataclasses import dataclass
from typing import TypeAlias, final

from briartack.core.messages import Answer, Attempt, Headers, PeerMessage
from briartack.core.trail import AuditRecord
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
    """Rank log lines with the numbers of the logging module."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStore:
    """Read all entries under a prefix; the empty prefix is everything."""

    prefix: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WatchStore:
    """Wait at the store for entries above a revision."""

    after: Revision
    wait_seconds: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CancelWatch:
    """Give up the waiting watch, if there is one."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Connect:
    """Dial a peer unless a stream to it is up."""

    peer: InstanceId
    address: str  # IP:PORT


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Disconnect:
    """Close the stream to a peer."""

    peer: InstanceId
    reason: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage:
    """Send a message without a body to a peer."""

    peer: InstanceId
    message: PeerMessage


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Send an attempt and its body to the owner of an upstream."""

    peer: InstanceId
    attempt: Attempt
    body_id: BodyId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class SendAnswer:
    """Send an answer and its body back to the sender of an attempt."""

    peer: InstanceId
    answer: Answer
    body_id: BodyId | None


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ReadBody:
    """Read the body of a caller's request, up to the limit."""

    call_id: CallId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCall:
    """Answer a caller; `body_id` names the answer's body in the shell."""

    call_id: CallId
    verdict: Verdict
    status: int
    headers: Headers
    reason: str  # error code of a refusal, empty when the upstream answered
    body_id: BodyId | None = None
    detail: str = ''  # text of a refusal, or the issued key


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Run a request at the local upstream."""

    attempt_id: AttemptId
    body_id: BodyId
    method: str
    target: str
    headers: Headers
    timeout_seconds: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AbortDispatch:
    """Close the upstream connection that runs an attempt."""

    attempt_id: AttemptId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DropBody:
    """Forget a body that nothing needs any more."""

    body_id: BodyId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WakeAt:
    """Deliver a tick at a time that is nearer than the next regular one."""

    at: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WriteAudit:
    """Write one line of the audit trail."""

    record: AuditRecord


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WriteLog:
    """Write one log line; the text comes from the table of error texts."""

    level: LogLevel
    code: str
    fields: tuple[tuple[str, str], ...] = ()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Count:
    """Add to a counter."""

    name: str
    amount: int = 1
    attributes: tuple[tuple[str, str], ...] = ()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Exit:
    """End the process in good order."""

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
    | ReadBody
    | AnswerCall
    | Dispatch
    | AbortDispatch
    | DropBody
    | WakeAt
    | WriteAudit
    | WriteLog
    | Count
    | Exit
)
Effects: TypeAlias = list[Effect]
