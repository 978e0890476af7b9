"""Test the build command of the deploy file with a stand-in for pip."""

import os
import subprocess  # noqa: S404
import sys
import sysconfig
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

DEPLOY_FILE: Final = Path(__file__).parents[2] / 'deploy/system.toml'
FAKE_PYTHON: Final = """#!/bin/sh
[ "$1" != -c ] || exec {python} "$@"
mkdir -p target/deps
echo "$@" >> calls
"""
OLD_PYTHON: Final = '#!/bin/sh\n[ "$1" != -c ] || exit 1\necho "$@" >> calls\n'
OLD: Final = 1_700_000_000
NEW: Final = 1_800_000_000


class BuildTest(unittest.TestCase):
    # Guards against daemons that do not start, since the libraries that were
    # carried over come from another kind of machine or another interpreter.
    @params(
        ('', 0, 1),
        ('this', NEW, 0),
        ('this', OLD - 1, 1),
        ('other', NEW, 1),
        ('machine', NEW, 1),
    )
    def test_libraries_are_installed_for_this_machine(
        self, kind: str, built_at: int, calls: int
    ) -> None:
        """Each row states whose libraries there are, and since when.

        Those of `machine` are for this kind of machine, without a statement
        for which interpreter.
        """
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self.prepare(folder, kind, built_at)
            self.build(folder)
            self.assertEqual(self.count_calls(folder), calls)
            self.assertEqual((folder / 'target/deps/old').exists(), not calls)
            self.build(folder)
            self.assertEqual(self.count_calls(folder), calls)

    # Guards against a build that succeeds although no daemon can start.
    def test_interpreter_that_is_too_old_fails_the_build(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self.prepare(folder, 'this', NEW)
            (folder / 'bin/python3').write_text(OLD_PYTHON, 'utf-8')
            with self.assertRaises(subprocess.CalledProcessError):
                self.build(folder)
            self.assertEqual(self.count_calls(folder), 0)

    def prepare(self, folder: Path, kind: str, built_at: int) -> None:
        """Write requirements, a stand-in for Python and carried libraries."""
        python = folder / 'bin/python3'
        python.parent.mkdir()
        python.write_text(FAKE_PYTHON.format(python=sys.executable), 'utf-8')
        python.chmod(0o755)
        requirements = folder / 'requirements.txt'
        requirements.touch()
        os.utime(requirements, (OLD, OLD))
        if not kind:
            return
        names = {
            'this': sysconfig.get_config_var('SOABI'),
            'machine': os.uname().machine,
        }
        marker = folder / f'target/deps/.{names.get(kind, "other")}'
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
