"""Addresses, files and command lines of a planned deployment."""

from dataclasses import dataclass
from pathlib import Path
from typing import final

import msgspec

from standins.plans import InstancePlan, Plan
from standins.processes import Child, Ports


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Wiring:
    """Hold the addresses of one instance and its upstream."""

    plan: InstancePlan
    caller_address: str
    peer_address: str
    operator_address: str
    upstream_address: str

    def record(self) -> dict[str, str]:
        """Return the instance's record in the platform's list."""
        return {
            'service': self.plan.service,
            'data_centre': self.plan.data_centre,
            'region': self.plan.region,
            'peer_address': self.peer_address,
            'state': 'live',
        }


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentOptions:
    """Hold what a deployment may vary."""

    store_limit: int = 2000
    drain_seconds: float = 10
    log_level: str = 'info'
    records_traces: bool = False
    upstream_flags: tuple[str, ...] = ()
    keeps_directory: bool = False
    # A baseline changes decisions of the daemon in a module of its own.
    daemon_module: str = 'briartack.main'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """Hold where the parts of a deployment are."""

    plan: Plan
    directory: Path  # of the files and of all output
    wirings: dict[str, Wiring]  # by instance
    store_address: str
    control_address: str
    ports: Ports

    @property
    def tree(self) -> Path:
        """Return the directory of the tree that the store reads."""
        return self.directory / 'tree'


def make_site(plan: Plan, directory: Path) -> Site:
    """Choose addresses and write the files of a deployment."""
    ports = Ports()
    site = Site(
        plan=plan,
        directory=directory,
        wirings=wire(plan, ports),
        store_address=ports.address(),
        control_address=ports.address(),
        ports=ports,
    )
    write_files(site)
    return site


def wire(plan: Plan, ports: Ports) -> dict[str, Wiring]:
    """Give each instance of a plan its addresses."""
    return {
        one.instance_id: Wiring(
            plan=one,
            caller_address=ports.address(),
            peer_address=ports.address(),
            operator_address=ports.address(),
            upstream_address=ports.address(),
        )
        for one in plan.instances
    }


def write_files(site: Site) -> None:
    """Write the tree and the list of instances."""
    for key, text in site.plan.tree.items():
        write_text(site.tree / f'{key}.json', text)
    records = {name: wiring.record() for name, wiring in site.wirings.items()}
    write_text(
        site.directory / 'instances.json',
        msgspec.json.encode(records).decode(),
    )


def write_text(path: Path, text: str) -> None:
    """Replace a file at once, so that the store never reads half of it."""
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_suffix('.part')
    part.write_text(text, encoding='utf-8')
    part.replace(path)


def store_child(site: Site, options: DeploymentOptions) -> Child:
    """Prepare the store."""
    return Child(
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


def upstream_child(
    site: Site,
    options: DeploymentOptions,
    data_centre: str,
) -> Child:
    """Prepare one process for all upstreams of a data centre."""
    arguments = ['standins.upstream']
    for name, wiring in site.wirings.items():
        if wiring.plan.data_centre == data_centre:
            arguments += ['--address', wiring.upstream_address]
            arguments += ['--name', name]
    arguments += ['--slots', str(site.plan.slots)]
    arguments += ['--connections', str(site.plan.connections)]
    return Child(
        name=f'upstreams-{data_centre}',
        directory=site.directory,
        arguments=[*arguments, *options.upstream_flags],
    )


def daemon_child(site: Site, options: DeploymentOptions, name: str) -> Child:
    """Prepare the daemon of one instance."""
    wiring = site.wirings[name]
    arguments = [
        options.daemon_module,
        *('--instance-id', name),
        *('--service', wiring.plan.service),
        *('--data-centre', wiring.plan.data_centre),
        *('--region', wiring.plan.region),
        *('--caller-address', wiring.caller_address),
        *('--peer-address', wiring.peer_address),
        *('--operator-address', wiring.operator_address),
        *('--upstream-address', wiring.upstream_address),
        *('--store-address', site.store_address),
        *('--drain-seconds', str(options.drain_seconds)),
        *('--log-level', options.log_level),
    ]
    if options.records_traces:
        arguments += ['--record', str(site.directory / f'{name}.trace')]
    return Child(name=name, directory=site.directory, arguments=arguments)
