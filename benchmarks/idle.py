"""What one daemon uses while nothing changes, and what makes it grow."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter
from random import Random
from typing import Final, TypeAlias, final

import defopt
import gevent
import msgspec

from benchmarks.control_figures import (
    TARGET_BYTES_PER_SECOND,
    TARGET_CORE_SHARE,
    TARGET_DAEMONS,
    TARGET_RSS_BYTES,
    TARGET_SUBTREES,
    rounded,
    slope,
    spread,
)
from benchmarks.control_fleet import (
    SETTLE_SECONDS,
    Figures,
    all_metrics,
    control_bytes,
    deploy,
    plan_of,
    statuses,
    tell,
)
from benchmarks.control_processes import Usage, usage_of
from briartack.core.dissemination.overlay import rank
from briartack.core.units import InstanceId
from standins.deployment import Deployment
from standins.wiring import Wiring

CHANGE_SECONDS: Final = 60.0
SEED: Final = 1
# The plan has one subtree before any is added.
FIRST_SUBTREES: Final = 1
DISCARD_PORT: Final = 9  # nothing listens there
_Point: TypeAlias = tuple[float, float]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Load:
    """Hold what one daemon used in a window."""

    core_share: float
    rss_bytes: float
    bytes_per_second: float
    streams: int


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Scene:
    """Hold what all daemons used at some sizes."""

    daemons: int
    subtrees: int
    instances: int
    loads: list[_Load]

    @property
    def is_met(self) -> bool:
        """Tell whether every daemon stayed within the targets."""
        return all(
            getattr(load, name) <= limit
            for load in self.loads
            for name, limit in TARGETS.items()
        )

    def figures(self) -> Figures:
        """Describe the loads."""
        return {
            'daemons': self.daemons,
            'subtrees': self.subtrees,
            'instances_listed': self.instances,
            'streams': spread([load.streams for load in self.loads]),
            **{
                name: spread([getattr(load, name) for load in self.loads])
                for name in TARGETS
            },
        }


TARGETS: Final = {
    'core_share': TARGET_CORE_SHARE,
    'rss_bytes': TARGET_RSS_BYTES,
    'bytes_per_second': TARGET_BYTES_PER_SECOND,
}


def run(arguments: list[str]) -> Figures:
    """Run the measurement with options of the command line."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    daemons: Sequence[int] = (12, 48, 96),
    subtrees: Sequence[int] = (3, 50, 210),
    instances: Sequence[int] = (100, 600, 2600),
    window_seconds: float = 10.0,
) -> Figures:
    """Measure daemons at rest, with one of three sizes varied at a time.

    :param daemons: sizes of the fleet, multiples of 6
    :param subtrees: sizes of the tree, in the smallest fleet
    :param instances: sizes of the list, in the smallest fleet
    :param window_seconds: length of each measurement
    """
    by_daemons = [_at_rest(count, window_seconds) for count in daemons]
    by_subtrees = _grow_tree(min(daemons), subtrees, window_seconds)
    by_instances = _grow_list(min(daemons), instances, window_seconds)
    scenes = [*by_daemons, *by_subtrees, *by_instances]
    # The smallest fleet before its tree or its list grew.
    base = min(by_daemons, key=attrgetter('daemons'))
    slopes = {
        'peer_stream': _slopes(by_daemons, 'streams'),
        'subtree': _slopes([base, *by_subtrees], 'subtrees'),
        'instance_listed': _slopes([base, *by_instances], 'instances'),
    }
    return {
        'benchmark': 'idle',
        'window_seconds': window_seconds,
        'scenes': [scene.figures() for scene in scenes],
        'slopes_per': slopes,
        'extrapolated_to_2600_instances_210_subtrees': _extrapolate(
            base,
            slopes,
        ),
        'target': TARGETS,
        'met': all(scene.is_met for scene in scenes),
    }


def _at_rest(daemons: int, window_seconds: float) -> _Scene:
    with deploy(plan_of(daemons)) as deployment:
        return _observe(deployment, daemons, window_seconds)


def _grow_tree(
    daemons: int,
    sizes: Sequence[int],
    window_seconds: float,
) -> list[_Scene]:
    scenes = []
    with deploy(plan_of(daemons)) as deployment:
        present = FIRST_SUBTREES
        for size in sizes:
            revisions = [
                deployment.put(f'teams/team-{number}', _team(number))
                for number in range(present, size)
            ]
            present = size
            deployment.wait_until_in_force(
                max(revisions, default=0),
                CHANGE_SECONDS,
            )
            scenes.append(_observe(deployment, daemons, window_seconds))
    return scenes


def _grow_list(
    daemons: int,
    sizes: Sequence[int],
    window_seconds: float,
) -> list[_Scene]:
    scenes = []
    random = Random(SEED)
    with deploy(plan_of(daemons)) as deployment:
        for size in sizes:
            listed = _listed(deployment)
            for number in range(listed, size):
                _list_instance(deployment, number, random)
            _wait_until_listed(deployment, size)
            scenes.append(_observe(deployment, size, window_seconds))
    return scenes


