"""Write responses to one caller's socket and count what it has yet to take."""

import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final, final

import gevent

from briartack.memory_budget import MemoryBudget
from briartack.send_progress import SendProgress
from briartack.socket_options import count_unacknowledged_bytes

# A caller that takes no byte of a response for so long is gone. Its responses
# would be held in memory for good otherwise.
MAX_STALL_SECONDS: Final = 60.0
STALL_POLL_SECONDS: Final = 0.1


@final
class ResponseWriter:
    """Queue the bytes that the socket does not take at once.

    `on_change` is called when the size of what is held has changed, and
    `on_stall` when the caller has taken nothing for MAX_STALL_SECONDS.
    """

    __slots__ = (
        '_sock',
        '_descriptor',
        '_unsent',
        '_written_bytes',
        '_lease',
        '_progress',
        '_greenlet',
        '_on_change',
        '_on_stall',
    )

    def __init__(
        self,
        sock: Any,
        *,
        memory: MemoryBudget,
        on_change: Callable[[], None],
        on_stall: Callable[[], None],
    ) -> None:
        """Start without any bytes; those that are held have a lease."""
        self._sock = sock
        self._descriptor: int = sock.fileno()
        # Each response that is left, with the part that the socket has to take.
        self._unsent: deque[tuple[bytes, memoryview]] = deque()
        self._written_bytes = 0
        self._lease = memory.lease()
        self._progress = SendProgress(now=time.monotonic())
        self._greenlet: gevent.Greenlet | None = None
        self._on_change = on_change
        self._on_stall = on_stall

    @property
    def has_queued(self) -> bool:
        """Return whether the socket has yet to take bytes."""
        return bool(self._unsent)

    @property
    def has_unsent(self) -> bool:
        """Return whether the caller has yet to get part of a response."""
        return bool(self._unsent) or count_unacknowledged_bytes(self._sock) > 0

    @property
    def taken_bytes(self) -> int:
        """Return how many bytes of responses the caller's side has taken."""
        unsent_bytes = sum(len(part) for _, part in self._unsent)
        unacknowledged_bytes = count_unacknowledged_bytes(self._sock)
        return self._written_bytes - unsent_bytes - unacknowledged_bytes

    @property
    def held_bytes(self) -> int:
        """Return the size of the queued and of the other counted responses."""
        return self._lease.size

    def count(self, change: int) -> None:
        """Count responses that begin or cease to be held elsewhere."""
        if change:
            self._lease.resize(self._lease.size + change)
            self._on_change()

    def write(self, response: bytes) -> None:
        """Write what the socket takes at once and queue the rest."""
        if not response:
            return
        written = 0
        if not self._unsent:
            # gevent sets the descriptors of its sockets to non-blocking mode.
            try:
                written = os.write(self._descriptor, response)
            except BlockingIOError:
                written = 0
            except OSError:
                # The greenlet that reads from the socket gets the same error.
                return
        self._written_bytes += len(response)
        if written < len(response):
            self._queue(response, written)

    def wait(self) -> None:
        """Wait until the socket has taken all responses or has failed.

        The socket fails if the caller takes nothing for MAX_STALL_SECONDS.
        """
        if self._greenlet is not None:
            self._greenlet.join()

    def drop(self) -> None:
        """Drop the bytes that the socket has yet to take."""
        dropped_bytes = sum(len(response) for response, _ in self._unsent)
        self._unsent.clear()
        self.count(-dropped_bytes)

    def close(self) -> None:
        """Drop the bytes that are left, and call back no longer."""
        self.drop()
        # The owner and this writer would refer to each other until the next
        # garbage collection.
        self._on_change = do_nothing
        self._on_stall = do_nothing

    def measure_stall(self) -> float:
        """Return for how many seconds the caller has taken no byte."""
        return self._progress.measure_stall(self.taken_bytes, time.monotonic())

    def begin_stall(self) -> None:
        """Measure the time without progress from now on."""
        self._progress = SendProgress(now=time.monotonic())

    def _queue(self, response: bytes, written: int) -> None:
        is_first = not self._unsent
        self._unsent.append((response, memoryview(response)[written:]))
        self.count(len(response))
        if is_first:
            self.begin_stall()
            self._greenlet = gevent.spawn(self._write_rest)

    def _write_rest(self) -> None:
        while self._unsent:
            try:
                self._send_next()
            except OSError:
                self.drop()
                return
            if self._unsent and self.measure_stall() >= MAX_STALL_SECONDS:
                self._on_stall()
                return

    def _send_next(self) -> None:
        """Send what the socket takes, or return after the poll interval.

        Raises OSError.
        """
        response, part = self._unsent[0]
        sent_bytes = 0
        # The time limit interrupts only the wait for room in the send buffer.
        with gevent.Timeout(STALL_POLL_SECONDS, exception=False):
            sent_bytes = self._sock.send(part)
        if not self._unsent:
            # The responses were dropped meanwhile.
            return
        if sent_bytes < len(part):
            self._unsent[0] = (response, part[sent_bytes:])
            return
        self._unsent.popleft()
        # The rest of a response keeps all of it in memory.
        self.count(-len(response))


def do_nothing() -> None:
    """Ignore what happens on a connection that is closed."""
