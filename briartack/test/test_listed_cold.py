"""Test that an owner obeys a cold time that only the list states.

Health answers state it too, but they are asked for less often than a cold time
lasts.
"""

import json
import unittest
from operator import itemgetter
from typing import Final

from nose2.tools import params

from briartack.core import events
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.calls_state import CallsState
from briartack.core.effects import WakeAt
from briartack.core.reducer import reduce
from briartack.core.units import Revision
from briartack.test.call_path_bench import CallPathBench, Step
from briartack.test.daemon_pair import OWN, PEER
from briartack.test.test_cold_gate import count_busiest_second
from briartack.test.test_leaving_upstream import make_daemon, make_record
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
# For starts before the news: those of an upstream that other cold ones leave
# the whole load.
BUSY_PER_SECOND: Final = 120
COLD_AT: Final = 12.0
COLD_SECONDS: Final = 3.0
PLAY_SECONDS: Final = 6.0
MAX_PER_SECOND: Final = 32  # 18 times the overage, and the slack
COLD_RATE: Final = 25  # a little less, since arrivals are counted elsewhere
NEVER: Final = 90.0


def make_news(
    cold_at: float, news_after: float, probe_after: float
) -> list[tuple[float, Step]]:
    """Make the list's news and the health answer on a cold time."""
    probe_at = cold_at + probe_after
    # The entry is written at the beginning, or a little later.
    cold_ms = round(COLD_SECONDS * 1000 - cold_at % 1 * 10)
    cold_seconds = cold_at + COLD_SECONDS - probe_at
    return [
        (
            cold_at + news_after,
            {'do': 'change', 'setup': {'cold_ms': cold_ms}},
        ),
        (
            probe_at,
            {'do': 'probe', 'at': probe_at, 'cold_seconds': cold_seconds},
        ),
    ]


def list_starts(
    bench: CallPathBench, news: list[tuple[float, Step]]
) -> list[float]:
    """Return when requests start at an upstream of which news arrives."""
    started: list[float] = []
    news.sort(key=itemgetter(0))
    for number in range(round(PLAY_SECONDS * BUSY_PER_SECOND)):
        now = START_AT + number / BUSY_PER_SECOND
        steps: list[Step] = []
        while news and news[0][0] <= now:
            steps.append(news.pop(0)[1])
        arrival = {'do': 'arrive', 'call': f'p{number}', 'target': '/s/1'}
        steps.extend(({'do': 'tick', 'at': now}, {**arrival, 'at': now}))
        for step in steps:
            effects = bench.apply_step(step)
            started.extend(
                now for effect in effects if effect.startswith('dispatch ')
            )
    return started


def make_busy_bench() -> CallPathBench:
    """Make a daemon whose upstream has room for all requests while warm."""
    bench = CallPathBench(
        setup={'limits': {**LIMITS, 'slots': 900, 'connections': 900}},
        state=CallsState(
            drain_seconds=5,
            rules=CallRules(cold_overage=1.5, cold_slack=5),
        ),
    )
    for now in (1, 2):
        bench.apply_step({'do': 'tick', 'at': now})
    return bench


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

    # Guards against a burst of starts that are allowed after the news although
    # those between the beginning of the cold time and the news count too.
    @params(
        # Seconds from the beginning to the news, and to the health answer.
        (0, 0.01),
        (0.05, 0.06),
        (0.11, 0.12),
        (0.11, NEVER),
        (0.15, NEVER),
        (0.2, 0.21),
        (0.2, NEVER),
        (NEVER, 0.2),
    )
    def test_starts_before_the_news_count(
        self, news_after: float, probe_after: float
    ) -> None:
        started = list_starts(
            make_busy_bench(), make_news(COLD_AT, news_after, probe_after)
        )
        cold = [at for at in started if COLD_AT <= at < COLD_AT + COLD_SECONDS]
        self.assertLessEqual(count_busiest_second(cold), MAX_PER_SECOND)
        # The bound is used: requests are not refused without need.
        self.assertGreaterEqual(len(cold), COLD_SECONDS * COLD_RATE)

    # Guards against a cold time that ends early for its owner, because a second
    # one began before its end, and against starts that no longer count then.
    @params((0.5, 0.1, 0.11), (0.5, 0.1, NEVER), (1.5, 0.05, 0.06), (2.9, 0, 0))
    def test_upstream_becomes_cold_again(
        self, again_after: float, news_after: float, probe_after: float
    ) -> None:
        again_at = COLD_AT + again_after
        started = list_starts(
            make_busy_bench(),
            [
                *make_news(COLD_AT, news_after, probe_after),
                *make_news(again_at, news_after, probe_after),
            ],
        )
        cold = [at for at in started if COLD_AT <= at < again_at + COLD_SECONDS]
        self.assertLessEqual(count_busiest_second(cold), MAX_PER_SECOND)

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

    # Guards against a registration that a number out of range makes unusable.
    @params((1500, 1500), (0.4, 0), (-1, 0), (-0.5, 0), (1e30, 0))
    def test_registration_states_the_cold_time(
        self, stated: object, expected: int
    ) -> None:
        status = {'state': 'ready', 'sequence': 4, 'cold_left_ms': stated}
        entry = decode_single_entry(
            item('servers/i-1', {**SERVER, 'status': status})
        )
        self.assertEqual(json.loads(entry.value or '')['cold_ms'], expected)
