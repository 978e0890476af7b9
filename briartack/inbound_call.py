"""One call of a caller, from its head to the answer on its socket."""

from typing import Protocol, final

import gevent
import msgspec

from briartack.core.effects import AnswerCall
from briartack.core.messages import Headers


@final
class AnsweredError(OSError):
    """Interrupt the reading of a body that nothing needs any more."""


@final
class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the head of a request says."""

    method: str
    target: str
    headers: Headers
    tenant: str
    idempotency_key: str
    deadline_ms: float | None
    is_nested: bool
    body_bytes: int | None
    key_service: str  # not empty when the caller asks for a key
    host: str = ''
    request_id: str = ''


class AnswerEncoder(Protocol):
    """Encode answers to callers."""

    def answer(
        self,
        effect: AnswerCall,
        *,
        body: bytes,
        method: str,
        connection: str,
    ) -> bytes:
        """Encode the whole answer that the core decided."""


@final
class InboundCall:
    """Hold one call from its head to its answer."""

    __slots__ = (
        'call_id',
        'arrived',
        'head',
        'whole',
        'is_last',
        'is_body_read',
        'reader',
        '_connection',
        '_encoder',
    )

    def __init__(
        self,
        *,
        head: RequestHead,
        connection: str,
        encoder: AnswerEncoder,
    ) -> None:
        """Start unanswered; `connection` is the Connection header to send."""
        self.call_id = ''
        self.arrived: float = 0
        self.head = head
        self.whole: bytes | None = None
        self.is_last = False
        self.is_body_read = head.body_bytes == 0
        self.reader: gevent.Greenlet | None = None
        self._connection = connection
        self._encoder = encoder

    @property
    def is_answered(self) -> bool:
        """Tell whether the answer is known."""
        return self.whole is not None

    def answer(
        self,
        effect: AnswerCall,
        body: bytes,
        *,
        is_stopping: bool,
    ) -> None:
        """Make the answer; the connection writes it when its turn comes."""
        connection = self._connection
        if is_stopping or not self.is_body_read:
            connection = 'close'
        self.is_last = connection == 'close'
        self.whole = self._encoder.answer(
            effect,
            body=body,
            method=self.head.method,
            connection=connection,
        )
        if self.reader is not None:
            gevent.kill(self.reader, AnsweredError(), block=False)
