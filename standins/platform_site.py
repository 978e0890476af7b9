"""Run a small site of the platform: machines, workers, store and daemons.

Each machine has its own loopback address because daemons find each other by IP
address and a port number that is the same on all machines.
"""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Final, final

from geventhttpclient import URL, HTTPClient
from geventhttpclient.response import HTTPParseError

from standins.deployment_site import write_text
from standins.link_proxy import LinkProxy
from standins.platform_store import PlatformStore
from standins.platform_worker import PlatformWorker
from standins.processes import LOOPBACK, ChildProcess, PortAllocator

REGIONS_BY_ZONE: Final = {'east-1': 'east', 'east-2': 'east', 'west-1': 'west'}
SERVICES: Final = ('reads', 'buys')
HOST: Final = 'shop.example'
SLOTS: Final = 4
# The smallest limits of the platform's deployments with two services and more.
MEMORY_MB: Final = 150
MAX_DESCRIPTORS: Final = 4100
TIMEOUT_SECONDS: Final = 5.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class SiteShape:
    """Hold the zones with their regions, the services and their sizes.

    `max_descriptors` also limits the processes of the daemons, unless None.
    With links, the daemons reach each other through proxies, which have the
    rate of the links.
    """

    regions_by_zone: Mapping[str, str]
    services: tuple[str, ...]
    slots: int
    max_connections: int
    max_descriptors: int | None = None
    memory_mb: int = MEMORY_MB
    has_links: bool = False
    # Rate of the link of each daemon; its settings state it if `states_rate`.
    link_mbps: float | None = None
    states_rate: bool = True


SMALL_SHAPE: Final = SiteShape(
    regions_by_zone=REGIONS_BY_ZONE,
    services=SERVICES,
    slots=SLOTS,
    max_connections=50,
)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """Hold the addresses, the worker and the daemon of one machine.

    `link` forwards the streams that other daemons dial, if the site has links.
    """

    ip: str
    zone: str
    service: str
    worker: PlatformWorker
    daemon: ChildProcess
    settings: Path
    caller_address: str
    operator_address: str
    link: LinkProxy | None = None


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ConsumerResponse:
    """Hold a response to a consumer; status 0 means a failed connection."""

    status: int
    body: bytes
    headers: dict[str, str]


def build_route(
    name: str, prefix: str, service: str, **overrides: Any
) -> dict[str, Any]:
    """Create a route resource of the operators' configuration."""
    spec = {
        'host': HOST,
        'prefix': prefix,
        'kind': 'idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'home_regions': [],
        **overrides,
    }
    return {'resource_kind': 'routes', 'metadata': {'name': name}, 'spec': spec}


def build_tenant(name: str, *keys: str, **overrides: Any) -> dict[str, Any]:
    """Create a tenant resource of the operators' configuration."""
    spec = {
        'api_keys': list(keys),
        'priority': 1,
        'rate_per_s': 0,
        'burst': 0,
        'home_regions': [],
        **overrides,
    }
    metadata = {'name': name}
    return {'resource_kind': 'tenants', 'metadata': metadata, 'spec': spec}


def build_configuration(
    *routes: dict[str, Any], version: int = 1, shape: SiteShape = SMALL_SHAPE
) -> dict[str, Any]:
    """Create an operators' configuration with all services."""
    services = [
        {
            'resource_kind': 'services',
            'metadata': {'name': service},
            'spec': {
                'health_path': '/health',
                'max_conns': shape.max_connections,
                'cold_start_s': 1.0,
                'cold_per_s': 20.0,
            },
        }
        for service in shape.services
    ]
    return {'version': version, 'resources': [*routes, *services]}


DEFAULT_ROUTES: Final = (
    build_route('reads', '/reads/', 'reads'),
    build_route('buys', '/buys/', 'buys', kind='non_idempotent'),
    build_route('home', '/home/', 'reads', home_regions=['west']),
)


