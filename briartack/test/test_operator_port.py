"""Tests of the operator port, which serves operators, probes and collectors."""

import unittest
from functools import partial
from random import Random
from typing import Any, Final

from nose2.tools import params

from briartack.core.entries import Entry
from briartack.core.events import Started, StopRequested, StoreRead
from briartack.core.explanation import explain
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.status import describe, is_ready
from briartack.core.units import Incarnation, InstanceId, Revision
from briartack.metrics import MetricRegistry
from briartack.operator_port import OperatorPort
from standins.client import Answer, call
from standins.deployment_plans import create_generated_tree

LOOPBACK: Final = '127.0.0.1'
IDENTITY: Final = Identity(
    instance=InstanceId('svc-1-1'),
    incarnation=Incarnation('i1'),
    service='generated/svc-1',
    data_centre='region-1-1',
    region='region-1',
)
INSTANCE_RECORD: Final = (
    '{"service": "generated/svc-1", "data_centre": "region-1-1",'
    ' "region": "region-1", "peer_address": "127.0.0.1:1", "state": "live"}'
)


class OperatorPortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = State(identity=IDENTITY, random=Random(1), drain_seconds=1)
        self.metrics = MetricRegistry()
        self.described = 0
        self.cleared: list[bytes] = []
        port = OperatorPort(
            describe=self.describe_state,
            is_ready=partial(is_ready, self.state),
            explain=partial(explain, self.state),
            clear_suspect=self.cleared.append,
            metrics=self.metrics,
        )
        server = port.create_server((LOOPBACK, 0))
        server.start()
        self.addCleanup(server.stop, timeout=0)
        self.address = f'{LOOPBACK}:{server.server_port}'
        reduce(self.state, Started(now=1, incarnation=IDENTITY.incarnation))

    def describe_state(self) -> dict[str, object]:
        """Return the status and count the call."""
        self.described += 1
        return describe(self.state)

    def load_snapshot(self) -> None:
        """Give the state a snapshot at revision 2."""
        tree = {
            **create_generated_tree(['svc-1']),
            'instances/svc-1-1': INSTANCE_RECORD,
        }
        entries = [
            Entry(key=key, revision=Revision(number), value=text)
            for number, (key, text) in enumerate(tree.items(), start=1)
        ]
        reduce(
            self.state,
            StoreRead(
                now=1,
                prefix='',
                revision=Revision(len(entries)),
                entries=tuple(entries),
            ),
        )

    def get(self, path: str) -> Answer:
        """Return the answer of the operator port to a GET request."""
        return call(self.address, 'GET', path)

    def get_json(self, path: str) -> Any:
        """Return the decoded JSON body of an answer."""
        answer = self.get(path)
        self.assertEqual(answer.headers['content-type'], 'application/json')
        return answer.json()

    def test_readiness_follows_the_snapshot(self) -> None:
        """Guard against calls sent to a daemon that would refuse them all.

        A daemon is ready from its first snapshot until its stop begins, and
        healthy throughout.
        """
        self.assertEqual(self.get('/readyz').status, 503)
        self.load_snapshot()
        ready = self.get('/readyz')
        self.assertEqual((ready.status, ready.json()), (200, {'ready': True}))
        reduce(self.state, StopRequested(now=2))
        self.assertEqual(self.get('/readyz').status, 503)
        self.assertEqual(self.get('/healthz').status, 200)

    def test_readiness_does_not_build_a_status(self) -> None:
        """Guard against readiness checks that cost the size of the fleet.

        The platform asks each daemon once a second, and a status lists what
        the daemon knows of all instances.
        """
        self.load_snapshot()
        self.get('/readyz')
        self.assertEqual(self.described, 0)

    def test_status_reports_the_held_configuration(self) -> None:
        """Guard against a status without the versions that are in force."""
        before = self.get_json('/status')
        self.assertEqual((before['ready'], before['highest']), (False, 0))
        self.load_snapshot()
        after = self.get_json('/status')
        self.assertEqual((after['ready'], after['highest']), (True, 2))
        self.assertEqual(after['versions']['teams/generated'], 1)
        self.assertEqual(len(after['digest']), 32)

    def test_explanation_is_of_the_given_path_and_method(self) -> None:
        """Guard against an explanation of another path or method."""
        self.load_snapshot()
        routed = self.get_json('/explain?method=POST&path=%2Fsvc-1%2Fwrite%2Fx')
        self.assertEqual(routed['route'], 'generated/write-svc-1')
        self.assertEqual(routed['endpoints'][0]['instance'], 'svc-1-1')
        unrouted = self.get_json('/explain?path=/svc-1/other/x')
        self.assertIn('no route matches', unrouted['outcome'])

    @params(('0', 200), ('60000', 200), ('-1', 400), ('1.5', 400), ('x', 400))
    def test_size_of_an_explained_body_is_checked(
        self, size: str, status: int
    ) -> None:
        """Guard against a typing error that ends in another explanation."""
        self.load_snapshot()
        answer = self.get(f'/explain?path=/svc-1/write/x&body_bytes={size}')
        self.assertEqual(answer.status, status)

    @params(
        ('POST', 'fingerprint=00ff', 200, [b'\x00\xff']),
        ('POST', 'fingerprint=x', 400, []),
        ('POST', '', 400, []),
        ('GET', 'fingerprint=00ff', 404, []),
    )
    def test_suspect_is_cleared_by_a_post(
        self, method: str, query: str, status: int, cleared: list[bytes]
    ) -> None:
        """Guard against a collector or a typing error that clears a suspect."""
        answer = call(self.address, method, f'/clear-suspect?{query}')
        self.assertEqual((answer.status, self.cleared), (status, cleared))

    @params('/', '/status/', '/nothing')
    def test_unknown_path_is_answered_with_404(self, path: str) -> None:
        """Guard against a probe of a misspelt path that succeeds."""
        answer = self.get(path)
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.json()['code'], 'unknown-path')
        self.assertIn('/explain', answer.json()['fix'])

    def test_metrics(self) -> None:
        """Guard against metric lines that a collector misreads.

        Labels need escapes and buckets of a histogram are cumulative.
        """
        attributes = (('kind', 'a"\n'), ('b', r'\c'))
        for amount in (5, 2):
            self.metrics.add('peers.bytes', amount, attributes)
        self.metrics.add('retries')
        gauged = [7, 5]
        self.metrics.register_gauge('memory.held_bytes', gauged.pop)
        for seconds in (0.00005, 0.0008, 0.0009, 100):
            self.metrics.observe('call.seconds', seconds)
        answer = self.get('/metrics')
        self.assertTrue(answer.headers['content-type'].startswith('text/plain'))
        self.assertTrue(answer.body.endswith(b'\n'))
        lines = answer.body.decode().splitlines()
        bucket = 'briartack_call_seconds_bucket{le="%s"} %s'
        for line in (
            r'briartack_peers_bytes{b="\\c",kind="a\"\n"} 7',
            'briartack_retries 1',
            'briartack_memory_held_bytes 5',
            bucket % ('5e-05', 1),
            bucket % ('0.0008', 2),
            bucket % ('0.0016', 3),
            bucket % ('6.5536', 3),
            bucket % ('+Inf', 4),
        ):
            self.assertIn(line, lines)
        self.assertIn(
            b'\nbriartack_memory_held_bytes 7\n', self.get('/metrics').body
        )
        sums = [text for text in lines if '_seconds_sum' in text]
        self.assertEqual(len(sums), 1)
        self.assertAlmostEqual(float(sums[0].split()[1]), 100.00175)
