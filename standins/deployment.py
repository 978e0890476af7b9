"""Run a small deployment as processes for tests, demo and benchmarks."""

import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, final

import msgspec

from standins.client import Answer, call
from standins.control_client import DeploymentError, send_control_command
from standins.deployment_plans import Plan
from standins.deployment_site import (
    DeploymentOptions,
    DeploymentSite,
    create_site,
    write_text,
)
from standins.fleet import PROBE_SECONDS, Fleet, wait_for_all
from standins.processes import ChildProcess

DEFAULT_OPTIONS: Final = DeploymentOptions()


@final
class Deployment:
    """Run a plan's store, upstreams and daemons inside a `with` block."""

    __slots__ = ('_site', '_fleet', '_keeps_directory')

    def __init__(
        self,
        plan: Plan,
        options: DeploymentOptions = DEFAULT_OPTIONS,
    ) -> None:
        self._keeps_directory = options.keeps_directory
        self._site = create_site(
            plan,
            Path(tempfile.mkdtemp(prefix='briartack-')),
            proxies_peers=options.proxies_peers,
        )
        self._fleet = Fleet(site=self._site, options=options)

    @property
    def site(self) -> DeploymentSite:
        """Return the plan, addresses and directories of the deployment."""
        return self._site

    def __enter__(self) -> Self:
        """Start all processes; raise DeploymentError if one is not ready."""
        try:
            self._fleet.start()
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
        """Stop all processes; raise DeploymentError on a bad exit code."""
        problems = self._stop()
        if kind is not None:
            return
        if problems:
            raise DeploymentError(
                f'{"; ".join(problems)}; output is in {self._site.directory}',
            )
        if not self._keeps_directory:
            shutil.rmtree(self._site.directory)

    def get_daemon_process(self, instance: str) -> ChildProcess:
        """Return the process of an instance's daemon with its output files."""
        return self._fleet.daemons[instance]

    def put(self, key: str, text: str) -> int:
        """Set a key in the tree and in the store; return the new revision."""
        write_text(self._site.tree / f'{key}.json', text)
        answer = self.control_store('put', key=key, value=text)
        return int(answer['revision'])

    def take_out_data_centre(self, name: str) -> int:
        """Take a data centre out of service; return the revision."""
        return self._edit_platform(lambda out: [*out, name])

    def bring_back_data_centre(self, name: str) -> int:
        """Bring a data centre back into service; return the revision."""
        return self._edit_platform(
            lambda out: [other for other in out if other != name],
        )

    def kill(self, instance: str) -> None:
        """Kill a daemon with SIGKILL."""
        self.get_daemon_process(instance).kill()

    def freeze(self, instance: str) -> None:
        """Pause a daemon with SIGSTOP."""
        self.get_daemon_process(instance).send_signal(signal.SIGSTOP)

    def resume(self, instance: str) -> None:
        """Resume a paused daemon with SIGCONT."""
        self.get_daemon_process(instance).send_signal(signal.SIGCONT)

    def restart(self, instance: str) -> None:
        """Stop a daemon if it runs, start it and wait until it is ready."""
        if self.get_daemon_process(instance).is_running:
            problems = self._fleet.stop_daemons([instance])
            if problems:
                raise DeploymentError('; '.join(problems))
        self._fleet.start_daemons([instance])

    def status(self, instance: str) -> dict[str, Any]:
        """Return a daemon's status; raise OSError if no answer arrives."""
        address = self._site.instance_sites[instance].operator_address
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
        """Call a daemon as its caller; raise OSError if no answer arrives."""
        address = self._site.instance_sites[instance].caller_address
        return call(address, method, path, headers=headers, body=body)

    def control_store(self, command: str, **fields: object) -> dict[str, Any]:
        """Send a command to the control interface of the store."""
        return send_control_command(
            self._site.control_address, command, **fields
        )

    def control_upstream(
        self,
        instance: str,
        command: str,
        **fields: object,
    ) -> dict[str, Any]:
        """Send a command to the control interface of an upstream."""
        address = self._site.instance_sites[instance].upstream_address
        return send_control_command(address, command, **fields)

    def wait_until_in_force(self, revision: int, seconds: float) -> float:
        """Wait until a revision is in force at all running daemons.

        Returns the seconds waited. Raises DeploymentError after `seconds`.
        """
        started = time.monotonic()
        wait_for_all(
            self._fleet.running,
            lambda name: int(self.status(name)['highest']) >= revision,
            seconds,
            f'revision {revision} in force',
        )
        return time.monotonic() - started

    def _stop(self) -> list[str]:
        try:
            return self._fleet.stop()
        finally:
            self._site.ports.release()

    def _edit_platform(self, edit: Callable[[list[str]], list[str]]) -> int:
        path = self._site.tree / 'platform.json'
        platform = msgspec.json.decode(path.read_bytes())
        platform['data_centres_out'] = edit(
            platform.get('data_centres_out', []),
        )
        return self.put('platform', msgspec.json.encode(platform).decode())
