"""Guards against the platform's words and decisions on the wrong side."""

import ast
import re
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

PACKAGE: Final = Path(__file__).parent.parent
ADAPTER: Final = PACKAGE / 'platform'
WIRE_NAMES: Final = re.compile(
    'X-Server-|X-Attempt-|X-Not-Executed|X-Expect-|X-Caller-|X-Cold-'
    '|/api/kv-|cold_left|resource_kind|op/config|op/evacuate'
    '|as_of|retry_budget|cold_overage=',
)
# What decides or remembers needs one of these.
DECIDING: Final = frozenset(
    ('time', 'random', 'gevent', 'socket', 'secrets', 'datetime', 'threading'),
)
OUTSIDE: Final = tuple(
    sorted(
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob('*.py')
        if ADAPTER not in path.parents and 'test' not in path.parts
    ),
)
INSIDE: Final = tuple(sorted(path.name for path in ADAPTER.glob('*.py')))


def imported_roots(source: str) -> set[str]:
    """List the top names that a module imports."""
    roots: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            roots.update(alias.name.split('.')[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            roots.add((node.module or '').split('.')[0])
    return roots


class EdgesTest(unittest.TestCase):
    @params(*OUTSIDE)
    def test_no_wire_name_outside(self, name: str) -> None:
        source = (PACKAGE / name).read_text('utf-8')
        self.assertEqual(WIRE_NAMES.findall(source), [])

    @params(*INSIDE)
    def test_nothing_inside_decides(self, name: str) -> None:
        source = (ADAPTER / name).read_text('utf-8')
        self.assertEqual(imported_roots(source) & DECIDING, set())

    def test_checks_can_fail(self) -> None:
        """Guards against a pattern or a walk that finds nothing."""
        self.assertTrue(WIRE_NAMES.search("header = 'X-Server-Seal'"))
        self.assertTrue(imported_roots('from time import sleep') & DECIDING)
        self.assertGreater(len(OUTSIDE), 50)
        self.assertGreater(len(INSIDE), 5)
