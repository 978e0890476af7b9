"""Test the owner's estimates of run times, slowdown and wait."""

import unittest

from nose2.tools import params

from briartack.core.calls.drain import DrainState
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.service_times import (
    MAX_ROUTES,
    MIN_RUNS,
    REPORT_MAX_AGE_SECONDS,
    ReportedSlowdown,
    ServiceTimes,
)
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.events import LoadReport, UpstreamFailed, UpstreamProbed
from briartack.core.units import AttemptId
from briartack.core.verdict import Verdict
from briartack.test.load_bench import LoadBench

SLOTS = 2


def make_report(slowdown: float | None) -> LoadReport:
    """Make the report of an idle upstream."""
    return LoadReport(running=0, waiting=0, slots=SLOTS, slowdown=slowdown)


def make_times(
    slowdown: float | None = 1, seconds: float = 0.1, runs: int = MIN_RUNS
) -> ServiceTimes:
    """Make the estimates after some runs of route `r` until time 0."""
    times = ServiceTimes()
    report = make_report(slowdown)
    for _ in range(runs):
        times.record_report(0, report)
        times.record_run(0, 'r', seconds, report)
    return times


class SlowdownTest(unittest.TestCase):
    # Guards against an estimate that is stuck in a spell that has ended, and
    # against one that forgets a spell at once.
    @params((0, 2.5), (0.6, 1.75), (1.2, 1.375), (2, 1.149), (2.01, 0))
    def test_report_decays_towards_the_mean(
        self, age: float, expected: float
    ) -> None:
        """Check the share that is left of a report, and its end."""
        slowdown = ReportedSlowdown()
        for step in range(1001):
            slowdown.update(step / 10, 1)
        slowdown.update(100, 2.5)
        self.assertAlmostEqual(slowdown.estimate(100 + age), expected, 2)

    def test_mean_counts_times_and_not_reports(self) -> None:
        """Guard against a mean that is too low because slow hosts say less.

        Half of the time is slow, but only a tenth of the reports say so.
        """
        slowdown = ReportedSlowdown()
        for cycle in range(100):
            for step in range(9):
                slowdown.update(cycle + step / 18, 1)
            slowdown.update(cycle + 0.5, 3)
        slowdown.update(100, 1)
        # A ninth of the difference between 1 and the mean of 2 is left.
        self.assertAlmostEqual(slowdown.estimate(101.9), 1.89, 1)

    def test_old_report_counts_as_unknown(self) -> None:
        """Guard against a slowdown of a host that says nothing any more."""
        slowdown = ReportedSlowdown()
        slowdown.update(0, 1)
        self.assertEqual(slowdown.estimate(REPORT_MAX_AGE_SECONDS + 0.1), 0)

    def test_unknown_without_a_report(self) -> None:
        """Guard against a slowdown that nobody has stated."""
        self.assertEqual(ReportedSlowdown().estimate(5), 0)


class RunEstimateTest(unittest.TestCase):
    def test_work_follows_the_slowdown(self) -> None:
        """Guard against run times of a fast host expected of a slow one."""
        times = make_times(slowdown=2, seconds=0.2)
        times.record_run(0, 'other', 0.9, make_report(2))
        times.record_report(1, make_report(3))
        self.assertAlmostEqual(times.run_seconds(1, 'r', 7), 0.3)

    def test_estimate_is_bounded_by_the_longest_run(self) -> None:
        """Guard against a wait for nested calls that grows with a slowdown."""
        times = make_times(slowdown=1, seconds=0.2)
        times.record_report(1, make_report(50))
        self.assertAlmostEqual(times.run_seconds(1, 'r', 7), 0.2)

    # Guards against estimates from too little, which would refuse requests.
    @params(
        (make_times(runs=MIN_RUNS - 1), 'r', 1),
        (make_times(slowdown=None), 'r', 1),
        (make_times(slowdown=0), 'r', 1),
        (make_times(), 'unknown', 1),
        (make_times(), 'r', 2.1),
    )
    def test_long_run_mean_counts_if_too_little_is_known(
        self, times: ServiceTimes, route: str, now: float
    ) -> None:
        """Check too few runs, no slowdown, a new route and an old report."""
        self.assertEqual(times.run_seconds(now, route, 7), 7)

    def test_too_few_runs_say_nothing(self) -> None:
        """Guard against an estimate from one unusual run."""
        times = make_times(runs=MIN_RUNS - 1)
        self.assertEqual(times.run_seconds(0, 'r', 7), 7)
        self.assertEqual(times.mean_seconds(0, 7), 7)

    def test_least_recently_used_route_is_evicted(self) -> None:
        """Guard against memory that grows with the names of routes."""
        times = make_times()
        for number in range(MAX_ROUTES - 1):
            times.record_run(0, f'r{number}', 0.3, make_report(1))
        times.record_run(0, 'r', 0.1, make_report(1))
        times.record_run(0, 'new', 0.3, make_report(1))
        self.assertEqual(times.run_seconds(0, 'r0', 7), 7)
        self.assertAlmostEqual(times.run_seconds(0, 'r', 7), 0.1)

    def test_mean_follows_recent_runs(self) -> None:
        """Guard against waits that are underestimated in a slow spell."""
        times = make_times(seconds=0.1)
        for _ in range(40):
            times.record_run(1, 'r', 0.4, make_report(4))
        self.assertAlmostEqual(times.mean_seconds(1, 7), 0.4, 1)


