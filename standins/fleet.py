"""Start and stop the processes of a deployment in order."""

import signal
import time
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final, final

import gevent
from gevent.pool import Pool

from standins.client import call
from standins.control_client import DeploymentError, send_control_command
from standins.deployment_site import (
    DeploymentOptions,
    DeploymentSite,
    create_daemon_process,
    create_store_process,
    create_upstream_process,
)
from standins.processes import ChildProcess

# Daemons started at once; the imports of each take about half a second of CPU.
BATCH_DAEMONS: Final = 10
MAX_START_SECONDS: Final = 60.0
STOP_MARGIN_SECONDS: Final = 5.0
POLL_SECONDS: Final = 0.02
PROBE_SECONDS: Final = 1.0
MAX_PARALLEL_PROBES: Final = 20


@final
class Fleet:
    """Manage the processes of a deployment."""

    __slots__ = ('_site', '_options', '_stand_ins', '_daemons')

    def __init__(
        self, *, site: DeploymentSite, options: DeploymentOptions
    ) -> None:
        self._site = site
        self._options = options
        self._stand_ins = [
            create_store_process(site, options),
            *(
                create_upstream_process(site, options, data_centre)
                for data_centre in site.plan.data_centres
            ),
        ]
        self._daemons = {
            name: create_daemon_process(site, options, name)
            for name in site.instance_sites
        }

    @property
    def daemons(self) -> dict[str, ChildProcess]:
        """Return the daemon processes by instance."""
        return self._daemons

    @property
    def running(self) -> list[str]:
        """Return the instances whose daemons are running."""
        return [name for name, one in self._daemons.items() if one.is_running]

    def start(self) -> None:
        """Start all processes; raise DeploymentError if one is not ready."""
        for stand_in in self._stand_ins:
            stand_in.start()
        upstreams = [
            instance_site.upstream_address
            for instance_site in self._site.instance_sites.values()
        ]
        wait_for_all(
            [self._site.store_address, *upstreams],
            lambda address: bool(send_control_command(address, 'stats')),
            MAX_START_SECONDS,
            'stand-in ready',
        )
        self.start_daemons(list(self._daemons))

    def start_daemons(self, names: list[str]) -> None:
        """Start daemons in batches and wait until all daemons are ready."""
        for first in range(0, len(names), BATCH_DAEMONS):
            batch = names[first : first + BATCH_DAEMONS]
            for name in batch:
                self._daemons[name].start()
            self._wait_for_path(batch, '/healthz')
        self._wait_for_path(names, '/readyz')

    def stop_daemons(self, names: list[str]) -> list[str]:
        """Stop daemons by SIGTERM; return a problem for each bad exit code."""
        for name in names:
            self._daemons[name].send_signal(signal.SIGCONT)
            self._daemons[name].send_signal(signal.SIGTERM)
        seconds = self._options.drain_seconds + STOP_MARGIN_SECONDS
        until = time.monotonic() + seconds
        codes = [
            (waited, self._daemons[waited].wait(until - time.monotonic()))
            for waited in names
        ]
        # The code is None if the daemon is still running.
        return [
            f'{stopped} exited with code {code} within {seconds} s'
            for stopped, code in codes
            if code != 0
        ]

    def stop(self) -> list[str]:
        """Stop all processes, finally with SIGKILL; return the problems."""
        try:
            return self.stop_daemons(self.running)
        finally:
            self._kill_all()

    def _kill_all(self) -> None:
        try:
            self._stop_stand_ins()
        finally:
            for child in (*self._daemons.values(), *self._stand_ins):
                child.kill()

    def _stop_stand_ins(self) -> None:
        for stand_in in self._stand_ins:
            stand_in.send_signal(signal.SIGTERM)
        for waited in self._stand_ins:
            waited.wait(STOP_MARGIN_SECONDS)

    def _wait_for_path(self, names: list[str], path: str) -> None:
        wait_for_all(
            names,
            lambda name: self._probe(name, path),
            MAX_START_SECONDS,
            f'{path} answers 200',
        )

    def _probe(self, name: str, path: str) -> bool:
        daemon = self._daemons[name]
        if not daemon.is_running:
            raise DeploymentError(
                f'{name} exited early: {daemon.read_error_tail()}'
            )
        address = self._site.instance_sites[name].operator_address
        answer = call(address, 'GET', path, timeout_seconds=PROBE_SECONDS)
        return answer.status == HTTPStatus.OK


def wait_for_all(
    names: list[str],
    is_done: Callable[[str], bool],
    seconds: float,
    goal: str,
) -> None:
    """Poll until `is_done` holds for all names.

    An OSError counts as not done yet. Raises DeploymentError after `seconds`.
    """
    until = time.monotonic() + seconds
    pool = Pool(MAX_PARALLEL_PROBES)
    missing = names
    while missing:
        done = pool.map(partial(_is_done, is_done), missing)
        answers = zip(missing, done, strict=True)
        missing = [name for name, is_ready in answers if not is_ready]
        if missing and time.monotonic() > until:
            raise DeploymentError(
                f'timed out after {seconds} s: {goal} at {", ".join(missing)}',
            )
        gevent.sleep(POLL_SECONDS)


def _is_done(is_done: Callable[[str], bool], name: str) -> bool:
    try:
        return is_done(name)
    except OSError:
        return False
