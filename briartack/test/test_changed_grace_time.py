"""Test planned stops after a change of the grace time in the settings file."""

import signal
import unittest
import uuid
from functools import partial
from random import Random
from typing import Any, Final
from unittest.mock import Mock

import gevent
from gevent import socket
from nose2.tools import params

from briartack.core.calls.call_rules import CallRules
from briartack.core.events import SettingsReloaded, StopRequested
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.daemon import Daemon
from briartack.test.fake_reducer import make_identity, read_message
from briartack.test.started_site import start_site
from standins.platform_site import (
    HOST,
    Machine,
    build_route,
    format_settings,
)

GRACE_SECONDS: Final = 3.0
# Of a busy machine. A stop within the grace time of before takes 5.1 s.
SLACK_SECONDS: Final = 1.5
RUN_SECONDS: Final = 8.0
RECEIVE_SECONDS: Final = 10.0
# The daemon checks the file at this interval at the latest.
CHECK_SECONDS: Final = 2.5
ROUTES: Final = (
    build_route(
        'buys', '/buys/', 'buys', kind='non_idempotent', timeout_ms=9000
    ),
    build_route('new', '/new/', 'buys'),
)


class ChangedGraceTimeTest(unittest.TestCase):
    # Guards against requests that a SIGKILL cuts, because the daemon stops
    # within the grace time that it read at its start (LOST).
    @params('signal', 'check', '')
    def test_stop_answers_all_requests_within_the_new_grace_time(
        self, notice: str
    ) -> None:
        machine = self.start_site()
        callers = [
            send_request(machine, sent_bytes) for sent_bytes in (100, 100, 50)
        ]
        gevent.sleep(0.3)
        machine.settings.write_text(
            format_settings(grace_seconds=GRACE_SECONDS), 'utf-8'
        )
        if notice == 'signal':
            machine.daemon.send_signal(signal.SIGHUP)
            gevent.sleep(0.1)
        elif notice == 'check':
            gevent.sleep(CHECK_SECONDS)
        machine.daemon.send_signal(signal.SIGTERM)
        code = machine.daemon.wait(GRACE_SECONDS + SLACK_SECONDS)
        machine.daemon.kill()
        answers = [read_answer(caller) for caller in callers]
        self.assertNotIn(b'', answers)
        self.assertEqual(code, 0)

    def start_site(self) -> Machine:
        """Start a site with long runs, and return one of its machines."""
        site = start_site(self, ROUTES)
        for each in site.machines:
            each.worker.work_seconds = RUN_SECONDS
        return site.find_machine('east-1', 'reads')


class FailedReloadTest(unittest.TestCase):
    # Guards against a stop that never begins, so that SIGKILL ends it, because
    # the settings file can't be read.
    def test_stop_begins_although_the_reload_fails(self) -> None:
        daemon = Mock(_try=partial(Daemon._try, Mock()))  # noqa: SLF001
        daemon.reload.side_effect = ValueError
        Daemon.request_stop(daemon)
        daemon.reload.assert_called_once_with()
        daemon._begin_stop.assert_called_once_with()  # noqa: SLF001


class StopTimesTest(unittest.TestCase):
    # Guards against a stop that begins with the times of old settings, and
    # against one that changes its times after it has begun.
    @params((True, 2, 3), (True, 6, 7), (False, 2, 5), (False, 6, 5))
    def test_settings_apply_to_the_next_stop(
        self, is_before_stop: bool, drain_seconds: float, ended_after: float
    ) -> None:
        state = State(
            identity=make_identity('a-1'), random=Random(1), drain_seconds=4
        )
        reloaded = SettingsReloaded(
            now=1, rules=CallRules(), drain_seconds=drain_seconds
        )
        stop = StopRequested(now=1)
        order = (reloaded, stop) if is_before_stop else (stop, reloaded)
        for event in order:
            reduce(state, event)
        drain = state.calls.drain
        self.assertFalse(drain.has_deadline_passed(ended_after - 0.1))
        self.assertTrue(drain.has_deadline_passed(ended_after))


def send_request(machine: Machine, sent_bytes: int) -> Any:
    """Send a request of which only part of the body may be sent."""
    host, _, port = machine.caller_address.rpartition(':')
    sock = socket.create_connection((host, int(port)), timeout=1)
    sock.settimeout(RECEIVE_SECONDS)
    head = f'POST /buys/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 100\r\n'
    named = f'X-Attempt-Id: {uuid.uuid4().hex}\r\nX-Deadline-Ms: 9000\r\n'
    sock.sendall(f'{head}{named}\r\n{"x" * sent_bytes}'.encode())
    return sock


def read_answer(caller: Any) -> bytes:
    """Return the answer on a connection, empty if there is none."""
    with caller:
        try:
            return read_message(caller)
        except OSError:
            return b''
