"""Tests of the stand-ins for the store and the upstreams.

They guard against a stand-in that hides faults of a daemon, because the
stand-in does not cause a fault that was ordered or does not count requests.
"""

import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final

import gevent
from gevent.server import StreamServer
from nose2.tools import params

from standins.client import Answer, Client, call
from standins.cold_start import ColdStartOptions, ColdStartProgress
from standins.control_client import send_control_command
from standins.deployment_plans import plan_generated
from standins.http_server import parse_address
from standins.load import LoadCall, run_load
from standins.processes import PortAllocator
from standins.store import Store
from standins.store_files import StoreFiles
from standins.store_state import CallWindow, StoreState
from standins.upstream import merge_repeated_flag, start_upstreams
from standins.upstream_server import Upstream, UpstreamOptions

ANY_PORT: Final = '127.0.0.1:0'
WAIT_SECONDS: Final = 20
REQUEST_ID_HEADER: Final = {'X-Request-Id': 'only-1'}


class StoreStateTest(unittest.TestCase):
    """Guard against wrong revisions, which would fail correct daemons."""

    def test_reads_and_changes_follow_the_history(self) -> None:
        """Guard against a revision without a change, and wrong old states."""
        state = StoreState()
        state.put('a', '1')
        state.put('b', '2')
        state.put('a', '3')
        state.put('a', '3')
        state.put('b', None)
        self.assertEqual(state.revision, 4)
        seen = [
            (entry.key, entry.value) for entry in state.list_changes(1, as_of=4)
        ]
        self.assertEqual(seen, [('a', '3'), ('b', None)])
        stale = [(entry.key, entry.value) for entry in state.read('', as_of=2)]
        self.assertEqual(stale, [('a', '1'), ('b', '2')])

    def test_call_window_drops_calls_after_one_second(self) -> None:
        """Guard against a rate that counts calls older than a second."""
        window = CallWindow()
        for now in (0.0, 0.9, 1.0):
            window.add(now)
        self.assertEqual((window.peak, window.count(1.5)), (2, 2))


