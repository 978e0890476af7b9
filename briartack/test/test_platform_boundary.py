"""Tests of the boundary between the product and the platform adapter.

Names of the platform's protocol may appear in the adapter alone, and the
adapter only translates: it must not decide or keep state.
"""

import ast
import re
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

PACKAGE: Final = Path(__file__).parent.parent
ADAPTER_PACKAGE: Final = PACKAGE / 'platform'
WIRE_NAMES: Final = re.compile(
    r'X-Server-|X-Attempt-|X-Api-|rate_per_s\b|api_keys'
    '|X-Not-Executed|X-Expect-|X-Caller-|X-Cold-'
    '|/api/kv-|cold_left|resource_kind|op/config|op/evacuate'
    '|as_of|retry_budget|cold_overage=',
)
# Code that decides or keeps state needs one of these modules.
DECISION_MODULES: Final = frozenset(
    ('time', 'random', 'gevent', 'socket', 'secrets', 'datetime', 'threading'),
)
MODULES_OUTSIDE: Final = tuple(
    sorted(
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob('*.py')
        if ADAPTER_PACKAGE not in path.parents and 'test' not in path.parts
    ),
)
ADAPTER_MODULES: Final = tuple(
    sorted(path.name for path in ADAPTER_PACKAGE.glob('*.py'))
)


def imported_roots(source: str) -> set[str]:
    """Return the top-level packages that a module imports."""
    roots: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            roots.update(alias.name.split('.')[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            roots.add((node.module or '').split('.')[0])
    return roots


class BoundaryTest(unittest.TestCase):
    @params(*MODULES_OUTSIDE)
    def test_no_platform_name_outside_the_adapter(self, name: str) -> None:
        """Guard against a product that depends on the platform."""
        source = (PACKAGE / name).read_text('utf-8')
        self.assertEqual(WIRE_NAMES.findall(source), [])

    @params(*ADAPTER_MODULES)
    def test_adapter_imports_no_decision_module(self, name: str) -> None:
        """Guard against decisions that the replay of a trace cannot repeat."""
        source = (ADAPTER_PACKAGE / name).read_text('utf-8')
        self.assertEqual(imported_roots(source) & DECISION_MODULES, set())

    def test_checks_find_what_they_look_for(self) -> None:
        """Guard against a pattern or a search for modules without matches."""
        self.assertTrue(WIRE_NAMES.search("header = 'X-Server-Seal'"))
        self.assertTrue(
            imported_roots('from time import sleep') & DECISION_MODULES
        )
        self.assertGreater(len(MODULES_OUTSIDE), 50)
        self.assertGreater(len(ADAPTER_MODULES), 5)
