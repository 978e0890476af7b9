"""Test the time since the first try of callers that return."""

import unittest
from itertools import pairwise

from nose2.tools import params

from briartack.core import messages
from briartack.core.calls import call_handlers
from briartack.core.calls.caller_clocks import (
    MAX_ROUTES,
    MIN_CALLS,
    CallerClocks,
)
from briartack.core.effects import SendAttempt
from briartack.core.events import CallArrived
from briartack.core.units import CallId
from briartack.test.call_path_bench import CallPathBench


def make_clocks(now: float = 100) -> CallerClocks:
    """Make clocks that know enough first tries of route `r` with 1 s left."""
    clocks = CallerClocks()
    for _ in range(MIN_CALLS):
        clocks.measure_elapsed_seconds(now, 'r', 1000)
    return clocks


class CallerClocksTest(unittest.TestCase):
    """Check what the times that callers state say."""

    # Guards against returning callers that count as new ones, and against new
    # ones that count as returning.
    @params(
        (1000, 0),
        (700, 0.3),
        (500, 0.5),
        # Half of the time is a time-out of its own.
        (499, 0),
        (1200, 0),
    )
    def test_elapsed_time_is_the_difference_to_a_first_try(
        self, stated_ms: float, elapsed: float
    ) -> None:
        """Check the time elapsed for a stated time."""
        found = make_clocks().measure_elapsed_seconds(101, 'r', stated_ms)
        self.assertAlmostEqual(found or 0, elapsed)

    def test_shorter_time_out_is_not_late(self) -> None:
        """Guard against callers with a short time-out who are never served."""
        found = make_clocks().measure_elapsed_seconds(101, 'r', 400)
        self.assertEqual(found, 0)

    def test_few_calls_say_nothing(self) -> None:
        """Guard against a first try that is guessed from too few calls."""
        clocks = CallerClocks()
        found = [
            clocks.measure_elapsed_seconds(100, 'r', 1000 - number)
            for number in range(MIN_CALLS)
        ]
        self.assertEqual(set(found[:-1]), {None})
        self.assertIsNotNone(found[-1])

    def test_old_calls_say_nothing(self) -> None:
        """Guard against a time-out that callers no longer have."""
        clocks = make_clocks(100)
        for _ in range(MIN_CALLS):
            clocks.measure_elapsed_seconds(120, 'r', 600)
        self.assertEqual(clocks.measure_elapsed_seconds(121, 'r', 600), 0.4)
        self.assertEqual(clocks.measure_elapsed_seconds(131, 'r', 600), 0)

    def test_routes_are_separate_and_bounded(self) -> None:
        """Guard against memory that grows with the names of routes."""
        clocks = make_clocks()
        for number in range(MAX_ROUTES - 1):
            clocks.measure_elapsed_seconds(101, f'r{number}', 1000)
        self.assertEqual(clocks.measure_elapsed_seconds(101, 'r', 700), 0.3)
        for number in range(MAX_ROUTES):
            clocks.measure_elapsed_seconds(101, f'more-{number}', 1000)
        self.assertIsNone(clocks.measure_elapsed_seconds(101, 'r', 700))


class SentAttemptTest(unittest.TestCase):
    """Check what the sender tells the owner."""

    def send(
        self, bench: CallPathBench, number: int, deadline_ms: float | None
    ) -> messages.Attempt:
        """Make a call at the daemon and return the attempt that it sends."""
        event = CallArrived(
            now=2,
            call_id=CallId(f'c{number}'),
            method='GET',
            target='/s/x',
            headers=(),
            deadline_ms=deadline_ms,
        )
        produced = call_handlers.on_call_arrived(
            bench.state, bench.context, event
        )
        return next(
            effect.attempt
            for effect in produced
            if isinstance(effect, SendAttempt)
        )

    def make_bench(self, target_ms: int | None) -> CallPathBench:
        """Make a sender that knows enough first tries with 1 s left."""
        bench = CallPathBench(
            setup={
                'members': 'b',
                'policy': {'timeout_ms': 5000, 'target_ms': target_ms},
            },
        )
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        for number in range(MIN_CALLS):
            self.send(bench, number, 1000)
        return bench

    # Guards against a target that begins anew each time a caller returns.
    @params(
        (400, 1000, 400, False),
        (400, 800, 200, False),
        (400, 600, 0, True),
        (400, 550, -50, True),
        (400, 300, 400, False),
        (400, None, 400, False),
        (None, 600, None, False),
    )
    def test_attempt_states_the_rest_of_the_target(
        self,
        target_ms: int | None,
        deadline_ms: float | None,
        rest_ms: float | None,
        is_late: bool,
    ) -> None:
        """Check the rest of the target and whether it has passed."""
        attempt = self.send(self.make_bench(target_ms), 99, deadline_ms)
        self.assertEqual(
            (attempt.target_ms, attempt.is_late), (rest_ms, is_late)
        )
        self.assertEqual(attempt.route, 't/r')

    def test_returning_call_is_sent_as_late(self) -> None:
        """Guard against a returning call that is refused for its target."""
        attempt = self.send(self.make_bench(400), 99, 550)
        self.assertTrue(attempt.is_late)

    def test_fields_of_an_attempt_keep_their_order(self) -> None:
        """Guard against a field that daemons of earlier releases misread."""
        fields = messages.Attempt.__struct_fields__
        self.assertEqual(fields[-2:], ('is_repeat', 'route'))
        order = [fields.index(name) for name in ('target_ms', 'is_late')]
        self.assertTrue(all(left < right for left, right in pairwise(order)))
