"""Test that clients with hostile bodies can neither end nor stop a daemon.

A client that sends what the limits allow, in the worst form and without its
end, must leave the daemon alive, within its memory and descriptors, and able
to serve others. The limits are lower than those of a deployment, so that a
small crowd of clients reaches them.
"""

import contextlib
import itertools
import os
import time
import unittest
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event
from nose2.tools import params

from briartack.memory_budget import MEGABYTE
from briartack.test.test_platform_site import becomes_true
from briartack.test.upload_site import (
    UPLOAD_PATH,
    serves_others,
    start_upload_site,
)
from standins.platform_site import HOST, Machine

# The bounds. The configuration and the libraries alone take 37 MB.
MEMORY_MB: Final = 100
MAX_DESCRIPTORS: Final = 500
# Connections of peers, operators, the store and upstreams.
OTHER_DESCRIPTORS: Final = 100
# How long the clients send, and hold what they have begun.
SEND_SECONDS: Final = 4.0
HOLD_SECONDS: Final = 1.0
# How long others may wait for service once the clients are gone.
PATIENCE_SECONDS: Final = 6.0
PAUSE_SECONDS: Final = 0.005
# Of so many clients, one ends its body.
ENDING: Final = 5
TIMEOUT_MS: Final = 20_000
HEAD: Final = (
    f'POST {UPLOAD_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: %s\r\n'
    f'X-Deadline-Ms: {TIMEOUT_MS}\r\n%s\r\n\r\n'
)
CHUNKED: Final = 'Transfer-Encoding: chunked'
LAST_CHUNK: Final = b'0\r\n\r\n'
ZEROS: Final = bytes(MEGABYTE)


@dataclass(frozen=True, slots=True, kw_only=True)
class Crowd:
    """Hold how many clients send which body.

    `part` is sent `count` times, without pauses or piece by piece. `last` ends
    the body and is sent by few.
    """

    clients: int
    framing: str
    part: bytes
    count: int
    opening: bytes = b''
    last: bytes = b''
    is_slow: bool = False


def encode_chunk(size: int, extension: bytes = b'') -> bytes:
    """Return a chunk of zeros."""
    return b'%x%b\r\n%b\r\n' % (size, extension, bytes(size))


# Bodies of 8 MB are within the limit of a daemon with 100 MB.
CROWDS: Final = {
    'stated, whole': Crowd(
        clients=40,
        framing=f'Content-Length: {8 * MEGABYTE + 1}',
        part=ZEROS,
        count=8,
        last=b'x',
    ),
    'stated, piece by piece': Crowd(
        clients=40,
        framing='Content-Length: 8000001',
        part=bytes(20_000),
        count=400,
        last=b'x',
        is_slow=True,
    ),
    'stated, small': Crowd(
        clients=200,
        framing='Content-Length: 60001',
        part=bytes(60_000),
        count=1,
        last=b'x',
    ),
    'large chunks': Crowd(
        clients=40,
        framing=CHUNKED,
        part=encode_chunk(MEGABYTE),
        count=8,
        last=LAST_CHUNK,
    ),
    'chunks of 100 bytes': Crowd(
        clients=40,
        framing=CHUNKED,
        part=encode_chunk(100) * 100,
        count=400,
        last=LAST_CHUNK,
    ),
    'chunks of one byte': Crowd(
        clients=40,
        framing=CHUNKED,
        part=encode_chunk(1) * 1000,
        count=400,
        last=LAST_CHUNK,
    ),
    'chunk extensions of 8 KB': Crowd(
        clients=80,
        framing=CHUNKED,
        part=encode_chunk(1, b';%b' % (b'a' * 8000)),
        count=400,
        last=LAST_CHUNK,
    ),
    'chunk extensions of 200 bytes': Crowd(
        clients=80,
        framing=CHUNKED,
        part=encode_chunk(1, b';%b' % (b'a' * 200)) * 40,
        count=400,
        last=LAST_CHUNK,
    ),
    'chunk extension without end': Crowd(
        clients=40,
        framing=CHUNKED,
        opening=b'1;',
        part=b'a' * 60_000,
        count=60,
    ),
    'trailers': Crowd(
        clients=80,
        framing=CHUNKED,
        opening=b'1\r\nx\r\n0\r\n',
        part=b'X-Filler: 0123456789\r\n' * 1000,
        count=150,
        last=b'\r\n',
    ),
    'trailers of 8 KB': Crowd(
        clients=80,
        framing=CHUNKED,
        opening=b'1\r\nx\r\n0\r\n',
        part=b'X-Filler: %b\r\n' % (b'a' * 8000),
        count=400,
        last=b'\r\n',
    ),
    'stated above the limit': Crowd(
        clients=40,
        framing=f'Content-Length: {200 * MEGABYTE}',
        part=ZEROS,
        count=40,
    ),
    'chunks above the limit': Crowd(
        clients=40,
        framing=CHUNKED,
        part=encode_chunk(MEGABYTE),
        count=40,
        last=LAST_CHUNK,
    ),
    'one chunk of 2 GB': Crowd(
        clients=40,
        framing=CHUNKED,
        opening=b'80000000\r\n',
        part=ZEROS,
        count=40,
    ),
}


