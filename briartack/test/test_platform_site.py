"""The whole path on the platform's dialect, with real processes."""

import signal
import tempfile
import time
import unittest
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, ClassVar

import gevent
from gevent import socket
from nose2.tools import params

from standins.platform_site import (
    DEFAULT_ROUTES,
    HOST,
    Machine,
    PlatformSite,
    Reply,
    ask,
    configuration,
    route,
)

WAIT_SECONDS = 20.0


def eventually(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return whether it does."""
    until = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < until:
        if condition():
            return True
        gevent.sleep(0.05)
    return condition()


class PlatformSiteTest(unittest.TestCase):
    """Each test leaves the site as it was."""

    site: ClassVar[PlatformSite]

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.site = PlatformSite(directory=Path(directory.name))
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()
        assert eventually(cls.site.is_ready)
        assert eventually(lambda: cls.served('east-1', '/buys/').status == 200)

    @classmethod
    def served(cls, zone: str, path: str, body: bytes | None = None) -> Reply:
        return ask(cls.site.machine(zone, 'reads'), path, body)

    def is_served(self, path: str, body: bytes) -> bool:
        """Tell whether the first zone answers with this body."""
        return self.served('east-1', path).body == body

    def publish(self, *routes: dict[str, Any]) -> None:
        self.site.store.put('op/config', configuration(*routes))

    def test_request_reaches_a_worker_unchanged(self) -> None:
        worker = self.site.machine('east-1', 'buys').worker
        reply = self.served('east-1', '/buys/1?x=%20', b'body')
        self.assertEqual((reply.status, reply.body), (200, b'i-2 body'))
        _, path, headers = worker.seen[-1]
        self.assertEqual(path, '/buys/1')
        self.assertEqual(headers['X-Caller-Service'], 'reads')
        self.assertLessEqual(int(headers['X-Deadline-Ms']), 2000)

    def test_unknown_path_is_final(self) -> None:
        self.assertEqual(self.served('east-1', '/none/').status, 404)

    def test_home_regions_hold(self) -> None:
        for _ in range(5):
            reply = self.served('east-1', '/home/')
            self.assertEqual((reply.status, reply.body), (200, b'i-5 '))

    def test_new_configuration_is_in_force_everywhere(self) -> None:
        self.addCleanup(self.publish, *DEFAULT_ROUTES)
        self.publish(*DEFAULT_ROUTES, route('new', '/new/', 'buys'))
        self.assertTrue(
            eventually(
                lambda: all(
                    ask(machine, '/new/').status == 200
                    for machine in self.site.machines
                ),
            ),
        )

    def test_evacuated_zone_gets_nothing(self) -> None:
        key = 'op/evacuate/east-1'
        for path, body in (('/reads/', b'i-1 '), ('/buys/', b'i-2 ')):
            self.addCleanup(eventually, partial(self.is_served, path, body))
        self.addCleanup(self.site.store.delete, key)
        self.site.store.put(key, {})
        worker = self.site.machine('east-1', 'reads').worker
        self.assertTrue(
            eventually(
                lambda: self.served('east-1', '/reads/').body == b'i-3 ',
            ),
        )
        ran = worker.counts['ran']
        for _ in range(10):
            self.assertEqual(self.served('east-1', '/reads/').status, 200)
        self.assertEqual(worker.counts['ran'], ran)

    def test_replaced_worker_is_named_anew(self) -> None:
        """Guards against requests that stay with the lifetime before."""
        machine = self.site.machine('east-2', 'buys')
        before = machine.worker.identity
        self.addCleanup(self.site.register, machine)
        self.addCleanup(machine.worker.restart, before)
        machine.worker.restart('i-new')
        self.site.register(machine)
        self.assertTrue(
            eventually(
                lambda: self.served('east-2', '/buys/').body[:5] == b'i-new'
            ),
        )

    @params('busy', 'many', 'reset')
    def test_store_outage_stops_nothing(self, outage: str) -> None:
        store = self.site.store
        self.addCleanup(setattr, store, 'outage', '')
        store.outage = outage
        self.assertEqual(self.served('west-1', '/reads/').status, 200)

    def test_forgotten_history_is_read_again(self) -> None:
        """Guards against a watch that never goes on after 410."""
        self.addCleanup(self.publish, *DEFAULT_ROUTES)
        self.site.store.forget_history()
        self.publish(*DEFAULT_ROUTES, route('later', '/later/', 'buys'))
        self.assertTrue(
            eventually(lambda: self.served('west-1', '/later/').status == 200),
        )

    @params(
        ('cut', '/buys/', 502),
        ('unsealed', '/buys/', 502),
        ('foreign', '/buys/', 504),
        ('refuse', '/buys/', 503),
    )
    def test_flawed_answers(self, flaw: str, path: str, status: int) -> None:
        """Guards against a success that is none, and a false promise."""
        # A sender avoids an owner from which no answer came in time.
        self.addCleanup(eventually, partial(self.is_served, '/buys/', b'i-2 '))
        for machine in self.site.machines:
            self.addCleanup(setattr, machine.worker, 'flaw', '')
            machine.worker.flaw = flaw
        reply = self.served('east-1', path, b'x')
        self.assertEqual(reply.status, status, reply.body)

    def test_pipelined_requests_run_side_by_side(self) -> None:
        """Guards against answers out of order, and against a queue."""
        machine = self.site.machine('west-1', 'reads')
        self.addCleanup(setattr, machine.worker, 'work_seconds', 0.001)
        machine.worker.work_seconds = 0.4
        started = time.monotonic()
        heads = pipelined(machine, ('a1', 'a2', 'a3'))
        took_seconds = time.monotonic() - started
        self.assertEqual(heads, ['a1', 'a2', 'a3'])
        self.assertLess(took_seconds, 1.1)

    def test_stop_serves_until_consumers_have_turned_away(self) -> None:
        """Guards against a planned stop that cuts or refuses at once."""
        machine = self.site.add('west-1', 'reads')
        self.assertTrue(
            eventually(lambda: ask(machine, '/reads/').status == 200),
        )
        machine.daemon.send(signal.SIGTERM)
        self.assertTrue(eventually(lambda: not self.site.is_ready()))
        self.assertEqual(ask(machine, '/reads/').status, 200)
        self.assertEqual(machine.daemon.wait(WAIT_SECONDS), 0)
        self.site.machines.remove(machine)
        machine.worker.server.stop()
        self.site.store.delete(f'servers/{machine.worker.identity}')


def pipelined(machine: Machine, attempt_ids: tuple[str, ...]) -> list[str]:
    """Send requests ahead; return the ids of the answers in their order."""
    host, _, port = machine.outbound.rpartition(':')
    sock = socket.create_connection((host, int(port)))
    for attempt_id in attempt_ids:
        head = f'GET /reads/ HTTP/1.1\r\nHost: {HOST}\r\n'
        sock.sendall(f'{head}X-Attempt-Id: {attempt_id}\r\n\r\n'.encode())
    received = b''
    while received.count(b'X-Server-Seal') < len(attempt_ids):
        part = sock.recv(65536)
        if not part:
            break
        received += part
    sock.close()
    return [
        line.partition(': ')[2]
        for line in received.decode().split('\r\n')
        if line.startswith('X-Attempt-Id')
    ]
