"""Measures how fast store changes reach every daemon, and their cost."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, final

import defopt
import gevent
import msgspec

from benchmarks.audit_trails import AuditFollower
from benchmarks.benchmark_fleet import (
    REGIONS,
    SETTLE_SECONDS,
    Figures,
    create_fleet_plan,
    fetch_all_metrics,
    prepare_deployment,
    print_progress,
    sum_control_bytes,
    sum_cross_region_bytes,
)
from benchmarks.control_statistics import (
    TARGET_BYTES_PER_SECOND,
    TARGET_CONVERGENCE_SECONDS,
    describe_distribution,
    round_sig,
)
from standins.deployment import Deployment

TEAM: Final = 'changing'
ENCODED_ROUTE_BYTES: Final = 93
CHANGE_TIMEOUT_SECONDS: Final = 30.0
WATCH_TIMEOUT_SECONDS: Final = 20.0
IDLE_WINDOW_SECONDS: Final = 5.0
TARGET_CHANGES_PER_SECOND: Final = 2000 / 86_400


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _TrafficCounts:
    """Hold cumulative traffic counters at one moment."""

    at: float
    control_by_daemon: dict[str, float]
    cross_region: float
    store_calls: int
    store_bytes: int


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _ChangeSeries:
    """Describe a series of changes to one subtree."""

    changes: int
    value_bytes: int
    pause_seconds: float


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    daemons: Sequence[int] = (12, 24, 48, 96),
    changes: int = 20,
    value_bytes: Sequence[int] = (1000,),
    pause_seconds: float = 0.5,
    baseline: bool = False,
) -> Figures:
    """Measure successive changes in fleets of several sizes.

    :param daemons: fleet sizes, multiples of 6
    :param changes: number of changes for each subtree size
    :param value_bytes: sizes of the changed subtree, up to 1000000
    :param pause_seconds: pause between two changes
    :param baseline: let every daemon watch the store itself
    """
    sizes = [
        figures
        for count in daemons
        for figures in _measure_fleet(
            count,
            [
                _ChangeSeries(
                    changes=changes,
                    value_bytes=size,
                    pause_seconds=pause_seconds,
                )
                for size in value_bytes
            ],
            is_baseline=baseline,
        )
    ]
    return {
        'benchmark': 'convergence',
        'baseline': baseline,
        'sizes': sizes,
        'target': {
            'max_seconds': TARGET_CONVERGENCE_SECONDS,
            'store_calls': 'one watch per region and change',
            'control_bytes_per_daemon_per_second': TARGET_BYTES_PER_SECOND,
        },
        'met': all(figures['met'] for figures in sizes),
    }


def _measure_fleet(
    daemons: int,
    all_series: list[_ChangeSeries],
    *,
    is_baseline: bool,
) -> list[Figures]:
    print_progress(f'starting {daemons} daemons')
    with prepare_deployment(
        create_fleet_plan(daemons), is_baseline=is_baseline
    ) as deployment:
        deployment.put(
            f'teams/{TEAM}', encode_subtree(0, all_series[0].value_bytes)
        )
        gevent.sleep(SETTLE_SECONDS)
        before = _read_counts(deployment)
        gevent.sleep(IDLE_WINDOW_SECONDS)
        idle_rates = _compute_rates(before, _read_counts(deployment))
        return [
            _measure_series(deployment, series, idle_rates)
            for series in all_series
        ]


def _measure_series(
    deployment: Deployment,
    series: _ChangeSeries,
    idle_rates: '_TrafficRates',
) -> Figures:
    print_progress(f'{series.changes} changes of {series.value_bytes} bytes')
    follower = AuditFollower(deployment)
    before = _read_counts(deployment)
    seconds: list[float] = []
    missing_count = 0
    for number in range(1, series.changes + 1):
        text = encode_subtree(number, series.value_bytes)
        put_at = time.time()
        answer = deployment.control_store(
            'put',
            key=f'teams/{TEAM}',
            value=text,
        )
        activation_times = follower.wait_for_revision(
            int(answer['revision']),
            CHANGE_TIMEOUT_SECONDS,
        )
        # The audit trail truncates times to milliseconds, so a difference may
        # be negative.
        seconds.extend(max(0, at - put_at) for at in activation_times.values())
        missing_count += len(deployment.site.instance_sites) - len(
            activation_times
        )
        gevent.sleep(series.pause_seconds)
    after = _read_counts(deployment)
    return _summarise_series(
        series, seconds, missing_count, (before, after, idle_rates)
    )


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _TrafficRates:
    """Hold traffic rates between two moments, in bytes per second."""

    control_by_daemon: dict[str, float]
    cross_region: float


def _compute_rates(
    before: _TrafficCounts, after: _TrafficCounts
) -> _TrafficRates:
    elapsed = after.at - before.at
    return _TrafficRates(
        control_by_daemon={
            name: (total - before.control_by_daemon[name]) / elapsed
            for name, total in after.control_by_daemon.items()
        },
        cross_region=(after.cross_region - before.cross_region) / elapsed,
    )


def _read_counts(deployment: Deployment) -> _TrafficCounts:
    stats = deployment.control_store('stats')
    metrics = fetch_all_metrics(deployment)
    return _TrafficCounts(
        at=time.monotonic(),
        control_by_daemon={
            name: sum_control_bytes(daemon_metrics)
            for name, daemon_metrics in metrics.items()
        },
        cross_region=sum(map(sum_cross_region_bytes, metrics.values())),
        store_calls=stats.get('calls_watch', 0) + stats.get('calls_entries', 0),
        store_bytes=stats['bytes_out'],
    )


def _summarise_series(
    series: _ChangeSeries,
    seconds: list[float],
    missing_count: int,
    measurements: tuple[_TrafficCounts, _TrafficCounts, _TrafficRates],
) -> Figures:
    before, after, idle_rates = measurements
    rates = _compute_rates(before, after)
    elapsed = after.at - before.at
    calls = after.store_calls - before.store_calls
    # In each region, one watch ends with each change and one every 20 s;
    # another watch may end at the start and at the end of the series.
    allowed = REGIONS * (series.changes + elapsed / WATCH_TIMEOUT_SECONDS + 2)
    change_bytes = [
        (rate - idle_rates.control_by_daemon[name]) * elapsed / series.changes
        for name, rate in rates.control_by_daemon.items()
    ]
    rate_at_target = (
        max(idle_rates.control_by_daemon.values())
        + max(change_bytes) * TARGET_CHANGES_PER_SECOND
    )
    cross_bytes = after.cross_region - before.cross_region
    net_cross_bytes = cross_bytes - idle_rates.cross_region * elapsed
    met = {
        'convergence': not missing_count
        and max(seconds) < TARGET_CONVERGENCE_SECONDS,
        'store_calls': calls <= allowed,
        'control_bytes': rate_at_target <= TARGET_BYTES_PER_SECOND,
    }
    return {
        'daemons': len(after.control_by_daemon),
        'value_bytes': series.value_bytes,
        'changes': series.changes,
        'seconds_until_in_force': describe_distribution(seconds),
        'daemons_never_reached': missing_count,
        'store_calls_per_change': round_sig(calls / series.changes),
        'store_calls': calls,
        'store_calls_allowed': round_sig(allowed),
        'store_bytes_per_change': round_sig(
            (after.store_bytes - before.store_bytes) / series.changes,
        ),
        'changes_per_second': round_sig(series.changes / elapsed),
        'control_bytes_per_daemon_per_second': describe_distribution(
            rates.control_by_daemon.values()
        ),
        'quiet_control_bytes_per_daemon_per_second': describe_distribution(
            idle_rates.control_by_daemon.values()
        ),
        'control_bytes_per_daemon_per_change': describe_distribution(
            change_bytes
        ),
        'control_bytes_per_daemon_per_second_at_2000_changes_a_day': round_sig(
            rate_at_target,
        ),
        'cross_region_bytes_per_change': round_sig(
            cross_bytes / series.changes
        ),
        'cross_region_bytes_per_change_without_heartbeats': round_sig(
            net_cross_bytes / series.changes,
        ),
        'met_by_target': met,
        'met': all(met.values()),
    }


def encode_subtree(number: int, size_bytes: int) -> str:
    """Encode a team's subtree of about `size_bytes`, unique per number."""
    routes = max(1, (size_bytes - 300) // ENCODED_ROUTE_BYTES)
    team = {
        'services': {TEAM: {'slots': 20, 'connections': 130}},
        'policies': {'read': {'timeout_ms': 1000 + number}},
        'routes': [
            {
                'name': f'route-{route:05}',
                'path_prefix': f'/{TEAM}/{route:05}/',
                'service': TEAM,
                'policy': 'read',
            }
            for route in range(routes)
        ],
    }
    return msgspec.json.encode(team).decode()
