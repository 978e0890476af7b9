"""Test that crowds of clients keep a daemon within its counted memory.

Received bytes that a daemon has yet to read count towards its limit too, on
open connections and on those that wait to be accepted.
"""

import contextlib
import enum
import signal
import time
import unittest
import uuid
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event
from nose2.tools import params

from briartack.test.process_memory import MemoryWatch
from briartack.test.test_platform_site import becomes_true
from briartack.test.test_port_limits import (
    count_descriptors,
    find_address,
    raised_descriptor_limit,
)
from briartack.test.upload_site import (
    UPLOAD_PATH,
    serves_others,
    start_upload_site,
)
from standins.platform_site import HOST, Machine

# The configuration and the libraries alone take 37 MB.
MEMORY_MB: Final = 100
MAX_DESCRIPTORS: Final = 4100
# Connections of peers, operators, the store and upstreams.
OTHER_DESCRIPTORS: Final = 100
TIMEOUT_MS: Final = 20_000
# From the connections to the bodies of a crowd.
CONNECT_SECONDS: Final = 1.0
# How long the clients send, and hold what they have sent.
HOLD_SECONDS: Final = 5.0
FREEZE_SECONDS: Final = 2.0
# How long others may wait for service once the clients are gone.
PATIENCE_SECONDS: Final = 10.0
HEAD: Final = (
    f'POST {UPLOAD_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: %s\r\n'
    f'X-Deadline-Ms: {TIMEOUT_MS}\r\n%s\r\n\r\n'
)
UNFINISHED_HEAD: Final = b'GET /readyz HTTP/1.1\r\nHost: x\r\nX-Filler: '
# The first message of a stream between daemons, without its end.
UNFINISHED_HELLO: Final = b'\xc6\x00\x01\x00\x00'


class Freeze(enum.Enum):
    """Say when a daemon stands still, and accepts and reads nothing."""

    NEVER = enum.auto()
    BEFORE_CONNECTIONS = enum.auto()
    BEFORE_BODIES = enum.auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class Crowd:
    """Hold how many clients send what, which is never complete.

    `freeze` says when the daemon stands still, for FREEZE_SECONDS.
    """

    clients: int
    framing: str
    body: bytes
    freeze: Freeze = Freeze.NEVER


# The sites' own limit on bodies is far above these.
CROWDS: Final = {
    'stated, 60 KB': Crowd(
        clients=3000,
        framing='Content-Length: 60001',
        body=bytes(60_000),
    ),
    'stated, 300 KB': Crowd(
        clients=3000,
        framing='Content-Length: 300001',
        body=bytes(300_000),
    ),
    'one chunk of 300 KB': Crowd(
        clients=3000,
        framing='Transfer-Encoding: chunked',
        body=b'493e0\r\n%b' % bytes(299_999),
    ),
    # Only one body of this size is taken at a time.
    'stated, 16 MB': Crowd(
        clients=60,
        framing='Content-Length: 16000001',
        body=bytes(16_000_000),
    ),
    'one chunk of 16 MB': Crowd(
        clients=60,
        framing='Transfer-Encoding: chunked',
        body=b'f42400\r\n%b' % bytes(15_999_999),
    ),
    'stated, 300 KB, frozen': Crowd(
        clients=1800,
        framing='Content-Length: 300001',
        body=bytes(300_000),
        freeze=Freeze.BEFORE_BODIES,
    ),
}
# Ports beside that of callers, with what their clients send.
OTHER_PORTS: Final = (
    ('--operator-address', UNFINISHED_HEAD),
    ('--peer-address', UNFINISHED_HELLO),
)
OTHER_CLIENTS: Final = 1000
OTHER_REST: Final = bytes(300_000)


def hold_connection(
    address: str, opening: bytes, rest: bytes, begin: Event, end: Event
) -> None:
    """Send an opening and, once told to begin, the rest; hold until the end."""
    host, _, port = address.rpartition(':')
    # A client that can't connect is left out.
    with contextlib.suppress(OSError):
        with socket.create_connection((host, int(port)), timeout=5) as client:
            # A refusal ends what the client sends.
            with contextlib.suppress(OSError):
                client.sendall(opening)
                begin.wait()
                client.sendall(rest)
            end.wait()


class CountedMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = start_upload_site(
            self,
            memory_mb=MEMORY_MB,
            timeout_ms=TIMEOUT_MS,
            max_descriptors=MAX_DESCRIPTORS,
        )
        self.machine = self.site.find_machine('east-1', 'reads')
        self.begin = Event()
        self.end = Event()
        self.watch = MemoryWatch(machines=self.site.machines)

    # Guards against clients whose unread bytes end a daemon: 1,024 connections
    # that waited to be accepted held 37 MB beside 72 MB of the process.
    @params(*CROWDS)
    def test_crowd_of_uploads(self, name: str) -> None:
        crowd = CROWDS[name]
        heads = [
            (HEAD % (uuid.uuid4().hex, crowd.framing)).encode()
            for _ in range(crowd.clients)
        ]
        self.play(
            self.machine.caller_address,
            heads,
            crowd.body,
            freeze=crowd.freeze,
        )

    # Guards against clients of the other ports: each connection that a frozen
    # daemon had yet to accept held up to 128 KB.
    @params(*OTHER_PORTS)
    def test_crowd_at_another_port(self, option: str, opening: bytes) -> None:
        self.play(
            find_address(self.machine, option),
            [opening for _ in range(OTHER_CLIENTS)],
            OTHER_REST,
            freeze=Freeze.BEFORE_CONNECTIONS,
        )

    def play(
        self,
        address: str,
        openings: list[bytes],
        rest: bytes,
        *,
        freeze: Freeze,
    ) -> None:
        """Let a crowd send, and check the daemons during and after it."""
        with raised_descriptor_limit():
            watching = gevent.spawn(self.watch.run)
            if freeze is Freeze.BEFORE_CONNECTIONS:
                self.machine.daemon.send_signal(signal.SIGSTOP)
            clients = [
                gevent.spawn(
                    hold_connection,
                    address,
                    opening,
                    rest,
                    self.begin,
                    self.end,
                )
                for opening in openings
            ]
            if freeze is Freeze.BEFORE_BODIES:
                gevent.sleep(CONNECT_SECONDS)
                self.machine.daemon.send_signal(signal.SIGSTOP)
            self.begin.set()
            if freeze is not Freeze.NEVER:
                gevent.sleep(FREEZE_SECONDS)
                self.machine.daemon.send_signal(signal.SIGCONT)
            descriptors = self.count_descriptors_for(HOLD_SECONDS)
            self.watch.stop()
            watching.get()
            self.end.set()
            gevent.joinall(clients, raise_error=True)
        for machine in self.site.machines:
            self.check_daemon(machine)
        self.assertLess(descriptors, len(openings) + OTHER_DESCRIPTORS)

    def count_descriptors_for(self, seconds: float) -> int:
        """Return the highest number of descriptors of the daemon in a time."""
        highest = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            highest = max(highest, count_descriptors(self.machine))
            gevent.sleep(0.1)
        return highest

    def check_daemon(self, machine: Machine) -> None:
        """Check that a daemon lives within its memory, and serves."""
        self.assertIs(machine.daemon.is_running, True)
        self.assertTrue(serves_others(machine, PATIENCE_SECONDS))
        self.assertTrue(
            becomes_true(lambda: count_descriptors(machine) < OTHER_DESCRIPTORS)
        )
        peak = self.watch.peaks_mb[machine.ip]
        self.assertLess(sum(peak), MEMORY_MB, msg=peak)
