"""Measures the latency that daemons add to calls, relative to direct calls.

Direct calls alternate with calls through a daemon in the same run, so that
noise on the host affects both. The latency counts from the moment of sending;
the load is open-loop, so send times do not depend on answers.
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

from benchmarks.figures import (
    Figures,
    percentile,
    round_milliseconds,
    run_as_program,
)
from benchmarks.load import Job, LoadGenerator, Outcome
from standins.deployment import Deployment
from standins.deployment_plans import plan_generated
from standins.deployment_site import DeploymentOptions, InstanceSite

TARGET_ADDED_MS: Final = 0.47
MEDIAN_PERCENT: Final = 50
HIGH_PERCENT: Final = 99
DAEMONS: Final = 2
# A direct call and a call through a daemon.
CALLS_PER_SAMPLE: Final = 2
WARM_UP_SECONDS: Final = 5.0
DIRECT: Final = 'direct'
LOCAL: Final = 'local'
ONE_HOP: Final = 'one_hop'
# Field offsets in /proc/PID/stat, counted from the process state.
USER_TICKS_INDEX: Final = 11
SYSTEM_TICKS_INDEX: Final = 12


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    seconds: float = 60,
    calls_per_second: float = 54,
    answer_bytes: int = 0,
    daemon_module: str = 'briartack.launcher',
) -> Figures:
    """Measure the latency that daemons add to calls.

    :param seconds: duration of the measurement after the warm-up
    :param calls_per_second: calls per second that each daemon receives
    :param answer_bytes: minimum size of an answer's body in bytes
    :param daemon_module: Python module that runs a daemon
    """
    plan = plan_generated(
        regions=1,
        data_centres=1,
        daemons_per_data_centre=DAEMONS,
        services=DAEMONS,
    )
    options = DeploymentOptions(daemon_module=daemon_module)
    with Deployment(plan, options) as deployment:
        instance_sites = tuple(deployment.site.instance_sites.values())
        load = LoadGenerator(
            jobs=_generate_jobs(instance_sites, answer_bytes),
            calls_per_second=calls_per_second * DAEMONS * CALLS_PER_SAMPLE,
        )
        outcomes, cpu_seconds = _measure_outcomes(deployment, load, seconds)
    calls = sum(1 for sample in outcomes if sample.job.kind != DIRECT)
    return {
        'daemons': DAEMONS,
        'calls_per_second_per_daemon': calls_per_second,
        'seconds': seconds,
        # CPU time of all daemons, including their background work.
        'daemon_cpu_ms_per_call': round_milliseconds(cpu_seconds / calls),
        **_summarise(outcomes),
    }


def _measure_outcomes(
    deployment: Deployment,
    load: LoadGenerator,
    seconds: float,
) -> tuple[list[Outcome], float]:
    """Return the outcomes and the daemons' CPU seconds of a time window."""
    load.start()
    gevent.sleep(WARM_UP_SECONDS)
    load.outcomes.clear()
    gc.collect()
    gc.disable()
    before = _read_cpu_seconds(deployment)
    gevent.sleep(seconds)
    cpu_seconds = _read_cpu_seconds(deployment) - before
    gc.enable()
    outcomes = list(load.outcomes)
    load.stop()
    return outcomes, cpu_seconds


def _read_cpu_seconds(deployment: Deployment) -> float:
    ticks = 0
    for name in deployment.site.instance_sites:
        process = Path(
            '/proc', str(deployment.get_daemon_process(name).pid), 'stat'
        )
        # Field 2, the program name, may contain spaces, so parsing begins at
        # field 3, after the closing bracket.
        fields = process.read_text().rpartition(')')[2].split()
        ticks += sum(
            map(int, fields[USER_TICKS_INDEX : SYSTEM_TICKS_INDEX + 1])
        )
    return ticks / os.sysconf('SC_CLK_TCK')


def _generate_jobs(
    instance_sites: tuple[InstanceSite, ...], answer_bytes: int
) -> Iterator[Job]:
    pairs = [
        (caller, owner)
        for offset in range(DAEMONS)
        for caller, owner in zip(
            instance_sites,
            (*instance_sites[offset:], *instance_sites[:offset]),
            strict=True,
        )
    ]
    for caller, owner in itertools.cycle(pairs):
        kind = LOCAL if caller is owner else ONE_HOP
        yield _create_job(DIRECT, owner.upstream_address, owner, answer_bytes)
        yield _create_job(kind, caller.caller_address, owner, answer_bytes)


def _create_job(
    kind: str, address: str, owner: InstanceSite, answer_bytes: int
) -> Job:
    service = owner.plan.service.partition('/')[2]
    return Job(
        kind=kind,
        addresses=(address,),
        method='GET',
        target=f'/{service}/read/1',
        # The upstream's service timer has a resolution of 1 ms, which would
        # hide the difference, so the service time is zero.
        headers={'X-Service-Ms': '0', 'X-Answer-Bytes': str(answer_bytes)},
    )


def _summarise(outcomes: list[Outcome]) -> Figures:
    seconds: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.is_success:
            seconds[outcome.job.kind].append(outcome.seconds)
    failed = len(outcomes) - sum(len(samples) for samples in seconds.values())
    send_delays = [timed.sent_at - timed.planned_at for timed in outcomes]
    added = {
        kind: _subtract_percentiles(seconds[kind], seconds[DIRECT])
        for kind in (LOCAL, ONE_HOP)
    }
    met = {
        kind: figures['p99'] <= TARGET_ADDED_MS
        for kind, figures in added.items()
    }
    return {
        'samples': {kind: len(samples) for kind, samples in seconds.items()},
        'failed': failed,
        'sent_late_ms_p99': round_milliseconds(
            percentile(send_delays, HIGH_PERCENT)
        ),
        'ms': {
            kind: _compute_percentiles(samples)
            for kind, samples in seconds.items()
        },
        'added_ms': added,
        'target': {'added_ms_p99': TARGET_ADDED_MS, 'failed': 0},
        'met_by_path': met,
        'met': failed == 0 and all(met.values()),
    }


def _compute_percentiles(samples: list[float]) -> dict[str, float]:
    return {
        'p50': round_milliseconds(percentile(samples, MEDIAN_PERCENT)),
        'p99': round_milliseconds(percentile(samples, HIGH_PERCENT)),
    }


def _subtract_percentiles(
    samples: list[float], direct: list[float]
) -> dict[str, float]:
    daemon_times = _compute_percentiles(samples)
    direct_times = _compute_percentiles(direct)
    return {
        name: round(daemon_times[name] - direct_times[name], 3)
        for name in daemon_times
    }


if __name__ == '__main__':
    run_as_program(run)