@final
class PlatformSite:
    """Manage one machine for each service in each zone."""

    __slots__ = (
        'store',
        'machines',
        '_directory',
        '_shape',
        '_ports',
        '_port_numbers',
    )

    def __init__(
        self, *, directory: Path, shape: SiteShape = SMALL_SHAPE
    ) -> None:
        self._directory = directory
        self._shape = shape
        self._ports = PortAllocator()
        self._port_numbers = [
            _extract_port(self._ports.reserve_address())
            for _ in ('outbound', 'inbound', 'ready', 'app')
        ]
        self.store = PlatformStore(address=f'{LOOPBACK}:0')
        self.machines: list[Machine] = []

    def start(self) -> None:
        """Start the store, publish the default routes and start machines."""
        self.store.server.start()
        self.store.put('op/config', build_configuration(*DEFAULT_ROUTES))
        for zone in self._shape.regions_by_zone:
            for service in self._shape.services:
                self.add_machine(zone, service)

    def add_machine(self, zone: str, service: str) -> Machine:
        """Start a machine with a worker and a daemon for a service."""
        number = len(self.machines) + 1
        ip = f'127.0.1.{number}'
        outbound, inbound, ready, app = (
            f'{ip}:{one}' for one in self._port_numbers
        )
        worker = PlatformWorker(address=app, identity=f'i-{number}')
        worker.server.start()
        link = None
        peer_address = inbound
        if self._shape.has_links:
            # The port has to be the same, so the daemon gets another address.
            peer_address = inbound.replace(ip, f'127.0.2.{number}')
            mbps = self._shape.link_mbps
            link = LinkProxy(
                address=inbound,
                target=peer_address,
                bytes_per_second=None if mbps is None else mbps * 125_000,
            )
            link.start()
        settings = self._directory / f'{ip}.conf'
        write_text(settings, format_settings(self._shape))
        arguments = ['briartack.launcher', '--dialect', 'platform']
        flags = {
            'boot': str(settings),
            'instance-id': ip,
            'service': f'op/{service}',
            'data-centre': zone,
            'region': self._shape.regions_by_zone[zone],
            'caller-address': outbound,
            'peer-address': peer_address,
            'operator-address': ready,
            'upstream-address': app,
            'store-address': self.store.server.address,
            'drain-seconds': '5',
            'log-stream': 'stdout',
        }
        for flag, text in flags.items():
            arguments += [f'--{flag}', text]
        daemon = ChildProcess(
            name=ip,
            arguments=arguments,
            directory=self._directory,
            max_descriptors=self._shape.max_descriptors,
        )
        machine = Machine(
            ip=ip,
            zone=zone,
            service=service,
            worker=worker,
            daemon=daemon,
            settings=settings,
            caller_address=outbound,
            operator_address=ready,
            link=link,
        )
        self.machines.append(machine)
        worker.register = partial(self.register_worker, machine)
        self.register_worker(machine)
        daemon.start()
        return machine

    def register_worker(
        self, machine: Machine, service: str = '', **status: Any
    ) -> None:
        """Write the registration of a machine's worker to the store.

        The service is that of the machine if none is given.
        """
        self.store.put(
            f'servers/{machine.worker.identity}',
            {
                'address': machine.worker.server.address,
                'born': 1,
                'info': {
                    'service': service or machine.service,
                    'version': 'v1',
                    'zone': machine.zone,
                    'slots': self._shape.slots,
                },
                'status': {
                    'state': 'ready',
                    'sequence': 1,
                    'cold_left_ms': 0,
                    **status,
                },
            },
        )

    def find_machine(self, zone: str, service: str) -> Machine:
        """Find the first machine of a service in a zone."""
        return next(
            one
            for one in self.machines
            if one.zone == zone and one.service == service
        )

    def is_ready(self) -> bool:
        """Return whether all daemons report that they are ready."""
        return all(
            send_request(f'http://{one.operator_address}/readyz').status == 200
            for one in self.machines
        )

    def stop(self) -> None:
        """Kill the daemons of this site and stop its servers."""
        for machine in self.machines:
            machine.daemon.kill()
            machine.worker.server.stop()
            if machine.link is not None:
                machine.link.stop()
        self.store.server.stop()
        self._ports.release()


def send_consumer_request(
    machine: Machine,
    path: str,
    body: bytes | None = None,
    attempt_id: str = '',
    *,
    api_key: str = '',
) -> ConsumerResponse:
    """Send a request to a machine's daemon as a consumer would."""
    headers = {
        'Host': HOST,
        'X-Attempt-Id': attempt_id or uuid.uuid4().hex,
        'X-Deadline-Ms': '2000',
    }
    if api_key:
        headers['X-Api-Key'] = api_key
    return send_request(f'http://{machine.caller_address}{path}', headers, body)


def send_request(
    url: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    *,
    timeout_seconds: float = TIMEOUT_SECONDS,
) -> ConsumerResponse:
    """Send a request; return status 0 if the connection fails."""
    parsed = URL(url)
    client = HTTPClient(
        parsed.host,
        parsed.port,
        connection_timeout=timeout_seconds,
        network_timeout=timeout_seconds,
    )
    method = 'GET' if body is None else 'POST'
    try:
        answer = client.request(
            method,
            parsed.request_uri,
            body or b'',
            headers or {},
        )
        return ConsumerResponse(
            status=answer.status_code,
            body=bytes(answer.read()),
            headers={name.lower(): text for name, text in answer.items()},
        )
    except (OSError, HTTPParseError) as error:
        return ConsumerResponse(status=0, body=str(error).encode(), headers={})
    finally:
        client.close()


def format_settings(
    shape: SiteShape = SMALL_SHAPE, grace_seconds: float = 6
) -> str:
    """Return the settings file of a daemon."""
    zones = '\n'.join(
        f'zones.{zone}={region}'
        for zone, region in shape.regions_by_zone.items()
    )
    bounds = f'bounds=grace_s={grace_seconds:g},retry_budget_ratio=0.2'
    max_fds = shape.max_descriptors or MAX_DESCRIPTORS
    limits = f'limits.memory_mb={shape.memory_mb}\nlimits.max_fds={max_fds}'
    if shape.link_mbps is not None and shape.states_rate:
        limits = f'{limits}\nlimits.link_mbps={shape.link_mbps:g}'
    return f'{zones}\n{limits}\n{bounds},budget_extra=60,cold_overage=1.5\n'


def _extract_port(address: str) -> str:
    return address.rpartition(':')[2]
