"""The slow start never gives a cold upstream more than its ramp allows."""

import unittest

from nose2.tools import params

from briartack.core.calls.ramp import RampState
from briartack.core.configuration.settings import ServiceLimits
from briartack.test.call_bench import (
    Bench,
)


class RampTest(unittest.TestCase):
    """Guards against more load on a cold upstream than its ramp allows."""

    @params('none', 'reset', 'identity')
    def test_bound_holds(self, restart: str) -> None:
        bench = Bench(
            setup={
                'limits': {'slots': 16, 'connections': 99, 'ramp_seconds': 4}
            },
        )
        bench.run({'at': 0, 'do': 'probe', 'identity': 'p1'})
        running: list[str] = []
        cold_at = float(0)
        peak = 0
        for number in range(600):
            now = number / 50
            if number == 300:
                cold_at = self._restart(bench, restart, now, running)
            # One doubling for each second of the ramp, from one slot.
            allowed = min(16, 2 ** ((number - int(50 * cold_at)) // 50))
            for extra in range(12):
                started = self._offer(bench, 12 * number + extra, now)
                running.extend(started)
                self._check(started, running, allowed)
            peak = max(peak, len(running))
            for _ in range((len(running) + 1) // 2):
                started = self._answer(bench, running.pop(0), now)
                running.extend(started)
                self._check(started, running, allowed)
        self.assertEqual(peak, 16)

    def test_growth_needs_success(self) -> None:
        bench = Bench(setup={'limits': {'slots': 16}})
        for number in range(20):
            started = self._offer(bench, number, number)
            self.assertEqual(len(started), 1)
            bench.run(
                {
                    'at': number,
                    'do': 'upstream',
                    'attempt': started[0],
                    'status': 503,
                },
            )
        self.assertEqual(self._offer(bench, 90, 90), ['x90'])
        self.assertEqual(self._offer(bench, 91, 90), [])

    def test_limit_doubles_after_as_many_successes(self) -> None:
        bench = Bench(setup={'limits': {'slots': 16, 'connections': 99}})
        sizes = [self._fill_and_answer(bench, turn) for turn in range(9)]
        self.assertEqual(sizes, [1, 2, 2, 4, 4, 4, 4, 8, 8])

    @params(
        # Answers to requests of the process before a restart.
        (0.01, 'p2', 1),
        # Answers that are far slower than before.
        (0.09, 'p1', 2),
        (0.01, 'p1', 4),
    )
    def test_what_does_not_count(
        self,
        elapsed: float,
        identity: str,
        expected: int,
    ) -> None:
        bench = Bench(setup={'limits': {'slots': 1}})
        bench.run({'at': 0, 'do': 'probe', 'identity': 'p1'})
        for turn in range(30):
            self._fill_and_answer(bench, turn, 0.01)
        bench.change({'limits': {'slots': 16, 'connections': 99}})
        self._fill_and_answer(bench, 30, 0.01)
        running = self._offer(bench, 9000, 31) + self._offer(bench, 9010, 31)
        self.assertEqual(running, ['x9000', 'x9010'])
        bench.run({'at': 31, 'do': 'probe', 'identity': identity})
        for attempt in running:
            self._answer(bench, attempt, 31, elapsed)
        started = [self._offer(bench, 9100 + more, 31) for more in range(5)]
        self.assertEqual(sum(map(len, started)), expected)

    def test_latency_jump_restarts_until_it_is_normal(self) -> None:
        bench = Bench(setup={'limits': {'slots': 1}})
        restarts: list[int] = []
        for number in range(200):
            attempt = f'x{number}'
            bench.run({'at': number, 'do': 'attempt', 'attempt': attempt})
            elapsed = 0.01 if number < 60 else 0.3
            step = {'do': 'upstream', 'attempt': attempt, 'elapsed': elapsed}
            if 'count ramps_restarted' in bench.run({'at': number, **step}):
                restarts.append(number)
        self.assertIn(60, range(restarts[0] - 9, restarts[0] + 1))
        self.assertLess(restarts[-1], 100)

    # A fault in one route, with seven errors in ten, must not slow the rest.
    @params((10, True), (8, True), (7, False))
    def test_failing_upstream_starts_again(
        self,
        errors_in_ten: int,
        is_expected: bool,
    ) -> None:
        ramp = RampState()
        limits = ServiceLimits(slots=16, connections=99, ramp_seconds=0)
        restarted = [
            ramp.handle_answer(
                number,
                0.01,
                limits,
                generation=ramp.generation,
                is_success=number < 40 or number % 10 >= errors_in_ten,
            )
            for number in range(80)
        ]
        self.assertEqual(any(restarted), is_expected)
        self.assertEqual(ramp.limit(limits) < 16, is_expected)

    def _check(
        self,
        started: list[str],
        running: list[str],
        allowed: int,
    ) -> None:
        if started:
            self.assertLessEqual(len(running), allowed)

    def _restart(
        self,
        bench: Bench,
        restart: str,
        now: float,
        running: list[str],
    ) -> float:
        if restart == 'none':
            return 0
        if restart == 'identity':
            bench.run({'at': now, 'do': 'probe', 'identity': 'p2'})
            return now
        for attempt in tuple(running):
            running.remove(attempt)
            seen = bench.run(
                {
                    'at': now,
                    'do': 'fail',
                    'attempt': attempt,
                    'may_have_run': True,
                    'is_reset': True,
                },
            )
            running.extend(_dispatched(seen))
        return now

    def _offer(self, bench: Bench, number: int, now: float) -> list[str]:
        step = {'at': now, 'do': 'attempt', 'attempt': f'x{number}'}
        return _dispatched(bench.run(step))

    def _answer(
        self,
        bench: Bench,
        attempt: str,
        now: float,
        elapsed: float = 0.1,
    ) -> list[str]:
        step = {'do': 'upstream', 'attempt': attempt, 'elapsed': elapsed}
        return _dispatched(bench.run({'at': now, **step}))

    def _fill_and_answer(
        self,
        bench: Bench,
        turn: int,
        elapsed: float = 0.1,
    ) -> int:
        """Take all slots, count them, and answer one of their requests."""
        first = 100 * turn
        started = [self._offer(bench, first + more, turn) for more in range(9)]
        running = [attempt for some in started for attempt in some]
        size = len(running)
        if running:
            self._answer(bench, running.pop(0), turn, elapsed)
        for more in range(9):
            attempt = f'x{first + more}'
            bench.run({'at': turn, 'do': 'cancel', 'attempt': attempt})
        return size


def _dispatched(seen: list[str]) -> list[str]:
    return [text.split()[1] for text in seen if text.startswith('dispatch ')]
