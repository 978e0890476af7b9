"""Guards against pages that name what the code does not have, or leave out."""

import re
import unittest
from pathlib import Path
from typing import Final

from briartack import error_texts, options
from briartack.core.calls import call_logs, reasons
from briartack.test.test_error_texts import LOG_CODE

PACKAGE: Final = Path(__file__).parents[1]
DOCS: Final = PACKAGE.parent / 'docs'
QUOTED: Final = re.compile('`([^`]+)`')
METRIC: Final = re.compile(
    r"(?:count|observe|Count|_COUNTER: Final =)\(?\s?(?:name=)?'([a-z_.]+)'",
)
AUDIT_KIND: Final = re.compile(r"trail\.record\(\s*'([a-z_]+)'")
FLAG: Final = re.compile('--[a-z][a-z-]+')
VARIABLE_NAME: Final = re.compile('BRIARTACK_[A-Z_]+')
# Bodies of answers have these codes, and no log line has them.
ANSWERED_ONLY: Final = frozenset(
    (
        error_texts.TOO_LARGE,
        error_texts.MALFORMED_REQUEST,
        error_texts.UNKNOWN_PATH,
        error_texts.BAD_OPTION,
    ),
)


def page(name: str) -> str:
    """Read a page."""
    return (DOCS / f'{name}.md').read_text('utf-8')


def first_cells(text: str, title: str) -> set[str]:
    """Return what the first cells of the tables with a title quote."""
    found: set[str] = set()
    is_inside = False
    for line in text.splitlines():
        cell = line.split('|')[1].strip() if line.startswith('|') else ''
        is_inside = cell == title or (is_inside and bool(cell))
        if is_inside:
            found.update(QUOTED.findall(cell))
    return found


def in_code(pattern: re.Pattern[str]) -> set[str]:
    """Find names in the product's modules."""
    paths = [*PACKAGE.glob('*.py'), *PACKAGE.glob('core/**/*.py')]
    return {
        name
        for path in paths
        for name in pattern.findall(path.read_text('utf-8'))
    }


class PagesTest(unittest.TestCase):
    def test_metrics(self) -> None:
        self.assertEqual(
            first_cells(page('configuration'), 'instrument'),
            in_code(METRIC),
        )

    def test_audit_kinds(self) -> None:
        self.assertEqual(
            first_cells(page('OPERATIONS'), 'kind'),
            in_code(AUDIT_KIND),
        )

    def test_log_codes(self) -> None:
        constants = {
            code
            for name, code in vars(error_texts).items()
            if name.isupper() and isinstance(code, str)
        }
        written = {
            *in_code(LOG_CODE).difference(reasons.REASONS_BY_CODE),
            *in_code(
                re.compile(
                    "(?:FELL|SUSPECTED|STORE_LOST|STORE_BACK): Final = '(.+)'"
                )
            ),
            *constants.difference(ANSWERED_ONLY),
            *call_logs.REQUEST_LOG_CODES,
        }
        self.assertEqual(
            first_cells(page('OPERATIONS'), 'log code'),
            written,
        )

    def test_flags_and_variables(self) -> None:
        text = page('configuration').partition('## The settings tree')[0]
        settings = options._SETTINGS  # noqa: SLF001 (no other list of them)
        self.assertEqual(
            (set(FLAG.findall(text)), set(VARIABLE_NAME.findall(text))),
            (
                {setting.flag for setting in settings},
                {setting.variable_name for setting in settings},
            ),
        )
