"""Guards against requests that wait at a slow upstream beside fast ones."""

import unittest

from nose2.tools import params

from briartack.core.calls.run_times import (
    MEAN_MAX_AGE_SECONDS,
    MEAN_WINDOW_ANSWERS,
    MeanRunTime,
    TypicalTimes,
)
from briartack.test.call_bench import Bench


class RunTimeTest(unittest.TestCase):
    def test_mean_follows_a_change_and_grows_old(self) -> None:
        run_time = MeanRunTime()
        self.assertIsNone(run_time.recent_mean(0))
        for _ in range(MEAN_WINDOW_ANSWERS):
            run_time.update(1, 0.1)
        for _ in range(4 * MEAN_WINDOW_ANSWERS):
            run_time.update(2, 0.4)
        self.assertGreater(run_time.recent_mean(2) or 0, 0.38)
        self.assertIsNone(run_time.recent_mean(2 + MEAN_MAX_AGE_SECONDS))

    def test_report_of_nothing_changes_nothing(self) -> None:
        run_time = MeanRunTime()
        run_time.set_reported_mean(1, 0.2)
        run_time.set_reported_mean(2, 0)
        self.assertEqual(run_time.recent_mean(2), 0.2)

    @params(
        ((0.1, 0.1, 0.26), 0.26, True),
        ((0.1, 0.1, 0.24), 0.24, False),
        ((0.1, 0.26), 0.26, False),
        ((0.1, 0.1, 0.1, None), None, False),
        # After a restart of all, all of them are slow.
        ((0.4, 0.4, 0.4), 0.4, False),
    )
    def test_slow_is_told_by_comparison(
        self,
        means: tuple[float | None, ...],
        mean: float | None,
        is_slow: bool,
    ) -> None:
        typical = TypicalTimes()
        self.assertTrue(typical.is_due('s', 1))
        typical.update('s', 1, means)
        self.assertFalse(typical.is_due('s', 1.1))
        self.assertTrue(typical.is_due('s', 1.25))
        self.assertIs(typical.is_slow('s', mean), is_slow)


class ChoiceTest(unittest.TestCase):
    def bench(self, near_seconds: float) -> Bench:
        """Connect three instances, of which `b` is the nearest."""
        bench = Bench(setup={'members': 'bcd'})
        for number, peer in enumerate('bcd', start=1):
            bench.run({'at': 1, 'do': 'connect', 'peer': peer})
            seconds = near_seconds if peer == 'b' else 0.1
            bench.run(
                {
                    'at': 1,
                    'do': 'answer',
                    'peer': peer,
                    'attempt': f'old.{number}',
                    'run_seconds': seconds,
                },
            )
        return bench

    @params((0.1, 1, True), (0.4, 1, False), (0.4, 5, True))
    def test_slow_one_is_left_while_others_have_room(
        self,
        near_seconds: float,
        at: float,
        is_near: bool,
    ) -> None:
        """Guards against a near and slow one that is chosen for its load."""
        bench = self.bench(near_seconds)
        sent = bench.run({'at': at, 'do': 'arrive', 'call': 'p'})
        self.assertIs(sent[0].startswith('send b '), is_near)

    def test_slow_one_serves_when_others_are_full(self) -> None:
        bench = self.bench(0.4)
        sent = [
            bench.run({'at': 1, 'do': 'arrive', 'call': f'p{number}'})[0]
            for number in range(9)
        ]
        self.assertEqual(sum(one.startswith('send b ') for one in sent), 1)
