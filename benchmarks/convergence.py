"""How fast a change of the store is in force at every daemon, and its cost."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, final

import defopt
import gevent
import msgspec

from benchmarks.control_audit import AuditFollower
from benchmarks.control_figures import (
    TARGET_BYTES_PER_SECOND,
    TARGET_CONVERGENCE_SECONDS,
    rounded,
    spread,
)
from benchmarks.control_fleet import (
    REGIONS,
    SETTLE_SECONDS,
    Figures,
    all_metrics,
    control_bytes,
    cross_region_bytes,
    deploy,
    plan_of,
    tell,
)
from standins.deployment import Deployment

TEAM: Final = 'changing'
ROUTE_BYTES: Final = 93
CHANGE_TIMEOUT_SECONDS: Final = 30.0
WATCH_SECONDS: Final = 20.0
QUIET_SECONDS: Final = 5.0
CHANGES_PER_SECOND_AT_TARGET: Final = 2000 / 86_400


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Counts:
    """Hold the sums at one moment."""

    at: float
    control: dict[str, float]
    cross_region: float
    store_calls: int
    store_bytes: int


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Series:
    """Say which changes to make."""

    changes: int
    value_bytes: int
    pause_seconds: float


def run(arguments: list[str]) -> Figures:
    """Run the measurement with options of the command line."""
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
    """Measure changes one after the other in fleets of several sizes.

    :param daemons: sizes of the fleets, multiples of 6
    :param changes: number of changes for each size of the value
    :param value_bytes: sizes of the changed subtree, up to 1000000
    :param pause_seconds: time between two changes
    :param baseline: let every daemon watch the store by itself
    """
    sizes = [
        figures
        for count in daemons
        for figures in _measure_fleet(
            count,
            [
                _Series(
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
    several: list[_Series],
    *,
    is_baseline: bool,
) -> list[Figures]:
    tell(f'starting {daemons} daemons')
    with deploy(plan_of(daemons), is_baseline=is_baseline) as deployment:
        deployment.put(f'teams/{TEAM}', subtree(0, several[0].value_bytes))
        gevent.sleep(SETTLE_SECONDS)
        before = _count(deployment)
        gevent.sleep(QUIET_SECONDS)
        quiet = _rates(before, _count(deployment))
        return [
            _measure_series(deployment, series, quiet) for series in several
        ]


def _measure_series(
    deployment: Deployment,
    series: _Series,
    quiet: '_Rates',
) -> Figures:
    tell(f'{series.changes} changes of {series.value_bytes} bytes')
    follower = AuditFollower(deployment)
    before = _count(deployment)
    seconds: list[float] = []
    missing = 0
    for number in range(1, series.changes + 1):
        text = subtree(number, series.value_bytes)
        put_at = time.time()
        answer = deployment.control_store(
            'put',
            key=f'teams/{TEAM}',
            value=text,
        )
        reached = follower.wait_for(
            int(answer['revision']),
            CHANGE_TIMEOUT_SECONDS,
        )
        # The trail cuts its times to milliseconds.
        seconds.extend(max(0, at - put_at) for at in reached.values())
        missing += len(deployment.site.wirings) - len(reached)
        gevent.sleep(series.pause_seconds)
    after = _count(deployment)
    return _figures(series, seconds, missing, (before, after, quiet))


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Rates:
    """Hold bytes per second between two moments."""

    control: dict[str, float]
    cross_region: float


def _rates(before: _Counts, after: _Counts) -> _Rates:
    elapsed = after.at - before.at
    return _Rates(
        control={
            name: (total - before.control[name]) / elapsed
            for name, total in after.control.items()
        },
        cross_region=(after.cross_region - before.cross_region) / elapsed,
    )


def _count(deployment: Deployment) -> _Counts:
    stats = deployment.control_store('stats')
    metrics = all_metrics(deployment)
    return _Counts(
        at=time.monotonic(),
        control={
            name: control_bytes(of_one) for name, of_one in metrics.items()
        },
        cross_region=sum(map(cross_region_bytes, metrics.values())),
        store_calls=stats.get('calls_watch', 0) + stats.get('calls_entries', 0),
        store_bytes=stats['bytes_out'],
    )


def _figures(
    series: _Series,
    seconds: list[float],
    missing: int,
    moments: tuple[_Counts, _Counts, _Rates],
) -> Figures:
    before, after, quiet = moments
    rates = _rates(before, after)
    elapsed = after.at - before.at
    calls = after.store_calls - before.store_calls
    # One watch per region ends with each change and each 20 s; another one
    # may end at each edge of the series.
    allowed = REGIONS * (series.changes + elapsed / WATCH_SECONDS + 2)
    change_bytes = [
        (rate - quiet.control[name]) * elapsed / series.changes
        for name, rate in rates.control.items()
    ]
    rate_at_target = (
        max(quiet.control.values())
        + max(change_bytes) * CHANGES_PER_SECOND_AT_TARGET
    )
    cross_bytes = after.cross_region - before.cross_region
    net_cross_bytes = cross_bytes - quiet.cross_region * elapsed
    met = {
        'convergence': not missing
        and max(seconds) < TARGET_CONVERGENCE_SECONDS,
        'store_calls': calls <= allowed,
        'control_bytes': rate_at_target <= TARGET_BYTES_PER_SECOND,
    }
    return {
        'daemons': len(after.control),
        'value_bytes': series.value_bytes,
        'changes': series.changes,
        'seconds_until_in_force': spread(seconds),
        'daemons_never_reached': missing,
        'store_calls_per_change': rounded(calls / series.changes),
        'store_calls': calls,
        'store_calls_allowed': rounded(allowed),
        'store_bytes_per_change': rounded(
            (after.store_bytes - before.store_bytes) / series.changes,
        ),
        'changes_per_second': rounded(series.changes / elapsed),
        'control_bytes_per_daemon_per_second': spread(rates.control.values()),
        'quiet_control_bytes_per_daemon_per_second': spread(
            quiet.control.values()
        ),
        'control_bytes_per_daemon_per_change': spread(change_bytes),
        'control_bytes_per_daemon_per_second_at_2000_changes_a_day': rounded(
            rate_at_target,
        ),
        'cross_region_bytes_per_change': rounded(cross_bytes / series.changes),
        'cross_region_bytes_per_change_without_heartbeats': rounded(
            net_cross_bytes / series.changes,
        ),
        'met_by_target': met,
        'met': all(met.values()),
    }


def subtree(number: int, size_bytes: int) -> str:
    """Make a team's subtree of about a size, different for each number."""
    routes = max(1, (size_bytes - 300) // ROUTE_BYTES)
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
