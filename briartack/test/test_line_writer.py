"""Tests of the writer of log lines and audit lines.

A reader of the output that stalls or ends must neither block nor end the
daemon, and every line that is lost must be counted.
"""

import os
import unittest
from unittest import mock

from nose2.tools import params

from briartack.core.audit_trail import AuditRecorder
from briartack.held import find_held_configurations, read_audit_lines
from briartack.line_writer import LineWriter, OutputWriters
from briartack.logs import AuditTrail
from briartack.test.fake_reducer import (
    CountingObserver,
    make_identity,
    wait_until,
)

SAMPLE_LINE = 'some line\n'


def fill_pipe(descriptor: int) -> int:
    """Fill a pipe and return the number of bytes that fitted."""
    os.set_blocking(descriptor, False)
    taken = 0
    try:
        while True:
            taken += os.write(descriptor, b'-' * 4096)
    except BlockingIOError:
        return taken


def read_exactly(descriptor: int, size: int) -> bytes:
    """Read the given number of bytes from a descriptor."""
    received = b''
    while len(received) < size:
        received += os.read(descriptor, size - len(received))
    return received


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        pipe = os.pipe()
        self.reader = pipe[0]
        self.write_end = pipe[1]

    def wait_until_written(self, writer: LineWriter) -> None:
        """Wait until the queue of a writer is empty."""
        wait_until(lambda: not writer.queued_bytes)

    @params(True, False)
    def test_full_pipe_keeps_lines_up_to_the_limit(
        self, is_blocking: bool
    ) -> None:
        """Guard against a blocked daemon, an unbounded queue, uncounted losses.

        Nobody reads the pipe, which is full; the queue holds two lines.
        """
        filler_bytes = fill_pipe(self.write_end)
        os.set_blocking(self.write_end, is_blocking)
        writer = LineWriter(self.write_end, limit_bytes=2 * len(SAMPLE_LINE))
        for text in (
            SAMPLE_LINE,
            SAMPLE_LINE.upper(),
            'lost\n' * 3,
            'lost\n' * 3,
        ):
            writer.write(text)
        self.assertEqual((writer.queued_bytes, writer.lost_lines), (20, 2))
        read_exactly(self.reader, filler_bytes)
        queued = read_exactly(self.reader, 2 * len(SAMPLE_LINE)).decode()
        self.assertEqual(queued, SAMPLE_LINE + SAMPLE_LINE.upper())
        self.wait_until_written(writer)
        writer.write('later\n')
        self.assertEqual(read_exactly(self.reader, 6), b'later\n')

    def test_lost_audit_line_leaves_a_gap_in_the_sequence(self) -> None:
        """Guard against an audit trail that hides the loss of a line."""
        daemon = make_identity('saldo-1')
        trail = AuditRecorder(
            instance=daemon.instance,
            incarnation=daemon.incarnation,
        )
        filler_bytes = fill_pipe(self.write_end)
        os.set_blocking(self.write_end, True)
        writer = LineWriter(self.write_end, limit_bytes=400)
        audit = AuditTrail(writer)
        audit.write(trail.record('held', {'digest': 'a'}))
        audit.write(trail.record('configuration', {'text': '-' * 400}))
        audit.write(trail.record('held', {'digest': 'a'}))
        size = writer.queued_bytes
        read_exactly(self.reader, filler_bytes)
        lines = list(
            read_audit_lines(
                read_exactly(self.reader, size).decode().splitlines()
            )
        )
        self.assertEqual([line.sequence for line in lines], [1, 3])
        answer = find_held_configurations(lines, lines[0].time)[0]
        self.assertFalse(answer.is_known)

    def test_lines_after_the_reader_closed_are_counted(self) -> None:
        """Guard against a thread that ends at the first broken pipe."""
        os.close(self.reader)
        writer = LineWriter(self.write_end)
        for expected in (1, 2):
            writer.write(SAMPLE_LINE)
            self.wait_until_written(writer)
            self.assertEqual(writer.lost_lines, expected)

    def test_queued_lines_are_written_together(self) -> None:
        """Guard against a wake-up of the thread and a write for each line."""
        filler_bytes = fill_pipe(self.write_end)
        os.set_blocking(self.write_end, True)
        writer = LineWriter(self.write_end)
        with mock.patch.object(os, 'write', wraps=os.write) as write:
            for _ in range(20):
                writer.write(SAMPLE_LINE)
            read_exactly(self.reader, filler_bytes)
            self.assertEqual(
                read_exactly(self.reader, 20 * len(SAMPLE_LINE)).decode(),
                20 * SAMPLE_LINE,
            )
            self.wait_until_written(writer)
            self.assertLessEqual(write.call_count, 2)

    def test_one_stream_for_both_counts_a_loss_once(self) -> None:
        """Guard against a loss that is counted for the audit and the log."""
        observer = CountingObserver()
        writer = LineWriter(None)
        writers = OutputWriters(audit=writer, logs=writer)
        writer.write(SAMPLE_LINE)
        writers.report_dropped_lines(observer)
        self.assertEqual(observer.counts, {'lines_lost audit': 1})

    def test_losses_are_reported_once(self) -> None:
        """Guard against a loss that operators can't see, or see twice."""
        observer = CountingObserver()
        writers = OutputWriters(audit=LineWriter(None), logs=LineWriter(None))
        for lost in (2, 1):
            for _ in range(lost):
                writers.audit.write(SAMPLE_LINE)
            writers.logs.write(SAMPLE_LINE)
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
