"""Test that a single body of any legal size is served while nothing else runs.

Callers do not repeat a request after 413, so a body within the limit that the
operators state has to fit into the memory of each daemon on its way.
"""

import contextlib
import unittest

import gevent
from gevent import socket
from gevent.event import Event
from nose2.tools import params

from briartack.memory_budget import (
    MEGABYTE,
    MemoryBudget,
    compute_budget_bytes,
)
from briartack.test.process_memory import MemoryWatch
from briartack.test.test_counted_memory import hold_connection
from briartack.test.test_platform_site import becomes_true
from briartack.test.test_port_limits import raised_descriptor_limit
from briartack.test.upload_site import UPLOAD_PATH, start_upload_site
from standins.platform_site import (
    HOST,
    Machine,
    PlatformSite,
    send_consumer_request,
    send_request,
)

MAX_BODY_BYTES = 67_108_864
TIMEOUT_MS = 30_000
LIMITS = {
    'resource_kind': 'limits',
    'metadata': {'name': 'limits'},
    'spec': {
        'max_header_bytes': 16384,
        'max_body_bytes': MAX_BODY_BYTES,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}
UNFINISHED_HEAD = (
    f'POST {UPLOAD_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a-1\r\n'
    f'X-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n'
).encode()
CROWD_CLIENTS = 2500
CROWD_SECONDS = 5.0
# What each client of a crowd sends: an opening, and what follows at once.
CROWDS = {
    'unfinished heads': (
        f'GET /reads/ HTTP/1.1\r\nHost: {HOST}\r\nX-Filler: '.encode(),
        b'a' * 12_000,
    ),
    'unfinished bodies': (
        f'POST {UPLOAD_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a-2\r\n'
        f'X-Deadline-Ms: {TIMEOUT_MS}\r\n'
        'Content-Length: 60001\r\n\r\n'.encode(),
        bytes(60_000),
    ),
}
# The large body arrives in full steps up to its last part.
PART_BYTES = 100_000
PARTS = 60
PAUSE_SECONDS = 0.1


class LargestBodyTest(unittest.TestCase):
    # Guards against 413 for legal bodies: daemons of 128 and 150 MB took bodies
    # of 19.2 and 25.8 MB at most.
    @params(
        (128, 32_000_000, 'reads'),
        (128, MAX_BODY_BYTES, 'reads'),
        (128, MAX_BODY_BYTES, 'buys'),
        (150, MAX_BODY_BYTES, 'reads'),
    )
    def test_single_body_is_served(
        self, memory_mb: int, body_bytes: int, service: str
    ) -> None:
        site = self.start_site(memory_mb)
        machine = site.find_machine('east-1', service)
        watch = MemoryWatch(machines=site.machines)
        watching = gevent.spawn(watch.run)
        self.assertEqual(upload(machine, bytes(body_bytes)), 200)
        watch.stop()
        watching.get()
        for each in site.machines:
            self.assertIs(each.daemon.is_running, True)
        for peak in watch.peaks_mb.values():
            self.assertLess(sum(peak), memory_mb, msg=peak)
        # The memory is free again.
        self.assertEqual(upload(machine, bytes(body_bytes)), 200)

    # Guards against a client that keeps the memory from all others by one body:
    # it holds most of 128 MB and stops just short of its end.
    def test_others_are_served_beside_an_unfinished_body(self) -> None:
        site = self.start_site(128)
        machine = site.find_machine('east-1', 'reads')
        host, _, port = machine.caller_address.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=10) as client:
            client.sendall(UNFINISHED_HEAD + bytes(MAX_BODY_BYTES - 1))
            self.assertTrue(becomes_true(lambda: holds_body(machine)))
            self.assertEqual(
                send_consumer_request(machine, '/reads/').status, 200
            )
            self.assertEqual(upload(machine, bytes(MEGABYTE)), 200)
            self.assertTrue(
                becomes_true(
                    lambda: upload(machine, bytes(MAX_BODY_BYTES)) == 200
                )
            )
        self.assertIs(machine.daemon.is_running, True)

    # Guards against a crowd beside a body that takes most of the memory: with
    # 1,066 connections, a daemon of 128 MB took 141 MB.
    @params(*CROWDS)
    def test_crowd_beside_a_large_body(self, name: str) -> None:
        site = self.start_site(128)
        machine = site.find_machine('east-1', 'reads')
        opening, rest = CROWDS[name]
        watch = MemoryWatch(machines=site.machines)
        watching = gevent.spawn(watch.run)
        begin = Event()
        begin.set()
        end = Event()
        sender = gevent.spawn(send_slowly, machine, end)
        self.assertTrue(becomes_true(lambda: holds_body(machine)))
        with raised_descriptor_limit():
            clients = [
                gevent.spawn(
                    hold_connection,
                    machine.caller_address,
                    opening,
                    rest,
                    begin,
                    end,
                )
                for _ in range(CROWD_CLIENTS)
            ]
            gevent.sleep(CROWD_SECONDS)
            watch.stop()
            watching.get()
            end.set()
            gevent.joinall([sender, *clients], raise_error=True)
        self.assertIs(machine.daemon.is_running, True)
        for peak in watch.peaks_mb.values():
            self.assertLess(sum(peak), 128, msg=peak)
        self.assertTrue(
            becomes_true(lambda: upload(machine, bytes(MEGABYTE)) == 200)
        )

    def start_site(self, memory_mb: int) -> PlatformSite:
        """Start a site that takes uploads, and stop it after the test."""
        site = start_upload_site(
            self, LIMITS, memory_mb=memory_mb, timeout_ms=TIMEOUT_MS
        )
        for machine in site.machines:
            # The answer to a large body must not be as large.
            machine.worker.bodies_by_path = {UPLOAD_PATH: b'stored'}
        return site


