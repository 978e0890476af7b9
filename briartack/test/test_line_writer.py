"""Guards against a reader of the output that blocks or ends a daemon."""

import os
import unittest
from unittest import mock

from nose2.tools import params

from briartack.core.audit_trail import AuditRecorder
from briartack.held import find_held_configurations, read_audit_lines
from briartack.line_writer import LineWriter, OutputWriters
from briartack.logs import AuditTrail
from briartack.test.fake_reducer import CountingObserver, identity, wait_until

LINE = 'some line\n'


def fill(descriptor: int) -> int:
    """Fill a pipe and return how many bytes it took."""
    os.set_blocking(descriptor, False)
    taken = 0
    try:
        while True:
            taken += os.write(descriptor, b'-' * 4096)
    except BlockingIOError:
        return taken


def read(descriptor: int, size: int) -> bytes:
    """Read exactly so many bytes."""
    found = b''
    while len(found) < size:
        found += os.read(descriptor, size - len(found))
    return found


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        pipe = os.pipe()
        self.reader = pipe[0]
        self.end = pipe[1]

    def wait_for(self, writer: LineWriter) -> None:
        wait_until(lambda: not writer.queued_bytes)

    @params(True, False)
    def test_full_pipe(self, is_blocking: bool) -> None:
        """Guards against a wait, an endless queue, and uncounted losses."""
        filled = fill(self.end)
        os.set_blocking(self.end, is_blocking)
        writer = LineWriter(self.end, limit_bytes=2 * len(LINE))
        for text in (LINE, LINE.upper(), 'lost\n' * 3, 'lost\n' * 3):
            writer.write(text)
        self.assertEqual((writer.queued_bytes, writer.lost_lines), (20, 2))
        read(self.reader, filled)
        queued = read(self.reader, 2 * len(LINE)).decode()
        self.assertEqual(queued, LINE + LINE.upper())
        self.wait_for(writer)
        writer.write('later\n')
        self.assertEqual(read(self.reader, 6), b'later\n')

    def test_lost_audit_line_shows(self) -> None:
        """Guards against a trail that hides its own gap."""
        one = identity('saldo-1')
        trail = AuditRecorder(
            instance=one.instance, incarnation=one.incarnation
        )
        filled = fill(self.end)
        os.set_blocking(self.end, True)
        writer = LineWriter(self.end, limit_bytes=400)
        audit = AuditTrail(writer)
        audit.write(trail.record('held', {'digest': 'a'}))
        audit.write(trail.record('configuration', {'text': '-' * 400}))
        audit.write(trail.record('held', {'digest': 'a'}))
        size = writer.queued_bytes
        read(self.reader, filled)
        lines = list(
            read_audit_lines(read(self.reader, size).decode().splitlines())
        )
        self.assertEqual([line.sequence for line in lines], [1, 3])
        answer = find_held_configurations(lines, lines[0].time)[0]
        self.assertFalse(answer.is_known)

    def test_lines_after_the_reader_ended(self) -> None:
        """Guards against a thread that ends at the first broken pipe."""
        os.close(self.reader)
        writer = LineWriter(self.end)
        for expected in (1, 2):
            writer.write(LINE)
            self.wait_for(writer)
            self.assertEqual(writer.lost_lines, expected)

    def test_lines_of_a_moment_are_written_together(self) -> None:
        """Guards against a wake-up of the thread and a write for each line."""
        filled = fill(self.end)
        os.set_blocking(self.end, True)
        writer = LineWriter(self.end)
        with mock.patch.object(os, 'write', wraps=os.write) as write:
            for _ in range(20):
                writer.write(LINE)
            read(self.reader, filled)
            self.assertEqual(
                read(self.reader, 20 * len(LINE)).decode(),
                20 * LINE,
            )
            self.wait_for(writer)
            self.assertLessEqual(write.call_count, 2)

    def test_one_stream_for_both_counts_a_loss_once(self) -> None:
        """Guards against a loss that is counted under two names."""
        observer = CountingObserver()
        writer = LineWriter(None)
        writers = OutputWriters(audit=writer, logs=writer)
        writer.write(LINE)
        writers.report_dropped_lines(observer)
        self.assertEqual(observer.counts, {'lines_lost audit': 1})

    def test_losses_are_reported_once(self) -> None:
        """Guards against losses that operators can't see."""
        observer = CountingObserver()
        writers = OutputWriters(audit=LineWriter(None), logs=LineWriter(None))
        for lost in (2, 1):
            for _ in range(lost):
                writers.audit.write(LINE)
            writers.logs.write(LINE)
            writers.report_dropped_lines(observer)
            writers.report_dropped_lines(observer)
        self.assertEqual(
            observer.counts,
            {'lines_lost audit': 3, 'lines_lost log': 2},
        )
        self.assertEqual(
            observer.logs,
            [('lines-lost', {'lines': '2'}), ('lines-lost', {'lines': '1'})],
        )
