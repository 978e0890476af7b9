"""Measures the load on cold upstreams, and goodput while a third are cold.

The bound on the load is the slow-start ramp, which grows with answered
requests: one request in flight at first, two after one answer, four after two
more answers, and so on up to the slots. The stand-in upstream checks the bound
at each incoming request.

Each of the three phases yields its own figures:

- fresh: all upstreams are cold when the load begins;
- restarted: a third of the upstreams stop and return a second later with
  another identity;
- unannounced: a third of the upstreams become cold without notice and keep
  their connections and identity. Requests in flight at that moment count.
"""

import itertools
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Final

import defopt
import gevent
import msgspec

from benchmarks import plain_calls_daemon
from benchmarks.figures import Figures, run_as_program
from benchmarks.load import REQUEST_ID, Job, LoadGenerator
from standins.deployment import Deployment
from standins.deployment_plans import GENERATED_TEAM, Plan, plan_generated
from standins.deployment_site import DeploymentOptions

TEAM_KEY: Final = f'teams/{GENERATED_TEAM}'
UPSTREAMS: Final = 6
LOAD_FRACTION: Final = 0.6
COLD_UPSTREAM_STRIDE: Final = 3
RESTART_DOWN_SECONDS: Final = 1.0
# The ramp time in both users' settings; the stand-ins are cold for half of it.
RAMP_SECONDS: Final = 10.0
# Longer than the ramp, so that the ramp ends within each phase.
PHASE_SECONDS: Final = 14.0
MS_PER_SECOND: Final = 1000.0
PERCENT: Final = 100


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    service_ms: float = 200,
    phase_seconds: float = PHASE_SECONDS,
    cold_factor: float = 5,
    baseline: bool = False,
) -> Figures:
    """Measure load on cold upstreams.

    :param service_ms: service time of a call at a warm upstream
    :param phase_seconds: duration of each of the three phases
    :param cold_factor: factor on the service time at a cold upstream
    :param baseline: run daemons without slow start and retry budget
    """
    plan = _create_plan()
    slots = plan.slots * UPSTREAMS
    calls_per_second = LOAD_FRACTION * slots * MS_PER_SECOND / service_ms
    options = _create_options(is_baseline=baseline, cold_factor=cold_factor)
    with Deployment(plan, options) as deployment:
        _make_all_cold(deployment)
        load = LoadGenerator(
            jobs=_generate_jobs(deployment, service_ms),
            calls_per_second=calls_per_second,
        )
        load.start()
        phases = _measure_phases(deployment, load, phase_seconds)
        load.stop()
    return {
        'baseline': baseline,
        'cold_factor': cold_factor,
        'upstreams': UPSTREAMS,
        'slots': slots,
        'calls_per_second': calls_per_second,
        'phases': phases,
        'target': {'peak_over_ramp': 0},
        'met': all(phase['peak_over_ramp'] == 0 for phase in phases.values()),
    }


def _create_plan() -> Plan:
    plan = plan_generated(
        regions=1,
        data_centres=2,
        daemons_per_data_centre=UPSTREAMS // 2,
        services=1,
    )
    team = msgspec.json.decode(plan.tree[TEAM_KEY])
    for limits in team['services'].values():
        limits['ramp_seconds'] = RAMP_SECONDS
    text = msgspec.json.encode(team).decode()
    return replace(plan, tree={**plan.tree, TEAM_KEY: text})


def _create_options(
    *, is_baseline: bool, cold_factor: float
) -> DeploymentOptions:
    flags = ('--cold-factor', str(cold_factor))
    if is_baseline:
        return DeploymentOptions(
            upstream_flags=flags,
            daemon_module=plain_calls_daemon.MODULE,
        )
    return DeploymentOptions(upstream_flags=flags)


def _generate_jobs(deployment: Deployment, service_ms: float) -> Iterator[Job]:
    addresses = [
        instance_site.caller_address
        for instance_site in deployment.site.instance_sites.values()
    ]
    for number, address in enumerate(itertools.cycle(addresses)):
        yield Job(
            kind='read',
            addresses=(address,),
            method='GET',
            target='/svc-1/read/1',
            headers={
                REQUEST_ID: f'call-{number}',
                'X-Service-Ms': str(service_ms),
            },
        )


def _measure_phases(
    deployment: Deployment,
    load: LoadGenerator,
    seconds: float,
) -> dict[str, Figures]:
    every_third = list(deployment.site.instance_sites)[::COLD_UPSTREAM_STRIDE]
    phase_causes: dict[str, tuple[list[str], Callable[[str], object]]] = {
        'fresh': (list(deployment.site.instance_sites), lambda name: None),
        'restarted': (
            every_third,
            lambda name: deployment.control_upstream(
                name,
                'down',
                seconds=RESTART_DOWN_SECONDS,
            ),
        ),
        'unannounced': (
            every_third,
            lambda name: deployment.control_upstream(name, 'cold'),
        ),
    }
    phases: dict[str, Figures] = {}
    for phase, (names, make_cold) in phase_causes.items():
        collapsed = _sum_statistic(deployment, names, 'collapsed')
        for name in names:
            make_cold(name)
        figures = _measure_phase(deployment, load, names, seconds)
        collapsed = _sum_statistic(deployment, names, 'collapsed') - collapsed
        phases[phase] = {**figures, 'collapsed': collapsed}
    return phases


def _measure_phase(
    deployment: Deployment,
    load: LoadGenerator,
    cold: list[str],
    seconds: float,
) -> Figures:
    started_at = time.monotonic()
    gevent.sleep(seconds)
    # A call still in flight has no outcome yet and counts in no phase.
    planned = [
        outcome for outcome in load.outcomes if outcome.planned_at >= started_at
    ]
    succeeded = [outcome for outcome in planned if outcome.is_success]
    stats = [deployment.control_upstream(name, 'stats') for name in cold]
    return {
        'cold_upstreams': len(cold),
        'peak_over_ramp': max(figures['peak_over_ramp'] for figures in stats),
        'requests_over_ramp': sum(figures['over_ramp'] for figures in stats),
        'peak_in_flight': max(figures['peak_concurrency'] for figures in stats),
        'calls': len(planned),
        'answered_per_second': round(len(succeeded) / seconds, 1),
        'goodput_percent': round(PERCENT * len(succeeded) / len(planned), 2),
    }


def _sum_statistic(
    deployment: Deployment, names: list[str], statistic: str
) -> int:
    return sum(
        int(deployment.control_upstream(name, 'stats')[statistic])
        for name in names
    )


def _make_all_cold(deployment: Deployment) -> None:
    for name in deployment.site.instance_sites:
        deployment.control_upstream(name, 'cold')


if __name__ == '__main__':
    run_as_program(run)
