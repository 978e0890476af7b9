"""Tests of whole requests in the platform's dialect, with real processes."""

import signal
import tempfile
import time
import unittest
import uuid
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
    ConsumerResponse,
    Machine,
    PlatformSite,
    build_configuration,
    build_route,
    send_consumer_request,
    send_request,
)

WAIT_SECONDS = 20.0
PAUSE_SECONDS = 2.5  # longer than the time after which calls are confirmed anew
NESTED = b'[' * 2000 + b']' * 2000
ODD_SERVER = (
    b'{"address": "%b", "born": 1, "info": {"service": "another", "zone": '
    b'"east-1", "slots": 4}, "status": {"state": "ready", "sequence": %b}}'
)
MEMORY_MB = 150.0  # the smallest limit of the platform's deployments


def becomes_true(condition: Callable[[], bool]) -> bool:
    """Return whether a condition holds within the wait."""
    until = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < until:
        if condition():
            return True
        gevent.sleep(0.05)
    return condition()


class PlatformSiteTest(unittest.TestCase):
    """Test one site; each test restores the site at its end."""

    site: ClassVar[PlatformSite]
    version: ClassVar[int] = 1

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.site = PlatformSite(directory=Path(directory.name))
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()
        assert becomes_true(cls.site.is_ready)
        assert becomes_true(
            lambda: cls.request_from('east-1', '/buys/').status == 200
        )

    @classmethod
    def request_from(
        cls, zone: str, path: str, body: bytes | None = None
    ) -> ConsumerResponse:
        """Send a request through the machine `reads` of a zone."""
        return send_consumer_request(
            cls.site.find_machine(zone, 'reads'), path, body
        )

    def is_answered_with(self, path: str, body: bytes) -> bool:
        """Return whether the first zone answers with this body."""
        return self.request_from('east-1', path).body == body

    def publish_routes(self, *routes: dict[str, Any]) -> None:
        """Replace the routes in a new version of the configuration."""
        type(self).version += 1
        self.republish_routes(*routes)

    def republish_routes(self, *routes: dict[str, Any]) -> None:
        """Write the present version of the configuration again."""
        configuration = build_configuration(*routes, version=self.version)
        self.site.store.put('op/config', configuration)

    def buy_in_both_zones(self) -> None:
        """Check that purchases through two machines are served by others."""
        for number in range(20):
            zone = ('east-1', 'east-2')[number % 2]
            reply = self.request_from(zone, '/buys/', b'order')
            self.assertEqual(reply.status, 200)
            self.assertNotIn(b'i-other', reply.body)

    def count_failures(self) -> int:
        """Return how often the daemons logged a failure of their own."""
        logs = [
            machine.daemon.stdout.read_text('utf-8')
            for machine in self.site.machines
        ]
        return sum(
            log.count(sign)
            for log in logs
            for sign in ('malformed-frame', 'Traceback')
        )

    def is_served_everywhere(self, path: str) -> bool:
        """Return whether all machines serve a path within the wait."""
        return becomes_true(
            lambda: all(
                send_consumer_request(machine, path).status == 200
                for machine in self.site.machines
            ),
        )

    def test_request_reaches_a_worker_unchanged(self) -> None:
        """Guard against a changed path or body, and missing headers."""
        worker = self.site.find_machine('east-1', 'buys').worker
        reply = self.request_from('east-1', '/buys/1?x=%20', b'body')
        self.assertEqual((reply.status, reply.body), (200, b'i-2 body'))
        _, path, headers = worker.received_requests[-1]
        self.assertEqual(path, '/buys/1')
        self.assertEqual(headers['X-Caller-Service'], 'reads')
        self.assertLessEqual(int(headers['X-Deadline-Ms']), 2000)

    def test_unknown_path_is_answered_with_404(self) -> None:
        """Guard against retries of a request that no route matches."""
        self.assertEqual(self.request_from('east-1', '/none/').status, 404)

    def test_request_stays_in_its_home_regions(self) -> None:
        """Guard against a request that leaves the home regions of its route."""
        for _ in range(5):
            reply = self.request_from('east-1', '/home/')
            self.assertEqual((reply.status, reply.body), (200, b'i-5 '))

    @params('new', 'Tariff_v2', '2tariff', 'tariff.v2', 'x' * 80)
    def test_new_configuration_is_in_force_everywhere(self, name: str) -> None:
        """Guard against a daemon that misses a change, and a refused name."""
        self.addCleanup(self.publish_routes, *DEFAULT_ROUTES)
        self.publish_routes(*DEFAULT_ROUTES, build_route(name, '/new/', 'buys'))
        self.assertTrue(self.is_served_everywhere('/new/'))

    def test_evacuated_zone_gets_no_requests(self) -> None:
        """Guard against requests to a zone that operators have evacuated."""
        key = 'op/evacuate/east-1'
        for path, body in (('/reads/', b'i-1 '), ('/buys/', b'i-2 ')):
            self.addCleanup(
                becomes_true, partial(self.is_answered_with, path, body)
            )
        self.addCleanup(self.site.store.delete, key)
        self.site.store.put(key, {})
        worker = self.site.find_machine('east-1', 'reads').worker
        self.assertTrue(
            becomes_true(
                lambda: self.request_from('east-1', '/reads/').body == b'i-3 ',
            ),
        )
        ran = worker.counts['ran']
        for _ in range(10):
            self.assertEqual(self.request_from('east-1', '/reads/').status, 200)
        self.assertEqual(worker.counts['ran'], ran)

    def test_replaced_worker_gets_requests(self) -> None:
        """Guard against requests bound to the worker's earlier identity."""
        machine = self.site.find_machine('east-2', 'buys')
        before = machine.worker.identity
        self.addCleanup(self.site.register_worker, machine)
        self.addCleanup(machine.worker.restart, before)
        machine.worker.restart('i-new')
        self.site.register_worker(machine)
        self.assertTrue(
            becomes_true(
                lambda: (
                    self.request_from('east-2', '/buys/').body[:5] == b'i-new'
                )
            ),
        )

    # Guards against purchases that a worker of another service runs, which has
    # the address of the one that ended (ROUTE).
    def test_worker_of_another_service_gets_no_requests(self) -> None:
        machine = self.site.find_machine('east-2', 'buys')
        worker = machine.worker
        before = worker.identity
        self.addCleanup(
            becomes_true,
            lambda: (
                self.request_from('east-2', '/buys/').body
                == f'{before} '.encode()
            ),
        )
        self.addCleanup(self.site.store.delete, 'servers/i-other')
        self.addCleanup(worker.restart, before)
        worker.restart('i-other')
        ran = worker.counts['ran']
        self.buy_in_both_zones()
        self.site.register_worker(machine, 'reads')
        self.buy_in_both_zones()
        self.assertEqual(worker.counts['ran'], ran)

    def test_worker_with_a_limit_gets_no_more_than_it_takes(self) -> None:
        """Guard against requests beyond the limit that a worker names.

        The worker takes nothing, so the rule allows 5 requests in 4 s.
        """
        worker = self.site.find_machine('east-1', 'reads').worker
        self.addCleanup(
            becomes_true, partial(self.is_answered_with, '/reads/', b'i-1 ')
        )
        self.addCleanup(setattr, worker, 'stated_limit', None)
        worker.stated_limit = 0
        self.assertEqual(self.request_from('east-1', '/reads/').body, b'i-1 ')
        started = time.monotonic()
        ran = worker.counts['ran']
        for _ in range(30):
            self.assertEqual(self.request_from('east-1', '/reads/').status, 200)
        windows = 1 + (time.monotonic() - started) // 4
        self.assertLessEqual(worker.counts['ran'] - ran, 5 * windows)

    def test_worker_that_says_it_leaves_gets_no_requests(self) -> None:
        """Guard against requests to a worker that the store calls ready."""
        machine = self.site.find_machine('east-2', 'buys')
        worker = machine.worker
        before = worker.identity
        self.addCleanup(
            becomes_true,
            lambda: self.request_from('east-2', '/buys/').body[:4] == b'i-re',
        )
        self.addCleanup(self.site.register_worker, machine)
        self.addCleanup(worker.restart, 'i-restarted')
        self.addCleanup(self.site.store.delete, f'servers/{before}')
        worker.is_leaving = True
        identity = before.encode()
        self.assertTrue(
            becomes_true(
                lambda: (
                    not self.request_from('east-2', '/buys/').body.startswith(
                        identity
                    )
                ),
            ),
        )
        ran = worker.counts['ran']
        for _ in range(10):
            self.assertEqual(self.request_from('east-2', '/buys/').status, 200)
        self.assertEqual(worker.counts['ran'], ran)

    @params('busy', 'many', 'reset')
    def test_requests_are_served_during_store_outage(self, outage: str) -> None:
        """Guard against requests that need the store."""
        store = self.site.store
        self.addCleanup(setattr, store, 'outage', '')
        store.outage = outage
        self.assertEqual(self.request_from('west-1', '/reads/').status, 200)

    def test_watch_continues_after_lost_history(self) -> None:
        """Guard against a watch that never continues after status 410."""
        self.addCleanup(self.publish_routes, *DEFAULT_ROUTES)
        self.site.store.drop_history()
        self.publish_routes(
            *DEFAULT_ROUTES, build_route('later', '/later/', 'buys')
        )
        self.assertTrue(
            becomes_true(
                lambda: self.request_from('west-1', '/later/').status == 200
            ),
        )

    # Guards against an entry of another writer that stops all changes, or
    # closes the streams between daemons.
    @params(
        b'{"labels": %b}' % NESTED,
        b'{"status": {"state": %b}}' % NESTED,
        ODD_SERVER % (b'127.0.9.9:80', b'true'),
        ODD_SERVER % (b'127.0.9.9:80', b'1e400'),
        ODD_SERVER % (b'127.0.9.9:70000', b'1'),
        b'\xff',
    )
    def test_odd_registration_hides_no_change(self, value: bytes) -> None:
        self.addCleanup(self.publish_routes, *DEFAULT_ROUTES)
        self.addCleanup(self.site.store.delete, 'servers/odd')
        before = self.count_failures()
        self.site.store.put('servers/odd', value)
        self.publish_routes(*DEFAULT_ROUTES, build_route('n', '/n/', 'buys'))
        self.assertTrue(self.is_served_everywhere('/n/'))
        self.assertEqual(self.count_failures(), before)

    # Guards against changes that are in force nowhere after the store came back
    # from a copy and gives revisions out again, and against the copy in force.
    def test_changes_are_in_force_after_the_store_was_restored(self) -> None:
        self.addCleanup(self.publish_routes, *DEFAULT_ROUTES)
        store = self.site.store
        lost = build_route('lost', '/lost/', 'buys')
        copy = store.copy()
        self.publish_routes(*DEFAULT_ROUTES, build_route('a', '/a/', 'buys'))
        self.publish_routes(*DEFAULT_ROUTES, lost)
        self.assertTrue(self.is_served_everywhere('/lost/'))
        store.restore(copy)
        self.republish_routes(*DEFAULT_ROUTES, lost)
        self.publish_routes(
            *DEFAULT_ROUTES, lost, build_route('later', '/later/', 'buys')
        )
        self.assertTrue(self.is_served_everywhere('/later/'))
        self.assertTrue(self.is_served_everywhere('/lost/'))

    @params(
        ('cut', '/buys/', 502),
        ('head', '/buys/', 502),
        ('unsealed', '/buys/', 502),
        ('foreign', '/buys/', 504),
        ('refuse', '/buys/', 503),
    )
    def test_faulty_answer_is_not_passed_on(
        self, fault: str, path: str, status: int
    ) -> None:
        """Guard against a false success, and a false promise of no run.

        Each row states a worker's fault, a path and the caller's status.
        """
        # A sender avoids for a while an owner whose answer timed out.
        self.addCleanup(
            becomes_true, partial(self.is_answered_with, '/buys/', b'i-2 ')
        )
        for machine in self.site.machines:
            self.addCleanup(setattr, machine.worker, 'active_fault', '')
            machine.worker.active_fault = fault
        reply = self.request_from('east-1', path, b'x')
        self.assertEqual(reply.status, status, reply.body)

    # Guards against an upstream that stops its daemon by bytes without end, and
    # against a daemon above the memory that the platform gives it.
    @params('endless-head', 'endless-body')
    def test_endless_answers_leave_the_others_served(self, fault: str) -> None:
        self.addCleanup(
            becomes_true, partial(self.is_answered_with, '/buys/', b'i-2 ')
        )
        for machine in self.site.machines:
            if machine.service == 'buys':
                self.addCleanup(setattr, machine.worker, 'active_fault', '')
                machine.worker.active_fault = fault
        faulty = [
            gevent.spawn(self.request_from, 'east-1', '/buys/', b'x')
            for _ in range(18)
        ]
        gevent.sleep(0.1)
        for _ in range(20):
            self.assertEqual(self.request_from('east-1', '/reads/').status, 200)
            gevent.sleep(0.05)
        for greenlet in faulty:
            self.assertIn(greenlet.get().status, {502, 503, 504})
        for machine in self.site.machines:
            memory_mb = machine.daemon.read_peak_memory_kb() / 1024
            self.assertLess(memory_mb, MEMORY_MB)

    def test_pipelined_requests_run_concurrently(self) -> None:
        """Guard against answers out of order, and requests run in sequence."""
        machine = self.site.find_machine('west-1', 'reads')
        self.addCleanup(setattr, machine.worker, 'work_seconds', 0.001)
        machine.worker.work_seconds = 0.4
        started = time.monotonic()
        answered_ids = send_pipelined(machine, ('a1', 'a2', 'a3'))
        took_seconds = time.monotonic() - started
        self.assertEqual(answered_ids, ['a1', 'a2', 'a3'])
        self.assertLess(took_seconds, 1.1)

    @params(1.0, 3.5)
    def test_calls_outlast_a_pause_of_the_daemon(
        self, work_seconds: float
    ) -> None:
        """Guard against calls that end with a pause of their daemon.

        Their workers answer during the pause, or after it.
        """
        machine = self.site.find_machine('east-1', 'reads')
        paths = ('/slow-reads/', '/slow-buys/')
        self.addCleanup(self.publish_routes, *DEFAULT_ROUTES)
        self.publish_routes(
            *DEFAULT_ROUTES,
            build_route('slow-reads', paths[0], 'reads', timeout_ms=8000),
            build_route('slow-buys', paths[1], 'buys', timeout_ms=8000),
        )
        self.assertTrue(all(map(self.is_served_everywhere, paths)))
        for one in self.site.machines:
            self.addCleanup(setattr, one.worker, 'work_seconds', 0.001)
            one.worker.work_seconds = work_seconds
        sent = [gevent.spawn(send_patiently, machine, path) for path in paths]
        gevent.sleep(0.5)
        machine.daemon.send_signal(signal.SIGSTOP)
        gevent.sleep(PAUSE_SECONDS)
        machine.daemon.send_signal(signal.SIGCONT)
        for greenlet in sent:
            reply = greenlet.get()
            self.assertEqual((reply.status, reply.body[:2]), (200, b'i-'))

    def test_stopping_daemon_still_serves_requests(self) -> None:
        """Guard against a planned stop that aborts or refuses at once.

        Consumers need time to notice that the daemon is no longer ready.
        """
        machine = self.site.add_machine('west-1', 'reads')
        self.assertTrue(
            becomes_true(
                lambda: send_consumer_request(machine, '/reads/').status == 200
            ),
        )
        machine.daemon.send_signal(signal.SIGTERM)
        self.assertTrue(becomes_true(lambda: not self.site.is_ready()))
        self.assertEqual(send_consumer_request(machine, '/reads/').status, 200)
        self.assertEqual(machine.daemon.wait(WAIT_SECONDS), 0)
        self.site.machines.remove(machine)
        machine.worker.server.stop()
        self.site.store.delete(f'servers/{machine.worker.identity}')


def send_patiently(machine: Machine, path: str) -> ConsumerResponse:
    """Send a request whose caller waits longer than any route allows."""
    return send_request(
        f'http://{machine.caller_address}{path}',
        {
            'Host': HOST,
            'X-Attempt-Id': uuid.uuid4().hex,
            'X-Deadline-Ms': '10000',
        },
        timeout_seconds=12,
    )


def send_pipelined(machine: Machine, attempt_ids: tuple[str, ...]) -> list[str]:
    """Send all requests at once; return the ids of the answers in order."""
    host, _, port = machine.caller_address.rpartition(':')
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
