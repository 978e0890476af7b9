"""Test the delivery of large answers during a planned stop, with processes."""

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

from briartack.exit_flush import CALLER_STALL_SECONDS
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
# The time of a stop without the answer, the time after which a caller counts as
# stalled, and a margin for a busy machine.
STALLED_STOP_SECONDS: Final = 2.3 + CALLER_STALL_SECONDS + 1.5
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
        machine.daemon.send_signal(signal.SIGTERM)
        self.assertEqual(machine.daemon.wait(STALLED_STOP_SECONDS), 0)
        self.assert_lines(machine, {'delivering': '1', 'stopped': '1'})

    def assert_lines(self, machine: Machine, callers: dict[str, str]) -> None:
        """Check what the log says of callers that have yet to get bytes.

        Without it, a stop that cuts an answer looks like any other.
        """
        lines = map(json.loads, machine.daemon.stdout.read_text().splitlines())
        found = {line.get('code'): line.get('fields') for line in lines}
        logged = {
            'delivering': found['delivering']['callers'],
            'stopped': found['stopped']['unfinished_callers'],
        }
        self.assertEqual(logged, callers)

    def take_answer(self, service: str) -> tuple[Machine, Any, bytes]:
        """Return a machine, and a caller with the start of a large answer."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        site = PlatformSite(directory=Path(directory.name))
        self.addCleanup(site.stop)
        site.start()
        site.store.put('op/config', build_configuration(ROUTE, version=2))
        machine = site.find_machine('east-1', service)
        self.assertTrue(becomes_true(site.is_ready))
        self.assertTrue(
            becomes_true(lambda: self.send(machine, b'').recv(len(OK)) == OK)
        )
        caller = self.send(machine, BODY)
        received = caller.recv(1000)
        self.assertTrue(received.startswith(OK), received[:200])
        return machine, caller, received

    def send(self, machine: Machine, body: bytes) -> Any:
        """Send a request and return its connection, which reads little."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.settimeout(10)
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
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
