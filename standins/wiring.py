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
    daemon_module: str = 'briartack.main'


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


def write_files(plan: Plan, wirings: dict[str, Wiring], to: Path) -> None:
    """Write the tree and the list of instances into a directory."""
    for key, text in plan.tree.items():
        write_text(to / 'tree' / f'{key}.json', text)
    records = {name: wiring.record() for name, wiring in wirings.items()}
    write_text(to / 'instances.json', msgspec.json.encode(records).decode())


def write_text(path: Path, text: str) -> None:
    """Replace a file at once, so that the store never reads half of it."""
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_suffix('.part')
    part.write_text(text, encoding='utf-8')
    part.replace(path)


def store_child(
    *,
    address: str,
    control_address: str,
    directory: Path,
    limit: int,
) -> Child:
    """Prepare the store."""
    return Child(
        name='store',
        directory=directory,
        arguments=[
            'standins.store',
            *('--address', address),
            *('--control-address', control_address),
            *('--tree', str(directory / 'tree')),
            *('--instances', str(directory / 'instances.json')),
            *('--limit', str(limit)),
        ],
    )


def upstream_children(
    plan: Plan,
    wirings: dict[str, Wiring],
    directory: Path,
    flags: tuple[str, ...],
) -> list[Child]:
    """Prepare one process for all upstreams of each data centre."""
    children = []
    for data_centre in plan.data_centres:
        arguments = ['standins.upstream']
        for name, wiring in wirings.items():
            if wiring.plan.data_centre == data_centre:
                arguments += ['--address', wiring.upstream_address]
                arguments += ['--name', name]
        arguments += ['--slots', str(plan.slots)]
        arguments += ['--connections', str(plan.connections)]
        children.append(
            Child(
                name=f'upstreams-{data_centre}',
                directory=directory,
                arguments=[*arguments, *flags],
            ),
        )
    return children


def daemon_child(
    *,
    wiring: Wiring,
    store_address: str,
    directory: Path,
    options: DeploymentOptions,
) -> Child:
    """Prepare the daemon of one instance."""
    name = wiring.plan.instance_id
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
        *('--store-address', store_address),
        *('--drain-seconds', str(options.drain_seconds)),
        *('--log-level', options.log_level),
    ]
    if options.records_traces:
        arguments += ['--record', str(directory / f'{name}.trace')]
    return Child(name=name, directory=directory, arguments=arguments)
