"""Cases of `briartack held`; each names the failure that it guards against."""

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
NOISE: Final = ('', 'not JSON', '{"level": "info"}', '{"kind": "held"')
SHUFFLES: Final = 5


def _time(seconds: str) -> datetime:
    return START + timedelta(seconds=int(seconds))


def audit_line(text: str) -> str:
    """Write an audit line; only a change has the vector of its digest."""
    instance, incarnation, sequence, *more = text.split()
    second, kind, *held = more
    line: dict[str, Any] = {
        'time': _time(second).isoformat(),
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


def _seconds(at: datetime | None) -> int | None:
    return None if at is None else int((at - START).total_seconds())


def _describe(held: Held) -> str:
    if held.is_known:
        text = f'{held.digest} {held.highest}' if held.digest else 'nothing'
        return (
            f'{held.instance} {held.incarnation} {text} '
            f'since {_seconds(held.since)}'
        )
    parts = [f'{held.instance} unknown']
    if held.unknown_from is not None:
        parts.append(f'from {_seconds(held.unknown_from)}')
    if held.unknown_until is not None:
        parts.append(f'until {_seconds(held.unknown_until)}')
    return ' '.join(parts)


class HeldTest(unittest.TestCase):
    @params(*CASES)
    def test_answers(self, case: Any) -> None:
        """Guards against the failure of the case, in any order of lines."""
        texts = [*map(audit_line, case['lines']), *NOISE]
        for seed in range(SHUFFLES):
            Random(seed).shuffle(texts)
            for second, wanted in case['at'].items():
                found = find_held_configurations(
                    read_audit_lines(texts), _time(second)
                )
                self.assertEqual(
                    [_describe(held) for held in found],
                    wanted if isinstance(wanted, list) else [wanted],
                    (case['guards_against'], second),
                )

    def test_vector_comes_from_anotheraudit_line(self) -> None:
        """Guards against a digest that nobody can resolve to versions."""
        texts = map(
            audit_line,
            (
                'a i1 1 0 started',
                'a i1 2 1 configuration d1 5',
                'b i1 7 2 held d1 5',
                'b i1 8 12 held d1 5',
            ),
        )
        found = find_held_configurations(
            read_audit_lines(texts), _time('5'), 'b'
        )
        self.assertEqual([held.versions for held in found], [{'teams/a': 5}])

    def test_offset_of_the_time_counts(self) -> None:
        """Guards against local times that are read as UTC."""
        texts = (audit_line('a i1 1 0 started'), audit_line('a i1 2 9 started'))
        at = datetime.fromisoformat('2026-12-04T02:00:05-05:00')
        self.assertTrue(
            find_held_configurations(read_audit_lines(texts), at)[0].is_known
        )
