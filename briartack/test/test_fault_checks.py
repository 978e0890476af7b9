"""Test the rules that the results of a fault run must satisfy."""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from hashlib import sha256
from random import Random
from unittest import TestCase

from nose2.tools import params

from benchmarks.fault_checks import (
    check_calls,
    check_held,
    check_store_load,
    check_trails,
)
from benchmarks.fault_load import CallRequest, CallResult, Echo
from benchmarks.fault_schedule import plan_faults
from briartack.held import AuditLine

BODY = b'abc'


def _build_call(
    verdict: str,
    *,
    kind: str = 'write',
    key: str = '',
    echoed_id: str = 'r1',
    body: bytes = BODY,
) -> CallResult:
    request = CallRequest(
        kind=kind,
        method='POST',
        path='/a',
        request_id='r1',
        body=BODY,
        key=key,
    )
    echo = Echo(
        request_id=echoed_id,
        path='/a',
        sha256=sha256(body).hexdigest(),
        bytes=len(body),
    )
    return CallResult(
        request=request,
        at=0,
        instance='a',
        status=200 if verdict == 'ran' else 503,
        verdict=verdict,
        echo=echo if verdict == 'ran' else None,
    )


def _build_audit_lines(
    *sequences_and_revisions: tuple[int, int],
) -> list[AuditLine]:
    first_time = datetime(2026, 1, 1, tzinfo=UTC)
    return [
        AuditLine(
            time=first_time + timedelta(seconds=second),
            instance='a',
            incarnation='i',
            sequence=sequence,
            kind='configuration',
            highest=revision,
            digest=str(revision),
            versions={'teams/a': revision},
        )
        for second, (sequence, revision) in enumerate(sequences_and_revisions)
    ]


def _list_rules(violations: Iterable[dict[str, object]]) -> list[object]:
    return [violation['rule'] for violation in violations]


class FaultJudgeTest(TestCase):
    """Check that each kind of violation is found, and none in a correct run.

    A rule that finds nothing would let a fault run pass whatever the daemons
    do.
    """

    @params(
        (_build_call('ran'), ['a'], None),
        (_build_call('ran', kind='read'), ['a', 'b'], None),
        (_build_call('not-run'), [], None),
        (
            _build_call('ran'),
            ['a', 'b'],
            'non-repeatable request ran more than once',
        ),
        (
            _build_call('not-run'),
            ['a'],
            'verdict is not-run, but the request ran',
        ),
        (_build_call('ran'), [], 'verdict is ran, but the request did not run'),
        (_build_call(''), [], 'has no verdict'),
        (_build_call('ran', body=b'ab'), ['a'], 'does not match the request'),
        (
            _build_call('ran', echoed_id='r2'),
            ['a'],
            'belongs to another request',
        ),
        (
            _build_call('ran', key='k', echoed_id='r2'),
            ['a'],
            'belongs to another key',
        ),
        (
            _build_call('ran', key='k'),
            ['a', 'b'],
            'an idempotency key ran more than once',
        ),
        (
            _build_call('not-run', key='k'),
            ['a'],
            'verdict is not-run after the key ran',
        ),
    )
    def test_untruthful_call_violates_rule(
        self, result: CallResult, ran_at: list[str], rule: str
    ) -> None:
        first_runs = {'r1': -1.0} if ran_at else {}
        rules = _list_rules(check_calls([result], {'r1': ran_at}, first_runs))
        self.assertEqual(bool(rules), rule is not None)
        self.assertIn(rule or '', str(rules))

    @params(
        (((1, 5), (2, 5), (3, 6)), []),
        (((1, 5), (2, 4)), ['trail: revision fell']),
        (((1, 5), (3, 6)), ['trail: sequence gap']),
    )
    def test_reversed_or_missing_audit_lines_violate_rule(
        self,
        lines: tuple[tuple[int, int], ...],
        rules: list[str],
    ) -> None:
        trails = {'a': _build_audit_lines(*lines)}
        self.assertEqual(_list_rules(check_trails(trails)), rules)

    def test_wrong_held_answer_or_store_peak_violates_rule(self) -> None:
        lines = _build_audit_lines((1, 5), (2, 6), (3, 7))
        self.assertEqual(check_held({'a': lines}, Random(1)), [])
        wrong = {'a': _build_audit_lines((1, 5), (3, 6), (4, 7))}
        self.assertTrue(check_held(wrong, Random(1)))
        self.assertTrue(check_store_load({'peak_calls_per_second': 2000}))
        self.assertFalse(check_store_load({'peak_calls_per_second': 1999}))

    def test_same_seed_plans_same_faults(self) -> None:
        """Check that the same seed gives the same faults in each run."""
        plans = [
            plan_faults(
                Random('faults 1'),
                seconds=60,
                data_centres={'x-1': ['a', 'b'], 'x-2': ['c']},
            )
            for _ in range(2)
        ]
        self.assertEqual(plans[0], plans[1])
        self.assertTrue(plans[0])
        self.assertLessEqual(max(fault.ends_at for fault in plans[0]), 60.01)
