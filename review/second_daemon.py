"""Start one daemon with the command of the deploy file."""

import os
import re
import signal
import subprocess  # noqa: S404
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Final, final

import gevent

ROOT: Final = Path(__file__).resolve().parents[1]
DEPLOY_FILE: Final = ROOT / 'deploy' / 'system.toml'
_PLACEHOLDER: Final = re.compile(r'\{\{([\w.]+)\}\}')
# What a process gets of the environment of the bench.
_KEPT_VARIABLES: Final = ('PATH', 'HOME', 'LANG')


def _read_command() -> list[str]:
    with DEPLOY_FILE.open('rb') as deploy:
        roles = tomllib.load(deploy)['roles']
    return str(roles['daemon']['run']).split()


@final
class DaemonProcess:
    """Run the daemon of one machine, whose output goes to a file."""

    __slots__ = ('_settings', '_settings_file', '_output', '_process')

    def __init__(self, *, settings: Mapping[str, str], directory: Path) -> None:
        """Describe the process; `settings` are the fields of its file."""
        self._settings = dict(settings)
        self._settings_file = directory / f'{settings["ip"]}.conf'
        self._output = directory / f'{settings["ip"]}.log'
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def output(self) -> Path:
        """Return the file with the output of all starts."""
        return self._output

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or `None` while the process runs."""
        return None if self._process is None else self._process.poll()

    def write_settings(self, **changes: str) -> None:
        """Replace the settings file as a whole."""
        self._settings.update(changes)
        lines = [f'{name}={text}\n' for name, text in self._settings.items()]
        fresh = self._settings_file.with_suffix('.new')
        fresh.write_text(''.join(lines), 'utf-8')
        fresh.replace(self._settings_file)

    def start(self) -> None:
        """Write the settings file and start the process."""
        self.write_settings()
        command = [
            _PLACEHOLDER.sub(self._fill, word) for word in _read_command()
        ]
        environment = {
            name: os.environ[name]
            for name in _KEPT_VARIABLES
            if name in os.environ
        }
        environment['BRIARTACK_BOOT'] = str(self._settings_file)
        with self._output.open('ab') as output:
            self._process = subprocess.Popen(  # noqa: S603
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, seconds: float, pause: float = 0.02) -> int | None:
        """Return the exit code, or `None` if the process outlasts the time."""
        until = time.monotonic() + seconds
        while self.exit_code is None and time.monotonic() < until:
            gevent.sleep(pause)
        return self.exit_code

    def end(self) -> None:
        """Kill the process and reap it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _fill(self, found: re.Match[str]) -> str:
        return self._settings[found[1]]
