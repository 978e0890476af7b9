"""Tests of the form of log lines and audit lines, which tools parse."""

import contextlib
import io
import json
import logging
import unittest
from collections.abc import Iterator
from unittest import mock

import gevent

from briartack.core.audit_trail import AuditRecorder
from briartack.core.effects import LogLevel
from briartack.greenlets import install_error_handler
from briartack.logs import (
    EXCEPTION_LINES_BURST,
    MAX_NAMED_FAILURES,
    AuditTrail,
    configure_logging,
    write_exception,
    write_log,
)
from briartack.test.fake_reducer import CountingObserver, make_identity

UTC_TIME = r'^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$'


@contextlib.contextmanager
def logged_exception() -> Iterator[None]:
    """Log the exception that the block raises, and raise it again."""
    try:
        yield
    except ValueError:
        write_exception('effect-failed', {'effect': 'Exit'})
        raise


class LineFormTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, root, 'handlers', list(root.handlers))
        # `configure_logging` closes the handlers of the root logger.
        root.handlers = []

    def lines(self) -> list[dict[str, object]]:
        """Return every line written so far, decoded."""
        text = self.stream.getvalue()
        self.assertTrue(text.endswith('\n'))
        decoded = [
            json.loads(line) for line in text.removesuffix('\n').split('\n')
        ]
        for line in decoded:
            self.assertRegex(line['time'], UTC_TIME)
            self.assertEqual(line['instance'], 'saldo-1')
            self.assertEqual(line['incarnation'], 'i1')
        return decoded

    # Guards against an operation that fails, and whose log line is lost, since
    # a field has bytes of an operating system or a peer that are no UTF-8.
    def test_field_that_is_no_utf8_is_escaped(self) -> None:
        configure_logging(
            level='info',
            identity=make_identity('saldo-1', 'i1'),
            stream=self.stream,
        )
        write_log(LogLevel.INFO, 'stopped', {'path': 'a\udc80'})
        self.assertEqual(self.lines()[0]['fields'], {'path': 'a\udc80'})

    # Guards against an operation that fails since its line can't be written.
    def test_line_that_cannot_be_written_raises_nothing(self) -> None:
        stream = mock.Mock()
        configure_logging(
            level='info',
            identity=make_identity('saldo-1', 'i1'),
            stream=stream,
        )
        stream.write.side_effect = MemoryError
        write_log(LogLevel.INFO, 'stopped', {})
        stream.write.assert_called_once()

    # Guards against plain text among the lines of JSON, without a limit, from
    # greenlets that end by an exception.
    def test_failed_greenlets_are_logged_counted_and_bounded(self) -> None:
        clock = mock.Mock(return_value=0.0)
        with mock.patch('time.monotonic', clock):
            configure_logging(
                level='info',
                identity=make_identity('saldo-1', 'i1'),
                stream=self.stream,
            )
        hub = gevent.get_hub()
        self.addCleanup(hub.__dict__.pop, 'print_exception')
        self.addCleanup(hub.__dict__.pop, 'handle_system_error')
        observer = CountingObserver()
        install_error_handler(observer)
        plain_text = io.StringIO()
        with contextlib.redirect_stderr(plain_text):
            failing = [gevent.spawn(int, 'x') for _ in range(100)]
            gevent.joinall(failing)
        lines = self.lines()
        self.assertEqual(plain_text.getvalue(), '')
        self.assertEqual(observer.counts, {'tasks.failed': len(failing)})
        self.assertEqual(lines[0]['code'], 'task-failed')
        self.assertIn('ValueError', str(lines[0]['exc_info']))
        self.assertEqual(len(lines), EXCEPTION_LINES_BURST)
        write_log(LogLevel.INFO, 'stopped', {})
        self.assertEqual(self.lines()[-1]['code'], 'stopped')
        clock.return_value = 10.0
        write_exception('effect-failed', {'effect': 'Exit'}, ValueError())
        left_out = str(len(failing) - EXCEPTION_LINES_BURST)
        self.assertEqual(
            self.lines()[-1]['fields'],
            {'effect': 'Exit', 'left_out': left_out},
        )

    # Guards against a failed effect that no line names, because others failed
    # often enough to use up the limit of tracebacks.
    def test_failures_above_the_limit_are_named_without_traceback(
        self,
    ) -> None:
        clock = mock.Mock(return_value=0.0)
        failures = ['Dispatch' for _ in range(30)]
        failures.extend(('Exit', 'Dispatch', 'Exit'))
        failures.extend(f'effect-{number}' for number in range(200))
        with mock.patch('time.monotonic', clock):
            configure_logging(
                level='info',
                identity=make_identity('saldo-1'),
                stream=self.stream,
            )
            for effect in failures:
                write_exception(
                    'effect-failed', {'effect': effect}, ValueError()
                )
        lines = self.lines()
        traces = ['exc_info' in line for line in lines]
        self.assertEqual(sum(traces), EXCEPTION_LINES_BURST)
        self.assertTrue(all(traces[:EXCEPTION_LINES_BURST]))
        self.assertEqual(
            len(lines), EXCEPTION_LINES_BURST + MAX_NAMED_FAILURES - 1
        )
        self.assertEqual(
            lines[EXCEPTION_LINES_BURST]['fields'], {'effect': 'Exit'}
        )

    def test_log_record_is_one_line_of_json(self) -> None:
        """Guard against a record of several lines or one that isn't JSON.

        The record below the log level must not be written.
        """
        configure_logging(
            level='info',
            identity=make_identity('saldo-1'),
            stream=self.stream,
        )
        write_log(LogLevel.INFO, 'listening', {'text': 'a\n"b"\u2028'})
        write_log(LogLevel.DEBUG, 'listening', {})
        with contextlib.suppress(ValueError), logged_exception():
            raise ValueError('line\nline')
        first, second = self.lines()
        self.assertEqual(first['fields'], {'text': 'a\n"b"\u2028'})
        self.assertEqual((first['level'], first['code']), ('INFO', 'listening'))
        self.assertEqual(second['code'], 'effect-failed')
        self.assertIn('ValueError: line\nline', str(second['exc_info']))

    def test_audit_lines_have_sequence_and_hex_digest(self) -> None:
        """Guard against sequences or digests that tools can't compare."""
        daemon = make_identity('saldo-1')
        trail = AuditRecorder(
            instance=daemon.instance,
            incarnation=daemon.incarnation,
        )
        audit = AuditTrail(self.stream)
        audit.write(trail.record('refused', {'problems': ['a\nb']}))
        audit.write(trail.record('held', {'digest': b'\x01\xff'}))
        first, second = self.lines()
        self.assertEqual((first['sequence'], second['sequence']), (1, 2))
        self.assertEqual((first['kind'], second['kind']), ('refused', 'held'))
        self.assertEqual(first['problems'], ['a\nb'])
        self.assertEqual(second['digest'], '01ff')
