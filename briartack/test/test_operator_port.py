"""What the platform and operators get from the operator port."""

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
from briartack.core.status import describe
from briartack.core.units import Incarnation, InstanceId, Revision
from briartack.metrics import MetricRegistry
from briartack.operator_port import OperatorPort
from standins.client import Answer, call
from standins.plans import generated_tree

LOCAL: Final = '127.0.0.1'
IDENTITY: Final = Identity(
    instance=InstanceId('svc-1-1'),
    incarnation=Incarnation('i1'),
    service='generated/svc-1',
    data_centre='region-1-1',
    region='region-1',
)
RECORD: Final = (
    '{"service": "generated/svc-1", "data_centre": "region-1-1",'
    ' "region": "region-1", "peer_address": "127.0.0.1:1", "state": "live"}'
)


class OperatorPortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = State(identity=IDENTITY, random=Random(1), drain_seconds=1)
        self.metrics = MetricRegistry()
        port = OperatorPort(
            describe=lambda: describe(self.state),
            explain=partial(explain, self.state),
            metrics=self.metrics,
        )
        server = port.create_server((LOCAL, 0))
        server.start()
        self.addCleanup(server.stop, timeout=0)
        self.address = f'{LOCAL}:{server.server_port}'
        reduce(self.state, Started(now=1, incarnation=IDENTITY.incarnation))

    def hold(self) -> None:
        """Give the state a snapshot at revision 2."""
        tree = {**generated_tree(['svc-1']), 'instances/svc-1-1': RECORD}
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
        return call(self.address, 'GET', path)

    def json(self, path: str) -> Any:
        answer = self.get(path)
        self.assertEqual(answer.headers['content-type'], 'application/json')
        return answer.json()

    def test_readiness_follows_the_snapshot(self) -> None:
        """Guards against calls sent to a daemon that refuses them all."""
        self.assertEqual(self.get('/readyz').status, 503)
        self.hold()
        ready = self.get('/readyz')
        self.assertEqual((ready.status, ready.json()), (200, {'ready': True}))
        reduce(self.state, StopRequested(now=2))
        self.assertEqual(self.get('/readyz').status, 503)
        self.assertEqual(self.get('/healthz').status, 200)

    def test_status(self) -> None:
        """Guards against a status that hides what is held."""
        before = self.json('/status')
        self.assertEqual((before['ready'], before['highest']), (False, 0))
        self.hold()
        after = self.json('/status')
        self.assertEqual((after['ready'], after['highest']), (True, 2))
        self.assertEqual(after['versions']['teams/generated'], 1)
        self.assertEqual(len(after['digest']), 32)

    def test_explain(self) -> None:
        """Guards against an answer for another path or method."""
        self.hold()
        found = self.json('/explain?method=POST&path=%2Fsvc-1%2Fwrite%2Fx')
        self.assertEqual(found['route'], 'generated/write-svc-1')
        self.assertEqual(found['endpoints'][0]['instance'], 'svc-1-1')
        unrouted = self.json('/explain?path=/svc-1/other/x')
        self.assertIn('no route matches', unrouted['outcome'])

    @params('/', '/status/', '/nothing')
    def test_unknown_path(self, path: str) -> None:
        """Guards against a probe of a wrong path that succeeds."""
        answer = self.get(path)
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.json()['code'], 'unknown-path')
        self.assertIn('/explain', answer.json()['fix'])

    def test_metrics(self) -> None:
        """Guards against lines that a collector reads wrongly."""
        attributes = (('kind', 'a"\n'), ('b', r'\c'))
        for amount in (5, 2):
            self.metrics.add('peers.bytes', amount, attributes)
        self.metrics.add('retries')
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
            bucket % ('5e-05', 1),
            bucket % ('0.0008', 2),
            bucket % ('0.0016', 3),
            bucket % ('6.5536', 3),
            bucket % ('+Inf', 4),
        ):
            self.assertIn(line, lines)
        sums = [text for text in lines if '_seconds_sum' in text]
        self.assertEqual(len(sums), 1)
        self.assertAlmostEqual(float(sums[0].split()[1]), 100.00175)
