"""Run a small installation of the platform with the command of deploy/.

Each machine has a loopback address of its own, a worker (a stand-in in this
process) and a daemon (a process that the command of the deploy file starts).
"""

import os
import random
import shlex
import signal
import subprocess
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Final, final

import gevent
from gevent import socket

from review.clients import send_request
from standins.platform_store import PlatformStore
from standins.platform_worker import PlatformWorker

ROOT: Final = Path(__file__).resolve().parent.parent
REGIONS: Final = {
    'costa-gye': 'costa',
    'sierra-uio': 'sierra',
    'insular-scy': 'insular',
}
HOST: Final = 'shop.example'
SLOTS: Final = 18
BORN_MS: Final = 1_780_000_000_000
START_SECONDS: Final = 60.0  # for all steps before the disruption
STABLE_WINDOW_SECONDS: Final = 3.5
POLL_SECONDS: Final = 0.05
OK: Final = 200
METRICS_PORT: Final = 9464
COLD_SECONDS: Final = 3.0
COLD_PER_SECOND: Final = 18.0
SERVICE_SPEC: Final = {
    'health_path': '/health',
    'max_conns': 130,
    'cold_start_s': COLD_SECONDS,
    'cold_per_s': COLD_PER_SECOND,
}
LIMITS_SPEC: Final = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
BOUNDS: Final = (
    'seed_lag_s=3,addr_reuse_s=2,stable_window_ms=3000,ack_ms=4000,'
    'catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,'
    'config_apply_ms=2000,rollback_slack_ms=250,max_skew_ms=5000,'
    'retry_budget_ratio=0.2,budget_window_s=10,budget_extra=62,'
    'cold_overage=1.5,cold_slack=5,evacuate_ms=5000,recovery_s=15'
)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """Hold one machine: its place, its addresses and its worker."""

    ip: str
    zone: str
    service: str
    ports: dict[str, int]
    worker: PlatformWorker

    def address(self, name: str) -> str:
        """Return an address of the machine as IP:PORT."""
        return f'{self.ip}:{self.ports[name]}'


def build_route(name: str, service: str, **spec: Any) -> dict[str, Any]:
    """Build a route resource whose prefix is its name."""
    return {
        'resource_kind': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': HOST,
            'prefix': f'/{name}/',
            'kind': 'idempotent',
            'timeout_ms': 1200,
            'target_latency_ms': 500,
            'priority': 2,
            'service': service,
            'max_attempts': 2,
            'home_regions': [],
            **spec,
        },
    }