def _listed(deployment: Deployment) -> int:
    return min(int(one['instances']) for one in statuses(deployment).values())


def _wait_until_listed(deployment: Deployment, size: int) -> None:
    with gevent.Timeout(CHANGE_SECONDS):
        while _listed(deployment) < size:
            gevent.sleep(0.2)


def _list_instance(
    deployment: Deployment,
    number: int,
    random: Random,
) -> None:
    """List an instance that does not run, below all that do in the tree.

    A running daemon then has only running parents, but dials listed children
    in vain every 10 s; the figures contain these tries.
    """
    wirings = list(deployment.site.wirings.values())
    place = wirings[number % len(wirings)]
    name = f'listed-{number}'
    while not _is_last(name, place, wirings):
        name = f'listed-{number}-{random.randrange(1_000_000)}'
    record = place.record() | {'peer_address': f'127.0.0.1:{DISCARD_PORT}'}
    deployment.control_store(
        'put',
        key=f'instances/{name}',
        value=msgspec.json.encode(record).decode(),
    )


def _is_last(name: str, place: Wiring, wirings: list[Wiring]) -> bool:
    plan = place.plan
    scopes = {
        plan.region: [one.plan.region for one in wirings],
        plan.data_centre: [one.plan.data_centre for one in wirings],
    }
    return all(
        rank(scope, InstanceId(name))
        > max(
            rank(scope, InstanceId(one.plan.instance_id))
            for one, place_of_one in zip(wirings, places, strict=True)
            if place_of_one == scope
        )
        for scope, places in scopes.items()
    )


def _observe(
    deployment: Deployment,
    instances: int,
    window_seconds: float,
) -> _Scene:
    tell(f'{instances} instances: at rest')
    gevent.sleep(SETTLE_SECONDS)
    counted_at = time.monotonic()
    bytes_before = _control_bytes(deployment)
    usage_before = _usages(deployment)
    begun = time.monotonic()
    gevent.sleep(window_seconds)
    usage = _usages(deployment)
    elapsed = time.monotonic() - begun
    between_counts = time.monotonic() - counted_at
    bytes_after = _control_bytes(deployment)
    states = statuses(deployment)
    return _Scene(
        daemons=len(states),
        subtrees=min(_subtrees(state) for state in states.values()),
        instances=min(int(state['instances']) for state in states.values()),
        loads=[
            _Load(
                core_share=(
                    usage[name].cpu_seconds - usage_before[name].cpu_seconds
                )
                / elapsed,
                rss_bytes=usage[name].rss_bytes,
                bytes_per_second=(bytes_after[name] - bytes_before[name])
                / between_counts,
                streams=int(state['dissemination']['streams']),
            )
            for name, state in states.items()
        ],
    )


def _subtrees(state: dict[str, dict[str, int]]) -> int:
    return sum(key.startswith('teams/') for key in state['versions'])


def _usages(deployment: Deployment) -> dict[str, Usage]:
    return {
        name: usage_of(deployment.child(name).pid)
        for name in deployment.site.wirings
    }


def _control_bytes(deployment: Deployment) -> dict[str, float]:
    metrics = all_metrics(deployment)
    return {name: control_bytes(of_one) for name, of_one in metrics.items()}


def _slopes(scenes: list[_Scene], size_name: str) -> dict[str, float]:
    """Fit each load of each daemon against a size of it or of its scene."""
    return {
        name: rounded(
            slope(
                [
                    _point(scene, load, (size_name, name))
                    for scene in scenes
                    for load in scene.loads
                ],
            ),
        )
        for name in TARGETS
    }


def _point(scene: _Scene, load: _Load, names: tuple[str, str]) -> _Point:
    size_name, load_name = names
    owner = load if size_name == 'streams' else scene
    return float(getattr(owner, size_name)), float(getattr(load, load_name))


def _extrapolate(
    base: _Scene,
    slopes: dict[str, dict[str, float]],
) -> dict[str, float]:
    """Add what 210 subtrees and 2,600 instances cost a busy daemon."""
    return {
        name: rounded(
            max(getattr(load, name) for load in base.loads)
            + slopes['subtree'][name] * (TARGET_SUBTREES - base.subtrees)
            + slopes['instance_listed'][name]
            * (TARGET_DAEMONS - base.instances),
        )
        for name in TARGETS
    }


def _team(number: int) -> str:
    name = f'service-{number}'
    team = {
        'services': {name: {'slots': 20, 'connections': 130}},
        'policies': {
            'read': {'timeout_ms': 800, 'repeatable': True},
            'write': {'timeout_ms': 2000, 'repeatable': False},
        },
        'routes': [
            {
                'name': f'{policy}-{part}',
                'path_prefix': f'/team-{number}/{part}/{policy}/',
                'service': name,
                'policy': policy,
            }
            for part in range(4)
            for policy in ('read', 'write')
        ],
    }
    return msgspec.json.encode(team).decode()
