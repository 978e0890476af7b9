"""Guards of `briartack check` and `diff`; the cases are in test-data."""

import json
import tempfile
import unittest
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

from nose2.tools import params

from briartack.check import check_tree
from briartack.core.configuration.problems import Problem
from briartack.diff import diff_trees

CASES: Final = json.loads(
    (Path(__file__).parent / 'test-data' / 'trees.json').read_text('utf-8'),
)
EXAMPLES: Final = Path(__file__).parents[2] / 'examples'


def _write(root: Path, files: dict[str, Any]) -> Path:
    (root / 'teams').mkdir(parents=True)
    for key, settings in files.items():
        (root / f'{key}.json').write_text(json.dumps(settings))
    return root


def _places(problems: Iterable[Problem]) -> list[str]:
    return [f'{item.key} {item.path} {item.code.value}' for item in problems]


class TreesTest(unittest.TestCase):
    """Each case names the failure that it guards against."""

    @params(*CASES)
    def test_check_and_diff(self, case: Any) -> None:
        with tempfile.TemporaryDirectory() as name:
            old = _write(Path(name, 'old'), case.get('old', {}))
            new = _write(Path(name, 'new'), case['new'])
            report = check_tree(new, old)
            differences = diff_trees(old, new)
        self.assertEqual(_places(report.errors), case['errors'])
        self.assertEqual(_places(report.warnings), case['warnings'])
        self.assertEqual(report.has_passed, not case['errors'])
        self.assertEqual(report.to_dict()['passed'], report.has_passed)
        # A line must not lose what the report holds.
        told = len(report.errors) + len(report.warnings) + 1
        self.assertEqual(len(report.format_lines()), told)
        parts = [
            f'{item.change.value} {item.kind} {item.name}'
            for item in differences.differences
        ]
        self.assertEqual(parts, case.get('differences', parts))
        listed = differences.to_dict()['differences']
        assert isinstance(listed, list)
        self.assertEqual(len(listed), len(parts))

    @params('pacifico', 'horas-certas')
    def test_examples_pass(self, name: str) -> None:
        """The examples no longer fit the validator."""
        report = check_tree(EXAMPLES / name)
        self.assertEqual(report.errors, ())
        self.assertEqual(report.warnings, ())
        self.assertGreater(report.routes, 0)

    def test_missing_directory_is_an_error(self) -> None:
        """A misspelt path passes as an empty tree."""
        report = check_tree(EXAMPLES / 'missing')
        self.assertEqual(report.errors[0].code.value, 'unreadable')
        self.assertEqual(
            len(diff_trees(EXAMPLES / 'pacifico', EXAMPLES / 'x').problems), 1
        )