def count_descriptors(machine: Machine) -> int:
    """Return the number of descriptors of a daemon."""
    return len(os.listdir(f'/proc/{machine.daemon.pid}/fd'))


def send_body(machine: Machine, crowd: Crowd, number: int, end: Event) -> None:
    """Send a body as one client of a crowd, and hold it until the end."""
    host, _, port = machine.caller_address.rpartition(':')
    with contextlib.suppress(OSError):
        with socket.create_connection((host, int(port)), timeout=5) as caller:
            # A refusal ends what the client sends.
            with contextlib.suppress(OSError):
                for part in list_parts(crowd, number):
                    caller.sendall(part)
            end.wait()


def list_parts(crowd: Crowd, number: int) -> Iterator[bytes]:
    """Return what one client sends until its time is over."""
    until = time.monotonic() + SEND_SECONDS
    yield (HEAD % (uuid.uuid4().hex, crowd.framing)).encode() + crowd.opening
    for part in itertools.repeat(crowd.part, crowd.count):
        if time.monotonic() > until:
            return
        if crowd.is_slow:
            gevent.sleep(PAUSE_SECONDS)
        yield part
    if number % ENDING == 0:
        yield crowd.last


class UntrustedClientsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = start_upload_site(
            self,
            memory_mb=MEMORY_MB,
            timeout_ms=TIMEOUT_MS,
            max_descriptors=MAX_DESCRIPTORS,
        )
        self.machine = self.site.find_machine('east-1', 'reads')

    # Guards against clients that end a daemon by its memory or descriptors, or
    # that keep it from serving others after they are gone: with chunk
    # extensions of 8 KB, it answered nobody for 10 s and more.
    @params(*CROWDS)
    def test_daemon_outlives_a_crowd(self, name: str) -> None:
        crowd = CROWDS[name]
        end = Event()
        clients = [
            gevent.spawn(send_body, self.machine, crowd, number, end)
            for number in range(crowd.clients)
        ]
        until = time.monotonic() + SEND_SECONDS + HOLD_SECONDS
        descriptors = 0
        while time.monotonic() < until:
            descriptors = max(descriptors, count_descriptors(self.machine))
            gevent.sleep(0.1)
        end.set()
        gevent.joinall(clients, raise_error=True)
        served = {
            machine.service: serves_others(machine, PATIENCE_SECONDS)
            for machine in self.site.machines
        }
        for machine in self.site.machines:
            self.check_daemon(machine)
        self.assertLess(descriptors, crowd.clients + OTHER_DESCRIPTORS)
        self.assertEqual(served, {'reads': True, 'buys': True})

    def check_daemon(self, machine: Machine) -> None:
        """Check that a daemon lives within its memory and descriptors."""
        self.assertIs(machine.daemon.is_running, True)
        peak_kb = machine.daemon.read_peak_memory_kb()
        self.assertLess(peak_kb * 1024 / MEGABYTE, MEMORY_MB)
        self.assertTrue(
            becomes_true(lambda: count_descriptors(machine) < OTHER_DESCRIPTORS)
        )
