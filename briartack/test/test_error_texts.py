"""Guards against a code that reaches people without a text."""

import re
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

from briartack.core.calls import reasons
from briartack.error_texts import error_text

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
    """Looks up every code of the core."""

    @params(*CODES)
    def test_code_has_a_text(self, code: str) -> None:
        self.assertTrue(error_text(code).text)
