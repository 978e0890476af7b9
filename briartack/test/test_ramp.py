"""Tests of the ramp, which limits the load on an upstream after its start.

The limit starts at one slot and doubles with successful answers, but not
faster than the ramp allows; a restart of the upstream starts the ramp again.
"""

import unittest

from nose2.tools import params

from briartack.core.calls.slow_start import SlowStartState
from briartack.core.configuration.settings import ServiceLimits
from briartack.test.call_path_bench import (
    CallPathBench,
)


class RampTest(unittest.TestCase):
    """Guard against more load on a cold upstream than its ramp allows."""

    @params('none', 'reset', 'identity')
    def test_concurrency_never_exceeds_the_ramp(self, restart: str) -> None:
        """Guard against requests above the ramp, also after a restart.

        Halfway, the upstream restarts, which shows in reset connections or in
        another identity; the first row has no restart.
        """
        bench = CallPathBench(
            setup={
                'limits': {'slots': 16, 'connections': 99, 'ramp_seconds': 4}
            },
        )
        bench.apply_step({'at': 0, 'do': 'probe', 'identity': 'p1'})
        running: list[str] = []
        cold_at = float(0)
        peak = 0
        for number in range(600):
            now = number / 50
            if number == 300:
                cold_at = self._restart(bench, restart, now, running)
            # The ramp of 4 s allows one doubling a second, from 1 to 16 slots.
            allowed = min(16, 2 ** ((number - int(50 * cold_at)) // 50))
            for extra in range(12):
                started = self._start_attempt(bench, 12 * number + extra, now)
                running.extend(started)
                self._check_concurrency(started, running, allowed)
            peak = max(peak, len(running))
            for _ in range((len(running) + 1) // 2):
                started = self._answer_attempt(bench, running.pop(0), now)
                running.extend(started)
                self._check_concurrency(started, running, allowed)
        self.assertEqual(peak, 16)

    def test_limit_grows_only_with_successful_answers(self) -> None:
        """Guard against a limit that rises while the upstream fails."""
        bench = CallPathBench(setup={'limits': {'slots': 16}})
        for number in range(20):
            started = self._start_attempt(bench, number, number)
            self.assertEqual(len(started), 1)
            bench.apply_step(
                {
                    'at': number,
                    'do': 'upstream',
                    'attempt': started[0],
                    'status': 503,
                },
            )
        self.assertEqual(self._start_attempt(bench, 90, 90), ['x90'])
        self.assertEqual(self._start_attempt(bench, 91, 90), [])

    def test_limit_doubles_after_as_many_successes_as_slots(self) -> None:
        """Guard against a limit that rises before every slot was tried."""
        bench = CallPathBench(
            setup={'limits': {'slots': 16, 'connections': 99}}
        )
        sizes = [
            self._fill_slots_and_answer_one(bench, turn) for turn in range(9)
        ]
        self.assertEqual(sizes, [1, 2, 2, 4, 4, 4, 4, 8, 8])

    @params(
        # Answers to requests that the process before a restart ran.
        (0.01, 'p2', 1),
        # Answers that are far slower than the earlier ones.
        (0.09, 'p1', 2),
        (0.01, 'p1', 4),
    )
    def test_answers_of_old_process_and_slow_ones_do_not_count(
        self,
        elapsed: float,
        identity: str,
        expected: int,
    ) -> None:
        """Guard against growth by answers that say nothing of the new process.

        Each row states the run time, the identity of the upstream, and the
        limit afterwards.
        """
        bench = CallPathBench(setup={'limits': {'slots': 1}})
        bench.apply_step({'at': 0, 'do': 'probe', 'identity': 'p1'})
        for turn in range(30):
            self._fill_slots_and_answer_one(bench, turn, 0.01)
        bench.update_setup({'limits': {'slots': 16, 'connections': 99}})
        self._fill_slots_and_answer_one(bench, 30, 0.01)
        running = self._start_attempt(bench, 9000, 31) + self._start_attempt(
            bench, 9010, 31
        )
        self.assertEqual(running, ['x9000', 'x9010'])
        bench.apply_step({'at': 31, 'do': 'probe', 'identity': identity})
        for attempt in running:
            self._answer_attempt(bench, attempt, 31, elapsed)
        started = [
            self._start_attempt(bench, 9100 + more, 31) for more in range(5)
        ]
        self.assertEqual(sum(map(len, started)), expected)

    def test_latency_jump_restarts_the_ramp_until_it_is_typical(self) -> None:
        """Guard against a cold start that only the run times show.

        The ramp must not restart for ever when answers stay slow.
        """
        bench = CallPathBench(setup={'limits': {'slots': 1}})
        restarts: list[int] = []
        for number in range(200):
            attempt = f'x{number}'
            bench.apply_step(
                {'at': number, 'do': 'attempt', 'attempt': attempt}
            )
            elapsed = 0.01 if number < 60 else 0.3
            step = {'do': 'upstream', 'attempt': attempt, 'elapsed': elapsed}
            if 'count ramps_restarted' in bench.apply_step(
                {'at': number, **step}
            ):
                restarts.append(number)
        self.assertIn(60, range(restarts[0] - 9, restarts[0] + 1))
        self.assertLess(restarts[-1], 100)

    # Seven errors in ten answers may come from one faulty route, which must
    # not slow down the other routes.
    @params((10, True), (8, True), (7, False))
    def test_ramp_restarts_at_eight_errors_in_ten(
        self,
        errors_in_ten: int,
        is_expected: bool,
    ) -> None:
        """Guard against full load on an upstream that fails every request."""
        ramp = SlowStartState()
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

    def _check_concurrency(
        self,
        started: list[str],
        running: list[str],
        allowed: int,
    ) -> None:
        """Check the number of running requests after new ones started."""
        if started:
            self.assertLessEqual(len(running), allowed)

    def _restart(
        self,
        bench: CallPathBench,
        restart: str,
        now: float,
        running: list[str],
    ) -> float:
        """Restart the upstream and return the time of its cold start."""
        if restart == 'none':
            return 0
        if restart == 'identity':
            bench.apply_step({'at': now, 'do': 'probe', 'identity': 'p2'})
            return now
        for attempt in tuple(running):
            running.remove(attempt)
            seen = bench.apply_step(
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

    def _start_attempt(
        self, bench: CallPathBench, number: int, now: float
    ) -> list[str]:
        """Deliver an attempt; return the attempts that are dispatched."""
        step = {'at': now, 'do': 'attempt', 'attempt': f'x{number}'}
        return _dispatched(bench.apply_step(step))

    def _answer_attempt(
        self,
        bench: CallPathBench,
        attempt: str,
        now: float,
        elapsed: float = 0.1,
    ) -> list[str]:
        """Answer an attempt; return the attempts that are dispatched."""
        step = {'do': 'upstream', 'attempt': attempt, 'elapsed': elapsed}
        return _dispatched(bench.apply_step({'at': now, **step}))

    def _fill_slots_and_answer_one(
        self,
        bench: CallPathBench,
        turn: int,
        elapsed: float = 0.1,
    ) -> int:
        """Fill all slots, answer one request, and return the slot count."""
        first = 100 * turn
        started = [
            self._start_attempt(bench, first + more, turn) for more in range(9)
        ]
        running = [attempt for some in started for attempt in some]
        size = len(running)
        if running:
            self._answer_attempt(bench, running.pop(0), turn, elapsed)
        for more in range(9):
            attempt = f'x{first + more}'
            bench.apply_step({'at': turn, 'do': 'cancel', 'attempt': attempt})
        return size


def _dispatched(seen: list[str]) -> list[str]:
    """Return the ids of the attempts that the effects dispatch."""
    return [text.split()[1] for text in seen if text.startswith('dispatch ')]
