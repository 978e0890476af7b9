"""Plan deployments: the instances, their places and the settings tree."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final, TypeAlias, final

import msgspec

EXAMPLES: Final = Path(__file__).parent.parent / 'examples'
PLATFORM_TEXT: Final = '{"data_centres_out": [], "instances_out": []}'
GENERATED_TEAM: Final = 'generated'
Tree: TypeAlias = dict[str, str]  # keys of the store and their JSON texts


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class InstancePlan:
    """Describe the service and the place of one instance."""

    instance_id: str
    service: str  # TEAM/NAME
    data_centre: str
    region: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Describe the instances, settings and upstream sizes of a deployment."""

    name: str
    instances: tuple[InstancePlan, ...]
    tree: Tree
    slots: int = 20
    connections: int = 130

    @property
    def regions(self) -> tuple[str, ...]:
        """Return the distinct regions in order of their first instance."""
        return tuple(dict.fromkeys(one.region for one in self.instances))

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Return the distinct data centres in order of first instance."""
        return tuple(dict.fromkeys(one.data_centre for one in self.instances))

    @property
    def services(self) -> tuple[str, ...]:
        """Return the distinct services in order of their first instance."""
        return tuple(dict.fromkeys(one.service for one in self.instances))


def read_tree(directory: Path) -> Tree:
    """Read a tree of settings; raise OSError if a file is missing."""
    paths = [
        *sorted(directory.glob('teams/*.json')),
        directory / 'platform.json',
    ]
    return {
        str(path.relative_to(directory).with_suffix('')): path.read_text(
            encoding='utf-8',
        )
        for path in paths
    }


def plan_pacifico(tree: Tree | None = None) -> Plan:
    """Plan the deployment of the example Pacífico Enlace."""
    return Plan(
        name='pacifico',
        instances=_place_in_each_region(
            ('costa', 'sierra', 'insular'),
            ('airtime/saldo', 'airtime/compras', 'vessels/bitacora'),
        ),
        tree=tree or read_tree(EXAMPLES / 'pacifico'),
        slots=20,
        connections=130,
    )


def plan_horas(tree: Tree | None = None) -> Plan:
    """Plan the deployment of the example Horas Certas."""
    return Plan(
        name='horas',
        instances=_place_in_each_region(
            ('lisboa', 'porto', 'faro'),
            ('timesheets/horas', 'billing/faturas', 'documents/arquivo'),
        ),
        tree=tree or read_tree(EXAMPLES / 'horas-certas'),
        slots=12,
        connections=120,
    )


def plan_generated(
    *,
    regions: int,
    data_centres: int,
    daemons_per_data_centre: int,
    services: int,
) -> Plan:
    """Plan a deployment of a given size, for example for benchmarks.

    `data_centres` is the number of data centres in each region.
    """
    names = [f'svc-{number}' for number in range(1, services + 1)]
    data_centre_places = [
        (f'region-{region}', f'region-{region}-{data_centre}')
        for region in range(1, regions + 1)
        for data_centre in range(1, data_centres + 1)
    ]
    places = [
        place
        for place in data_centre_places
        for _ in range(daemons_per_data_centre)
    ]
    return Plan(
        name='generated',
        instances=tuple(
            InstancePlan(
                instance_id=f'{names[number % services]}-{number + 1}',
                service=f'{GENERATED_TEAM}/{names[number % services]}',
                data_centre=data_centre,
                region=region,
            )
            for number, (region, data_centre) in enumerate(places)
        ),
        tree=create_generated_tree(names),
    )


def create_generated_tree(names: list[str]) -> Tree:
    """Create a tree with the routes `/NAME/read/` and `/NAME/write/`.

    Each service has both routes.
    """
    team = {
        'services': {
            name: {'slots': 20, 'connections': 130, 'ramp_seconds': 2}
            for name in names
        },
        'policies': {
            'read': {'timeout_ms': 2000, 'repeatable': True},
            'write': {'timeout_ms': 2000, 'repeatable': False},
        },
        'routes': [
            {
                'name': f'{policy}-{name}',
                'path_prefix': f'/{name}/{policy}/',
                'service': name,
                'policy': policy,
            }
            for name in names
            for policy in ('read', 'write')
        ],
    }
    return {
        f'teams/{GENERATED_TEAM}': msgspec.json.encode(team).decode(),
        'platform': PLATFORM_TEXT,
    }


def _place_in_each_region(
    regions: tuple[str, ...],
    services: tuple[str, ...],
) -> tuple[InstancePlan, ...]:
    places = [
        (region, f'{region}-{number}')
        for region in regions
        for number in (1, 2)
    ]
    return tuple(
        InstancePlan(
            instance_id=f'{service.split("/")[1]}-{number}',
            service=service,
            data_centre=data_centre,
            region=region,
        )
        for service in services
        for number, (region, data_centre) in enumerate(places, start=1)
    )
