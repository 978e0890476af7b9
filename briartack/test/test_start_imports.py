"""Test that a daemon's start does not import what it may never use.

Pattern: a loss of power or a rolling restart starts hundreds of daemons at
once, and each import counts for every one of them.
"""

import subprocess  # noqa: S404
import sys
import unittest
from typing import Final

from nose2.tools import params

LIST_MODULES: Final = """
import sys
import briartack.main
print(*sys.modules)
"""


class StartImportsTest(unittest.TestCase):
    modules: frozenset[str]

    @classmethod
    def setUpClass(cls) -> None:
        outcome = subprocess.run(  # noqa: S603
            [sys.executable, '-c', LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
        )
        cls.modules = frozenset(outcome.stdout.split())

    @params('opentelemetry', 'opentelemetry.sdk', 'briartack.metric_exporter')
    def test_start_leaves_out(self, module: str) -> None:
        self.assertNotIn(module, self.modules)

    @params('briartack.metrics', 'briartack.platform.connect')
    def test_start_has(self, module: str) -> None:
        self.assertIn(module, self.modules)
