"""Test the delivery of large answers during a planned stop, with processes."""

import datetime
import json
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, Final

import gevent
from gevent import socket
from nose2.tools import params

from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    HOST,
    Machine,
    PlatformSite,
    build_configuration,
    build_route,
)

BODY: Final = bytes(range(256)) * 46_875  # 12 MB
SMALL_BUFFER_BYTES: Final = 262_144
# The answer takes 4 s, while the daemon needs 2.3 s for a stop without it.
BYTES_PER_SECOND: Final = 3_000_000
GRACE_SECONDS: Final = 6.0
# How long the log of a stop shows a daemon to wait for readers.
NO_WAIT_SECONDS: Final = 0.7
LONG_WAIT_SECONDS: Final = 2.6
# A caller at the other end of a slow line.
SLOW_BUFFER_BYTES: Final = 16_384
SLOW_PART_BYTES: Final = 2_000
SLOW_PAUSE_SECONDS: Final = 0.1
# Much slower than any machine: the process runs for this share of the time.
SLOW_PERIOD_SECONDS: Final = 0.1
SLOW_SHARE: Final = 0.02
STALL_SECONDS: Final = 2.0
# The time of a stop without the answer, and a margin for a busy machine.
STALLED_STOP_SECONDS: Final = 2.3 + 1.5
OK: Final = b'HTTP/1.1 200 '
ROUTE: Final = build_route(
    'large', '/large/', 'buys', kind='non_idempotent', timeout_ms=8000
)


class LargeAnswerAtStopTest(unittest.TestCase):
    # Guards against an answer that was ready in time and ends early at a
    # planned stop, because its caller reads slowly (LOST).
    @params('reads', 'buys')
    def test_slow_caller_gets_the_whole_answer(self, service: str) -> None:
        machine, caller, received = self.take_answer(service)
        machine.daemon.send_signal(signal.SIGTERM)
        began_at = time.monotonic()
        received += read_slowly(caller)
        self.assertTrue(received.endswith(BODY), f'{len(received)} bytes')
        left = began_at + GRACE_SECONDS - time.monotonic()
        self.assertEqual(machine.daemon.wait(left), 0)
        self.assert_lines(machine, {'delivering': '1', 'stopped': '0'})

    # Guards against a caller that reads nothing and stretches each planned stop
    # to its time limit.
    @params(False, True)
    def test_caller_that_reads_nothing_does_not_hold_the_process(
        self, is_half_closed: bool
    ) -> None:
        machine, caller, _ = self.take_answer('reads')
        if is_half_closed:
            caller.shutdown(socket.SHUT_WR)
        gevent.sleep(STALL_SECONDS)
        machine.daemon.send_signal(signal.SIGTERM)
        self.assertEqual(machine.daemon.wait(STALLED_STOP_SECONDS), 0)
        self.assert_lines(machine, {'delivering': '1', 'stopped': '1'})
        self.assertLess(measure_wait(machine), NO_WAIT_SECONDS)

    # Guards against an answer that ends early though the grace time is not
    # over, because the caller's system takes bytes in steps of a second.
    def test_very_slow_caller_gets_bytes_until_the_end(self) -> None:
        machine, caller, _ = self.take_answer('reads', SLOW_BUFFER_BYTES)
        reader = gevent.spawn(read_very_slowly, caller)
        self.addCleanup(reader.kill)
        machine.daemon.send_signal(signal.SIGTERM)
        self.assertEqual(machine.daemon.wait(GRACE_SECONDS), 0)
        self.assertGreater(measure_wait(machine), LONG_WAIT_SECONDS)

    # Guards against a process that is killed at the end of the grace time with
    # what it holds, since its machine is slow and its callers keep it until
    # then.
    def test_slow_process_ends_in_time(self) -> None:
        machine, caller, _ = self.take_answer('reads', SLOW_BUFFER_BYTES)
        reader = gevent.spawn(read_very_slowly, caller)
        self.addCleanup(reader.kill)
        for one in self.site.machines:
            one.worker.work_seconds = 2 * GRACE_SECONDS
        # This call keeps the process until the end of the drain time.
        self.send(machine, b'')
        gevent.sleep(0.3)
        machine.daemon.send_signal(signal.SIGTERM)
        began_at = time.monotonic()
        slowing = gevent.spawn(slow_down, machine)
        self.addCleanup(slowing.kill)
        code = machine.daemon.wait(2 * GRACE_SECONDS)
        stop_seconds = time.monotonic() - began_at
        self.assertEqual(code, 0)
        self.assertLess(stop_seconds, GRACE_SECONDS)

    def assert_lines(self, machine: Machine, callers: dict[str, str]) -> None:
        """Check what the log says of callers that have yet to get bytes.

        Without it, a stop that cuts an answer looks like any other.
        """
        found = read_log(machine)
        logged = {
            'delivering': found['delivering']['fields']['callers'],
            'stopped': found['stopped']['fields']['unfinished_callers'],
        }
        self.assertEqual(logged, callers)

    def take_answer(
        self, service: str, buffer_bytes: int = SMALL_BUFFER_BYTES
    ) -> tuple[Machine, Any, bytes]:
        """Return a machine, and a caller with the start of a large answer."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        site = PlatformSite(directory=Path(directory.name))
        self.site = site
        self.addCleanup(site.stop)
        site.start()
        site.store.put('op/config', build_configuration(ROUTE, version=2))
        machine = site.find_machine('east-1', service)
        self.assertTrue(becomes_true(site.is_ready))
        self.assertTrue(
            becomes_true(lambda: self.send(machine, b'').recv(len(OK)) == OK)
        )
        caller = self.send(machine, BODY, buffer_bytes)
        received = caller.recv(1000)
        self.assertTrue(received.startswith(OK), received[:200])
        return machine, caller, received

    def send(
        self,
        machine: Machine,
        body: bytes,
        buffer_bytes: int = SMALL_BUFFER_BYTES,
    ) -> Any:
        """Send a request and return its connection, which reads little."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.settimeout(10)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        host, _, port = machine.caller_address.rpartition(':')
        caller.connect((host, int(port)))
        head = f'POST /large/ HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n'
        length = f'Content-Length: {len(body)}\r\n\r\n'
        caller.sendall((head + length).encode() + body)
        return caller


