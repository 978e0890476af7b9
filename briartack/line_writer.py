"""Standard output and error without a wait for their reader.

A write to a full pipe blocks the whole process, since gevent can't switch
greenlets in it. Non-blocking mode would belong to the open file, which other
processes share. So a native thread writes, and lines that find no room are
left out and counted.
"""

import os
import queue
import select
import threading
from typing import Final, Protocol, final

import gevent

from briartack.core.effects import LogLevel
from briartack.error_texts import LINES_LOST
from briartack.ports import Observer

# Room for several lines of the largest size, which lists a whole version.
MAX_QUEUED_BYTES: Final = 4_194_304
# A wake-up of the thread for each log line would cost more than the line; a
# kill loses at most the log lines of this time. Audit lines do not wait.
_GATHER_SECONDS: Final = 0.05
# Together with the last answers this has to fit into the grace time of a stop.
_DRAIN_SECONDS: Final = 0.3
_DRAIN_STEP_SECONDS: Final = 0.01
_COUNTER: Final = 'lines_lost'
_AUDIT: Final = 'audit'
_LOG: Final = 'log'


class LineSink(Protocol):
    """Take lines of text."""

    def write(self, text: str, /) -> object:
        """Take one or more whole lines."""

    def flush(self) -> object:
        """Write out what was taken."""


@final
class LineWriter:
    """Queue lines for a file descriptor, up to a limit."""

    __slots__ = (
        '_descriptor',
        '_limit_bytes',
        '_queue',
        '_is_urgent',
        '_taken_bytes',
        '_done_bytes',
        '_left_out',
        '_failed',
    )

    def __init__(
        self,
        descriptor: int | None,
        *,
        limit_bytes: int = MAX_QUEUED_BYTES,
    ) -> None:
        """Write to a descriptor; without one, every line is lost."""
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._queue: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        self._is_urgent = threading.Event()
        # Each number is written by one thread alone: what was taken and left
        # out by the caller's, what was done and failed by the writing one.
        self._taken_bytes = 0
        self._done_bytes = 0
        self._left_out = 0
        self._failed = 0
        if descriptor is not None:
            # A daemon thread: a blocked write must not hold up the exit.
            threading.Thread(target=self._write_on, daemon=True).start()

    @property
    def queued_bytes(self) -> int:
        """Return what was taken and not yet written."""
        return self._taken_bytes - self._done_bytes

    @property
    def lost(self) -> int:
        """Return how many lines were left out or could not be written."""
        return self._left_out + self._failed

    def write(self, text: str) -> None:
        """Queue text, or leave it out if there is no room."""
        content = text.encode(errors='backslashreplace')
        is_full = self.queued_bytes + len(content) > self._limit_bytes
        if self._descriptor is None or is_full:
            self._left_out += 1
            return
        self._taken_bytes += len(content)
        self._queue.put(content)

    def flush(self) -> None:
        """Ask the thread not to gather more lines."""
        self._is_urgent.set()

    def _write_on(self) -> None:
        while True:
            lines = [self._queue.get()]
            self._is_urgent.wait(_GATHER_SECONDS)
            self._is_urgent.clear()
            while not self._queue.empty():
                lines.append(self._queue.get())
            content = b''.join(lines)
            try:
                self._write_all(content)
            except OSError:
                # Its reader may come back, as that of a named pipe does.
                self._failed += len(lines)
            self._done_bytes += len(content)

    def _write_all(self, content: bytes) -> None:
        descriptor = self._descriptor
        if descriptor is None:
            return
        while content:
            try:
                content = content[os.write(descriptor, content) :]
            except BlockingIOError:
                # Another process set the shared file to non-blocking mode.
                select.select([], [descriptor], [])


@final
class LineWriters:
    """Hold the writers of a daemon and report what they lost."""

    __slots__ = ('audit', 'logs', '_reported')

    def __init__(self, *, audit: LineWriter, logs: LineWriter) -> None:
        """Start without a loss."""
        self.audit = audit
        self.logs = logs
        self._reported = {_AUDIT: 0, _LOG: 0}

    def report(self, observer: Observer) -> None:
        """Count what was lost since the last report."""
        if self.logs is not self.audit:
            self._report(_LOG, self.logs.lost, observer)
        lost = self._report(_AUDIT, self.audit.lost, observer)
        if lost:
            observer.log(LogLevel.WARNING, LINES_LOST, lines=str(lost))

    def drain(self) -> None:
        """Wait a moment until everything is written."""
        with gevent.Timeout(_DRAIN_SECONDS, exception=False):
            while self.audit.queued_bytes or self.logs.queued_bytes:
                gevent.sleep(_DRAIN_STEP_SECONDS)

    def _report(self, name: str, lost: int, observer: Observer) -> int:
        added = lost - self._reported[name]
        if added:
            self._reported[name] = lost
            observer.add(_COUNTER, added, (('stream', name),))
        return added
