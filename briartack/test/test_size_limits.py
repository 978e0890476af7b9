"""Test that the operators' limits of sizes are in force where memory allows."""

import json
import unittest
import uuid
from typing import Any, Final

import gevent
from gevent import socket
from nose2.tools import params

from briartack.core.messages import MAX_BODY_BYTES
from briartack.core.units import AttemptId
from briartack.memory_budget import MEGABYTE, MemoryBudget
from briartack.peer_outbox import MAX_QUEUED_BODY_BYTES, PeerOutbox
from briartack.test.shell_fixture import ShellFixture, read_answer
from briartack.test.upload_site import UPLOAD_PATH, start_upload_site
from standins.platform_site import (
    HOST,
    Machine,
    PlatformSite,
    send_request,
)

ALLOWED_BYTES: Final = 4 * MAX_BODY_BYTES
UPLOADS: Final = 12
LARGE: Final = bytes(40 * MEGABYTE)
# Leaves room for 15 MB.
SMALL_MEMORY_MB: Final = 75
HEAD: Final = (
    f'POST /up/ HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: %s\r\n'
    'X-Deadline-Ms: 20000\r\n%s\r\n\r\n'
)
LONG_HEADERS: Final = b''.join(
    b'X-%d: %b\r\n' % (number, b'a' * 30_000) for number in range(4)
)


def send_upload(machine: Machine, *, is_chunked: bool) -> tuple[int, Any]:
    """Send a large upload; return the status and the body of the answer."""
    host, _, port = machine.caller_address.rpartition(':')
    framing = f'Content-Length: {len(LARGE)}'
    parts = [LARGE]
    if is_chunked:
        framing = 'Transfer-Encoding: chunked'
        parts = [b'%x\r\n' % len(LARGE), LARGE, b'\r\n0\r\n\r\n']
    with socket.create_connection((host, int(port)), timeout=20) as caller:
        caller.sendall((HEAD % (uuid.uuid4().hex, framing)).encode())
        for part in parts:
            caller.sendall(part)
        status, _, body = read_answer(caller)
    return status, body


class SizeLimitTest(unittest.TestCase):
    site: PlatformSite

    def start_site(self, memory_mb: int) -> Machine:
        """Return a machine of a site with raised limits of sizes.

        Its upstreams get no uploads; those are sent to another machine.
        """
        limits = {
            'resource_kind': 'limits',
            'metadata': {'name': 'all'},
            'spec': {
                'max_body_bytes': ALLOWED_BYTES,
                'max_header_bytes': 262_144,
            },
        }
        self.site = start_upload_site(
            self, limits, memory_mb=memory_mb, timeout_ms=20_000
        )
        # An echo would be above the limit of answers.
        owner = self.site.find_machine('east-1', 'buys')
        owner.worker.bodies_by_path[UPLOAD_PATH] = b'done'
        return self.site.find_machine('east-1', 'reads')

    # Guards against a body that operators allow and memory has room for, and
    # that is refused, or ends the stream to its owner.
    @params(False, True)
    def test_allowed_body_is_served(self, is_chunked: bool) -> None:
        machine = self.start_site(400)
        for _ in range(2):
            status, body = send_upload(machine, is_chunked=is_chunked)
            self.assertEqual(status, 200)
            self.assertEqual(body, b'done')
        self.assertEqual(
            read_status_report(machine)['max_body_bytes'], ALLOWED_BYTES
        )

    # Guards against allowed bodies that end a daemon by their number, at the
    # sender and at the owner.
    @params(False, True)
    def test_allowed_bodies_stay_within_the_memory(
        self, is_chunked: bool
    ) -> None:
        machine = self.start_site(400)
        uploads = [
            gevent.spawn(send_upload, machine, is_chunked=is_chunked)
            for _ in range(UPLOADS)
        ]
        gevent.joinall(uploads, raise_error=True)
        statuses = {upload.get()[0] for upload in uploads}
        self.assertLessEqual(statuses, {200, 503, 504})
        for one in self.site.machines:
            self.assertIs(one.daemon.is_running, True)
            peak_mb = one.daemon.read_peak_memory_kb() * 1024 / MEGABYTE
            self.assertLess(peak_mb, 400)

    # Guards against a refusal that names another limit than the one in force.
    @params(False, True)
    def test_body_beyond_the_memory_names_the_limit(
        self, is_chunked: bool
    ) -> None:
        machine = self.start_site(SMALL_MEMORY_MB)
        status, body = send_upload(machine, is_chunked=is_chunked)
        self.assertEqual(status, 413)
        limit_bytes = read_status_report(machine)['max_body_bytes']
        self.assertLess(limit_bytes, MAX_BODY_BYTES)
        self.assertIn(f'{limit_bytes} bytes', json.loads(body)['text'])

    # Guards against a head that operators allow and that is refused.
    def test_allowed_head_is_served(self) -> None:
        machine = self.start_site(150)
        host, _, port = machine.caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=20) as caller:
            head = HEAD % (uuid.uuid4().hex, 'Content-Length: 0')
            opening = head.removesuffix('\r\n').encode()
            caller.sendall(b'%b%b\r\n' % (opening, LONG_HEADERS))
            self.assertEqual(read_answer(caller)[0], 200)
        self.assertEqual(read_status_report(machine)['max_head_bytes'], 262_144)


def read_status_report(machine: Machine) -> Any:
    """Return the limits in the status of a daemon."""
    answer = send_request(f'http://{machine.operator_address}/status')
    return json.loads(answer.body)['limits']


class OwnLimitTest(unittest.TestCase):
    # Guards against limits that are raised without being stated.
    @params(
        (b'Content-Length: %d\r\n' % (MAX_BODY_BYTES + 1), 413),
        (LONG_HEADERS, 400),
    )
    def test_own_limits_are_the_default(
        self, headers: bytes, status: int
    ) -> None:
        shell = ShellFixture()
        self.addCleanup(shell.stop)
        with shell.connect_caller() as caller:
            caller.sendall(b'POST / HTTP/1.1\r\n%b\r\n' % headers)
            self.assertEqual(read_answer(caller)[0], status)

    # Guards against a stream that is closed since the largest requests are
    # sent on it at the same time.
    def test_outbox_takes_three_of_the_largest_bodies(self) -> None:
        body = bytes(ALLOWED_BYTES)
        outbox = PeerOutbox(memory=MemoryBudget(max_bytes=2**40))
        for number in range(4):
            self.assertFalse(outbox.is_over_limit)
            outbox.queue_body(
                attempt_id=AttemptId(f'a{number}'),
                is_answer=False,
                body=body,
            )
        self.assertTrue(outbox.is_over_limit)
        self.assertGreater(3 * len(body), MAX_QUEUED_BODY_BYTES)
