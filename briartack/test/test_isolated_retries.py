"""Test where requests go that were running when an upstream failed or ended.

Only evidence of an end may send a request past the nearer upstreams, and none
may send it to an upstream without room.
"""

import unittest
from collections import Counter
from random import Random

from nose2.tools import params

from briartack.core.calls.fingerprint import compute_fingerprint
from briartack.core.units import Digest
from briartack.test.call_path_bench import CallPathBench

HOT = compute_fingerprint(
    service='s',
    method='GET',
    target='/s/hot',
    body_bytes=0,
    body_digest=Digest(b''),
)


def make_bench(seed: int, **rules: bool) -> CallPathBench:
    """Make a daemon `a` with `b` in its data centre and `d` far away."""
    policy = {'max_attempts': 3, 'repeatable': True, 'retry_percent': 100}
    bench = CallPathBench(
        setup={'members': 'abcd', 'policy': policy, 'rules': rules},
        random=Random(seed),
    )
    for peer in 'bcd':
        bench.apply_step(
            {
                'do': 'connect',
                'at': 0.9,
                'peer': peer,
                'clock': 0.9,
                'incarnation': 'j1',
            }
        )
    return bench


def find_peers(effects: list[str]) -> list[str]:
    """Return the peers to which attempts are sent."""
    return [effect.split()[1] for effect in effects if effect[:5] == 'send ']


class IsolatedRetriesTest(unittest.TestCase):
    # Guards against retries in other regions of requests whose upstream gave a
    # malformed answer, while near ones are idle.
    def test_retry_after_a_failed_answer_stays_near(self) -> None:
        peers: Counter[str] = Counter()
        for seed in range(100):
            bench = make_bench(seed)
            effects = bench.apply_step(
                {'do': 'arrive', 'at': 1, 'call': 'p', 'target': f'/s/{seed}'}
            )
            step = {'do': 'fail', 'attempt': 'a.i1.1', 'may_have_run': True}
            if find_peers(effects):
                step = {
                    'do': 'answer',
                    'peer': find_peers(effects)[0],
                    'attempt': 'a.i1.1',
                    'verdict': 'unknown',
                    'reason': 'upstream-failed',
                }
            effects = bench.apply_step({**step, 'at': 1.05})
            for now in (1.06, 1.1, 1.2, 1.3):
                effects.extend(bench.apply_step({'do': 'tick', 'at': now}))
            peers.update(find_peers(effects))
        self.assertEqual(set(peers), {'b'})

    # Guards against an upstream without room that gets all copies of a request
    # under which an upstream has ended.
    @params(False, True)
    def test_copies_of_a_request_spread_when_one_is_full(
        self, has_evidence: bool
    ) -> None:
        bench = make_bench(3, counts_refusals=False)
        if has_evidence:
            bench.state.owner.suspects.record_end(0.95, b'12345678', [HOT])
        peers: Counter[str] = Counter()
        for number in range(40):
            effects = bench.apply_step(
                {
                    'do': 'arrive',
                    'at': 1 + number / 1000,
                    'call': f'p{number}',
                    'target': '/s/hot',
                }
            )
            peers.update(find_peers(effects))
        self.assertGreaterEqual(len(peers), 3)
