"""Test that a daemon starts and stops in surroundings of any kind."""

import signal
import subprocess  # noqa: S404
import sys
import unittest
from typing import Final

from nose2.tools import params

from briartack.test.test_main import (
    ROOT,
    is_healthy,
    isolated_flags,
)
from briartack.test.test_processes import LIMIT_SECONDS, wait_until
from standins.processes import PortAllocator

# Runs a program whose signals are blocked or ignored from its start on.
EXECUTE: Final = """
import os, signal, sys
numbers = signal.SIGHUP, signal.SIGTERM, signal.SIGINT
if sys.argv[1] == 'blocked':
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
else:
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
os.execv(sys.executable, [sys.executable, *sys.argv[2:]])
"""


class InheritedSignalsTest(unittest.TestCase):
    # Guards against a daemon that no stop reaches, and that is killed at the
    # end of its grace time with all that it holds (FAULT, LOST).
    @params('blocked', 'ignored')
    def test_stop_reaches_a_daemon_that_inherits(self, state: str) -> None:
        flags = isolated_flags(PortAllocator())
        launch = ['-m', 'briartack.launcher', *flags]
        with subprocess.Popen(
            [sys.executable, '-c', EXECUTE, state, *launch],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        ) as child:
            self.addCleanup(child.kill)
            wait_until(lambda: is_healthy(flags), 'the daemon answers')
            child.send_signal(signal.SIGHUP)
            child.send_signal(signal.SIGTERM)
            try:
                self.assertEqual(child.wait(LIMIT_SECONDS / 4), 0)
            finally:
                child.kill()

    # Guards against a stop that was sent before the launcher ran, and is lost.
    def test_pending_signals_are_handled(self) -> None:
        program = (
            'import os, signal\n'
            'os.kill(os.getpid(), signal.SIGHUP)\n'
            'os.kill(os.getpid(), signal.SIGTERM)\n'
            'from briartack.launcher import main\n'
            'main()'
        )
        ended = subprocess.run(
            [sys.executable, '-c', EXECUTE, 'blocked', '-c', program],
            cwd=ROOT,
            capture_output=True,
            check=False,
            timeout=LIMIT_SECONDS,
        )
        self.assertEqual((ended.returncode, ended.stderr), (0, b''))
