"""Test that the pages list the same names as the code.

A name that is missing in a page, or in the code, misleads operators.
"""

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
    '(?:count|observe|Count|register_gauge|_COUNTER: Final =)'
    r"\(?\s*(?:name=)?'([a-z_.]+)'",
)
AUDIT_KIND: Final = re.compile(r"trail\.record\(\s*'([a-z_]+)'")
FLAG: Final = re.compile('--[a-z][a-z-]+')
VARIABLE_NAME: Final = re.compile('BRIARTACK_[A-Z_]+')
# These codes appear in the bodies of answers only, never in a log line.
ANSWERED_ONLY: Final = frozenset(
    (
        error_texts.TOO_LARGE,
        error_texts.HEAD_TIMEOUT,
        error_texts.MALFORMED_REQUEST,
        error_texts.UNKNOWN_PATH,
        error_texts.BAD_OPTION,
    ),
)


def read_page(name: str) -> str:
    """Return the text of a page."""
    return (DOCS / f'{name}.md').read_text('utf-8')


def find_quoted_names(text: str, title: str) -> set[str]:
    """Return the quoted names in the first column of some tables.

    The tables are those whose first column has the title.
    """
    found: set[str] = set()
    is_inside = False
    for line in text.splitlines():
        cell = line.split('|')[1].strip() if line.startswith('|') else ''
        is_inside = cell == title or (is_inside and bool(cell))
        if is_inside:
            found.update(QUOTED.findall(cell))
    return found


def find_names_in_code(pattern: re.Pattern[str]) -> set[str]:
    """Return the names that match a pattern in the modules of the product."""
    paths = [*PACKAGE.glob('*.py'), *PACKAGE.glob('core/**/*.py')]
    return {
        name
        for path in paths
        for name in pattern.findall(path.read_text('utf-8'))
    }


class PagesTest(unittest.TestCase):
    """Check the tables of metrics, audit kinds, log codes and settings."""

    def test_metrics_match_code(self) -> None:
        self.assertEqual(
            find_quoted_names(read_page('configuration'), 'instrument'),
            find_names_in_code(METRIC),
        )

    def test_audit_kinds_match_code(self) -> None:
        self.assertEqual(
            find_quoted_names(read_page('OPERATIONS'), 'kind'),
            find_names_in_code(AUDIT_KIND),
        )

    def test_log_codes_match_code(self) -> None:
        constants = {
            code
            for name, code in vars(error_texts).items()
            if name.isupper() and isinstance(code, str)
        }
        written = {
            *find_names_in_code(LOG_CODE).difference(reasons.REASONS_BY_CODE),
            *find_names_in_code(
                re.compile(
                    '(?:FELL|SUSPECTED|STORE_LOST|STORE_BACK|DUTY_CHANGED|'
                    'WATCH_ANSWERED|HISTORY_GONE|ENTRIES_DIFFER|ERA_CHANGED|'
                    'ANNOUNCED|LAGS|OVERDUE|PEER_LOST|PEER_UNREACHABLE)'
                    ": Final = '(.+)'"
                )
            ),
            *constants.difference(ANSWERED_ONLY),
            *call_logs.REQUEST_LOG_CODES,
        }
        self.assertEqual(
            find_quoted_names(read_page('OPERATIONS'), 'log code'),
            written,
        )

    def test_flags_and_variables_match_settings(self) -> None:
        text = read_page('configuration').partition('## The settings tree')[0]
        settings = options._SETTINGS  # noqa: SLF001 (no other list of them)
        self.assertEqual(
            (set(FLAG.findall(text)), set(VARIABLE_NAME.findall(text))),
            (
                {setting.flag for setting in settings},
                {setting.variable_name for setting in settings},
            ),
        )
