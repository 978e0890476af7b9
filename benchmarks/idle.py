"""Measures the resources of idle daemons at several fleet and tree sizes."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter
from random import Random
from typing import Final, TypeAlias, final

import defopt
import gevent
import msgspec

from benchmarks.benchmark_fleet import (
    SETTLE_SECONDS,
    Figures,
    create_fleet_plan,
    fetch_all_metrics,
    fetch_statuses,
    prepare_deployment,
    print_progress,
    sum_control_bytes,
)
from benchmarks.control_statistics import (
    TARGET_BYTES_PER_SECOND,
    TARGET_CORE_SHARE,
    TARGET_DAEMONS,
    TARGET_RSS_BYTES,
    TARGET_SUBTREES,
    describe_distribution,
    fit_slope,
    round_sig,
)
from benchmarks.process_usage import ProcessUsage, read_usage
from briartack.core.dissemination.overlay import rank
from briartack.core.units import InstanceId
from standins.deployment import Deployment
from standins.deployment_site import InstanceSite

CHANGE_TIMEOUT_SECONDS: Final = 60.0
SEED: Final = 1
# The fleet plan contains one subtree before the benchmark adds others.
INITIAL_SUBTREES: Final = 1
DISCARD_PORT: Final = 9  # no process listens on it
_Point: TypeAlias = tuple[float, float]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _DaemonUsage:
    """Hold the resources that one daemon used in a time window."""

    core_share: float
    rss_bytes: float
    bytes_per_second: float
    streams: int


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _FleetUsage:
    """Hold the resource usage of all daemons of a fleet of given sizes."""

    daemons: int
    subtrees: int
    instances: int
    usages: list[_DaemonUsage]

    @property
    def is_within_targets(self) -> bool:
        """Return whether every daemon stayed within the targets."""
        return all(
            getattr(usage, name) <= limit
            for usage in self.usages
            for name, limit in TARGETS.items()
        )

    def summarise(self) -> Figures:
        """Return the sizes and the distribution of each resource."""
        return {
            'daemons': self.daemons,
            'subtrees': self.subtrees,
            'instances_listed': self.instances,
            'streams': describe_distribution(
                [usage.streams for usage in self.usages]
            ),
            **{
                name: describe_distribution(
                    [getattr(usage, name) for usage in self.usages]
                )
                for name in TARGETS
            },
        }


TARGETS: Final = {
    'core_share': TARGET_CORE_SHARE,
    'rss_bytes': TARGET_RSS_BYTES,
    'bytes_per_second': TARGET_BYTES_PER_SECOND,
}


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    daemons: Sequence[int] = (12, 48, 96),
    subtrees: Sequence[int] = (3, 50, 210),
    instances: Sequence[int] = (100, 600, 2600),
    window_seconds: float = 10.0,
) -> Figures:
    """Measure idle daemons, with one of three sizes varied at a time.

    :param daemons: fleet sizes, multiples of 6
    :param subtrees: subtree counts, in the smallest fleet
    :param instances: listed instance counts, in the smallest fleet
    :param window_seconds: duration of each measurement
    """
    by_fleet_size = [_measure_fleet(count, window_seconds) for count in daemons]
    by_tree_size = _measure_trees(min(daemons), subtrees, window_seconds)
    by_list_size = _measure_instance_lists(
        min(daemons), instances, window_seconds
    )
    fleets = [*by_fleet_size, *by_tree_size, *by_list_size]
    # The smallest fleet before subtrees or listed instances were added.
    base = min(by_fleet_size, key=attrgetter('daemons'))
    slopes = {
        'peer_stream': _fit_slopes(by_fleet_size, 'streams'),
        'subtree': _fit_slopes([base, *by_tree_size], 'subtrees'),
        'instance_listed': _fit_slopes([base, *by_list_size], 'instances'),
    }
    return {
        'benchmark': 'idle',
        'window_seconds': window_seconds,
        'scenes': [fleet.summarise() for fleet in fleets],
        'slopes_per': slopes,
        'extrapolated_to_2600_instances_210_subtrees': _extrapolate(
            base,
            slopes,
        ),
        'target': TARGETS,
        'met': all(fleet.is_within_targets for fleet in fleets),
    }


def _measure_fleet(daemons: int, window_seconds: float) -> _FleetUsage:
    with prepare_deployment(create_fleet_plan(daemons)) as deployment:
        return _measure_idle_window(deployment, daemons, window_seconds)


def _measure_trees(
    daemons: int,
    sizes: Sequence[int],
    window_seconds: float,
) -> list[_FleetUsage]:
    fleets = []
    with prepare_deployment(create_fleet_plan(daemons)) as deployment:
        present = INITIAL_SUBTREES
        for size in sizes:
            revisions = [
                deployment.put(f'teams/team-{number}', _encode_team(number))
                for number in range(present, size)
            ]
            present = size
            deployment.wait_until_in_force(
                max(revisions, default=0),
                CHANGE_TIMEOUT_SECONDS,
            )
            fleets.append(
                _measure_idle_window(deployment, daemons, window_seconds)
            )
    return fleets


def _measure_instance_lists(
    daemons: int,
    sizes: Sequence[int],
    window_seconds: float,
) -> list[_FleetUsage]:
    fleets = []
    random = Random(SEED)
    with prepare_deployment(create_fleet_plan(daemons)) as deployment:
        for size in sizes:
            listed = _count_listed_instances(deployment)
            for number in range(listed, size):
                _add_listed_instance(deployment, number, random)
            _wait_until_listed(deployment, size)
            fleets.append(
                _measure_idle_window(deployment, size, window_seconds)
            )
    return fleets


def _count_listed_instances(deployment: Deployment) -> int:
    return min(
        int(status['instances'])
        for status in fetch_statuses(deployment).values()
    )


def _wait_until_listed(deployment: Deployment, size: int) -> None:
    with gevent.Timeout(CHANGE_TIMEOUT_SECONDS):
        while _count_listed_instances(deployment) < size:
            gevent.sleep(0.2)


def _add_listed_instance(
    deployment: Deployment,
    number: int,
    random: Random,
) -> None:
    """List an instance that does not run, ranked below all running ones.

    A running daemon then has only running parents in the dissemination tree.
    Every 10 s, it dials listed children without success; the figures include
    these attempts.
    """
    instance_sites = list(deployment.site.instance_sites.values())
    instance_site = instance_sites[number % len(instance_sites)]
    name = f'listed-{number}'
    while not _is_ranked_last(name, instance_site, instance_sites):
        name = f'listed-{number}-{random.randrange(1_000_000)}'
    record = instance_site.build_record() | {
        'peer_address': f'127.0.0.1:{DISCARD_PORT}'
    }
    deployment.control_store(
        'put',
        key=f'instances/{name}',
        value=msgspec.json.encode(record).decode(),
    )


def _is_ranked_last(
    name: str, instance_site: InstanceSite, instance_sites: list[InstanceSite]
) -> bool:
    plan = instance_site.plan
    scopes = {
        plan.region: [running.plan.region for running in instance_sites],
        plan.data_centre: [
            running.plan.data_centre for running in instance_sites
        ],
    }
    return all(
        rank(scope, InstanceId(name))
        > max(
            rank(scope, InstanceId(running.plan.instance_id))
            for running, running_scope in zip(
                instance_sites, running_scopes, strict=True
            )
            if running_scope == scope
        )
        for scope, running_scopes in scopes.items()
    )


def _measure_idle_window(
    deployment: Deployment,
    instances: int,
    window_seconds: float,
) -> _FleetUsage:
    print_progress(f'{instances} instances: measuring while idle')
    gevent.sleep(SETTLE_SECONDS)
    counted_at = time.monotonic()
    bytes_before = _read_control_bytes(deployment)
    usage_before = _read_process_usage(deployment)
    started_at = time.monotonic()
    gevent.sleep(window_seconds)
    usage_after = _read_process_usage(deployment)
    elapsed = time.monotonic() - started_at
    between_counts = time.monotonic() - counted_at
    bytes_after = _read_control_bytes(deployment)
    statuses = fetch_statuses(deployment)
    return _FleetUsage(
        daemons=len(statuses),
        subtrees=min(_count_subtrees(status) for status in statuses.values()),
        instances=min(int(status['instances']) for status in statuses.values()),
        usages=[
            _DaemonUsage(
                core_share=(
                    usage_after[name].cpu_seconds
                    - usage_before[name].cpu_seconds
                )
                / elapsed,
                rss_bytes=usage_after[name].rss_bytes,
                bytes_per_second=(bytes_after[name] - bytes_before[name])
                / between_counts,
                streams=int(status['dissemination']['streams']),
            )
            for name, status in statuses.items()
        ],
    )


def _count_subtrees(status: dict[str, dict[str, int]]) -> int:
    return sum(key.startswith('teams/') for key in status['versions'])


def _read_process_usage(deployment: Deployment) -> dict[str, ProcessUsage]:
    return {
        name: read_usage(deployment.get_daemon_process(name).pid)
        for name in deployment.site.instance_sites
    }


def _read_control_bytes(deployment: Deployment) -> dict[str, float]:
    metrics = fetch_all_metrics(deployment)
    return {
        name: sum_control_bytes(daemon_metrics)
        for name, daemon_metrics in metrics.items()
    }


def _fit_slopes(fleets: list[_FleetUsage], size_name: str) -> dict[str, float]:
    """Fit each resource against a size of the daemon or of its fleet."""
    return {
        name: round_sig(
            fit_slope(
                [
                    _create_point(fleet, usage, (size_name, name))
                    for fleet in fleets
                    for usage in fleet.usages
                ],
            ),
        )
        for name in TARGETS
    }


def _create_point(
    fleet: _FleetUsage, usage: _DaemonUsage, names: tuple[str, str]
) -> _Point:
    size_name, usage_name = names
    source = usage if size_name == 'streams' else fleet
    return float(getattr(source, size_name)), float(getattr(usage, usage_name))


def _extrapolate(
    base: _FleetUsage,
    slopes: dict[str, dict[str, float]],
) -> dict[str, float]:
    """Extrapolate the highest usage to 210 subtrees and 2,600 instances."""
    return {
        name: round_sig(
            max(getattr(usage, name) for usage in base.usages)
            + slopes['subtree'][name] * (TARGET_SUBTREES - base.subtrees)
            + slopes['instance_listed'][name]
            * (TARGET_DAEMONS - base.instances),
        )
        for name in TARGETS
    }


def _encode_team(number: int) -> str:
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
