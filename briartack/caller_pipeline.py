"""Write the responses on one caller's connection in request order."""

import os
import select
import time
from collections import deque
from typing import Any, Final, Protocol, final

import gevent
from gevent import socket
from gevent.event import Event

from briartack.core.effects import LimitCallers
from briartack.send_progress import SendProgress
from briartack.socket_options import count_unacknowledged_bytes

# Maximum number of unanswered requests on one connection. At this number, the
# handler reads the next request only after a response.
MAX_PIPELINED_REQUESTS: Final = 32
# Closing a socket with unread input, or input after the close, sends a reset,
# which could discard the response before the caller reads it. The connection
# therefore stays half open for this long after the last response, and until the
# caller has got the response.
LINGER_SECONDS: Final = 1.0
# A caller that takes no byte of a response for so long is gone. Its responses
# would be held in memory for good otherwise.
MAX_STALL_SECONDS: Final = 60.0
_STALL_POLL_SECONDS: Final = 0.1


class PendingResponse(Protocol):
    """Represent one request's position in the order of responses."""

    @property
    def response(self) -> bytes | None:
        """Return the encoded response, or None while it is not known."""

    @property
    def closes_connection(self) -> bool:
        """Return whether the connection closes after the response."""

    def take_interim(self) -> bytes:
        """Return an interim response that is due before the response, once."""


@final
class ReadyResponse:
    """Hold a response that is known at once and ends the connection."""

    __slots__ = ('response',)

    def __init__(self, *, response: bytes) -> None:
        self.response: bytes | None = response

    @property
    def closes_connection(self) -> bool:
        """Return True: no further request is served."""
        return True

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
        '_descriptor',
        '_pending',
        '_unsent',
        '_queued_bytes',
        '_writer',
        '_is_ending',
        '_is_shut_down',
        '_has_capacity',
        'last_active_at',
        'limits',
        'head_began_at',
    )

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._descriptor: int = sock.fileno()
        self._pending: deque[PendingResponse] = deque()
        self._unsent: deque[memoryview] = deque()
        self._queued_bytes = 0
        self._writer: gevent.Greenlet | None = None
        self._is_ending = False
        self._is_shut_down = False
        self._has_capacity = Event()
        self._has_capacity.set()
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
        return bool(self._pending) or bool(self._unsent)

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
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)
        return bool(poll.poll(0))

    @property
    def has_unsent(self) -> bool:
        """Return whether the caller has yet to get part of a response."""
        return bool(self._unsent) or count_unacknowledged_bytes(self._sock) > 0

    @property
    def taken_bytes(self) -> int:
        """Return how many bytes of responses the caller's side has taken."""
        unsent_bytes = sum(len(part) for part in self._unsent)
        unacknowledged_bytes = count_unacknowledged_bytes(self._sock)
        return self._queued_bytes - unsent_bytes - unacknowledged_bytes

    @property
    def unanswered_count(self) -> int:
        """Return the number of requests whose response is not written yet."""
        return len(self._pending)

    def add(self, pending: PendingResponse) -> None:
        """Append a request that has been read, and write what is ready."""
        self._pending.append(pending)
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._has_capacity.clear()
        self.flush()

    def wait_for_capacity(self) -> None:
        """Wait until fewer than MAX_PIPELINED_REQUESTS are unanswered."""
        self._has_capacity.wait()

    def wait_until_sent(self) -> None:
        """Wait until the socket has taken all responses or has failed.

        The socket fails if the caller takes nothing for MAX_STALL_SECONDS.
        """
        if self._writer is not None:
            self._writer.join()

    def take_unanswered(self) -> list[PendingResponse]:
        """Remove and return the requests that are still unanswered."""
        unanswered = list(self._pending)
        self._pending.clear()
        self._has_capacity.set()
        return unanswered

    def flush(self) -> None:
        """Write every response that is next in order.

        Any greenlet may call this method.
        """
        while self._pending and not self._is_ending:
            pending = self._pending[0]
            response = pending.response
            if response is None:
                self._write(pending.take_interim())
                break
            self._pending.popleft()
            self._write(response)
            if pending.closes_connection:
                self._is_ending = True
        if len(self._pending) < MAX_PIPELINED_REQUESTS:
            self._has_capacity.set()
        if self._is_ending and not self._unsent:
            self._half_close()

    def shut_down(self) -> None:
        """Shut the connection down in both directions.

        Input that has arrived before can still be read.
        """
        self._is_shut_down = True
        self._shutdown(socket.SHUT_RDWR)

    def _write(self, response: bytes) -> None:
        if not response:
            return
        self._queued_bytes += len(response)
        if self._unsent:
            self._unsent.append(memoryview(response))
            return
        # gevent sets the descriptors of its sockets to non-blocking mode.
        written = 0
        try:
            written = os.write(self._descriptor, response)
        except BlockingIOError:
            written = 0
        except OSError:
            # The greenlet that reads from the socket gets the same error.
            return
        if written < len(response):
            self._unsent.append(memoryview(response)[written:])
            self._writer = gevent.spawn(self._write_rest)

    def _write_rest(self) -> None:
        progress = SendProgress(now=time.monotonic())
        while self._unsent:
            try:
                self._send_next()
            except OSError:
                self._unsent.clear()
                return
            if self._is_stalled(progress):
                self._unsent.clear()
                self.shut_down()
                return
        if self._is_ending:
            self._half_close()

    def _send_next(self) -> None:
        """Send what the socket takes, or return after the poll interval.

        Raises OSError.
        """
        # The time limit interrupts only the wait for room in the send buffer.
        with gevent.Timeout(_STALL_POLL_SECONDS, exception=False):
            sent_bytes = self._sock.send(self._unsent[0])
            self._unsent[0] = self._unsent[0][sent_bytes:]
        if not self._unsent[0]:
            self._unsent.popleft()

    def _is_stalled(self, progress: SendProgress) -> bool:
        stall_seconds = progress.measure_stall(
            self.taken_bytes, time.monotonic()
        )
        return stall_seconds >= MAX_STALL_SECONDS

    def _half_close(self) -> None:
        self._shutdown(socket.SHUT_WR)
        gevent.spawn(self._linger)

    def _linger(self) -> None:
        gevent.sleep(LINGER_SECONDS)
        progress = SendProgress(now=time.monotonic())
        while count_unacknowledged_bytes(self._sock):
            if self._is_stalled(progress):
                break
            gevent.sleep(_STALL_POLL_SECONDS)
        self.shut_down()

    def _shutdown(self, how: int) -> None:
        try:
            self._sock.shutdown(how)
        except OSError:
            # The caller has closed the connection already.
            return
