"""Tests of the validation of values; the cases are in test-data/validation."""

import json
import unittest
from pathlib import Path
from typing import Any, Final

from nose2.tools import params

from briartack.core.configuration.problems import InvalidValueError, Problem
from briartack.core.configuration.validation import (
    MAX_VALUE_BYTES,
    validate_instance,
    validate_platform,
    validate_team,
)

DATA: Final = Path(__file__).parent / 'test-data' / 'validation'
CASES: Final = json.loads((DATA / 'values.json').read_text(encoding='utf-8'))


def _problems(key: str, text: str) -> tuple[Problem, ...]:
    """Return the problems of a value that the validation of its key finds."""
    validate: Any = validate_team
    if key.startswith('instances/'):
        validate = validate_instance
    elif key == 'platform':
        validate = validate_platform
    try:
        validate(key, text)
    except InvalidValueError as error:
        return error.problems
    return ()


class ValidationTest(unittest.TestCase):
    """Test values; each case names the failure that it guards against."""

    @params(*CASES)
    def test_problems_state_place_code_and_fix(self, case: Any) -> None:
        """Guard against the failure that the case names."""
        problems = _problems(case['key'], case['text'])
        places = [[item.path, item.code.value] for item in problems]
        self.assertEqual(places, case['problems'], case['guards'])
        for item in problems:
            self.assertEqual(item.key, case['key'])
            self.assertTrue(item.text and item.fix)

    @params(('teams/a', ''), ('instances/a', '{"unknown": '))
    def test_deep_nesting_is_a_syntax_problem(
        self, key: str, start: str
    ) -> None:
        """Guard against a value that exhausts the stack and ends the daemon."""
        problems = _problems(key, start + '[' * 100_000)
        self.assertEqual([item.code.value for item in problems], ['syntax'])

    @params((MAX_VALUE_BYTES, []), (MAX_VALUE_BYTES + 1, ['too-large']))
    def test_value_above_the_size_limit_is_too_large(
        self, size: int, codes: list[str]
    ) -> None:
        """Guard against a value from a peer that no store would accept."""
        text = '{}'.ljust(size)
        problems = _problems('teams/a', text)
        self.assertEqual([item.code.value for item in problems], codes)
