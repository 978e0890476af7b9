"""A small deployment of plain processes, for tests, demo and benchmarks."""

import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, final

import gevent
import msgspec
from gevent.pool import Pool

from standins.client import Answer, call
from standins.plans import Plan
from standins.processes import Child, Ports
from standins.wiring import (
    DeploymentOptions,
    Wiring,
    daemon_child,
    store_child,
    upstream_children,
    wire,
    write_files,
    write_text,
)

# A starting daemon takes about half a second of a core for its imports.
BATCH: Final = 10
START_SECONDS: Final = 60.0
STOP_MARGIN_SECONDS: Final = 5.0
POLL_SECONDS: Final = 0.02
PROBE_SECONDS: Final = 1.0
PARALLEL_CALLS: Final = 20
DEFAULT_OPTIONS: Final = DeploymentOptions()


class DeploymentError(Exception):
    """Report a deployment that did not start, change or stop in order."""


@final
class Deployment:
    """Run a plan's store, upstreams and daemons inside a `with` block."""

    __slots__ = (
        '_plan',
        '_options',
        '_directory',
        '_wirings',
        '_store_address',
        '_control_address',
        '_stand_ins',
        '_daemons',
        '_killed',
    )

    def __init__(
        self,
        plan: Plan,
        options: DeploymentOptions = DEFAULT_OPTIONS,
    ) -> None:
        ports = Ports()
        self._plan = plan
        self._options = options
        self._directory = Path(tempfile.mkdtemp(prefix='briartack-'))
        self._wirings = wire(plan, ports)
        self._store_address = ports.address()
        self._control_address = ports.address()
        self._stand_ins = [
            store_child(
                address=self._store_address,
                control_address=self._control_address,
                directory=self._directory,
                limit=options.store_limit,
            ),
            *upstream_children(
                plan,
                self._wirings,
                self._directory,
                options.upstream_flags,
            ),
        ]
        self._daemons = {
            name: daemon_child(
                wiring=wiring,
                store_address=self._store_address,
                directory=self._directory,
                options=options,
            )
            for name, wiring in self._wirings.items()
        }
        self._killed: set[str] = set()

    @property
    def plan(self) -> Plan:
        """Return the plan."""
        return self._plan

    @property
    def wirings(self) -> dict[str, Wiring]:
        """Return the addresses by instance."""
        return self._wirings

    @property
    def directory(self) -> Path:
        """Return the directory of the files and of all output."""
        return self._directory

    @property
    def tree(self) -> Path:
        """Return the directory of the tree that the store reads."""
        return self._directory / 'tree'

    @property
    def store_address(self) -> str:
        """Return the store's address."""
        return self._store_address

    def __enter__(self) -> Self:
        """Start everything; raise DeploymentError if it does not get ready."""
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything; raise DeploymentError on a bad exit code."""
        problems = self._stop()
        if kind is None and not problems and not self._options.keeps_directory:
            shutil.rmtree(self._directory)
        if kind is None and problems:
            raise DeploymentError(
                f'{"; ".join(problems)}; output is in {self._directory}',
            )

    def child(self, instance: str) -> Child:
        """Return the daemon's process."""
        return self._daemons[instance]

    def put(self, key: str, text: str) -> int:
        """Set a key in the tree and in the store; return its revision."""
        write_text(self.tree / f'{key}.json', text)
        answer = self.control_store('put', key=key, value=text)
        return int(answer['revision'])

    def take_out_data_centre(self, name: str) -> int:
        """Take a data centre out of service; return the revision."""
        return self._edit_platform(lambda out: [*out, name])

    def bring_back(self, name: str) -> int:
        """Bring a data centre back into service; return the revision."""
        return self._edit_platform(
            lambda out: [other for other in out if other != name],
        )

    def kill(self, instance: str) -> None:
        """End a daemon without warning."""
        self._killed.add(instance)
        self._daemons[instance].end()

    def freeze(self, instance: str) -> None:
        """Pause a daemon."""
        self._daemons[instance].send(signal.SIGSTOP)

    def resume(self, instance: str) -> None:
        """Let a paused daemon go on."""
        self._daemons[instance].send(signal.SIGCONT)

    def restart(self, instance: str) -> None:
        """Stop a daemon if it runs, start it again and wait until ready."""
        daemon = self._daemons[instance]
        if daemon.is_running:
            problems = self._stop_daemons([instance])
            if problems:
                raise DeploymentError('; '.join(problems))
        self._killed.discard(instance)
        daemon.start()
        self._wait_for([instance], '/readyz')

    def status(self, instance: str) -> dict[str, Any]:
        """Return a daemon's status; raise OSError if it does not answer."""
        address = self._wirings[instance].operator_address
        answer = call(address, 'GET', '/status', timeout_seconds=PROBE_SECONDS)
        status: dict[str, Any] = answer.json()
        return status

    def call(
        self,
        instance: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Answer:
        """Call as a caller of a daemon; raise OSError without an answer."""
        address = self._wirings[instance].caller_address
        return call(address, method, path, headers=headers, body=body)

    def control_store(self, command: str, **fields: object) -> dict[str, Any]:
        """Send a command to the store's control surface."""
        return _control(self._control_address, command, fields)

    def control_upstream(
        self,
        instance: str,
        command: str,
        **fields: object,
    ) -> dict[str, Any]:
        """Send a command to the control surface of an upstream."""
        address = self._wirings[instance].upstream_address
        return _control(address, command, fields)

    def wait_until_in_force(self, revision: int, seconds: float) -> float:
        """Wait until all running daemons hold a revision; return seconds.

        Raises DeploymentError when the time is over.
        """
        started = time.monotonic()
        self._wait(
            list(self._running()),
            lambda name: int(self.status(name)['highest']) >= revision,
            seconds,
            f'revision {revision} in force',
        )
        return time.monotonic() - started

    def _running(self) -> dict[str, Child]:
        return {
            name: daemon
            for name, daemon in self._daemons.items()
            if daemon.is_running
        }

    def _edit_platform(self, edit: Callable[[list[str]], list[str]]) -> int:
        path = self.tree / 'platform.json'
        platform = msgspec.json.decode(path.read_bytes())
        platform['data_centres_out'] = edit(
            platform.get('data_centres_out', []),
        )
        return self.put('platform', msgspec.json.encode(platform).decode())

    def _start(self) -> None:
        write_files(self._plan, self._wirings, self._directory)
        for stand_in in self._stand_ins:
            stand_in.start()
        self._wait(
            [self._store_address, *self._upstream_addresses()],
            lambda address: bool(_control(address, 'stats', {})),
            START_SECONDS,
            'stand-in up',
        )
        names = list(self._daemons)
        for first in range(0, len(names), BATCH):
            batch = names[first : first + BATCH]
            for name in batch:
                self._daemons[name].start()
            self._wait_for(batch, '/healthz')
        self._wait_for(names, '/readyz')

    def _upstream_addresses(self) -> list[str]:
        return [wiring.upstream_address for wiring in self._wirings.values()]

    def _wait_for(self, names: list[str], path: str) -> None:
        self._wait(
            names,
            lambda name: self._probe(name, path),
            START_SECONDS,
            f'{path} is 200',
        )

    def _probe(self, name: str, path: str) -> bool:
        daemon = self._daemons[name]
        if not daemon.is_running:
            raise DeploymentError(f'{name} has ended: {daemon.tail()}')
        address = self._wirings[name].operator_address
        answer = call(address, 'GET', path, timeout_seconds=PROBE_SECONDS)
        return answer.status == HTTPStatus.OK

    def _wait(
        self,
        names: list[str],
        is_done: Callable[[str], bool],
        seconds: float,
        goal: str,
    ) -> None:
        until = time.monotonic() + seconds
        pool = Pool(PARALLEL_CALLS)
        while names:
            done = pool.map(lambda name: _is_done(is_done, name), names)
            names = [
                name
                for name, ready in zip(names, done, strict=True)
                if not ready
            ]
            if names and time.monotonic() > until:
                raise DeploymentError(
                    f'not within {seconds} s: {goal} at {", ".join(names)}',
                )
            gevent.sleep(POLL_SECONDS if names else 0)

    def _stop(self) -> list[str]:
        try:
            return self._stop_daemons(list(self._running()))
        finally:
            self._end_all()

    def _end_all(self) -> None:
        for stand_in in self._stand_ins:
            stand_in.send(signal.SIGTERM)
        for waited in self._stand_ins:
            waited.wait(STOP_MARGIN_SECONDS)
        for child in (*self._daemons.values(), *self._stand_ins):
            child.end()

    def _stop_daemons(self, names: list[str]) -> list[str]:
        for name in names:
            self._daemons[name].send(signal.SIGCONT)
            self._daemons[name].send(signal.SIGTERM)
        until = (
            time.monotonic() + self._options.drain_seconds + STOP_MARGIN_SECONDS
        )
        problems = []
        for stopped in names:
            code = self._daemons[stopped].wait(until - time.monotonic())
            if code != 0:
                problems.append(f'{stopped} exited with {code}')
        return problems


def _is_done(is_done: Callable[[str], bool], name: str) -> bool:
    try:
        return is_done(name)
    except OSError:
        return False


def _control(
    address: str,
    command: str,
    fields: dict[str, object],
) -> dict[str, Any]:
    answer = call(
        address,
        'POST',
        f'/control/{command}',
        body=msgspec.json.encode(fields),
    )
    if answer.status != HTTPStatus.OK:
        raise DeploymentError(f'{command} at {address}: {answer.body!r}')
    content: dict[str, Any] = answer.json()
    return content
