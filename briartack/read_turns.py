"""Bound for how long one pass of the event loop reads from callers.

The loop resumes the readers of all connections that have input, one after the
other, before it looks at other sockets again. With heads of 1,500 callers that
arrived at once, a pass took 0.9 s, in which the platform got no answer.
"""

import io
import os
import time
from collections import deque
from typing import Any, Final, final

import gevent
from gevent import socket
from gevent.hub import Waiter

# Of the second in which the platform expects an answer, a few passes of this
# length take little. A head of 20 KB takes 0.6 ms.
PASS_SECONDS: Final = 0.01
# A timer that is due at once makes the loop look at all sockets before it.
_NEXT_PASS_SECONDS: Final = 1e-9


@final
class ReadTurns:
    """Let the readers that are resumed in one pass continue in several."""

    __slots__ = ('_loop', '_iteration', '_until', '_waiting', '_timer')

    def __init__(self) -> None:
        """Start without readers that wait."""
        self._loop = gevent.get_hub().loop
        self._iteration = -1
        self._until: float = 0  # monotonic seconds, of the present pass
        self._waiting: deque[Waiter] = deque()
        self._timer: Any = None

    def wait(self) -> None:
        """Return in this pass if it has time left, else in a later one.

        Those that wait for longer go first.
        """
        if not self._waiting and self._has_time():
            return
        waiter = Waiter()
        self._waiting.append(waiter)
        self._start_timer()
        try:
            waiter.get()
        except BaseException:
            # A timeout, or the end of the greenlet.
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            raise

    def _has_time(self) -> bool:
        now = time.monotonic()
        iteration: int = self._loop.iteration
        if iteration != self._iteration:
            self._iteration = iteration
            self._until = now + PASS_SECONDS
        return now < self._until

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = self._loop.timer(_NEXT_PASS_SECONDS)
            self._timer.start(self._resume)

    def _resume(self) -> None:
        self._timer.close()
        self._timer = None
        while self._waiting and self._has_time():
            self._waiting.popleft().switch(None)
        if self._waiting:
            self._start_timer()


@final
class TurnInput(io.RawIOBase):
    """Read from the socket of a caller, and wait for a turn after a pause."""

    def __init__(self, sock: Any, raw: Any, turns: ReadTurns) -> None:
        """Read from a socket; `raw` is the file that keeps it open."""
        self._sock = sock
        self._raw = raw
        self._turns = turns

    def readable(self) -> bool:
        """Return true."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read what has arrived into a buffer, after a wait for the first byte.

        No byte is taken from the socket before the last wait, since a timeout
        may end it.
        """
        try:
            return os.readv(self._sock.fileno(), [buffer])
        except BlockingIOError:
            self._sock.recv(1, socket.MSG_PEEK)
        self._turns.wait()
        received: int = self._sock.recv_into(buffer)
        return received

    def close(self) -> None:
        """Close the file; the socket is closed by its owner."""
        if not self.closed:
            super().close()
            self._raw.close()
