"""Allocate ports and run child processes whose output goes to files."""

import errno
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Final, final

import gevent

# Below the ephemeral port range, so that no outgoing connection takes a port
# between its allocation and its use.
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 32_000
LOOPBACK: Final = '127.0.0.1'
POLL_SECONDS: Final = 0.02


@final
class PortAllocator:
    """Allocate loopback ports and reserve them against other deployments.

    Each port is reserved by a socket that is bound but does not listen. Servers
    set SO_REUSEADDR and can still listen on the port; the search for free ports
    does not set SO_REUSEADDR and skips the port. Without the reservation,
    another deployment could take the port of a daemon that is down for a while.
    """

    __slots__ = ('_random', '_reserved')

    def __init__(self) -> None:
        self._random = Random()
        self._reserved: list[socket.socket] = []

    def reserve_address(self) -> str:
        """Reserve a free port and return its address."""
        while True:
            port = self._random.randint(FIRST_PORT, LAST_PORT)
            if _is_free(port) and self._reserve(port):
                return f'{LOOPBACK}:{port}'

    def release(self) -> None:
        """Release all reserved ports."""
        while self._reserved:
            self._reserved.pop().close()

    def _reserve(self, port: int) -> bool:
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            holder.bind((LOOPBACK, port))
        except OSError as error:
            holder.close()
            _raise_unless_in_use(error)
            return False
        self._reserved.append(holder)
        return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError as error:
            _raise_unless_in_use(error)
            return False
        return True


def _raise_unless_in_use(error: OSError) -> None:
    if error.errno != errno.EADDRINUSE:
        raise error


@final
class ChildProcess:
    """Run a Python module in a child process."""

    __slots__ = (
        '_name',
        '_arguments',
        '_directory',
        '_max_descriptors',
        '_process',
        '_starts',
    )

    def __init__(
        self,
        *,
        name: str,
        arguments: list[str],
        directory: Path,
        max_descriptors: int | None = None,
    ) -> None:
        """Describe the process; None inherits the limit of descriptors."""
        self._name = name
        self._arguments = [sys.executable, '-m', *arguments]
        self._directory = directory
        self._max_descriptors = max_descriptors
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    @property
    def name(self) -> str:
        """Return the name, which is also the stem of the output files."""
        return self._name

    @property
    def is_running(self) -> bool:
        """Return whether the process has started and has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the process id; raise RuntimeError before the first start."""
        if self._process is None:
            raise RuntimeError(f'{self._name} has not started')
        return self._process.pid

    @property
    def stdout(self) -> Path:
        """Return the file that collects the standard output of all starts."""
        return self._directory / f'{self._name}.out'

    @property
    def stderr(self) -> Path:
        """Return the file that collects the standard error of all starts."""
        return self._directory / f'{self._name}.err'

    def start(self) -> None:
        """Start the process."""
        self._starts += 1
        with self.stdout.open('ab') as out, self.stderr.open('ab') as err:
            self._process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                # Ctrl-C reaches only the parent, which then stops its
                # children in order.
                start_new_session=True,
                preexec_fn=self._limit_descriptors(),
            )

    def read_peak_memory_kb(self) -> int:
        """Return the largest resident memory so far; Linux only."""
        status = Path(f'/proc/{self.pid}/status').read_text('utf-8')
        peaks = [
            line.split()[1]
            for line in status.splitlines()
            if line.startswith('VmHWM')
        ]
        return int(peaks[0])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Return the exit code, or None if the process outlasts the time."""
        until = time.monotonic() + seconds
        while self.is_running and time.monotonic() < until:
            gevent.sleep(POLL_SECONDS)
        return None if self._process is None else self._process.poll()

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def read_error_tail(self, characters: int = 2000) -> str:
        """Return the end of the standard error output."""
        text = self.stderr.read_text(encoding='utf-8', errors='replace')
        return text[-characters:]

    def _limit_descriptors(self) -> Callable[[], None] | None:
        if self._max_descriptors is None:
            return None
        limits = (self._max_descriptors, self._max_descriptors)
        return partial(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
