"""Guards against input, output and clocks in the pure core."""

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
# `random` gives the seeded generator class; its module functions share a
# process-wide state and are checked separately.
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


def _imported(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f'{node.module}.{alias.name}' for alias in node.names)


def forbidden_imports(source: str) -> list[str]:
    """List the imports that the core may not have."""
    return [
        name
        for name in _imported(ast.parse(source))
        if name.split('.')[0] not in ALLOWED
        or (name.startswith('random') and name != 'random.Random')
        or (
            name.startswith('briartack')
            and not name.startswith('briartack.core')
        )
    ]


class CoreImportsTest(unittest.TestCase):
    """Keeps decisions drivable with a clock and network of any bench."""

    @params(*MODULES)
    def test_module_is_pure(self, name: str) -> None:
        source = (CORE / name).read_text(encoding='utf-8')
        self.assertEqual(forbidden_imports(source), [])

    @params(
        'import gevent',
        'from socket import socket',
        'import time',
        'import random',
        'from random import random',
        'import logging',
        'from briartack.daemon import Daemon',
    )
    def test_impure_import_is_found(self, source: str) -> None:
        self.assertTrue(forbidden_imports(source))
