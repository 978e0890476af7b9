"""What the store meets when all daemons are killed and start again at once.

The rounds after the first follow a planned stop, since only that writes out
the traces from which the times of the calls are read.
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

from benchmarks.control_audit import AuditFollower
from benchmarks.control_figures import (
    TARGET_DAEMONS,
    TARGET_STORE_CALLS_PER_SECOND,
    rounded,
    spread,
)
from benchmarks.control_fleet import (
    TIMEOUT_SECONDS,
    Figures,
    ask_all,
    deploy,
    plan_of,
    tell,
)
from briartack.recorder import read_trace_lines
from standins.client import call
from standins.control_calls import DeploymentError
from standins.deployment import Deployment
from standins.processes import Child

READY_SECONDS: Final = 120.0
POLL_SECONDS: Final = 0.1
# The calls of the boot are over then; later ones are watches.
SHOWN_SECONDS: Final = 10
STORE_EVENTS: Final = frozenset(('StoreRead', 'StoreWatched', 'StoreFailed'))


class _Moment(msgspec.Struct, frozen=True):
    now: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Round:
    """Hold what one start of all daemons showed."""

    stats: dict[str, int]
    ready_seconds: list[float]
    boot_seconds: list[float]
    call_ages: list[float]


def run(arguments: list[str]) -> Figures:
    """Run the measurement with options of the command line."""
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

    :param daemons: size of the fleet, a multiple of 6
    :param rounds: how often to kill and start all
    :param store_limit: calls per second that the store accepts
    :param baseline: let every daemon watch the store by itself
    """
    tell(f'starting {daemons} daemons')
    deployment = deploy(
        plan_of(daemons),
        is_baseline=baseline,
        records_traces=True,
        store_limit=store_limit,
    )
    with deployment:
        several = [_storm(deployment) for _ in range(rounds)]
    return {
        'benchmark': 'storm',
        'baseline': baseline,
        'daemons': daemons,
        'rounds': rounds,
        'store_limit': store_limit,
        'target': {'store_calls_per_second': TARGET_STORE_CALLS_PER_SECOND},
        **_figures(daemons, several),
    }


def _figures(daemons: int, several: list[_Round]) -> Figures:
    starts = daemons * len(several)
    ages = [age for one in several for age in one.call_ages]
    by_second = [
        sum(second <= age < second + 1 for age in ages) / starts
        for second in range(SHOWN_SECONDS)
    ]
    peak = max(one.stats['peak_calls_per_second'] for one in several)
    refused = sum(one.stats['calls_refused'] for one in several)
    scaled = max(by_second) * TARGET_DAEMONS
    return {
        'store_peak_calls_per_second': peak,
        'calls_refused': refused,
        'reads': [one.stats.get('calls_entries', 0) for one in several],
        'watches': [one.stats.get('calls_watch', 0) for one in several],
        'seconds_to_all_ready': [
            rounded(max(one.ready_seconds)) for one in several
        ],
        'seconds_from_started_to_configuration': spread(
            [seconds for one in several for seconds in one.boot_seconds],
        ),
        'calls_per_daemon': rounded(len(ages) / starts),
        'calls_per_daemon_by_second_after_its_start': list(
            map(rounded, by_second),
        ),
        'calls_per_second_of_2600_started_at_one_instant': rounded(scaled),
        'met': max(peak, scaled) < TARGET_STORE_CALLS_PER_SECOND
        and not refused,
    }


def _storm(deployment: Deployment) -> _Round:
    names = list(deployment.site.wirings)
    children = [deployment.child(name) for name in names]
    follower = AuditFollower(deployment)
    _end(children, signal.SIGKILL)
    deployment.control_store('reset-stats')
    tell('starting all again')
    begun = time.monotonic()
    for child in children:
        child.start()
    ready_seconds = _wait_until_ready(deployment, begun)
    gevent.sleep(max(0, begun + SHOWN_SECONDS - time.monotonic()))
    stats = deployment.control_store('stats')
    boot_seconds = follower.boot_seconds()
    # A planned stop writes out the traces.
    _end(children, signal.SIGTERM)
    return _Round(
        stats=stats,
        ready_seconds=ready_seconds,
        boot_seconds=boot_seconds,
        call_ages=[
            age
            for name in names
            for age in _call_ages(deployment.site.directory / f'{name}.trace')
        ],
    )


def _end(children: list[Child], number: signal.Signals) -> None:
    for child in children:
        child.send(number)
    for ended in children:
        ended.wait(TIMEOUT_SECONDS)


def _wait_until_ready(deployment: Deployment, begun: float) -> list[float]:
    """Return the seconds until each daemon was ready.

    Raises DeploymentError.
    """
    ready: dict[str, float] = {}
    probe = partial(_is_ready, deployment, ready)

    while len(ready) < len(deployment.site.wirings):
        elapsed = time.monotonic() - begun
        if elapsed > READY_SECONDS:
            raise DeploymentError(f'{len(ready)} daemons are ready')
        probes = ask_all(deployment, probe)
        for name, is_ready in probes.items():
            if is_ready:
                ready.setdefault(name, time.monotonic() - begun)
        gevent.sleep(POLL_SECONDS)
    return list(ready.values())


def _is_ready(
    deployment: Deployment,
    ready: Container[str],
    name: str,
) -> bool:
    if name in ready:
        return True
    address = deployment.site.wirings[name].operator_address
    try:
        return call(address, 'GET', '/readyz').status == 200
    except OSError:
        return False


def _call_ages(trace: Path) -> Iterable[float]:
    """Yield the age of a daemon at each answer or failure of the store.

    Ages show the calls of daemons that start at one instant, which a few
    cores can't do.
    """
    started_at = float(0)
    for line in read_trace_lines(trace):
        if line.type == 'Started':
            started_at = msgspec.json.decode(line.data, type=_Moment).now
        elif line.type in STORE_EVENTS:
            now = msgspec.json.decode(line.data, type=_Moment).now
            yield now - started_at
