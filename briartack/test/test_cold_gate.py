"""Test the rate limit of a cold upstream, which holds within any second."""

import itertools
import unittest
from collections import deque

from nose2.tools import params

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.cold_start_limiter import ColdStartLimiter


def make_cold_start_limiter(
    per_second: float, burst: float
) -> ColdStartLimiter:
    """Make the limiter of an upstream that is cold for 100 s."""
    limiter = ColdStartLimiter()
    limiter.configure(per_second, CallRules(cold_overage=1, cold_slack=burst))
    limiter.extend_cold_phase(0, 0, 100)
    return limiter


def simulate_starts(
    limiter: ColdStartLimiter, seconds: float, step: float
) -> list[float]:
    """Start as often as the limiter allows at each step; return the times."""
    started: list[float] = []
    for number in range(round(seconds / step)):
        now = number * step
        while limiter.count_available_starts(now):
            limiter.record_start(now)
            started.append(now)
    return started


def count_busiest_second(times: list[float]) -> int:
    """Return the largest number of starts within any second."""
    window: deque[float] = deque()
    busiest = 0
    for at in times:
        window.append(at)
        while window[0] <= at - 1:
            window.popleft()
        busiest = max(busiest, len(window))
    return busiest


class ColdGateTest(unittest.TestCase):
    """Check when a cold upstream may start requests.

    More starts than rate plus burst within a second overload a cold upstream.
    """

    @params(
        (27.0, 5.0, 0.001),
        (46.5, 5.0, 0.001),
        (46.5, 5.0, 0.1),
        (10.0, 1.0, 0.01),
    )
    def test_starts_in_any_second_are_within_rate_plus_burst(
        self,
        per_second: float,
        burst: float,
        step: float,
    ) -> None:
        limiter = make_cold_start_limiter(per_second, burst)
        started = simulate_starts(limiter, 4, step)
        self.assertLessEqual(count_busiest_second(started), per_second + burst)

    # Guards against 31 arrivals in a second of which 27 were started: requests
    # took up to 0.2 s to arrive on a busy machine, and came together.
    @params((27.0, 5.0, 28), (46.5, 5.0, 47), (10.0, 1.0, 8))
    def test_second_has_a_margin_for_late_arrivals(
        self, per_second: float, burst: float, expected: int
    ) -> None:
        limiter = make_cold_start_limiter(per_second, burst)
        limiter.count_available_starts(-9)
        started = simulate_starts(limiter, 4, 0.001)
        self.assertEqual(count_busiest_second(started), expected)

    def test_starts_are_evenly_spread(self) -> None:
        """Check that starts are at most 0.05 s apart, not in bursts."""
        limiter = make_cold_start_limiter(27, 5)
        times = simulate_starts(limiter, 3, 0.001)
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        self.assertLess(max(gaps), 0.05)

    def test_starts_before_cold_phase_use_up_burst(self) -> None:
        """Check that starts before the cold phase use up the burst.

        Otherwise an upstream that turns cold would get a burst in addition to
        the requests of the last second.
        """
        limiter = make_cold_start_limiter(27, 5)
        for number in range(100):
            limiter.record_start(number / 100)
        self.assertEqual(limiter.count_available_starts(1.0), 0)

    # Guards against requests that queue behind an upstream which can't start
    # them for a while, because its senders see little load.
    @params((29, 0), (30, 1))
    def test_full_second_shows_as_load(
        self, starts: int, expected: float
    ) -> None:
        limiter = make_cold_start_limiter(29, 5)
        for number in range(starts):
            limiter.record_start(number / 100)
        self.assertEqual(limiter.load(0.4, 0), expected)

    def test_cold_phase_ends_when_upstream_reports(self) -> None:
        """Check that the reported end of the cold phase replaces any other."""
        limiter = make_cold_start_limiter(27, 5)
        self.assertTrue(limiter.is_cold(2))
        limiter.record_cold_phase(0, 0, 1)
        self.assertFalse(limiter.is_cold(2))
        self.assertIsNone(limiter.count_available_starts(2))

    def test_without_rate_starts_are_unlimited(self) -> None:
        limiter = ColdStartLimiter()
        limiter.configure(None, CallRules())
        limiter.extend_cold_phase(0, 0, 100)
        self.assertIsNone(limiter.count_available_starts(2))
