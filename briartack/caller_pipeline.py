"""Write the responses on one caller's connection in request order."""

from collections import deque
from typing import Any, Final, Protocol, final

from gevent import socket
from gevent.event import Event

from briartack.core.effects import LimitCallers
from briartack.lingering import Lingering
from briartack.memory_budget import MemoryBudget
from briartack.read_ahead import may_read_ahead
from briartack.response_writer import ResponseWriter
from briartack.socket_options import has_ended_input, has_unread_input

# How often a connection that is not read looks whether its caller has closed it
# and whether it may be read again.
_READ_POLL_SECONDS: Final = 0.05


class PendingResponse(Protocol):
    """Represent one request's position in the order of responses."""

    waiting_bytes: int  # counted while the response waits for its turn

    @property
    def unwritten_bytes(self) -> int:
        """Return the size of the response if it has yet to be written."""

    @property
    def closes_connection(self) -> bool:
        """Return whether the connection closes after the response."""

    def take_response(self) -> bytes | None:
        """Return the encoded response, once, or None while it is not known."""

    def take_interim(self) -> bytes:
        """Return an interim response that is due before the response, once."""


@final
class ReadyResponse:
    """Hold a response that is known at once."""

    __slots__ = ('_response', '_closes_connection', 'waiting_bytes')

    def __init__(
        self, *, response: bytes, closes_connection: bool = True
    ) -> None:
        self._response = response
        self._closes_connection = closes_connection
        self.waiting_bytes = 0

    @property
    def unwritten_bytes(self) -> int:
        """Return the size of the response."""
        return len(self._response)

    @property
    def closes_connection(self) -> bool:
        """Return whether no further request is served."""
        return self._closes_connection

    def take_response(self) -> bytes:
        """Return the response."""
        return self._response

    def take_interim(self) -> bytes:
        """Return nothing: the response is known."""
        return b''


@final
class Pipeline:
    """Queue the responses on one connection and write them in order.

    `last_active_at` is the clock time, in seconds, of the last response or of
    the opening of the connection, and `limits` are those in force at that time.
    `head_began_at` is the time of the first byte of a request whose head has
    yet to arrive, or None.
    """

    __slots__ = (
        '_sock',
        '_pending',
        '_writer',
        '_is_ending',
        '_is_half_closed',
        '_is_shut_down',
        'lingering',
        '_has_changed',
        'last_active_at',
        'limits',
        'head_began_at',
    )

    def __init__(self, sock: Any, *, memory: MemoryBudget) -> None:
        """Start without any request; responses that wait have a lease."""
        self._sock = sock
        self._pending: deque[PendingResponse] = deque()
        self._writer = ResponseWriter(
            sock,
            memory=memory,
            on_change=self._handle_change,
            on_stall=self.give_up,
        )
        self._is_ending = False
        self._is_half_closed = False
        self._is_shut_down = False
        self.lingering: Final = Lingering(
            writer=self._writer, on_end=self.shut_down
        )
        self._has_changed = Event()
        self.last_active_at: float = 0
        self.limits: LimitCallers | None = None
        self.head_began_at: float | None = None

    @property
    def is_ending(self) -> bool:
        """Return whether no further response can be written.

        The final response has been written or buffered, or the connection has
        been shut down.
        """
        return self._is_ending or self._is_shut_down

    @property
    def has_pending(self) -> bool:
        """Return whether responses are outstanding or bytes are unsent."""
        return bool(self._pending) or self._writer.has_queued

    @property
    def awaits_input(self) -> bool:
        """Return whether the next thing to happen is input of the caller.

        Input that has arrived is still to be read.
        """
        is_busy = self.has_pending or self.is_ending
        return not is_busy and not self.has_unread_input

    @property
    def has_unread_input(self) -> bool:
        """Return whether bytes of the caller have arrived and are unread."""
        return has_unread_input(self._sock)

    @property
    def has_unsent(self) -> bool:
        """Return whether the caller has yet to get part of a response."""
        return self._writer.has_unsent

    @property
    def taken_bytes(self) -> int:
        """Return how many bytes of responses the caller's side has taken."""
        return self._writer.taken_bytes

    @property
    def held_bytes(self) -> int:
        """Return the size of the responses that the socket has yet to take."""
        return self._writer.held_bytes

    @property
    def unanswered_count(self) -> int:
        """Return the number of requests whose response is not written yet."""
        return len(self._pending)

    def count_ahead(self, pending: PendingResponse) -> int | None:
        """Return how many responses are written before that of a request.

        Returns None if the response is not awaited any more.
        """
        if pending not in self._pending:
            return None
        return self._pending.index(pending)

    def add(self, pending: PendingResponse) -> None:
        """Append a request that has been read, and write what is ready."""
        self._pending.append(pending)
        self.flush()

    def hold(self, pending: PendingResponse) -> None:
        """Count a response that is known and waits for its turn, if it does."""
        pending.waiting_bytes = pending.unwritten_bytes
        self._writer.count(pending.waiting_bytes)

    def wait_for_capacity(self) -> None:
        """Wait until the connection may have one more unanswered request.

        Returns also when the caller has closed the connection, which is found
        out by reading.
        """
        while self.has_pending and not may_read_ahead(
            unanswered=len(self._pending), held_bytes=self.held_bytes
        ):
            if self._is_shut_down or has_ended_input(self._sock):
                return
            self._has_changed.clear()
            self._has_changed.wait(_READ_POLL_SECONDS)

    def measure_stall(self) -> float:
        """Return for how many seconds the caller has taken no unsent byte."""
        return self._writer.measure_stall() if self._writer.has_queued else 0

    def give_up(self) -> None:
        """Drop all responses of a caller that reads nothing, and shut down."""
        self.drop_unsent()
        self.shut_down()

    def drop_unsent(self) -> None:
        """Drop the bytes that the socket has yet to take."""
        self._writer.drop()

    def wait_until_sent(self) -> None:
        """Wait until the socket has taken all responses or has failed."""
        self._writer.wait()

    def take_unanswered(self) -> list[PendingResponse]:
        """Remove and return the requests that are still unanswered."""
        unanswered = list(self._pending)
        self._pending.clear()
        self._writer.count(-sum(one.waiting_bytes for one in unanswered))
        self._has_changed.set()
        return unanswered

    def flush(self) -> None:
        """Write every response that is next in order.

        Any greenlet may call this method.
        """
        while self._pending and not self._is_ending:
            pending = self._pending[0]
            response = pending.take_response()
            if response is None:
                self._writer.write(pending.take_interim())
                break
            self._pending.popleft()
            self._writer.write(response)
            self._writer.count(-pending.waiting_bytes)
            self._is_ending = pending.closes_connection
        self._handle_change()

    def shut_down(self) -> None:
        """Shut the connection down in both directions.

        Input that has arrived before can still be read.
        """
        self._is_shut_down = True
        _shut_down(self._sock, socket.SHUT_RDWR)

    def close(self) -> None:
        """Drop what is unsent; the socket is closed, and nothing lingers."""
        self.lingering.stop()
        self._writer.close()

    def _handle_change(self) -> None:
        self._has_changed.set()
        if self._is_ending and not self._writer.has_queued:
            self._half_close()

    def _half_close(self) -> None:
        if self._is_half_closed:
            return
        self._is_half_closed = True
        _shut_down(self._sock, socket.SHUT_WR)
        self.lingering.start()


def _shut_down(sock: Any, how: int) -> None:
    try:
        sock.shutdown(how)
    except OSError:
        # The caller has closed the connection already.
        return
