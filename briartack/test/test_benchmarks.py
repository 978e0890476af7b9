"""Benchmarks judge by these parts, so a fault here hides a missed target."""

from unittest import TestCase

from nose2.tools import params

from benchmarks.accounts import Account
from benchmarks.figures import percentile
from benchmarks.load import Job, Outcome
from standins.cold_start import ColdStart, Warmth


class PercentileTest(TestCase):
    """Guards against a percentile that leaves out the slowest calls."""

    @params(
        (1, 50, 1), (2, 50, 1), (100, 50, 50), (100, 99, 99), (101, 99, 100)
    )
    def test_percentile(self, size: int, percent: float, wanted: float) -> None:
        samples = [float(number) for number in range(size, 0, -1)]
        self.assertEqual(percentile(samples, percent), wanted)


class RampBoundTest(TestCase):
    """Guards against a bound above that of the slow start."""

    @params((0, 1), (1, 2), (2, 2), (3, 4), (6, 4), (7, 8), (15, 16), (31, 20))
    def test_bound(self, answers: int, wanted: float) -> None:
        cold_start = ColdStart(seconds=5)
        warmth = Warmth(cold_start=cold_start, slots=20, now=0)
        for _ in range(answers):
            warmth.record_answer()
        self.assertEqual(warmth.ramp_bound, wanted)
        warmth.restart(1)
        self.assertEqual(warmth.ramp_bound, 1)


class AccountTest(TestCase):
    """Guards against a false verdict that counts as true."""

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
    def test_truth(self, verdict: str, runs: int, wanted: bool) -> None:
        account = Account(outcome=_outcome(verdict), ran_at=('saldo-1',) * runs)
        self.assertEqual(account.is_truthful, wanted)


def _outcome(verdict: str) -> Outcome:
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
