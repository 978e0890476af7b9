"""Measures the store's load when all daemons are killed and restart at once.

Each round ends with a planned stop, since only a planned stop flushes the
traces that contain the times of the calls. Later rounds therefore begin from
stopped daemons.
"""

import signal
import time
from collections.abc import Container, Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Final, final

import defopt
import gevent
import msgspec

from benchmarks.audit_trails import AuditFollower
from benchmarks.benchmark_fleet import (
    TIMEOUT_SECONDS,
    Figures,
    create_fleet_plan,
    prepare_deployment,
    print_progress,
    query_all,
)
from benchmarks.control_statistics import (
    TARGET_DAEMONS,
    TARGET_STORE_CALLS_PER_SECOND,
    describe_distribution,
    round_sig,
)
from briartack.recorder import read_trace_lines
from standins.client import call
from standins.control_client import DeploymentError
from standins.deployment import Deployment
from standins.processes import ChildProcess

READY_TIMEOUT_SECONDS: Final = 120.0
POLL_INTERVAL_SECONDS: Final = 0.1
# The calls of the boot end within this time; later calls are watches.
BOOT_WINDOW_SECONDS: Final = 10
STORE_EVENTS: Final = frozenset(('StoreRead', 'StoreWatched', 'StoreFailed'))


class _EventTime(msgspec.Struct, frozen=True):
    now: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _RoundResult:
    """Hold the measurements of one simultaneous start of all daemons."""

    stats: dict[str, int]
    ready_seconds: list[float]
    boot_seconds: list[float]
    call_ages: list[float]


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    daemons: int = 96,
    rounds: int = 3,
    store_limit: int = TARGET_STORE_CALLS_PER_SECOND,
    baseline: bool = False,
) -> Figures:
    """Kill all daemons, start them at once and count calls to the store.

    :param daemons: fleet size, a multiple of 6
    :param rounds: number of rounds that kill and start all daemons
    :param store_limit: calls per second that the store accepts
    :param baseline: let every daemon watch the store itself
    """
    print_progress(f'starting {daemons} daemons')
    deployment = prepare_deployment(
        create_fleet_plan(daemons),
        is_baseline=baseline,
        records_traces=True,
        store_limit=store_limit,
    )
    with deployment:
        results = [_run_round(deployment) for _ in range(rounds)]
    return {
        'benchmark': 'storm',
        'baseline': baseline,
        'daemons': daemons,
        'rounds': rounds,
        'store_limit': store_limit,
        'target': {'store_calls_per_second': TARGET_STORE_CALLS_PER_SECOND},
        **_summarise(daemons, results),
    }


def _summarise(daemons: int, results: list[_RoundResult]) -> Figures:
    starts = daemons * len(results)
    ages = [age for result in results for age in result.call_ages]
    by_second = [
        sum(second <= age < second + 1 for age in ages) / starts
        for second in range(BOOT_WINDOW_SECONDS)
    ]
    peak = max(result.stats['peak_calls_per_second'] for result in results)
    refused = sum(result.stats['calls_refused'] for result in results)
    scaled_to_target = max(by_second) * TARGET_DAEMONS
    return {
        'store_peak_calls_per_second': peak,
        'calls_refused': refused,
        'reads': [result.stats.get('calls_entries', 0) for result in results],
        'watches': [result.stats.get('calls_watch', 0) for result in results],
        'seconds_to_all_ready': [
            round_sig(max(result.ready_seconds)) for result in results
        ],
        'seconds_from_started_to_configuration': describe_distribution(
            [seconds for result in results for seconds in result.boot_seconds],
        ),
        'calls_per_daemon': round_sig(len(ages) / starts),
        'calls_per_daemon_by_second_after_its_start': list(
            map(round_sig, by_second),
        ),
        'calls_per_second_of_2600_started_at_one_instant': round_sig(
            scaled_to_target
        ),
        'met': max(peak, scaled_to_target) < TARGET_STORE_CALLS_PER_SECOND
        and not refused,
    }


def _run_round(deployment: Deployment) -> _RoundResult:
    names = list(deployment.site.instance_sites)
    children = [deployment.get_daemon_process(name) for name in names]
    follower = AuditFollower(deployment)
    _stop_daemons(children, signal.SIGKILL)
    deployment.control_store('reset-stats')
    print_progress('restarting all daemons')
    started_at = time.monotonic()
    for child in children:
        child.start()
    ready_seconds = _wait_until_ready(deployment, started_at)
    gevent.sleep(max(0, started_at + BOOT_WINDOW_SECONDS - time.monotonic()))
    stats = deployment.control_store('stats')
    boot_seconds = follower.boot_seconds()
    # A planned stop flushes the traces to disk.
    _stop_daemons(children, signal.SIGTERM)
    return _RoundResult(
        stats=stats,
        ready_seconds=ready_seconds,
        boot_seconds=boot_seconds,
        call_ages=[
            age
            for name in names
            for age in _read_call_ages(
                deployment.site.directory / f'{name}.trace'
            )
        ],
    )


def _stop_daemons(children: list[ChildProcess], number: signal.Signals) -> None:
    for child in children:
        child.send_signal(number)
    for stopped in children:
        stopped.wait(TIMEOUT_SECONDS)


def _wait_until_ready(deployment: Deployment, started_at: float) -> list[float]:
    """Wait for all daemons; return the seconds until each was ready.

    Raises DeploymentError.
    """
    ready: dict[str, float] = {}
    probe = partial(_is_ready, deployment, ready)

    while len(ready) < len(deployment.site.instance_sites):
        elapsed = time.monotonic() - started_at
        if elapsed > READY_TIMEOUT_SECONDS:
            raise DeploymentError(
                f'{len(ready)} daemons are ready at the timeout'
            )
        probes = query_all(deployment, probe)
        for name, is_ready in probes.items():
            if is_ready:
                ready.setdefault(name, time.monotonic() - started_at)
        gevent.sleep(POLL_INTERVAL_SECONDS)
    return list(ready.values())


def _is_ready(
    deployment: Deployment,
    ready: Container[str],
    name: str,
) -> bool:
    if name in ready:
        return True
    address = deployment.site.instance_sites[name].operator_address
    try:
        return call(address, 'GET', '/readyz').status == 200
    except OSError:
        return False


def _read_call_ages(trace: Path) -> Iterable[float]:
    """Yield a daemon's age at each answer or failure of the store.

    Calls are placed by the daemon's age, since a few cores cannot start all
    daemons at one instant.
    """
    started_at = float(0)
    for line in read_trace_lines(trace):
        if line.type == 'Started':
            started_at = msgspec.json.decode(line.data, type=_EventTime).now
        elif line.type in STORE_EVENTS:
            now = msgspec.json.decode(line.data, type=_EventTime).now
            yield now - started_at
