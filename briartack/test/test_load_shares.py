"""Test which requests an owner serves in time while its slots are short.

Virtual time, through the reducer. The bounds follow from the capacity of the
upstream: what it could serve in time by the best order, less a tenth.
"""

import itertools
import unittest
from collections.abc import Iterable
from functools import partial
from typing import Final

from briartack.core.calls.caller_clocks import MIN_CALLS
from briartack.test.load_bench import (
    CAPACITY,
    STARTED_AT,
    TARGET_MS,
    TIMEOUT_MS,
    WORK_SECONDS,
    LoadBench,
    Request,
)

TARGET_SECONDS: Final = TARGET_MS / 1000
TIMEOUT_SECONDS: Final = TIMEOUT_MS / 1000
# Share of the best result that an order without knowledge of the future gets.
MIN_SHARE: Final = 0.9
PEAK: Final = 1.4
PEAK_SECONDS: Final = 4
SHORTAGE_SECONDS: Final = 20
SPELL_SECONDS: Final = 0.6
SPELL_PERIOD_SECONDS: Final = 4
SPELL_SLOWDOWN: Final = 2.5
NESTED_TIMEOUT_SECONDS: Final = 0.8
# No kind of request gets less than this share in a long shortage.
MIN_LEAST_SHARE: Final = 0.05


def compute_slowdown(now: float) -> float:
    """Return the slowdown of a host with spells."""
    is_slow = (now - STARTED_AT) % SPELL_PERIOD_SECONDS < SPELL_SECONDS
    return SPELL_SLOWDOWN if is_slow else 1.0


def compute_share_in_time(
    requests: Iterable[Request], target_seconds: float = TARGET_SECONDS
) -> float:
    """Return the share of requests that were answered within their target."""
    outcomes = [request.is_in_time(target_seconds) for request in requests]
    return sum(outcomes) / len(outcomes)


