"""Track one call from its decoded request head to its encoded response."""

from typing import Final, final

import gevent

from briartack.core.effects import AnswerCall
from briartack.dialects import CallerDialect
from briartack.memory_budget import Lease
from briartack.request_head import RequestHead

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


@final
class AlreadyAnsweredError(OSError):
    """Report that a call was answered before its body was read completely."""


@final
class InboundCall:
    """Represent one call in flight: its request head and its response.

    `reader` is the greenlet that reads the request body, if one does, and
    `lease` is the room for the body until it is stored, and `head_lease` that
    for a large head until the call ends. `waiting_bytes` is what the pipeline
    counts of a response that waits for its turn, and `is_answered` says whether
    the response has been encoded.
    """

    __slots__ = (
        'call_id',
        'arrived_at',
        'head',
        'closes_connection',
        'is_body_read',
        'reader',
        'lease',
        'head_lease',
        'waiting_bytes',
        'is_answered',
        '_response',
        '_interim',
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
        """Create an unanswered call.

        `connection` is the Connection header of the response, or empty.
        """
        self.call_id = ''
        self.arrived_at: float = 0
        self.head = head
        self.closes_connection = False
        self.is_body_read = head.body_bytes == 0
        self.reader: gevent.Greenlet | None = None
        self.lease: Lease | None = None
        self.head_lease: Lease | None = None
        self.waiting_bytes = 0
        self.is_answered = False
        self._response: bytes | None = None
        self._interim = b''
        self._connection = connection
        self._dialect = dialect

    @property
    def unwritten_bytes(self) -> int:
        """Return the size of the response if it has yet to be written."""
        return len(self._response or b'')

    def request_body(self) -> None:
        """Tell a caller that waits for it to send the request body."""
        self._interim = _CONTINUE

    def take_interim(self) -> bytes:
        """Return the interim response that is due, once."""
        interim = self._interim
        self._interim = b''
        return interim

    def take_response(self) -> bytes | None:
        """Return the encoded response, once, or None while it is not known."""
        response = self._response
        self._response = None
        return response

    def respond(self, response: bytes) -> None:
        """Set the encoded response."""
        self.is_answered = True
        self._response = response

    def take_lease(self) -> Lease | None:
        """Return the room for the body, which the taker releases."""
        lease = self.lease
        self.lease = None
        return lease

    def release_head(self) -> None:
        """Give back the room for the head at the end of the call."""
        if self.head_lease is not None:
            self.head_lease.release()

    def answer(
        self,
        effect: AnswerCall,
        body: bytes,
        *,
        is_stopping: bool,
    ) -> None:
        """Encode the response; the pipeline writes it in request order.

        The connection closes after the response if the daemon is stopping or
        the request body has not been read to its end.
        """
        connection = self._connection
        if is_stopping or not self.is_body_read:
            connection = 'close'
        self.closes_connection = connection == 'close'
        self.respond(
            self._dialect.encode_answer(
                effect,
                body=body,
                method=self.head.method,
                connection=connection,
            )
        )
        if self.reader is not None:
            gevent.get_hub().loop.run_callback(self._interrupt_reader)

    def _interrupt_reader(self) -> None:
        # Meanwhile the body may have been read to its end.
        if self.reader is not None:
            self.reader.throw(AlreadyAnsweredError())
