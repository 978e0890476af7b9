"""Test that each code for operators and callers has an explanation."""

import re
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

from briartack.core.calls import reasons
from briartack.error_texts import get_error_text

CORE: Final = Path(__file__).parent.parent / 'core'
LOG_CODE: Final = re.compile("code='([a-z-]+)'")
CODES: Final = tuple(
    sorted(
        {
            code
            for path in CORE.rglob('*.py')
            for code in LOG_CODE.findall(path.read_text(encoding='utf-8'))
        }.union(reasons.REASONS_BY_CODE),
    ),
)


class ErrorTextsTest(unittest.TestCase):
    """Check the text of each log code and each reason of the core."""

    @params(*CODES)
    def test_code_has_a_text(self, code: str) -> None:
        self.assertTrue(get_error_text(code).text)
