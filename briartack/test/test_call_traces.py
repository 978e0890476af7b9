"""Replay the step-by-step test cases of the call path.

Each case in `test-data/calls` states in `guards_against` the failure that it
would detect.
"""

import json
import unittest
from pathlib import Path
from typing import Any, Final, TypeAlias

from nose2.tools import params

from briartack.test.call_path_bench import CallPathBench

Case: TypeAlias = dict[str, Any]

CASES_DIRECTORY: Final = Path(__file__).parent / 'test-data' / 'calls'


def _load_cases() -> list[tuple[str, Case]]:
    return [
        (f'{path.stem}: {case["guards_against"]}', case)
        for path in sorted(CASES_DIRECTORY.glob('*.json'))
        for case in json.loads(path.read_text(encoding='utf-8'))
    ]


class CallTracesTest(unittest.TestCase):
    """Check the effects of each step against those that the case expects."""

    @params(*_load_cases())
    def test_steps_produce_expected_effects(
        self, name: str, case: Case
    ) -> None:
        bench = CallPathBench(setup=dict(case.get('setup', {})))
        for number, step in enumerate(case['steps'], start=1):
            produced = bench.apply_step(step)
            self.assertEqual(
                produced,
                step.get('expect', []),
                f'{name}, step {number}: {step}',
            )