def send_slowly(machine: Machine, end: Event) -> None:
    """Send the largest body, slowly near its end; hold it until the end."""
    host, _, port = machine.caller_address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=10) as client:
        # The body may be refused for others.
        with contextlib.suppress(OSError):
            first_bytes = MAX_BODY_BYTES - 1 - PARTS * PART_BYTES
            client.sendall(UNFINISHED_HEAD + bytes(first_bytes))
            for _ in range(PARTS):
                gevent.sleep(PAUSE_SECONDS)
                client.sendall(bytes(PART_BYTES))
        end.wait()


def holds_body(machine: Machine) -> bool:
    """Return whether a daemon holds the largest body."""
    answer = send_request(f'http://{machine.operator_address}/metrics')
    held = f'\nbriartack_memory_body_bytes {MAX_BODY_BYTES}\n'
    return held.encode() in answer.body


def upload(machine: Machine, body: bytes) -> int:
    """Send an upload to a daemon and return the status of the answer."""
    return send_request(
        f'http://{machine.caller_address}{UPLOAD_PATH}',
        {'Host': HOST, 'X-Deadline-Ms': str(TIMEOUT_MS)},
        body,
        timeout_seconds=TIMEOUT_MS / 1000,
    ).status


class ExclusiveBodyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = MemoryBudget(
            max_bytes=compute_budget_bytes(128 * MEGABYTE),
            memory_bytes=128 * MEGABYTE,
        )
        self.budget.measure(
            resident_bytes=40 * MEGABYTE,
            memory_bytes=128 * MEGABYTE,
            reserved_bytes=6 * MEGABYTE,
        )

    # Guards against a large body beside what no longer fits into the memory.
    @params(
        (19, 0, True),
        (20, 0, True),
        (67, 0, True),
        (67, 5, True),
        (67, 6, False),
        (79, 0, False),
    )
    def test_large_body_takes_what_is_free(
        self, body_mb: int, held_mb: int, is_admitted: bool
    ) -> None:
        self.budget.lease(held_mb * MEGABYTE)
        lease = self.budget.reserve_request(65536, body_mb * MEGABYTE)
        self.assertIs(lease is not None, is_admitted)

    # Guards against two bodies that take the same memory, and against memory
    # that stays taken.
    def test_exclusive_body_leaves_the_rest_to_others(self) -> None:
        exclusive = self.budget.reserve_request(65536, 60 * MEGABYTE)
        assert exclusive is not None
        self.assertEqual(exclusive.size, 60 * MEGABYTE)
        self.assertEqual(self.budget.body_bytes, 60 * MEGABYTE)
        self.assertEqual(self.budget.held_bytes, 0)
        # 128 MB less 46 and 60, of which bodies take their size twice.
        self.assertEqual(self.budget.max_bytes, 11 * MEGABYTE)
        self.assertIsNone(self.budget.reserve_request(20 * MEGABYTE))
        self.assertIsNone(self.budget.reserve_request(7 * MEGABYTE))
        self.assertIsNotNone(self.budget.reserve_request(6 * MEGABYTE))
        exclusive.release()
        self.assertEqual(self.budget.max_bytes, 32 * MEGABYTE)
        self.assertIsNotNone(self.budget.reserve_request(7 * MEGABYTE))

    # Guards against a body of unknown size that grows beyond the memory.
    def test_growing_body_becomes_exclusive(self) -> None:
        growing = self.budget.reserve_request(65536)
        other = self.budget.reserve_request(65536)
        assert growing is not None
        assert other is not None
        for size_mb in range(1, 68):
            size = size_mb * MEGABYTE
            self.assertTrue(self.budget.extend_request(growing, size))
        self.assertEqual(self.budget.held_bytes, 65536)
        self.assertFalse(self.budget.extend_request(other, 20 * MEGABYTE))
        self.assertTrue(self.budget.extend_request(other, MEGABYTE))
        growing.release()
        self.assertTrue(self.budget.extend_request(other, 20 * MEGABYTE))