@final
class Site:
    """Run a store, workers and daemons, and keep a record of the run."""

    def __init__(
        self,
        *,
        directory: Path,
        record: Path,
        services: tuple[str, ...] = ('saldo', 'compras'),
    ) -> None:
        """Choose a free loopback network; nothing is started yet."""
        self.services = services
        self.nodes: list[Node] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = directory
        self._started = time.monotonic()
        self._record = record.open('w', encoding='utf-8')
        self._network = _choose_network()
        self._ports = _choose_ports(f'{self._network}.1')
        self.store = PlatformStore(address=f'{self._network}.250:0')
        deploy = (ROOT / 'deploy/system.toml').read_text('utf-8')
        self._command = tomllib.loads(deploy)['roles']['daemon']['run']

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start to the record."""
        seconds = time.monotonic() - self._started
        self._record.write(f'{seconds:8.3f} {text}\n')
        self._record.flush()

    def start(self, *routes: dict[str, Any]) -> None:
        """Start everything; raise TimeoutError if the site is never ready."""
        self.store.server.start()
        self.publish(1, *routes)
        for zone in REGIONS:
            for service in self.services:
                self._add_node(zone, service)
        self.await_true(self._is_ready, 'all daemons are ready')
        # A machine is in touch once its processes have run for this long.
        gevent.sleep(STABLE_WINDOW_SECONDS)

    def await_served(self, path: str) -> None:
        """Wait until each daemon has served a request for a path."""
        for node in self.nodes:
            self.await_true(
                partial(_is_served, node, path), f'{node.ip} serves {path}'
            )

    def await_true(self, condition: Callable[[], bool], text: str) -> None:
        """Wait for a condition.

        Raises TimeoutError START_SECONDS after the start of the site.
        """
        while not condition():
            if time.monotonic() > self._started + START_SECONDS:
                raise TimeoutError(f'not reached: {text}')
            gevent.sleep(POLL_SECONDS)
        self.note(text)

    def publish(self, version: int, *routes: dict[str, Any]) -> None:
        """Write a version of the operator's configuration to the store."""
        services = [
            {
                'resource_kind': 'services',
                'metadata': {'name': name},
                'spec': SERVICE_SPEC,
            }
            for name in self.services
        ]
        limits = {
            'resource_kind': 'limits',
            'metadata': {'name': 'limits'},
            'spec': LIMITS_SPEC,
        }
        self.store.put(
            'op/config',
            {'version': version, 'resources': [*routes, *services, limits]},
        )
        self.note(f'operator: version {version} is acknowledged')

    def register(self, node: Node, **status: Any) -> None:
        """Write the registration of a machine's worker to the store."""
        entry = {
            'address': node.worker.server.address,
            'born': BORN_MS,
            'info': {
                'service': node.service,
                'version': 'v1',
                'zone': node.zone,
                'slots': SLOTS,
            },
            'status': {
                'state': 'ready',
                'sequence': 1,
                'cold_left_ms': 0,
                **status,
            },
        }
        self.store.put(f'servers/{node.worker.identity}', entry)

    def start_daemon(self, node: Node) -> None:
        """Start the daemon of a machine with the command of the deploy file."""
        settings = self._directory / f'{node.ip}.conf'
        settings.write_text(self._format_settings(node), 'utf-8')
        output = (self._directory / f'{node.ip}.log').open('ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self.processes[node.ip] = subprocess.Popen(  # noqa: S603 (own command)
            shlex.split(self._fill_command(node)),
            cwd=ROOT,
            env={
                **environment,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'BRIARTACK_BOOT': str(settings),
            },
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def stop(self) -> None:
        """Kill the daemons and stop the stand-ins."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for node in self.nodes:
            node.worker.server.stop()
        self.store.server.stop()
        self._record.close()

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to the daemon of a machine."""
        self.processes[node.ip].send_signal(number)
        self.note(f'{node.ip}: {number.name} to the daemon')

    def read_memory_kb(self, node: Node) -> int:
        """Return the resident memory of a daemon."""
        status = Path(f'/proc/{self.processes[node.ip].pid}/status')
        for line in status.read_text('utf-8').splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1])
        return 0

    def find(self, zone: str, service: str) -> Node:
        """Return the machine of a service in a zone."""
        return next(
            node
            for node in self.nodes
            if (node.zone, node.service) == (zone, service)
        )

    def is_ready(self, node: Node) -> bool:
        """Return whether a daemon answers 200 at its ready address."""
        answer = send_request(node.address('ready'), '/readyz', HOST)
        return answer.status == OK

    def _is_ready(self) -> bool:
        return all(self.is_ready(node) for node in self.nodes)

    def _add_node(self, zone: str, service: str) -> None:
        number = len(self.nodes) + 1
        ip = f'{self._network}.{number}'
        worker = PlatformWorker(
            address=f'{ip}:{self._ports["app"]}', identity=f'i-{number}'
        )
        worker.server.start()
        node = Node(
            ip=ip,
            zone=zone,
            service=service,
            ports=self._ports,
            worker=worker,
        )
        self.nodes.append(node)
        self.register(node)
        self.start_daemon(node)

    def _fill_command(self, node: Node) -> str:
        fields = {
            'ip': node.ip,
            'service': node.service,
            'zone': node.zone,
            'region': REGIONS[node.zone],
            'listen.outbound': node.address('outbound'),
            'listen.inbound': node.address('inbound'),
            'listen.ready': node.address('ready'),
            'app_addr': node.address('app'),
            'platform.address': self.store.server.address,
        }
        command = str(self._command)
        for name, text in fields.items():
            command = command.replace(f'{{{{{name}}}}}', text)
        return command

    def _format_settings(self, node: Node) -> str:
        zones = '\n'.join(
            f'zones.{zone}={region}' for zone, region in REGIONS.items()
        )
        return (
            f'ip={node.ip}\nzone={node.zone}\nservice={node.service}\n'
            f'{zones}\nbounds={BOUNDS}\n'
        )


def _is_served(node: Node, path: str) -> bool:
    reply = send_request(node.address('outbound'), path, HOST)
    return reply.status == OK


def _choose_network() -> str:
    """Return the first three parts of the addresses of a site."""
    second, third = random.choices(range(2, 250), k=2)  # noqa: WPS432
    return f'127.{second}.{third}'


def _choose_ports(ip: str) -> dict[str, int]:
    """Return free ports for the addresses of every machine."""
    while True:
        first = random.randint(10_000, 30_000)  # noqa: WPS432
        ports = {
            name: first + offset
            for offset, name in enumerate(
                ('outbound', 'inbound', 'ready', 'app')
            )
        }
        if all(_is_free(ip, port) for port in ports.values()):
            return ports


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
