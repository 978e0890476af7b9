"""Test that bytes which a daemon has yet to read stay within its memory.

The platform counts them towards the limit of the process, also while the
process stands still.
"""

import contextlib
import os
import signal
import unittest
import uuid
from typing import Any

import gevent
import msgpack

from briartack.core.messages import Cancel
from briartack.core.units import AttemptId
from briartack.framing import encode
from briartack.memory_budget import MEGABYTE
from briartack.test.fake_reducer import wait_until
from briartack.test.process_memory import list_unread_bytes
from briartack.test.shell_fixture import ShellFixture, read_answer
from briartack.test.test_descriptor_limits import start_small_site
from briartack.test.test_platform_site import becomes_true
from briartack.test.test_port_limits import (
    connect,
    find_address,
    raised_descriptor_limit,
)
from standins.platform_site import (
    HOST,
    MEMORY_MB,
    send_consumer_request,
)

CONNECTIONS = 1100
BODY_BYTES = 200_000
FREEZE_SECONDS = 1.0
UPLOAD_BYTES = 1_700_000
STREAMS = 10
MAX_UNREAD_MB = 0.35
BUSY_SECONDS = 3.0
FRAME_BYTES = 240_000
# A deadline of 2 s at round trips of 24 ms, of which the run takes a part.
UPLOAD_WINDOWS = 60
HEAD = (
    'POST /reads/ HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n'
    'X-Deadline-Ms: 8000\r\nContent-Length: {length}\r\n\r\n'
)
UPLOAD_HEAD = (
    f'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n'
).encode()


class UnreadBytesTest(unittest.TestCase):
    # Guards against a daemon that stands still and is ended by what its callers
    # send meanwhile: 141 MB were unread, beside 59 MB of the process.
    def test_unread_uploads_stay_within_the_memory(self) -> None:
        site = start_small_site(self)
        machine = site.find_machine('east-1', 'buys')
        port = int(machine.caller_address.rpartition(':')[2])
        with raised_descriptor_limit():
            callers = [
                connect(machine.caller_address) for _ in range(CONNECTIONS)
            ]
            for one in callers:
                self.addCleanup(one.close)
            gevent.sleep(1)
            os.kill(machine.daemon.pid, signal.SIGSTOP)
            uploads = [gevent.spawn(upload, each) for each in callers]
            gevent.sleep(FREEZE_SECONDS)
            unread_mb = read_unread_bytes(port) / MEGABYTE
            os.kill(machine.daemon.pid, signal.SIGCONT)
            statuses = {sent.get() for sent in uploads}
        peak_mb = machine.daemon.read_peak_memory_kb() * 1024 / MEGABYTE
        self.assertGreater(unread_mb, 0)
        self.assertLess(unread_mb, MEMORY_MB / 3)
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLessEqual(statuses, {200, 503, 504})
        self.assertIs(machine.daemon.is_running, True)
        self.assertTrue(
            becomes_true(
                lambda: send_consumer_request(machine, '/reads/').status == 200
            )
        )

    # Guards against the buffers of busy streams, which the system enlarges: 53
    # MB were unread on 10 streams of a daemon that stood still.
    def test_unread_messages_of_peers_are_few(self) -> None:
        site = start_small_site(self)
        machine = site.find_machine('east-1', 'buys')
        address = find_address(machine, '--peer-address')
        port = int(address.rpartition(':')[2])
        writers = []
        for number in range(STREAMS):
            peer = connect(address)
            self.addCleanup(peer.close)
            hello = ['hello', 1, f'raw-{number}', 'i1', 's', 'c', 'c', 1.0]
            peer.sendall(msgpack.packb(hello))
            writers.append(gevent.spawn(send_without_end, peer))
        self.addCleanup(gevent.killall, writers)
        gevent.sleep(BUSY_SECONDS)
        os.kill(machine.daemon.pid, signal.SIGSTOP)
        gevent.sleep(FREEZE_SECONDS)
        unread_mb = read_unread_bytes(port) / MEGABYTE
        os.kill(machine.daemon.pid, signal.SIGCONT)
        self.assertGreater(unread_mb, 0)
        self.assertLess(unread_mb, STREAMS * MAX_UNREAD_MB)

    # Guards against a window so small that an upload misses its deadline.
    def test_window_carries_an_upload_in_its_time(self) -> None:
        shell = ShellFixture()
        self.addCleanup(shell.stop)
        caller = shell.connect_caller()
        self.addCleanup(caller.close)
        caller.sendall(UPLOAD_HEAD)
        wait_until(lambda: shell.callers.in_flight == 1)
        # The server reads nothing until this greenlet waits.
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(caller.fileno(), bytes(BODY_BYTES))
        window_bytes = read_unread_bytes(shell.caller_server.server_port)
        self.assertGreater(window_bytes * UPLOAD_WINDOWS, UPLOAD_BYTES)


def send_without_end(peer: Any) -> None:
    """Send messages on a stream to a daemon."""
    frame = encode(Cancel(attempt_id=AttemptId('a' * FRAME_BYTES)))
    while True:
        peer.sendall(frame)
        gevent.sleep(0)


def upload(caller: Any) -> int:
    """Send an upload and return the status of its answer."""
    head = HEAD.format(
        host=HOST, attempt=uuid.uuid4().hex, length=BODY_BYTES
    ).encode()
    caller.sendall(head + bytes(BODY_BYTES))
    return read_answer(caller)[0]


def read_unread_bytes(port: int) -> int:
    """Return the bytes that a port has received and nobody has read."""
    return sum(
        unread
        for local, unread in list_unread_bytes()
        if local.endswith(f':{port:04X}')
    )
