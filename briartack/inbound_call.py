"""One call of a caller, from its head to the answer on its socket."""

from typing import final

import gevent

from briartack.core.effects import AnswerCall
from briartack.dialects import CallerDialect
from briartack.request_head import RequestHead


@final
class AnsweredError(OSError):
    """Interrupt the reading of a body that nothing needs any more."""


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
        '_dialect',
    )

    def __init__(
        self,
        *,
        head: RequestHead,
        connection: str,
        dialect: CallerDialect,
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
        self._dialect = dialect

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
        self.whole = self._dialect.answer(
            effect,
            body=body,
            method=self.head.method,
            connection=connection,
        )
        if self.reader is not None:
            gevent.kill(self.reader, AnsweredError(), block=False)
