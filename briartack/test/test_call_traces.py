"""Replays traces of the call path; each file states what it guards."""

import json
import unittest
from pathlib import Path
from typing import Any, Final, TypeAlias

from nose2.tools import params

from briartack.test.call_bench import Bench

Case: TypeAlias = dict[str, Any]

TRACES: Final = Path(__file__).parent / 'test-data' / 'calls'


def _load() -> list[tuple[str, Case]]:
    return [
        (f'{path.stem}: {case["guards_against"]}', case)
        for path in sorted(TRACES.glob('*.json'))
        for case in json.loads(path.read_text(encoding='utf-8'))
    ]


class CallTracesTest(unittest.TestCase):
    """Guards against the failure that each trace names."""

    @params(*_load())
    def test_trace(self, name: str, case: Case) -> None:
        bench = Bench(setup=dict(case.get('setup', {})))
        for number, step in enumerate(case['steps'], start=1):
            seen = bench.run(step)
            self.assertEqual(
                seen,
                step.get('expect', []),
                f'{name}, step {number}: {step}',
            )
