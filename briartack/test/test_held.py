"""Tests of `briartack held`, which reads audit lines of one or more instances.

The command must not report a configuration that the lines don't prove. Each
case in test-data/held.json names the failure that it guards against; its `at`
maps a time in seconds to the expected answer.
"""

import json
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random
from typing import Any, Final

from nose2.tools import params

from briartack.held import Held, find_held_configurations, read_audit_lines

CASES: Final = json.loads(
    (Path(__file__).parent / 'test-data' / 'held.json').read_text('utf-8'),
)
START: Final = datetime(2026, 12, 4, 7, tzinfo=UTC)
UNRELATED_LINES: Final = (
    '',
    'not JSON',
    '{"level": "info"}',
    '{"kind": "held"',
)
SHUFFLE_COUNT: Final = 5


def _time_at(seconds: str) -> datetime:
    """Return the time some seconds after `START`."""
    return START + timedelta(seconds=int(seconds))


def encode_audit_line(text: str) -> str:
    """Return the audit line that a line of held.json stands for.

    The fields are instance, incarnation, sequence, second, kind, digest and
    highest revision. Only a `configuration` line states the versions that its
    digest stands for.
    """
    instance, incarnation, sequence, *more = text.split()
    second, kind, *held = more
    line: dict[str, Any] = {
        'time': _time_at(second).isoformat(),
        'instance': instance,
        'incarnation': incarnation,
        'sequence': int(sequence),
        'kind': kind,
    }
    if held:
        line.update(digest=held[0], highest=int(held[1]))
    if kind == 'configuration':
        line['versions'] = {'teams/a': int(held[1])}
    return json.dumps(line)


def _seconds_since_start(at: datetime | None) -> int | None:
    """Return the seconds from `START` to a time, if there is one."""
    return None if at is None else int((at - START).total_seconds())


def _describe(held: Held) -> str:
    """Return an answer in the short form of held.json."""
    if held.is_known:
        text = f'{held.digest} {held.highest}' if held.digest else 'nothing'
        return (
            f'{held.instance} {held.incarnation} {text} '
            f'since {_seconds_since_start(held.since)}'
        )
    parts = [f'{held.instance} unknown']
    if held.unknown_from is not None:
        parts.append(f'from {_seconds_since_start(held.unknown_from)}')
    if held.unknown_until is not None:
        parts.append(f'until {_seconds_since_start(held.unknown_until)}')
    return ' '.join(parts)


class HeldTest(unittest.TestCase):
    @params(*CASES)
    def test_answer_at_each_time_in_any_order_of_lines(self, case: Any) -> None:
        """Guard against the failure of the case, in any order of lines."""
        texts = [*map(encode_audit_line, case['lines']), *UNRELATED_LINES]
        for seed in range(SHUFFLE_COUNT):
            Random(seed).shuffle(texts)
            for second, wanted in case['at'].items():
                found = find_held_configurations(
                    read_audit_lines(texts), _time_at(second)
                )
                self.assertEqual(
                    [_describe(held) for held in found],
                    wanted if isinstance(wanted, list) else [wanted],
                    (case['guards_against'], second),
                )

    def test_versions_come_from_a_line_of_another_instance(self) -> None:
        """Guard against a digest without versions.

        A `held` line states a digest only; another instance's `configuration`
        line states the versions of the same digest.
        """
        texts = map(
            encode_audit_line,
            (
                'a i1 1 0 started',
                'a i1 2 1 configuration d1 5',
                'b i1 7 2 held d1 5',
                'b i1 8 12 held d1 5',
            ),
        )
        found = find_held_configurations(
            read_audit_lines(texts), _time_at('5'), 'b'
        )
        self.assertEqual([held.versions for held in found], [{'teams/a': 5}])

    def test_utc_offset_of_the_time_is_applied(self) -> None:
        """Guard against a local time that is taken for UTC."""
        texts = (
            encode_audit_line('a i1 1 0 started'),
            encode_audit_line('a i1 2 9 started'),
        )
        at = datetime.fromisoformat('2026-12-04T02:00:05-05:00')
        self.assertTrue(
            find_held_configurations(read_audit_lines(texts), at)[0].is_known
        )