def read_slowly(sock: Any) -> bytes:
    """Read at BYTES_PER_SECOND until the end of the connection."""
    began_at = time.monotonic()
    received = bytearray()
    while part := sock.recv(SMALL_BUFFER_BYTES):
        received += part
        ahead = len(received) / BYTES_PER_SECOND + began_at - time.monotonic()
        gevent.sleep(max(0, ahead))
    return bytes(received)


def read_very_slowly(sock: Any) -> None:
    """Read some bytes at a time, at 20 KB a second, until the end."""
    while sock.recv(SLOW_PART_BYTES):
        gevent.sleep(SLOW_PAUSE_SECONDS)


def read_log(machine: Machine) -> dict[str, Any]:
    """Return the last line of each code."""
    lines = map(json.loads, machine.daemon.stdout.read_text().splitlines())
    return {line.get('code', ''): line for line in lines}


def measure_wait(machine: Machine) -> float:
    """Return how long a daemon waited for readers at its exit, by its log."""
    found = read_log(machine)
    began_at, ended_at = (
        datetime.datetime.fromisoformat(found[code]['time'])
        for code in ('delivering', 'stopped')
    )
    return (ended_at - began_at).total_seconds()


def slow_down(machine: Machine) -> None:
    """Let a daemon run for a small share of the time until it ends."""
    run_seconds = SLOW_PERIOD_SECONDS * SLOW_SHARE
    while machine.daemon.is_running:
        machine.daemon.send_signal(signal.SIGSTOP)
        gevent.sleep(SLOW_PERIOD_SECONDS - run_seconds)
        machine.daemon.send_signal(signal.SIGCONT)
        gevent.sleep(run_seconds)