class StoreTest(unittest.TestCase):
    """Guard against a store without its faults, which would test nothing."""

    def setUp(self) -> None:
        self.store = Store(address=ANY_PORT, limit=50)
        self.store.put('teams/a', '{}')
        self.store.server.start()
        self.address = self.store.server.address
        self.addCleanup(self.store.server.stop)

    def read_store(self, target: str = '/v1/entries?prefix=') -> Answer:
        """Return the answer of the store to a read."""
        return call(self.address, 'GET', target)

    def start_watch(self, after: int) -> gevent.Greenlet:
        """Start a watch and return when the store lets it wait."""
        target = f'/v1/watch?after={after}&wait={WAIT_SECONDS}'
        greenlet = gevent.spawn(self.read_store, target)
        waiting = self.store.stats()['waiting']
        with gevent.Timeout(WAIT_SECONDS):
            while self.store.stats()['waiting'] == waiting:
                gevent.sleep(0)
        return greenlet

    def send_command(self, name: str, **fields: object) -> Any:
        """Send a command to the control interface of the store."""
        return send_control_command(self.address, name, **fields)

    def test_watch_waits_for_change(self) -> None:
        """Guard against a watch that returns too early or never."""
        watch = self.start_watch(1)
        self.send_command('put', key='teams/b', value='[]')
        answer = watch.get(timeout=WAIT_SECONDS).json()
        self.assertEqual(answer['revision'], 2)
        self.assertEqual(answer['entries'][0]['key'], 'teams/b')

    def test_store_refuses_calls_above_its_limit(self) -> None:
        """Guard against daemons that are tested without the call limit."""
        answers = [self.read_store() for _ in range(60)]
        refused = [answer for answer in answers if answer.status == 429]
        self.assertTrue(refused)
        self.assertEqual(refused[0].headers['retry-after'], '1')
        stats = self.send_command('stats')
        self.assertEqual(stats['calls_refused'], len(refused))
        self.assertLessEqual(stats['peak_accepted_per_second'], 50)

    def test_outage_ends_waiting_watch(self) -> None:
        """Guard against an outage that waiting watches do not notice."""
        watch = self.start_watch(1)
        self.send_command('outage', mode='503')
        self.assertEqual(watch.get(timeout=WAIT_SECONDS).status, 503)
        self.assertEqual(self.read_store().status, 503)
        self.send_command('outage', mode='')
        self.assertEqual(self.read_store().status, 200)

    def test_stale_store_hides_changes(self) -> None:
        """Guard against a stale replica that shows new changes."""
        self.send_command('stale', revision=1)
        self.send_command('put', key='teams/b', value='[]')
        self.assertEqual(self.read_store().json()['revision'], 1)
        watch = self.start_watch(1)
        self.send_command('stale', revision=None)
        self.assertEqual(watch.get(timeout=WAIT_SECONDS).json()['revision'], 2)

    def test_restored_store_gives_revisions_out_again(self) -> None:
        """Guard against a restore that loses nothing, or for good."""
        self.send_command('put', key='teams/a', value='1')
        self.send_command('put', key='teams/b', value='[]')
        watch = self.start_watch(3)
        self.send_command('restore', revision=1, seconds=0.2)
        self.assertEqual(watch.get(timeout=WAIT_SECONDS).status, 410)
        answer = self.read_store()
        self.assertEqual(answer.headers['x-store-era'], '2')
        self.assertEqual(answer.json()['revision'], 1)
        self.assertEqual(len(answer.json()['entries']), 1)
        for after in (1, 2):
            target = f'/v1/watch?after={after}&wait={WAIT_SECONDS}'
            rewritten = self.read_store(target).json()
        self.assertEqual(rewritten['revision'], 3)

    def test_restored_store_does_not_repeat_an_answer(self) -> None:
        """Guard against changes of the era before under the same numbers."""
        target = f'/v1/watch?after=1&wait={WAIT_SECONDS}'
        for value in ('lost', 'new'):
            self.send_command('put', key='teams/b', value=value)
            answer = self.read_store(target).json()
            self.assertEqual(answer['entries'][0]['value'], value)
            self.store.restore(1, WAIT_SECONDS)

    def test_end_of_crossing_releases_the_answers(self) -> None:
        """Guard against a fault that lasts longer than the run assumes."""
        self.send_command('cross', count=1)
        watch = self.start_watch(1)
        self.send_command('put', key='teams/a', value='1')
        gevent.sleep(0.05)
        self.assertFalse(watch.ready())
        self.send_command('cross', count=0)
        self.assertEqual(watch.get(timeout=WAIT_SECONDS).status, 200)

    def test_crossed_answer_waits_for_a_later_one(self) -> None:
        """Guard against a command to cross answers that has no effect."""
        self.send_command('cross', count=1)
        first = self.start_watch(1)
        self.send_command('put', key='teams/a', value='1')
        second = self.start_watch(2)
        self.assertFalse(first.ready())
        self.send_command('put', key='teams/a', value='2')
        gevent.joinall([second], timeout=WAIT_SECONDS)
        self.assertFalse(first.ready())
        self.assertEqual(first.get(timeout=WAIT_SECONDS).json()['revision'], 2)

    def test_refuse_mode_closes_the_listener(self) -> None:
        """Guard against an outage during which connections succeed."""
        self.send_command('outage', mode='refuse')
        with gevent.Timeout(WAIT_SECONDS), self.assertRaises(OSError):
            while True:
                gevent.sleep(0.01)
                self.read_store()

    def test_file_edits_become_revisions(self) -> None:
        """Guard against edits of files that daemons never see."""
        with tempfile.TemporaryDirectory() as directory:
            tree = Path(directory)
            files = StoreFiles(tree=tree, instances=None, store=self.store)
            (tree / 'platform.json').write_text('{}')
            files.poll()
            (tree / 'platform.json').write_text('{"instances_out": []}')
            files.poll()
            self.assertEqual(self.store.stats()['revision'], 3)
            (tree / 'platform.json').unlink()
            files.poll()
        entries = self.read_store().json()['entries']
        self.assertEqual([entry['key'] for entry in entries], ['teams/a'])


