"""Test that the core imports no modules for input, output or clocks."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from nose2.tools import params

CORE: Final = Path(__file__).parent.parent / 'core'
MODULES: Final = tuple(
    sorted(str(path.relative_to(CORE)) for path in CORE.rglob('*.py')),
)
# Of `random`, only the class `Random` of seeded generators is allowed, because
# the functions of the module share state across the process. A condition of
# `find_forbidden_imports` checks this.
ALLOWED: Final = frozenset(
    (
        'bisect',
        'collections',
        'dataclasses',
        'enum',
        'functools',
        'hashlib',
        'heapq',
        'itertools',
        'math',
        'operator',
        'random',
        're',
        'types',
        'typing',
        'msgspec',
        'briartack',
    ),
)


def _iterate_imports(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f'{node.module}.{alias.name}' for alias in node.names)


def find_forbidden_imports(source: str) -> list[str]:
    """Return the imports of a module that the core must not have."""
    return [
        name
        for name in _iterate_imports(ast.parse(source))
        if name.split('.')[0] not in ALLOWED
        or (name.startswith('random') and name != 'random.Random')
        or (
            name.startswith('briartack')
            and not name.startswith('briartack.core')
        )
    ]


class CoreImportsTest(unittest.TestCase):
    """Check that the core depends on nothing outside of its arguments.

    With a clock or network of its own, the core could not be replayed from a
    trace or run in a simulation.
    """

    @params(*MODULES)
    def test_module_has_no_forbidden_import(self, name: str) -> None:
        source = (CORE / name).read_text(encoding='utf-8')
        self.assertEqual(find_forbidden_imports(source), [])

    @params(
        'import gevent',
        'from socket import socket',
        'import time',
        'import random',
        'from random import random',
        'import logging',
        'from briartack.daemon import Daemon',
    )
    def test_forbidden_import_is_found(self, source: str) -> None:
        self.assertTrue(find_forbidden_imports(source))
