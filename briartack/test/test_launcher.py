"""Test that a daemon starts and stops in surroundings of any kind."""

import os
import shutil
import signal
import subprocess  # noqa: S404
import sys
import sysconfig
import tempfile
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

from briartack.main import EXIT_USAGE
from briartack.test.test_main import (
    ROOT,
    is_healthy,
    isolated_flags,
)
from briartack.test.test_processes import LIMIT_SECONDS, wait_until
from standins.processes import PortAllocator

# Runs a program whose signals are blocked or ignored from its start on.
EXECUTE: Final = """
import os, signal, sys
numbers = signal.SIGHUP, signal.SIGTERM, signal.SIGINT
if sys.argv[1] == 'blocked':
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
else:
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
os.execv(sys.executable, [sys.executable, *sys.argv[2:]])
"""


class InheritedSignalsTest(unittest.TestCase):
    # Guards against a daemon that no stop reaches, and that is killed at the
    # end of its grace time with all that it holds (FAULT, LOST).
    @params('blocked', 'ignored')
    def test_stop_reaches_a_daemon_that_inherits(self, state: str) -> None:
        flags = isolated_flags(PortAllocator())
        launch = ['-m', 'briartack.launcher', *flags]
        with subprocess.Popen(
            [sys.executable, '-c', EXECUTE, state, *launch],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        ) as child:
            self.addCleanup(child.kill)
            wait_until(lambda: is_healthy(flags), 'the daemon answers')
            child.send_signal(signal.SIGHUP)
            child.send_signal(signal.SIGTERM)
            try:
                self.assertEqual(child.wait(LIMIT_SECONDS / 4), 0)
            finally:
                child.kill()

    # Guards against a stop that was sent before the launcher ran, and is lost.
    def test_pending_signals_are_handled(self) -> None:
        program = (
            'import os, signal\n'
            'os.kill(os.getpid(), signal.SIGHUP)\n'
            'os.kill(os.getpid(), signal.SIGTERM)\n'
            'from briartack.launcher import main\n'
            'main()'
        )
        ended = subprocess.run(
            [sys.executable, '-c', EXECUTE, 'blocked', '-c', program],
            cwd=ROOT,
            capture_output=True,
            check=False,
            timeout=LIMIT_SECONDS,
        )
        self.assertEqual((ended.returncode, ended.stderr), (0, b''))


class LibrariesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        shutil.copy(ROOT / 'briartackd.py', self.root)
        (self.root / 'briartack').symlink_to(ROOT / 'briartack')

    # Guards against a machine whose path of libraries `-S` switches off: no
    # daemon starts there (FAULT).
    @params('', 'empty')
    def test_program_finds_its_own_libraries(self, path: str) -> None:
        """Each row states a folder that the path of libraries names."""
        (self.root / 'target').mkdir()
        (self.root / 'target/deps').symlink_to(sysconfig.get_path('purelib'))
        errors = self.start(path)
        self.assertIn('--other: unknown argument', errors)

    # Guards against libraries of the checkout in place of those on the path.
    def test_libraries_on_the_path_go_first(self) -> None:
        self.write_foreign('target/deps')
        errors = self.start(sysconfig.get_path('purelib'))
        self.assertIn('--other: unknown argument', errors)

    # Guards against a start that ends with a traceback that doesn't say which
    # library is missing, and that the libraries are those of another machine.
    @params('none', 'foreign', 'damaged')
    def test_missing_library_is_named_in_one_line(self, kind: str) -> None:
        foreign = 'of cpython-399-other-linux-gnu, not for cpython-3'
        expected = {
            'none': ("'gevent'", 'target/deps does not exist'),
            'foreign': ("'greenlet", 'target/deps has libraries', foreign),
            'damaged': ('greenlet', 'file too short'),
        }
        if kind != 'none':
            self.write_foreign('target/deps')
        if kind == 'damaged':
            suffix = sysconfig.get_config_var('EXT_SUFFIX')
            library = self.root / f'target/deps/greenlet/_greenlet{suffix}'
            library.touch()
        lines = self.start('', code=1).splitlines()
        self.assertEqual(len(lines), 1, lines)
        for text in ('deploy/system.toml', *expected[kind]):
            self.assertIn(text, lines[0])

    def write_foreign(self, name: str) -> None:
        """Write libraries that another kind of machine compiled."""
        installed = Path(sysconfig.get_path('purelib'))
        folder = self.root / name
        folder.mkdir(parents=True)
        (folder / '.cpython-399-other-linux-gnu').touch()
        for library in installed.iterdir():
            if library.name.startswith(('greenlet', 'briartack', '_')):
                continue
            (folder / library.name).symlink_to(library)
        shutil.copytree(
            installed / 'greenlet',
            folder / 'greenlet',
            ignore=shutil.ignore_patterns('*.so', 'tests'),
        )

    def start(self, path: str, code: int = EXIT_USAGE) -> str:
        """Start the program without site-packages; return its error texts."""
        ended = subprocess.run(
            [sys.executable, '-S', 'briartackd.py', '--other'],
            cwd=self.root,
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, 'PYTHONPATH': path},
        )
        self.assertEqual(ended.returncode, code, ended.stderr)
        return ended.stderr
