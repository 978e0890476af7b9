"""Time that the daemons add to a call, against direct calls in the same run.

Direct calls alternate with calls through a daemon, so that noise of the host
falls on both. Both are timed from the moment of sending; the plan of the load
does not wait for answers.
"""

import gc
import itertools
import os
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import defopt
import gevent

from benchmarks.figures import Figures, milliseconds, percentile, run_alone
from benchmarks.load import Job, Load, Outcome
from standins.deployment import Deployment
from standins.plans import generated
from standins.wiring import DeploymentOptions, Wiring

TARGET_MS: Final = 0.47
MEDIAN: Final = 50
HIGH: Final = 99
DAEMONS: Final = 2
# Each call through a daemon has a direct call beside it.
CALLS_PER_SAMPLE: Final = 2
WARM_SECONDS: Final = 5.0
DIRECT: Final = 'direct'
LOCAL: Final = 'local'
ONE_HOP: Final = 'one_hop'
# Positions in /proc/PID/stat, counted from the state.
USER_TICKS: Final = 11
SYSTEM_TICKS: Final = 12


def run(arguments: list[str]) -> Figures:
    """Measure with the flags of `measure`."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    seconds: float = 60,
    calls_per_second: float = 54,
    answer_bytes: int = 0,
    daemon_module: str = 'briartack.main',
) -> Figures:
    """Measure the added time.

    :param seconds: time of the measurement after warming up
    :param calls_per_second: calls of callers at each daemon
    :param answer_bytes: least size of an answer's body
    :param daemon_module: module that runs a daemon
    """
    plan = generated(
        regions=1,
        data_centres=1,
        daemons_per_data_centre=DAEMONS,
        services=DAEMONS,
    )
    options = DeploymentOptions(daemon_module=daemon_module)
    with Deployment(plan, options) as deployment:
        wirings = tuple(deployment.site.wirings.values())
        load = Load(
            jobs=_jobs(wirings, answer_bytes),
            calls_per_second=calls_per_second * DAEMONS * CALLS_PER_SAMPLE,
        )
        outcomes, cpu_seconds = _outcomes(deployment, load, seconds)
    calls = sum(1 for one in outcomes if one.job.kind != DIRECT)
    return {
        'daemons': DAEMONS,
        'calls_per_second_per_daemon': calls_per_second,
        'seconds': seconds,
        # Of all daemons, with what they do beside calls.
        'daemon_cpu_ms_per_call': milliseconds(cpu_seconds / calls),
        **_figures(outcomes),
    }


def _outcomes(
    deployment: Deployment,
    load: Load,
    seconds: float,
) -> tuple[list[Outcome], float]:
    """Return the outcomes of a time and the daemons' CPU seconds in it."""
    load.start()
    gevent.sleep(WARM_SECONDS)
    load.outcomes.clear()
    gc.collect()
    gc.disable()
    before = _cpu_seconds(deployment)
    gevent.sleep(seconds)
    cpu_seconds = _cpu_seconds(deployment) - before
    gc.enable()
    outcomes = list(load.outcomes)
    load.stop()
    return outcomes, cpu_seconds


def _cpu_seconds(deployment: Deployment) -> float:
    ticks = 0
    for name in deployment.site.wirings:
        process = Path('/proc', str(deployment.child(name).pid), 'stat')
        # The fields after the name, which may hold spaces, begin at no. 3.
        fields = process.read_text().rpartition(')')[2].split()
        ticks += sum(map(int, fields[USER_TICKS : SYSTEM_TICKS + 1]))
    return ticks / os.sysconf('SC_CLK_TCK')


def _jobs(wirings: tuple[Wiring, ...], answer_bytes: int) -> Iterator[Job]:
    pairs = [
        (caller, owner)
        for shift in range(DAEMONS)
        for caller, owner in zip(
            wirings,
            (*wirings[shift:], *wirings[:shift]),
            strict=True,
        )
    ]
    for caller, owner in itertools.cycle(pairs):
        kind = LOCAL if caller is owner else ONE_HOP
        yield _job(DIRECT, owner.upstream_address, owner, answer_bytes)
        yield _job(kind, caller.caller_address, owner, answer_bytes)


def _job(kind: str, address: str, owner: Wiring, answer_bytes: int) -> Job:
    service = owner.plan.service.partition('/')[2]
    return Job(
        kind=kind,
        addresses=(address,),
        method='GET',
        target=f'/{service}/read/1',
        # No time of work: its timer has steps of 1 ms, which would hide the
        # difference.
        headers={'X-Service-Ms': '0', 'X-Answer-Bytes': str(answer_bytes)},
    )


def _figures(outcomes: list[Outcome]) -> Figures:
    seconds: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.is_success:
            seconds[outcome.job.kind].append(outcome.seconds)
    failed = len(outcomes) - sum(len(samples) for samples in seconds.values())
    late = [sent.sent_at - sent.planned_at for sent in outcomes]
    added = {
        kind: _added(seconds[kind], seconds[DIRECT])
        for kind in (LOCAL, ONE_HOP)
    }
    met = {kind: figures['p99'] <= TARGET_MS for kind, figures in added.items()}
    return {
        'samples': {kind: len(samples) for kind, samples in seconds.items()},
        'failed': failed,
        'sent_late_ms_p99': milliseconds(percentile(late, HIGH)),
        'ms': {kind: _times(samples) for kind, samples in seconds.items()},
        'added_ms': added,
        'target': {'added_ms_p99': TARGET_MS, 'failed': 0},
        'met_by_path': met,
        'met': failed == 0 and all(met.values()),
    }


def _times(samples: list[float]) -> dict[str, float]:
    return {
        'p50': milliseconds(percentile(samples, MEDIAN)),
        'p99': milliseconds(percentile(samples, HIGH)),
    }


def _added(samples: list[float], direct: list[float]) -> dict[str, float]:
    own = _times(samples)
    base = _times(direct)
    return {name: round(own[name] - base[name], 3) for name in own}


if __name__ == '__main__':
    run_alone(run)
