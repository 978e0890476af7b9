"""Run a small site of the platform for a case: machines, workers, a store.

The daemons are processes, started as the deploy file says. The store and the
workers are the project's stand-ins and run in the process of the case.
"""

import random
import socket
import tempfile
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, final

import gevent

from review.second_daemon import DaemonProcess
from standins.platform_site import (
    ConsumerResponse,
    build_route,
    send_request,
)
from standins.platform_store import PlatformStore
from standins.platform_worker import PlatformWorker

REGIONS: Final[Mapping[str, str]] = {
    'costa-gye': 'costa',
    'sierra-uio': 'sierra',
    'insular-scy': 'insular',
}
HOST: Final = 'shop.example'
SLOTS: Final = 18
MAX_CONNECTIONS: Final = 130
COLD_SECONDS: Final = 3.0
COLD_PER_SECOND: Final = 18.0
OK_STATUS: Final = 200
DEADLINE_MS: Final = 1500
START_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.05
PORT_NAMES: Final = ('inbound', 'app', 'ready', 'outbound')
_FIRST_PORT: Final = 11_000
_LAST_PORT: Final = 31_000
_MAX_NETWORK: Final = 250
# The bounds and limits of the smaller site file of the users, pacenlace.
_BOUNDS: Final = (
    'seed_lag_s=3,addr_reuse_s=2,stable_window_ms=3000,ack_ms=4000,'
    'catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,'
    'config_apply_ms=2000,rollback_slack_ms=250,max_skew_ms=5000,'
    'retry_budget_ratio=0.2,budget_window_s=10,budget_extra=62,'
    'cold_overage=1.5,cold_slack=5,evacuate_ms=5000,recovery_s=15'
)
_LIMITS: Final = (
    ('limits.cpu_share', '0.86'),
    ('limits.cores', '1'),
    ('limits.memory_mb', '300'),
    ('limits.max_fds', '4100'),
    ('limits.link_mbps', '1000.0'),
)


class CannotRunError(Exception):
    """Report why a case can't run on this machine."""


@final
@dataclass(slots=True, kw_only=True)
class Machine:
    """Hold the addresses, the worker and the daemon of one machine."""

    ip: str
    zone: str
    service: str
    addresses: dict[str, str]
    worker: PlatformWorker
    daemon: DaemonProcess


