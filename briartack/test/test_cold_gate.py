"""Guards the bound of a cold upstream in any second."""

import itertools
import unittest
from collections import deque

from nose2.tools import params

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.cold_start_limiter import ColdStartLimiter


def gate_of(per_second: float, burst: float) -> ColdStartLimiter:
    """Make the gate of a cold upstream."""
    gate = ColdStartLimiter()
    gate.configure(per_second, CallRules(cold_overage=1, cold_slack=burst))
    gate.extend_cold_phase(100)
    return gate


def starts(gate: ColdStartLimiter, seconds: float, step: float) -> list[float]:
    """Start whatever the gate allows, at every step."""
    started: list[float] = []
    for number in range(round(seconds / step)):
        now = number * step
        while gate.available_starts(now):
            gate.started(now)
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
        gate = gate_of(per_second, burst)
        started = starts(gate, 4, step)
        self.assertLessEqual(most_in_a_second(started), per_second + burst)

    def test_starts_are_spread(self) -> None:
        """Guards against a burst after which nothing starts for a second."""
        gate = gate_of(27, 5)
        times = starts(gate, 3, 0.001)
        gaps = [later - one for one, later in itertools.pairwise(times)]
        self.assertLess(max(gaps), 0.05)

    def test_warm_starts_count_when_it_turns_cold(self) -> None:
        """Guards against a burst on top of what has just been sent."""
        gate = gate_of(27, 5)
        for number in range(100):
            gate.started(number / 100)
        self.assertEqual(gate.available_starts(1.0), 0)

    def test_what_the_upstream_says_counts(self) -> None:
        gate = gate_of(27, 5)
        self.assertTrue(gate.is_cold(2))
        gate.record_cold_until(1)
        self.assertFalse(gate.is_cold(2))
        self.assertIsNone(gate.available_starts(2))

    def test_without_a_rate_nothing_is_bounded(self) -> None:
        gate = ColdStartLimiter()
        gate.configure(None, CallRules())
        gate.extend_cold_phase(100)
        self.assertIsNone(gate.available_starts(2))
