"""Test the choice of upstreams for routes whose answers are large.

It guards against large answers that cross to another data centre, where their
bytes take as long, although a near upstream would serve them in time.
"""

import unittest
from typing import Final

from nose2.tools import params

from briartack.test.call_path_bench import CallPathBench

RULES: Final = {'full_load': 1.25, 'large_body_full_load': 4.0}


class LargeAnswersTest(unittest.TestCase):
    @params(
        ({}, 1.0, 'b'),
        ({}, 2.0, 'd'),
        ({'has_large_answers': False}, 2.0, 'd'),
        ({'has_large_answers': True}, 2.0, 'b'),
        ({'has_large_answers': True}, 3.9, 'b'),
        ({'has_large_answers': True}, 4.5, 'd'),
    )
    def test_large_answers_come_from_near_upstreams(
        self, policy: dict[str, bool], near_load: float, expected: str
    ) -> None:
        """Check up to which load the near upstream `b` is preferred to `d`."""
        bench = CallPathBench(
            setup={'members': 'bd', 'policy': policy, 'rules': RULES}
        )
        for peer in 'bd':
            bench.apply_step({'at': 1, 'do': 'connect', 'peer': peer})
        bench.apply_step(
            {
                'at': 1,
                'do': 'answer',
                'peer': 'b',
                'attempt': 'x',
                'load': near_load,
            }
        )
        effects = bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        self.assertIn(f'send {expected}', ' '.join(effects))
