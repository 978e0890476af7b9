"""Guards the bound of a cold upstream in any second."""

import itertools
import unittest
from collections import deque

from nose2.tools import params

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.cold_start_limiter import ColdStartLimiter


def make_cold_start_limiter(
    per_second: float, burst: float
) -> ColdStartLimiter:
    """Make the limiter of a cold upstream."""
    limiter = ColdStartLimiter()
    limiter.configure(per_second, CallRules(cold_overage=1, cold_slack=burst))
    limiter.extend_cold_phase(100)
    return limiter


def starts(
    limiter: ColdStartLimiter, seconds: float, step: float
) -> list[float]:
    """Start whatever the limiter allows, at every step."""
    started: list[float] = []
    for number in range(round(seconds / step)):
        now = number * step
        while limiter.available_starts(now):
            limiter.started(now)
            started.append(now)
    return started


def most_in_a_second(times: list[float]) -> int:
    """Count the starts in the fullest window of one second."""
    window: deque[float] = deque()
    most = 0
    for at in times:
        window.append(at)
        while window[0] <= at - 1:
            window.popleft()
        most = max(most, len(window))
    return most


class ColdGateTest(unittest.TestCase):
    @params(
        (27.0, 5.0, 0.001),
        (46.5, 5.0, 0.001),
        (46.5, 5.0, 0.1),
        (10.0, 1.0, 0.01),
    )
    def test_no_second_exceeds_the_bound(
        self,
        per_second: float,
        burst: float,
        step: float,
    ) -> None:
        limiter = make_cold_start_limiter(per_second, burst)
        started = starts(limiter, 4, step)
        self.assertLessEqual(most_in_a_second(started), per_second + burst)

    def test_starts_are_spread(self) -> None:
        """Guards against a burst after which nothing starts for a second."""
        limiter = make_cold_start_limiter(27, 5)
        times = starts(limiter, 3, 0.001)
        gaps = [later - one for one, later in itertools.pairwise(times)]
        self.assertLess(max(gaps), 0.05)

    def test_warm_starts_count_when_it_turns_cold(self) -> None:
        """Guards against a burst on top of what has just been sent."""
        limiter = make_cold_start_limiter(27, 5)
        for number in range(100):
            limiter.started(number / 100)
        self.assertEqual(limiter.available_starts(1.0), 0)

    def test_what_the_upstream_says_counts(self) -> None:
        limiter = make_cold_start_limiter(27, 5)
        self.assertTrue(limiter.is_cold(2))
        limiter.record_cold_until(1)
        self.assertFalse(limiter.is_cold(2))
        self.assertIsNone(limiter.available_starts(2))

    def test_without_a_rate_nothing_is_bounded(self) -> None:
        limiter = ColdStartLimiter()
        limiter.configure(None, CallRules())
        limiter.extend_cold_phase(100)
        self.assertIsNone(limiter.available_starts(2))
