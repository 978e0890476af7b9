"""Assign addresses, files and command lines to a planned deployment."""

from dataclasses import dataclass
from pathlib import Path
from typing import final

import msgspec

from standins.deployment_plans import InstancePlan, Plan
from standins.processes import ChildProcess, PortAllocator


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSite:
    """Hold an instance's plan and the addresses of its processes."""

    plan: InstancePlan
    caller_address: str
    peer_address: str
    operator_address: str
    upstream_address: str
    # Of a proxy to which other daemons connect; empty without one.
    proxy_address: str = ''

    def build_record(self) -> dict[str, str]:
        """Return the instance's record in the platform's list of instances."""
        return {
            'service': self.plan.service,
            'data_centre': self.plan.data_centre,
            'region': self.plan.region,
            'peer_address': self.proxy_address or self.peer_address,
            'state': 'live',
        }


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentOptions:
    """Hold the options of a deployment."""

    store_limit: int = 2000
    drain_seconds: float = 10
    log_level: str = 'info'
    records_traces: bool = False
    upstream_flags: tuple[str, ...] = ()
    keeps_directory: bool = False
    # Daemons find each other at proxies, which the user of the site starts.
    proxies_peers: bool = False
    # Benchmarks run modified daemons as baselines from separate modules.
    daemon_module: str = 'briartack.launcher'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSite:
    """Hold the plan, addresses and directories of a deployment."""

    plan: Plan
    directory: Path  # contains the files and all output
    instance_sites: dict[str, InstanceSite]  # by instance id
    store_address: str
    control_address: str
    ports: PortAllocator

    @property
    def tree(self) -> Path:
        """Return the directory of the settings tree that the store reads."""
        return self.directory / 'tree'


def create_site(
    plan: Plan, directory: Path, *, proxies_peers: bool = False
) -> DeploymentSite:
    """Assign the addresses and write the files of a deployment."""
    ports = PortAllocator()
    site = DeploymentSite(
        plan=plan,
        directory=directory,
        instance_sites=assign_addresses(
            plan, ports, proxies_peers=proxies_peers
        ),
        store_address=ports.reserve_address(),
        control_address=ports.reserve_address(),
        ports=ports,
    )
    write_site_files(site)
    return site


def assign_addresses(
    plan: Plan, ports: PortAllocator, *, proxies_peers: bool = False
) -> dict[str, InstanceSite]:
    """Assign addresses to each instance of a plan."""
    return {
        one.instance_id: InstanceSite(
            plan=one,
            caller_address=ports.reserve_address(),
            peer_address=ports.reserve_address(),
            operator_address=ports.reserve_address(),
            upstream_address=ports.reserve_address(),
            proxy_address=ports.reserve_address() if proxies_peers else '',
        )
        for one in plan.instances
    }


def write_site_files(site: DeploymentSite) -> None:
    """Write the settings tree and the list of instances."""
    for key, text in site.plan.tree.items():
        write_text(site.tree / f'{key}.json', text)
    records = {
        name: instance_site.build_record()
        for name, instance_site in site.instance_sites.items()
    }
    write_text(
        site.directory / 'instances.json',
        msgspec.json.encode(records).decode(),
    )


def write_text(path: Path, text: str) -> None:
    """Replace a file atomically, so that no reader sees half of the text."""
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_suffix('.part')
    part.write_text(text, encoding='utf-8')
    part.replace(path)


def create_store_process(
    site: DeploymentSite, options: DeploymentOptions
) -> ChildProcess:
    """Create the process of the store without starting it."""
    return ChildProcess(
        name='store',
        directory=site.directory,
        arguments=[
            'standins.store',
            *('--address', site.store_address),
            *('--control-address', site.control_address),
            *('--tree', str(site.tree)),
            *('--instances', str(site.directory / 'instances.json')),
            *('--limit', str(options.store_limit)),
        ],
    )


def create_upstream_process(
    site: DeploymentSite,
    options: DeploymentOptions,
    data_centre: str,
) -> ChildProcess:
    """Create the process of a data centre's upstreams without starting it."""
    arguments = ['standins.upstream']
    for name, instance_site in site.instance_sites.items():
        if instance_site.plan.data_centre == data_centre:
            arguments += ['--address', instance_site.upstream_address]
            arguments += ['--name', name]
    arguments += ['--slots', str(site.plan.slots)]
    arguments += ['--connections', str(site.plan.connections)]
    return ChildProcess(
        name=f'upstreams-{data_centre}',
        directory=site.directory,
        arguments=[*arguments, *options.upstream_flags],
    )


def create_daemon_process(
    site: DeploymentSite, options: DeploymentOptions, name: str
) -> ChildProcess:
    """Create the process of an instance's daemon without starting it."""
    instance_site = site.instance_sites[name]
    arguments = [
        options.daemon_module,
        *('--instance-id', name),
        *('--service', instance_site.plan.service),
        *('--data-centre', instance_site.plan.data_centre),
        *('--region', instance_site.plan.region),
        *('--caller-address', instance_site.caller_address),
        *('--peer-address', instance_site.peer_address),
        *('--operator-address', instance_site.operator_address),
        *('--upstream-address', instance_site.upstream_address),
        *('--store-address', site.store_address),
        *('--drain-seconds', str(options.drain_seconds)),
        *('--log-level', options.log_level),
    ]
    if options.records_traces:
        arguments += ['--record', str(site.directory / f'{name}.trace')]
    return ChildProcess(
        name=name, directory=site.directory, arguments=arguments
    )
