"""Test the rules that the results of a fault run must satisfy."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from hashlib import sha256
from random import Random
from unittest import TestCase

from nose2.tools import params

from benchmarks.fault_actions import FaultWindow
from benchmarks.fault_checks import (
    check_answered,
    check_calls,
    check_held,
    check_store_load,
    check_trails,
)
from benchmarks.fault_load import CallRequest, CallResult, Echo
from benchmarks.fault_places import check_homes, check_shares
from benchmarks.fault_schedule import Fault, plan_faults
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
        ('ConnectionError: end', ['a'], 9, True),
        ('ConnectionError: end', [], 9, False),
        ('ConnectionError: end', ['a'], 2, False),
        ('TimeoutError: timed out', ['a'], 9, False),
    )
    def test_lost_answer_violates_rule(
        self, text: str, ran_at: list[str], killed_at: float, is_wrong: bool
    ) -> None:
        result = replace(_build_call(''), status=0, text=text)
        fault = Fault(at=0, seconds=1, group='daemon', kind='kill', target='a')
        window = FaultWindow(fault=fault, began_at=killed_at, ended_at=10)
        found = check_answered([result], {'r1': ran_at}, [window])
        self.assertEqual(bool(found), is_wrong)

    @params(
        ('home', 'svc-1-1', False),
        ('home', 'svc-1-2', True),
        ('split', 'svc-1-2', False),
    )
    def test_run_outside_the_home_region_violates_rule(
        self, kind: str, ran_at: str, is_wrong: bool
    ) -> None:
        found = check_homes(
            [_build_call('ran', kind=kind)],
            {'r1': [ran_at]},
            {'svc-1-1': 'region-1', 'svc-1-2': 'region-2'},
        )
        self.assertEqual(bool(found), is_wrong)

    # The last number of a row counts the refusals of the part without room.
    @params(
        ((500, 250, 0, 250), []),
        ((530, 230, 0, 240), []),
        ((600, 200, 0, 200), ['svc-1']),
        ((667, 333, 0, 0), ['placed/empty', 'svc-1', 'svc-2']),
        ((500, 250, 1, 249), ['svc-3']),
        ((300, 200, 0, 500), []),
    )
    def test_part_that_misses_its_weight_violates_rule(
        self, counts: tuple[int, int, int, int], parts: list[str]
    ) -> None:
        names = [
            name
            for name, count in zip(
                ('svc-1-1', 'svc-2-1', 'svc-3-1', ''), counts, strict=True
            )
            for _ in range(count)
        ]
        results = [
            replace(
                _build_call('ran', kind='split'),
                request=CallRequest(
                    kind='split',
                    method='POST',
                    path='/a',
                    request_id=str(number),
                    body=BODY,
                ),
                text='' if name else 'no-endpoint',
            )
            for number, name in enumerate(names)
        ]
        runs = {str(number): [one] for number, one in enumerate(names) if one}
        found = check_shares(results, runs)
        self.assertEqual([one['part'] for one in found], parts)

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