class StatedEstimateTest(unittest.TestCase):
    """Check what an owner tells the senders, through the reducer."""

    def test_answers_and_refusals_state_slowdown_and_wait(self) -> None:
        """Guard against senders that choose by what nobody stated.

        Three attempts run and two wait; the sixth can't start in time.
        """
        bench = LoadBench(slowdown=lambda _: 2.0)
        for number in range(6):
            bench.send_attempt(
                f'a{number}',
                rank=0,
                timeout_seconds=2,
                target_seconds=2 if number < 5 else 0.11,
            )
        refusal = bench.answers[0]
        bench.run_for(1)
        # A run takes 0.1 s, and one of three slots becomes free in a third.
        self.assertEqual(refusal.verdict, Verdict.NOT_RUN)
        self.assertAlmostEqual(refusal.wait_seconds, 2 * 0.1 / 3, 3)
        first, last = bench.answers[1], bench.answers[-1]
        self.assertEqual(first.verdict, Verdict.RAN)
        self.assertAlmostEqual(first.wait_seconds, 0.1 / 3, 3)
        self.assertEqual(last.wait_seconds, 0)
        for answer in bench.answers:
            self.assertAlmostEqual(answer.slowdown, 2)
            self.assertAlmostEqual(answer.run_seconds, 0.1)

    def test_reports_in_refusals_and_probes_count(self) -> None:
        """Guard against a slowdown that is unknown while nothing succeeds."""
        bench = LoadBench(states_load=False)
        upstream = bench.state.calls.owner.upstream
        self.assertEqual(upstream.times.slowdown(bench.now), 0)
        bench.apply(
            UpstreamProbed(
                now=bench.now,
                is_healthy=True,
                is_draining=False,
                identity='u',
                reported_load=None,
                load_report=make_report(1.5),
            ),
        )
        self.assertEqual(upstream.times.slowdown(bench.now), 1.5)
        bench.call('a', 0)
        bench.apply(
            UpstreamFailed(
                now=bench.now,
                attempt_id=next(iter(bench.state.calls.owner._attempts)),
                may_have_run=False,
                is_reset=False,
                reason='refused',
                is_refusal=True,
                load_report=make_report(2.5),
            ),
        )
        self.assertEqual(upstream.times.slowdown(bench.now), 2.5)


class WaitTest(unittest.TestCase):
    def make_upstream(self) -> LocalUpstream:
        """Make an upstream with two slots whose runs took 0.1 s."""
        upstream = LocalUpstream(drain=DrainState(drain_seconds=5))
        upstream.configure(
            ServiceLimits(
                slots=SLOTS, connections=9, queue_length=9, cold_per_second=1e6
            ),
            SLOTS,
        )
        for _ in range(MIN_RUNS):
            self.offer(upstream, 'run')
            upstream.handle_answer(
                0,
                0.1,
                generation=0,
                is_success=True,
                load_report=make_report(1),
            )
        return upstream

    def offer(self, upstream: LocalUpstream, name: str) -> None:
        """Offer an attempt."""
        request = SlotRequest(
            attempt_id=AttemptId(name), deadline=100, interactive=True
        )
        upstream.offer(request, 0)

    def test_wait_counts_the_queue_and_is_zero_beside_a_free_slot(self) -> None:
        """Guard against senders that avoid an upstream with a free slot."""
        upstream = self.make_upstream()
        waits: list[float] = []
        for number in range(5):
            waits.append(round(upstream.wait_seconds(0), 3))
            self.offer(upstream, f'a{number}')
        self.assertEqual(waits, [0, 0, 0, 0.05, 0.1])

    def test_wait_leaves_out_those_who_take_a_free_slot(self) -> None:
        """Guard against an answer that states the wait before its slot."""
        upstream = self.make_upstream()
        for number in range(4):
            self.offer(upstream, f'a{number}')
        upstream.abort()
        self.assertAlmostEqual(upstream.wait_seconds(0), 0.05)