class UpstreamTest(unittest.TestCase):
    """Guard against an upstream that hides repeated runs or cold overload."""

    def start_upstream(self, **options: Any) -> Upstream:
        """Start an upstream that stops at the end of the test."""
        started = start_upstreams(
            addresses=[ANY_PORT],
            names=['saldo-1'],
            options=UpstreamOptions(**options),
        )
        upstream = started[0]
        self.addCleanup(upstream.server.stop)
        self.address = upstream.server.address
        return upstream

    def send_concurrently(self, count: int, target: str) -> list[int]:
        """Send requests at the same time and return their statuses, sorted."""
        greenlets = [
            gevent.spawn(call, self.address, 'GET', target)
            for _ in range(count)
        ]
        return sorted(
            greenlet.get(timeout=WAIT_SECONDS).status for greenlet in greenlets
        )

    def read_stats(self) -> Any:
        """Return the counts of the upstream."""
        return send_control_command(self.address, 'stats')

    def test_answer_echoes_and_repeated_run_is_counted(self) -> None:
        """Guard against a request that runs twice unnoticed."""
        self.start_upstream()
        for _ in range(2):
            answer = call(
                self.address,
                'PUT',
                '/a',
                headers=REQUEST_ID_HEADER,
                body=b'abc',
            )
        self.assertEqual(answer.json()['bytes'], 3)
        self.assertEqual(answer.headers['x-request-id'], 'only-1')
        self.assertEqual(self.read_stats()['doubled'], {'only-1': 2})

    @params(
        ('cut', 1),
        ('reset', 1),
        ('truncate', 1),
        ('cut-before', 0),
    )
    def test_broken_answer_counts_its_run(self, kind: str, runs: int) -> None:
        """Guard against a wrong count of runs behind a broken answer."""
        self.start_upstream()
        send_control_command(self.address, 'fault', kind=kind)
        with self.assertRaises(OSError):
            call(self.address, 'GET', '/a', headers=REQUEST_ID_HEADER)
        # A client that retries by itself would cause one more run.
        self.assertEqual(self.read_stats()['runs'], runs)
        self.assertEqual(call(self.address, 'GET', '/a').status, 200)

    def test_requests_above_the_slots_are_queued(self) -> None:
        """Guard against requests that are lost in the queue for slots."""
        upstream = self.start_upstream(slots=2)
        statuses = self.send_concurrently(6, '/a?service_ms=30')
        self.assertEqual(statuses.count(200), 6)
        self.assertEqual(upstream.stats.peak_concurrency, 6)
        self.assertEqual(self.read_stats()['in_service'], 0)

    def test_requests_above_the_connections_are_shed(self) -> None:
        """Guard against an upstream that accepts any number of requests."""
        self.start_upstream(connections=3)
        statuses = self.send_concurrently(6, '/a?service_ms=200')
        self.assertEqual(statuses, [200, 200, 200, 503, 503, 503])

    def test_cold_upstream_fails_requests_above_its_limit(self) -> None:
        """Guard against a cold upstream that bears the full load."""
        cold = ColdStartOptions(requests=1000, limit=2, factor=1)
        upstream = self.start_upstream(cold_start=cold)
        statuses = self.send_concurrently(5, '/a?service_ms=100')
        self.assertEqual(statuses, [200, 200, 500, 500, 500])
        # A request above the limit fails at once and does not add to the peak.
        self.assertEqual(upstream.stats.peak_cold_concurrency, 3)
        self.assertEqual(upstream.stats.counts['collapsed'], 3)
        # An upstream that answers 500 has run the request.
        self.assertEqual(sum(upstream.stats.runs.values()), 5)

    def test_cancelled_and_late_requests_are_ended(self) -> None:
        """Guard against requests that run although nobody waits for them."""
        upstream = self.start_upstream()
        with self.assertRaises(OSError):
            call(
                self.address,
                'GET',
                '/a?service_ms=60000',
                timeout_seconds=0.1,
            )
        with gevent.Timeout(WAIT_SECONDS):
            while not upstream.stats.counts['cancelled']:
                gevent.sleep(0.01)
        late = call(
            self.address,
            'GET',
            '/a?service_ms=60000',
            headers={'Briartack-Deadline-Ms': '10'},
        )
        self.assertEqual(late.status, 504)

    def test_draining_upstream_refuses_and_reports_any_health(self) -> None:
        """Guard against an upstream whose health is always true."""
        self.start_upstream()
        send_control_command(self.address, 'drain')
        self.assertEqual(call(self.address, 'GET', '/a').status, 503)
        health = call(self.address, 'GET', '/healthz').json()
        self.assertEqual((health['status'], health['load']), ('draining', 0))
        send_control_command(self.address, 'health', load=0.9, status='ok')
        health = call(self.address, 'GET', '/healthz').json()
        self.assertEqual((health['status'], health['load']), ('ok', 0.9))

    def test_broken_upload_is_counted_and_does_not_run(self) -> None:
        """Guard against a run of a request whose body is incomplete."""
        upstream = self.start_upstream()
        client = Client(address=self.address)
        with gevent.Timeout(0.1, exception=False):
            client.call(
                'PUT',
                '/a',
                headers={'Content-Length': '9'},
                body=b'abc',
            )
        client.close()
        with gevent.Timeout(WAIT_SECONDS):
            while not upstream.stats.counts['uploads_broken']:
                gevent.sleep(0.01)
        self.assertEqual(upstream.stats.counts['runs'], 0)

    def test_load_counts_every_call(self) -> None:
        """Guard against a load whose failed calls are not counted."""
        upstream = self.start_upstream()
        send_control_command(self.address, 'fault', kind='error', count=2)
        result = run_load(
            calls=[LoadCall(address=self.address, method='GET', path='/a')],
            per_second=200,
            seconds=0.2,
        )
        self.assertEqual(result.failed, 2)
        self.assertEqual(result.total, upstream.stats.counts['runs'])
        self.assertEqual(len(upstream.stats.runs), result.total)


