"""Test that no error ends a daemon, or ends a part of its work for good."""

import contextlib
import signal
import subprocess  # noqa: S404
import sys
import threading
import time
import unittest
from typing import Final

from nose2.tools import params

from briartack.test.injected_daemon import (
    ERRORS,
    ERRORS_BY_PLACE,
    WORKS_AGAIN,
)
from briartack.test.test_main import (
    ROOT,
    is_healthy,
    isolated_flags,
    value_of_flag,
)
from briartack.test.test_processes import LIMIT_SECONDS, wait_until
from standins.client import call
from standins.processes import PortAllocator

PROGRAM: Final = 'briartack.test.injected_daemon'
DRAIN: Final = '--drain-seconds=1'
LIMIT_OF_A_STOP_SECONDS: Final = 6


class InjectedDaemon:
    """Run a daemon that raises errors at one place."""

    def __init__(self, place: str) -> None:
        self.flags = isolated_flags(PortAllocator())
        self.process = subprocess.Popen(
            [sys.executable, '-m', PROGRAM, place, *self.flags, DRAIN],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.lines: list[str] = []
        threading.Thread(target=self._read, daemon=True).start()

    @property
    def errors(self) -> str:
        """Return what the daemon has written to standard error."""
        return ''.join(self.lines)

    def __enter__(self) -> 'InjectedDaemon':
        wait_until(lambda: is_healthy(self.flags), 'the daemon answers')
        return self

    def __exit__(self, *error: object) -> None:
        self.process.kill()
        self.process.wait()

    def trigger(self) -> None:
        """Make all parts of the daemon work."""
        self.process.send_signal(signal.SIGHUP)
        for name in ('caller-address', 'peer-address', 'operator-address'):
            with contextlib.suppress(OSError):
                address = value_of_flag(self.flags, name)
                call(address, 'GET', '/healthz', timeout_seconds=0.05)

    def _read(self) -> None:
        assert self.process.stderr is not None
        self.lines.extend(iter(self.process.stderr.readline, ''))


class EscapedErrorTest(unittest.TestCase):
    # Guards against a process that an unexpected error ends with all that it
    # holds (FAULT, LOST), and against one that lives on without its work.
    @params(
        'reload',
        'deliver',
        'reduce',
        'effect',
        'after_event',
        'maintenance',
        'probe',
        'store_read',
        'accept',
        'connection',
        'call',
        'operator',
        'clock',
        'log_line',
        'log_thread',
        'report',
    )
    def test_work_goes_on_after_errors(self, place: str) -> None:
        with InjectedDaemon(place) as daemon:
            daemon.process.send_signal(signal.SIGUSR1)
            until = time.monotonic() + LIMIT_SECONDS
            while WORKS_AGAIN not in daemon.errors:
                self.assertIsNone(daemon.process.poll(), daemon.errors)
                self.assertLess(time.monotonic(), until, daemon.errors)
                daemon.trigger()
                time.sleep(0.02)
            for error in ERRORS_BY_PLACE.get(place, ERRORS):
                self.assertIn(
                    f'injected: {type(error).__name__}\n', daemon.errors
                )
            wait_until(lambda: is_healthy(daemon.flags), 'the daemon answers')
            daemon.process.send_signal(signal.SIGTERM)
            self.assertEqual(
                daemon.process.wait(LIMIT_OF_A_STOP_SECONDS), 0, daemon.errors
            )

    # Guards against a planned stop that an error turns into a failure, or that
    # never ends: the platform kills the process with all that it holds.
    @params(
        'stop_reload',
        'stop_keep_alive',
        'stop_streams',
        'stop_connections',
        'stop_log',
        'stop_reducer',
        'stop_drain',
    )
    def test_stop_goes_on_after_an_error(self, place: str) -> None:
        with InjectedDaemon(place) as daemon:
            daemon.process.send_signal(signal.SIGUSR1)
            time.sleep(0.1)
            daemon.process.send_signal(signal.SIGTERM)
            code = daemon.process.wait(LIMIT_OF_A_STOP_SECONDS)
            self.assertEqual(code, 0, daemon.errors)
