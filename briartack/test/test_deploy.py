"""Test the build command of the deploy file with a stand-in for pip."""

import os
import subprocess  # noqa: S404
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

DEPLOY_FILE: Final = Path(__file__).parents[2] / 'deploy/system.toml'
FAKE_PYTHON: Final = '#!/bin/sh\nmkdir -p target/deps\necho "$@" >> calls\n'
OLD: Final = 1_700_000_000
NEW: Final = 1_800_000_000


class BuildTest(unittest.TestCase):
    # Guards against daemons that do not start, since the libraries that were
    # carried over come from another kind of machine.
    @params(
        ('', 0, 1),
        ('this', NEW, 0),
        ('this', OLD - 1, 1),
        ('other', NEW, 1),
    )
    def test_libraries_are_installed_for_this_machine(
        self, kind: str, built_at: int, calls: int
    ) -> None:
        """Each row states whose libraries there are, and since when."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self.prepare(folder, kind, built_at)
            self.build(folder)
            self.assertEqual(self.count_calls(folder), calls)
            self.assertEqual((folder / 'target/deps/old').exists(), not calls)
            self.build(folder)
            self.assertEqual(self.count_calls(folder), calls)

    def prepare(self, folder: Path, kind: str, built_at: int) -> None:
        """Write requirements, a stand-in for Python and carried libraries."""
        python = folder / 'bin/python3'
        python.parent.mkdir()
        python.write_text(FAKE_PYTHON, 'utf-8')
        python.chmod(0o755)
        requirements = folder / 'requirements.txt'
        requirements.touch()
        os.utime(requirements, (OLD, OLD))
        if not kind:
            return
        machine = os.uname().machine if kind == 'this' else 'other'
        marker = folder / f'target/deps/.{machine}'
        (folder / 'target/deps/old').mkdir(parents=True)
        marker.touch()
        os.utime(marker, (built_at, built_at))

    def build(self, folder: Path) -> None:
        """Run the build command in a folder."""
        command = tomllib.loads(DEPLOY_FILE.read_text('utf-8'))['build']
        path = f'{folder}/bin:{os.environ["PATH"]}'
        subprocess.run(  # noqa: S602
            command,
            shell=True,
            cwd=folder,
            check=True,
            env={**os.environ, 'PATH': path},
        )

    def count_calls(self, folder: Path) -> int:
        """Return how often the stand-in for Python ran."""
        calls = folder / 'calls'
        if not calls.exists():
            return 0
        return len(calls.read_text('utf-8').splitlines())
