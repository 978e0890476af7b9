"""Tests of the run times by which a daemon detects slow instances.

They guard against requests that wait at a slow upstream while other instances
of the service answer fast.
"""

import unittest

from nose2.tools import params

from briartack.core.calls.run_times import (
    MEAN_MAX_AGE_SECONDS,
    MEAN_WINDOW_ANSWERS,
    MeanRunTime,
    TypicalTimes,
)
from briartack.test.call_path_bench import CallPathBench


class RunTimeTest(unittest.TestCase):
    def test_mean_follows_a_change_and_expires(self) -> None:
        """Guard against a mean that keeps an instance slow for ever."""
        run_time = MeanRunTime()
        self.assertIsNone(run_time.recent_mean(0))
        for _ in range(MEAN_WINDOW_ANSWERS):
            run_time.update(1, 0.1)
        for _ in range(4 * MEAN_WINDOW_ANSWERS):
            run_time.update(2, 0.4)
        self.assertGreater(run_time.recent_mean(2) or 0, 0.38)
        self.assertIsNone(run_time.recent_mean(2 + MEAN_MAX_AGE_SECONDS))

    def test_report_of_zero_does_not_change_the_mean(self) -> None:
        """Guard against an unknown run time that counts as a fast one."""
        run_time = MeanRunTime()
        run_time.set_reported_mean(1, 0.2)
        run_time.set_reported_mean(2, 0)
        self.assertEqual(run_time.recent_mean(2), 0.2)

    @params(
        ((0.1, 0.1, 0.26), 0.26, True),
        ((0.1, 0.1, 0.24), 0.24, False),
        ((0.1, 0.26), 0.26, False),
        ((0.1, 0.1, 0.1, None), None, False),
        # After a restart of all instances, all of them are slow.
        ((0.4, 0.4, 0.4), 0.4, False),
    )
    def test_slow_means_far_above_the_typical_mean(
        self,
        means: tuple[float | None, ...],
        mean: float | None,
        is_slow: bool,
    ) -> None:
        """Guard against an instance that is called slow or fast wrongly.

        Each row states the means of all instances, the mean of one instance,
        and whether this instance is slow.
        """
        typical = TypicalTimes()
        self.assertTrue(typical.is_due('s', 1))
        typical.update('s', 1, means)
        self.assertFalse(typical.is_due('s', 1.1))
        self.assertTrue(typical.is_due('s', 1.25))
        self.assertIs(typical.is_slow('s', mean), is_slow)


class EndpointChoiceTest(unittest.TestCase):
    def connected_bench(self, nearest_run_seconds: float) -> CallPathBench:
        """Return a bench with three connected instances; `b` is the nearest.

        The run time of `b` is given; the other two take 0.1 s.
        """
        bench = CallPathBench(setup={'members': 'bcd'})
        for number, peer in enumerate('bcd', start=1):
            bench.apply_step({'at': 1, 'do': 'connect', 'peer': peer})
            seconds = nearest_run_seconds if peer == 'b' else 0.1
            bench.apply_step(
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
    def test_slow_instance_is_avoided_while_others_have_room(
        self,
        nearest_run_seconds: float,
        at: float,
        is_nearest_chosen: bool,
    ) -> None:
        """Guard against a near but slow instance that its low load favours.

        After 3 s without answers, its run time no longer counts.
        """
        bench = self.connected_bench(nearest_run_seconds)
        sent = bench.apply_step({'at': at, 'do': 'arrive', 'call': 'p'})
        self.assertIs(sent[0].startswith('send b '), is_nearest_chosen)

    def test_slow_instance_is_used_when_others_are_full(self) -> None:
        """Guard against refused requests while a slow instance is idle."""
        bench = self.connected_bench(0.4)
        sent = [
            bench.apply_step({'at': 1, 'do': 'arrive', 'call': f'p{number}'})[0]
            for number in range(9)
        ]
        self.assertEqual(sum(text.startswith('send b ') for text in sent), 1)
