"""Keep a connection half open after its last response.

Closing a socket with unread input, or input after the close, sends a reset,
which could discard the response before the caller reads it. A caller whose
request was refused may send the rest of its body before it reads: a write that
fails would be reported as a lost connection.
"""

import time
from collections.abc import Callable
from typing import Any, Final, final

import gevent

from briartack import response_writer
from briartack.response_writer import (
    STALL_POLL_SECONDS,
    ResponseWriter,
    do_nothing,
)
from briartack.turns import TurnLimit

# For how long a connection lingers, and longer while its caller still takes
# bytes of the response or sends the body of its request.
LINGER_SECONDS: Final = 1.0
# A caller that sends the rest of a body may pause for so long.
MAX_PAUSE_SECONDS: Final = 2.0
# The rest of a body is discarded for so long. 16 MB at 1 MB/s take 16 s.
MAX_DISCARD_SECONDS: Final = 20.0
_DISCARD_BYTES: Final = 65536


@final
class Lingering:
    """Call back once a connection need not stay half open any longer.

    A timer of the event loop waits: a greenlet for each connection would take
    several times the memory.
    """

    __slots__ = (
        '_writer',
        '_on_end',
        '_timer',
        '_has_lingered',
        '_is_stopped',
        '_started_at',
        '_rest_bytes',
        '_input_at',
    )

    def __init__(
        self, *, writer: ResponseWriter, on_end: Callable[[], None]
    ) -> None:
        """Set what is called at the end; nothing lingers yet."""
        self._writer = writer
        self._on_end = on_end
        self._timer: Any = None
        self._has_lingered = False
        self._is_stopped = False
        self._started_at = float('inf')
        self._rest_bytes = 0
        self._input_at = float('-inf')

    def discard_input(self, sock: Any, rest_bytes: int) -> None:
        """Discard input until the caller closes or the connection is closed.

        `rest_bytes` is how much of a body the caller may still send.
        """
        self._rest_bytes = rest_bytes
        turn = TurnLimit()
        try:
            while discarded := len(sock.recv(_DISCARD_BYTES)):
                self._record_input(discarded)
                turn.count_read(discarded)
        except OSError:
            return

    def start(self) -> None:
        """Begin to linger, unless the connection is closed already."""
        if not self._is_stopped:
            self._started_at = time.monotonic()
            self._wait(LINGER_SECONDS)

    def stop(self) -> None:
        """End without calling back: the connection is closed."""
        self._is_stopped = True
        self._on_end = do_nothing
        self._close_timer()

    @property
    def _has_reader(self) -> bool:
        """Return whether the caller still takes bytes of the response."""
        stall_seconds = self._writer.measure_stall()
        is_stalled = stall_seconds >= response_writer.MAX_STALL_SECONDS
        return self._writer.has_unsent and not is_stalled

    @property
    def _has_sender(self) -> bool:
        """Return whether the caller still sends the body of its request."""
        now = time.monotonic()
        pause_seconds = LINGER_SECONDS
        if self._rest_bytes > 0:
            pause_seconds = MAX_PAUSE_SECONDS
        is_late = now - self._started_at >= MAX_DISCARD_SECONDS
        return now - self._input_at < pause_seconds and not is_late

    def _record_input(self, size: int) -> None:
        # Bytes behind the body do not keep the connection open.
        if self._rest_bytes > 0:
            self._rest_bytes -= size
            self._input_at = time.monotonic()

    def _wait(self, seconds: float) -> None:
        self._close_timer()
        self._timer = gevent.get_hub().loop.timer(seconds)
        self._timer.start(self._check)

    def _check(self) -> None:
        if not self._has_lingered:
            self._has_lingered = True
            self._writer.begin_stall()
        if self._has_reader or self._has_sender:
            self._wait(STALL_POLL_SECONDS)
        else:
            self._close_timer()
            self._on_end()

    def _close_timer(self) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None
