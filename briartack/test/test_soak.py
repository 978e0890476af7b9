"""A short fault soak of real processes under load, with a fixed seed.

Daemons are killed, frozen and stopped in a planned way, upstreams fail, the
store is away, late and restored from a copy, and changes come meanwhile, while
callers keep their connections. `python -m benchmarks fault_run` plays other
seeds and longer runs.
"""

import unittest

from nose2.tools import params

from benchmarks.fault_run import measure

SOAK_SECONDS = 45.0


class SoakTest(unittest.TestCase):
    # Guards against a promise that only holds without several faults at once.
    @params(5)
    def test_promises_hold_under_faults(self, seed: int) -> None:
        figures = measure(seed=seed, seconds=SOAK_SECONDS, intensity=2)
        self.assertEqual(figures['violations'], [])
