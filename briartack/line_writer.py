"""Write lines to standard output and error without blocking the event loop.

A write to a full pipe blocks the whole process, since gevent cannot switch
greenlets during the write. Non-blocking mode is no option: it applies to the
open file, which other processes share. So a native thread writes, and lines
that exceed the limit of the queue are dropped and counted.
"""

import os
import queue
import select
import threading
from typing import Final, Protocol, final

import gevent

from briartack.core.effects import LogLevel
from briartack.error_texts import LINES_LOST
from briartack.shell_interfaces import Observer

# Room for several lines of the largest size, those that list all key versions.
MAX_QUEUED_BYTES: Final = 4_194_304
# Waking the thread for each log line would cost more than writing the line. A
# kill loses at most the log lines of this period. Audit lines are not delayed.
_BATCH_SECONDS: Final = 0.05
# The drain and the last answers must fit into the grace period of a stop.
_DRAIN_TIMEOUT_SECONDS: Final = 0.3
_DRAIN_POLL_SECONDS: Final = 0.01
_LOST_LINES_COUNTER: Final = 'lines_lost'
_AUDIT_STREAM: Final = 'audit'
_LOG_STREAM: Final = 'log'


class LineSink(Protocol):
    """Accept lines of text."""

    def write(self, text: str, /) -> object:
        """Accept one or more complete lines."""

    def flush(self) -> object:
        """Write the accepted lines out."""


@final
class LineWriter:
    """Queue lines for a file descriptor and write them in a native thread.

    Lines that would exceed the limit of the queue are dropped and counted.
    """

    __slots__ = (
        '_descriptor',
        '_limit_bytes',
        '_queue',
        '_flush_requested',
        '_accepted_bytes',
        '_processed_bytes',
        '_dropped_lines',
        '_failed_lines',
    )

    def __init__(
        self,
        descriptor: int | None,
        *,
        limit_bytes: int = MAX_QUEUED_BYTES,
    ) -> None:
        """Write to a descriptor; if it is None, drop every line."""
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._queue: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        self._flush_requested = threading.Event()
        # Each counter is updated by one thread only: the caller's thread
        # counts accepted bytes and dropped lines, the writing thread processed
        # bytes and failed lines.
        self._accepted_bytes = 0
        self._processed_bytes = 0
        self._dropped_lines = 0
        self._failed_lines = 0
        if descriptor is not None:
            # A daemon thread, since a blocked write must not delay the exit.
            threading.Thread(target=self._run_writer, daemon=True).start()

    @property
    def queued_bytes(self) -> int:
        """Return the number of accepted bytes that are not yet written."""
        return self._accepted_bytes - self._processed_bytes

    @property
    def lost_lines(self) -> int:
        """Return the number of lines dropped or not written due to an error."""
        return self._dropped_lines + self._failed_lines

    def write(self, text: str) -> None:
        """Queue text, or drop the text if the queue would exceed its limit."""
        content = text.encode(errors='backslashreplace')
        is_full = self.queued_bytes + len(content) > self._limit_bytes
        if self._descriptor is None or is_full:
            self._dropped_lines += 1
            return
        self._accepted_bytes += len(content)
        self._queue.put(content)

    def flush(self) -> None:
        """Make the thread write the queued lines at once."""
        self._flush_requested.set()

    def _run_writer(self) -> None:
        while True:
            lines = [self._queue.get()]
            self._flush_requested.wait(_BATCH_SECONDS)
            self._flush_requested.clear()
            while not self._queue.empty():
                lines.append(self._queue.get())
            try:
                self._write_all(b''.join(lines))
            except Exception:
                # Go on, since the reader may return, as with a named pipe, and
                # memory may be free again. A log line could not be written.
                self._failed_lines += len(lines)
            self._processed_bytes += sum(map(len, lines))

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
class OutputWriters:
    """Hold the line writers of a daemon and report their lost lines."""

    __slots__ = ('audit', 'logs', '_reported_lines')

    def __init__(self, *, audit: LineWriter, logs: LineWriter) -> None:
        self.audit = audit
        self.logs = logs
        self._reported_lines = {_AUDIT_STREAM: 0, _LOG_STREAM: 0}

    def report_dropped_lines(self, observer: Observer) -> None:
        """Count the lines lost since the last report; log lost audit lines."""
        if self.logs is not self.audit:
            self._report_stream(_LOG_STREAM, self.logs.lost_lines, observer)
        lost = self._report_stream(
            _AUDIT_STREAM, self.audit.lost_lines, observer
        )
        if lost:
            observer.log(LogLevel.WARNING, LINES_LOST, lines=str(lost))

    def drain(self) -> None:
        """Wait until all lines are written, for at most 0.3 seconds."""
        for writer in (self.audit, self.logs):
            writer.flush()
        with gevent.Timeout(_DRAIN_TIMEOUT_SECONDS, exception=False):
            while self.audit.queued_bytes or self.logs.queued_bytes:
                gevent.sleep(_DRAIN_POLL_SECONDS)

    def _report_stream(self, name: str, lost: int, observer: Observer) -> int:
        added = lost - self._reported_lines[name]
        if added:
            self._reported_lines[name] = lost
            observer.add(_LOST_LINES_COUNTER, added, (('stream', name),))
        return added