class PlanTest(unittest.TestCase):
    """Guard against a plan or command line of another deployment."""

    def test_generated_plan_has_the_given_sizes(self) -> None:
        """Guard against a plan that is smaller than ordered."""
        plan = plan_generated(
            regions=3,
            data_centres=2,
            daemons_per_data_centre=4,
            services=5,
        )
        self.assertEqual(
            len({record.instance_id for record in plan.instances}),
            24,
        )
        self.assertEqual(len(plan.data_centres), 6)
        self.assertEqual(len(plan.services), 5)

    def test_repeated_flag_is_gathered(self) -> None:
        """Guard against a repeated flag of which only the last one counts."""
        arguments = ['--a', '1', '--b', '2', '--a', '3']
        gathered = merge_repeated_flag(arguments, '--a')
        self.assertEqual(gathered, ['--b', '2', '--a', '1', '3'])

    def test_cold_upstream_gets_faster_with_time(self) -> None:
        """Guard against an upstream that stays cold or is warm at once."""
        cold = ColdStartOptions(seconds=10, limit=4, factor=5)
        cold_start_progress = ColdStartProgress(
            cold_start=cold, slots=20, now=0
        )
        shown = [
            (
                cold_start_progress.compute_slowdown_factor(now),
                cold_start_progress.compute_safe_concurrency(now),
            )
            for now in (0, 5)
        ]
        self.assertEqual(shown, [(5, 4), (3, 12)])
        self.assertEqual(cold_start_progress.compute_slowdown_factor(10), 1)


class PortsTest(unittest.TestCase):
    """Guard against a port that others take while its daemon is down."""

    def test_port_stays_reserved_until_its_release(self) -> None:
        """Guard against a port that another process binds meanwhile."""
        ports = PortAllocator()
        self.addCleanup(ports.release)
        host, port = parse_address(ports.reserve_address())
        for _ in range(2):
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((host, port))
            server = StreamServer((host, port), print)
            server.start()
            server.stop()
        ports.release()
        with socket.socket() as later:
            later.bind((host, port))
