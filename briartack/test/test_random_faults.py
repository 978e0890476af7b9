"""Tests of the configuration in force in fleets with random faults.

A seed decides the size of the fleet and which faults overlap while versions
are published.
"""

import os
import unittest
from typing import Final

from nose2.tools import params

from briartack.test import fleet_faults, store_faults
from briartack.test.fault_play import Fault, FaultPlay

# `FIRST:LAST` plays other seeds.
SEEDS_VARIABLE: Final = 'BRIARTACK_FAULT_SEEDS'
FAULTS: Final[tuple[Fault, ...]] = (
    fleet_faults.restart,
    fleet_faults.restart_group,
    fleet_faults.restart_all,
    fleet_faults.freeze,
    fleet_faults.suspend,
    fleet_faults.cut,
    fleet_faults.cut_pair,
    fleet_faults.cut_store,
    fleet_faults.isolate,
    fleet_faults.silence,
    fleet_faults.silence_some,
    fleet_faults.reset,
    fleet_faults.slow_down,
    fleet_faults.lapse,
    fleet_faults.list_lags,
    fleet_faults.join,
    fleet_faults.leave,
    store_faults.store_down,
    store_faults.store_slow,
    store_faults.store_silent,
    store_faults.watches_silent,
    store_faults.store_refuses,
    store_faults.answers_lost,
    store_faults.history_dropped,
    store_faults.restore,
)


def seeds() -> tuple[int, ...]:
    """Return the seeds to play."""
    first, last = os.environ.get(SEEDS_VARIABLE, '1:6').split(':')
    return tuple(range(int(first), int(last) + 1))


class RandomFaultsTest(unittest.TestCase):
    # Guards against versions that are late or come back beside faults.
    @params(*seeds())
    def test_versions_are_in_force_in_time(self, seed: int) -> None:
        played = FaultPlay(seed, FAULTS)
        played.play()
        self.assertEqual(played.went_back, [])
        self.assertEqual(played.late, [], '\n'.join(played.history))
