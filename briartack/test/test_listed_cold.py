"""Test that an owner obeys a cold time that only the list states.

Health answers state it too, but they are asked for less often than a cold time
lasts.
"""

import json
import unittest
from typing import Final

from nose2.tools import params

from briartack.core import events
from briartack.core.effects import WakeAt
from briartack.core.reducer import reduce
from briartack.core.units import Revision
from briartack.test.call_path_bench import CallPathBench
from briartack.test.test_leaving_upstream import (
    OWN,
    PEER,
    make_daemon,
    make_record,
)
from briartack.test.test_platform_store import (
    SERVER,
    decode_single_entry,
    item,
)

COLD_PER_SECOND: Final = 18.0
LIMITS: Final = {
    'slots': 100,
    'connections': 100,
    'queue_length': 9,
    'ramp_seconds': 3,
    'cold_per_second': COLD_PER_SECOND,
}
# Of an upstream that has just become cold, with the burst of one that was warm.
MAX_STARTS: Final = COLD_PER_SECOND + 1
ARRIVALS: Final = 60
START_AT: Final = 10.0


def count_starts(bench: CallPathBench) -> int:
    """Return how many of the requests of one second start at the upstream."""
    started = 0
    for number in range(ARRIVALS):
        now = START_AT + number / ARRIVALS
        effects = bench.apply_step(
            {
                'do': 'arrive',
                'at': now,
                'call': f'p{number}',
                'target': f'/s/{number}',
            }
        )
        effects.extend(bench.apply_step({'do': 'tick', 'at': now}))
        started += sum(effect.startswith('dispatch ') for effect in effects)
    return started


class ListedColdTest(unittest.TestCase):
    # Guards against a busy upstream that becomes cold, says so in the list and
    # goes on to get its full share until the next probe.
    @params((0, ARRIVALS, ARRIVALS), (3000, 1, MAX_STARTS))
    def test_listed_cold_time_bounds_the_starts(
        self, cold_ms: int, fewest: float, most: float
    ) -> None:
        bench = CallPathBench(setup={'limits': LIMITS})
        for now in (1, 2):
            bench.apply_step({'do': 'tick', 'at': now})
        bench.update_setup({'cold_ms': cold_ms})
        bench.apply_step({'do': 'tick', 'at': START_AT})
        started = count_starts(bench)
        self.assertGreaterEqual(started, fewest)
        self.assertLessEqual(started, most)

    # Guards against a rate that waits for the next regular tick: an upstream
    # with 120 requests in a second got 12 of them meanwhile.
    @params((OWN, True), (PEER, False))
    def test_change_of_the_own_record_causes_a_tick(
        self, instance: str, expected: bool
    ) -> None:
        daemon = make_daemon()
        changed = events.StoreWatched(
            now=2,
            revision=Revision(9),
            entries=(make_record(instance, 9, cold_ms=3000),),
        )
        wakes = [
            effect.at
            for effect in reduce(daemon, changed)
            if isinstance(effect, WakeAt)
        ]
        self.assertEqual(2 in wakes, expected)

    # Guards against a rate that a stale statement keeps in force.
    def test_same_statement_counts_once(self) -> None:
        bench = CallPathBench(setup={'limits': LIMITS, 'cold_ms': 3000})
        for now in (1, 2, 5, 9):
            bench.apply_step({'do': 'tick', 'at': now})
        self.assertEqual(count_starts(bench), ARRIVALS)

    # Guards against a registration that an odd cold time makes unusable.
    @params((1500, 1500), (0.4, 0), (-1, 0), (True, 0), ('7', 0), (1e30, 0))
    def test_registration_states_the_cold_time(
        self, stated: object, expected: int
    ) -> None:
        status = {'state': 'ready', 'sequence': 4, 'cold_left_ms': stated}
        entry = decode_single_entry(
            item('servers/i-1', {**SERVER, 'status': status})
        )
        self.assertEqual(json.loads(entry.value or '')['cold_ms'], expected)