class LoadSharesTest(unittest.TestCase):
    """Check the shares in time by kind, and that answers are true."""

    def test_peak_with_callers_that_return(self) -> None:
        """Guard against slots for late calls while others can be in time."""
        bench = LoadBench()
        bench.schedule_calls(0, CAPACITY / 2, 1)
        bench.run_for(1)
        peak_at = bench.now
        bench.schedule_calls(0, PEAK * CAPACITY, PEAK_SECONDS)
        bench.run_for(PEAK_SECONDS + TIMEOUT_SECONDS)
        peak = [
            request
            for request in bench.requests.values()
            if request.began_at >= peak_at
        ]
        possible_share = CAPACITY * PEAK_SECONDS / len(peak)
        self.assertGreaterEqual(
            compute_share_in_time(peak), MIN_SHARE * possible_share
        )
        self._check_answers(bench)

    def test_late_calls_are_served_after_the_peak(self) -> None:
        """Guard against the loss of calls that return late.

        The capacity until the last deadline allows for all of them but those
        that came last.
        """
        bench = LoadBench()
        bench.schedule_calls(0, PEAK * CAPACITY, PEAK_SECONDS)
        bench.run_for(PEAK_SECONDS + TIMEOUT_SECONDS)
        answered = [
            request.answered_after < TIMEOUT_SECONDS
            for request in bench.requests.values()
        ]
        self.assertGreaterEqual(sum(answered) / len(answered), MIN_SHARE)

    def test_nested_calls_against_uploads(self) -> None:
        """Guard against runs that fail because their calls wait.

        Uploads of a lower rank number need more than all slots. The calls
        need a fifth of the slots and must all be in time.
        """
        bench = LoadBench()
        for offered, per_second in ((0, PEAK * CAPACITY), (1, CAPACITY / 5)):
            at = bench.now
            for number in itertools.count():
                at += bench.random.expovariate(per_second)
                if at > bench.now + PEAK_SECONDS:
                    break
                timeout = NESTED_TIMEOUT_SECONDS if offered else TIMEOUT_SECONDS
                send = partial(
                    bench.send_attempt,
                    f'{offered}-{number}',
                    rank=offered,
                    timeout_seconds=timeout,
                    target_seconds=timeout,
                    is_awaited_by_run=bool(offered),
                )
                bench.schedule(at, send)
        bench.run_for(PEAK_SECONDS + TIMEOUT_SECONDS)
        nested = [one for one in bench.requests.values() if one.rank]
        uploads = [one for one in bench.requests.values() if not one.rank]
        shares = [
            compute_share_in_time(nested, NESTED_TIMEOUT_SECONDS),
            compute_share_in_time(uploads, TIMEOUT_SECONDS),
        ]
        self.assertEqual(shares[0], 1)
        self.assertGreaterEqual(shares[1], MIN_SHARE * (1 - 1 / 5) / PEAK)
        self._check_answers(bench)

    def test_slow_spells(self) -> None:
        """Guard against a queue that keeps calls which a spell makes late.

        As much arrives as the upstream completes at its usual speed.
        """
        bench = LoadBench(slowdown=compute_slowdown)
        bench.schedule_calls(0, CAPACITY, SHORTAGE_SECONDS)
        bench.run_for(SHORTAGE_SECONDS + TIMEOUT_SECONDS)
        slow_share = SPELL_SECONDS / SPELL_PERIOD_SECONDS
        capacity = CAPACITY * (1 - slow_share * (1 - 1 / SPELL_SLOWDOWN))
        possible_share = capacity * SHORTAGE_SECONDS / len(bench.requests)
        share = compute_share_in_time(bench.requests.values())
        self.assertGreaterEqual(share, MIN_SHARE * possible_share)
        self._check_answers(bench)

    def test_two_ranks_in_a_long_shortage(self) -> None:
        """Guard against urgent calls behind others, and starved others.

        Each rank needs four fifths of the slots, for 20 s.
        """
        bench = LoadBench()
        for offered in range(2):
            bench.schedule_calls(offered, 0.8 * CAPACITY, SHORTAGE_SECONDS)
        bench.run_for(SHORTAGE_SECONDS + TIMEOUT_SECONDS)
        shares = [
            compute_share_in_time(
                one for one in bench.requests.values() if one.rank == rank
            )
            for rank in range(2)
        ]
        self.assertGreaterEqual(shares[0], MIN_SHARE)
        self.assertGreaterEqual(shares[1], MIN_LEAST_SHARE)
        self._check_answers(bench)

    def test_late_attempt_goes_behind_one_in_time(self) -> None:
        """Guard against a slot for an attempt whose target has passed."""
        self.assertEqual(self._start_two(states_load=True), ['in time', 'late'])

    def test_order_stays_without_a_stated_load(self) -> None:
        """Guard against changes for deployments that state no load."""
        self.assertEqual(
            self._start_two(states_load=False), ['late', 'in time']
        )

    def _start_two(self, *, states_load: bool) -> list[str]:
        """Return in which order two attempts start behind long runs."""
        bench = LoadBench(states_load=states_load)
        bench.slowdown = lambda _: 1 / WORK_SECONDS
        for name in 'abc':
            bench.call(name, 0)
            bench.run_for(0.2)
        for name, target_seconds in (('late', 0.1), ('in time', 3.0)):
            bench.send_attempt(
                name,
                rank=0,
                timeout_seconds=4,
                target_seconds=target_seconds,
            )
        bench.run_for(4)
        return bench.started[3:]

    def _check_answers(self, bench: LoadBench) -> None:
        """Check that each try has one answer and that refusals are true."""
        self.assertGreater(len(bench.requests), MIN_CALLS)
        for request in bench.requests.values():
            is_answered = request.answered_after < float('inf')
            self.assertEqual(request.answers, request.tries or 1)
            self.assertEqual(request.runs, int(is_answered))
