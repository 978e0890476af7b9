"""Test the calculations by which benchmarks compare figures with targets."""

from unittest import TestCase

from nose2.tools import params

from benchmarks.call_accounting import CallRecord
from benchmarks.figures import percentile
from benchmarks.load import Job, Outcome
from standins.cold_start import ColdStartOptions, ColdStartProgress


class PercentileTest(TestCase):
    """Check percentiles by nearest rank, where slow calls count.

    A rank that is rounded down would leave out the slowest calls and hide a
    missed latency target.
    """

    @params(
        (1, 50, 1), (2, 50, 1), (100, 50, 50), (100, 99, 99), (101, 99, 100)
    )
    def test_percentile_is_nearest_rank(
        self, size: int, percent: float, expected: float
    ) -> None:
        samples = [float(number) for number in range(size, 0, -1)]
        self.assertEqual(percentile(samples, percent), expected)


class RampBoundTest(TestCase):
    """Check the limit of a cold upstream after a number of answers.

    A limit above that of the slow start would hide an overloaded upstream.
    """

    @params((0, 1), (1, 2), (2, 2), (3, 4), (6, 4), (7, 8), (15, 16), (31, 20))
    def test_ramp_bound_doubles_and_restarts_at_one(
        self, answers: int, expected: float
    ) -> None:
        cold_start = ColdStartOptions(seconds=5)
        cold_start_progress = ColdStartProgress(
            cold_start=cold_start, slots=20, now=0
        )
        for _ in range(answers):
            cold_start_progress.record_answer()
        self.assertEqual(cold_start_progress.ramp_limit, expected)
        cold_start_progress.restart(1)
        self.assertEqual(cold_start_progress.ramp_limit, 1)


class VerdictCorrectnessTest(TestCase):
    """Check that a verdict is correct only if the number of runs agrees.

    The verdict unknown agrees with any number; a missing verdict with none.
    """

    @params(
        ('not-run', 0, True),
        ('not-run', 1, False),
        ('ran', 0, False),
        ('ran', 1, True),
        ('unknown', 0, True),
        ('unknown', 1, True),
        ('', 0, False),
        ('', 1, False),
    )
    def test_verdict_is_correct_only_if_runs_agree(
        self, verdict: str, runs: int, expected: bool
    ) -> None:
        record = CallRecord(
            outcome=_build_outcome(verdict), ran_at=('saldo-1',) * runs
        )
        self.assertEqual(record.is_verdict_correct, expected)


def _build_outcome(verdict: str) -> Outcome:
    job = Job(kind='', addresses=(), method='GET', target='/', headers={})
    return Outcome(
        job=job,
        planned_at=0,
        sent_at=0,
        seconds=0,
        status=503,
        verdict=verdict,
        request_id='',
    )