def build_configuration(
    version: int, services: tuple[str, ...], routes: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration as the operators write it."""
    entries = [
        {
            'resource_kind': 'services',
            'metadata': {'name': service},
            'spec': {
                'health_path': '/health',
                'max_conns': MAX_CONNECTIONS,
                'cold_start_s': COLD_SECONDS,
                'cold_per_s': COLD_PER_SECOND,
            },
        }
        for service in services
    ]
    return {'version': version, 'resources': [*routes, *entries]}


def build_plain_route(
    name: str, service: str, kind: str, **overrides: Any
) -> dict[str, Any]:
    """Return a route without home regions, with the prefix of its name."""
    return build_route(
        name,
        f'/{name}/',
        service,
        host=HOST,
        kind=kind,
        timeout_ms=DEADLINE_MS,
        **overrides,
    )


@final
class Site:
    """Manage one machine for each service in each zone."""

    def __init__(
        self,
        *,
        services: tuple[str, ...],
        routes: list[dict[str, Any]],
        zones: tuple[str, ...] = tuple(REGIONS),
    ) -> None:
        """Describe the site; nothing is started yet."""
        self.services = services
        self.routes = routes
        self.machines: list[Machine] = []
        self._zones = zones
        self._folder = tempfile.TemporaryDirectory()
        self.directory = Path(self._folder.name)
        self._network = f'127.77.{random.randint(1, _MAX_NETWORK)}'
        self.store = PlatformStore(address=f'{self._network}.250:0')
        self._ports: tuple[int, ...] = ()

    def start(self) -> None:
        """Start all parts and wait until all routes are served everywhere.

        Raises CannotRunError.
        """
        self.store.server.start()
        self.store.put(
            'op/config', build_configuration(1, self.services, self.routes)
        )
        ips = [
            f'{self._network}.{number}'
            for number in range(1, len(self._zones) * len(self.services) + 1)
        ]
        self._ports = _find_ports(ips)
        places = [
            (zone, service) for zone in self._zones for service in self.services
        ]
        for ip, (zone, service) in zip(ips, places, strict=True):
            self._add_machine(ip, zone, service)
        for machine in self.machines:
            machine.daemon.start()
        self._await_service()

    def stop(self) -> None:
        """End the processes that this site started, and its servers."""
        for machine in self.machines:
            machine.daemon.end()
            machine.worker.server.stop()
        self.store.server.stop()
        self._folder.cleanup()

    def find(self, zone: str, service: str) -> Machine:
        """Return the machine of a service in a zone."""
        return next(
            machine
            for machine in self.machines
            if (machine.zone, machine.service) == (zone, service)
        )

    def register(
        self,
        worker: PlatformWorker,
        zone: str,
        service: str,
        born: int,
        **status: Any,
    ) -> None:
        """Write the entry of a worker, which is ready unless stated."""
        entry = {
            'address': worker.server.address,
            'born': born,
            'info': {
                'service': service,
                'version': 'v1',
                'zone': zone,
                'slots': SLOTS,
            },
            'status': {
                'state': 'ready',
                'sequence': 1,
                'cold_left_ms': 0,
                **status,
            },
        }
        self.store.put(f'servers/{worker.identity}', entry)

    def _add_machine(self, ip: str, zone: str, service: str) -> None:
        addresses = {
            name: f'{ip}:{port}'
            for name, port in zip(PORT_NAMES, self._ports, strict=True)
        }
        number = ip.rpartition('.')[2]
        worker = PlatformWorker(
            address=addresses['app'], identity=f'i-{service}-{number}'
        )
        worker.server.start()
        settings = {
            'node': f'sidecar-{zone}-{number}',
            'role': 'daemon',
            'machine_class': 'sidecar',
            'serves': 'sidecar',
            'ip': ip,
            'zone': zone,
            'region': REGIONS[zone],
            **{f'zones.{name}': region for name, region in REGIONS.items()},
            'listen.inbound': addresses['inbound'],
            'listen.outbound': addresses['outbound'],
            'listen.ready': addresses['ready'],
            'seeds': '',
            'bootstrap': 'true',
            **dict(_LIMITS),
            'beat_interval_ms': '1500',
            'bounds': _BOUNDS,
            'app_addr': addresses['app'],
            'service': service,
            'platform.address': self.store.server.address,
            'platform.form': 'read',
            'platform.reads_per_s': '2000',
        }
        daemon = DaemonProcess(settings=settings, directory=self.directory)
        self.machines.append(
            Machine(
                ip=ip,
                zone=zone,
                service=service,
                addresses=addresses,
                worker=worker,
                daemon=daemon,
            )
        )
        self.register(worker, zone, service, born=_now_ms())

    def _await_service(self) -> None:
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if all(map(self._is_serving, self.machines)):
                return
            gevent.sleep(POLL_SECONDS)
        raise CannotRunError(f'not all routes served in {START_SECONDS} s')

    def _is_serving(self, machine: Machine) -> bool:
        if machine.daemon.exit_code is not None:
            raise CannotRunError(f'daemon exited: {machine.daemon.exit_code}')
        ready = f'http://{machine.addresses["ready"]}/readyz'
        if send_request(ready).status != OK_STATUS:
            return False
        return all(
            send(machine, f'{route["spec"]["prefix"]}warm').status == OK_STATUS
            for route in self.routes
        )


def send(
    machine: Machine,
    path: str,
    body: bytes | None = None,
    attempt_id: str = '',
) -> ConsumerResponse:
    """Send a request to the outbound address as a consumer does."""
    headers = {
        'Host': HOST,
        'X-Attempt-Id': attempt_id or uuid.uuid4().hex,
        'X-Deadline-Ms': str(DEADLINE_MS),
    }
    url = f'http://{machine.addresses["outbound"]}{path}'
    return send_request(url, headers, body)


def _now_ms() -> int:
    return int(time.time() * 1000)


def _find_ports(ips: list[str]) -> tuple[int, ...]:
    """Return ports that are free at all addresses; raise CannotRunError."""
    for _ in range(100):
        first = random.randrange(_FIRST_PORT, _LAST_PORT)
        ports = tuple(range(first, first + len(PORT_NAMES)))
        if all(_is_free(ip, port) for ip in ips for port in ports):
            return ports
    raise CannotRunError('no free ports')


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
