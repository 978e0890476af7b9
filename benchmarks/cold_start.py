"""Load on cold upstreams, and goodput while a third of them go cold.

The bound is that of the ramp by answered requests: one request at once, two
after one answer, four after two more, and so on up to the slots. The stand-in
compares each request that enters with it. Three phases end in a figure each:

- fresh: all upstreams are cold when the load begins;
- restarted: a third end and return a second later with another identity;
- unannounced: a third are cold from one moment to the next, with all
  connections and the identity kept. What is in flight at that moment counts.
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
from benchmarks.figures import Figures, run_alone
from benchmarks.load import REQUEST_ID, Job, Load
from standins.deployment import Deployment
from standins.plans import GENERATED_TEAM, Plan, generated
from standins.wiring import DeploymentOptions

TEAM_KEY: Final = f'teams/{GENERATED_TEAM}'
UPSTREAMS: Final = 6
LOAD_SHARE: Final = 0.6
COLD_EVERY: Final = 3
DOWN_SECONDS: Final = 1.0
# Both users' settings; the stand-ins are cold for half of this time.
RAMP_SECONDS: Final = 10.0
# The ramp ends within a phase.
PHASE_SECONDS: Final = 14.0
MS_PER_SECOND: Final = 1000.0
PERCENT: Final = 100


def run(arguments: list[str]) -> Figures:
    """Measure with the flags of `measure`."""
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

    :param service_ms: time of work of each call at a warm upstream
    :param phase_seconds: time of each of the three phases
    :param cold_factor: how much longer a call takes at a cold upstream
    :param baseline: run daemons without slow start and retry budget
    """
    plan = _plan()
    slots = plan.slots * UPSTREAMS
    calls_per_second = LOAD_SHARE * slots * MS_PER_SECOND / service_ms
    options = _options(is_baseline=baseline, cold_factor=cold_factor)
    with Deployment(plan, options) as deployment:
        _all_cold(deployment)
        load = Load(
            jobs=_jobs(deployment, service_ms),
            calls_per_second=calls_per_second,
        )
        load.start()
        phases = _phases(deployment, load, phase_seconds)
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


def _plan() -> Plan:
    plan = generated(
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


def _options(*, is_baseline: bool, cold_factor: float) -> DeploymentOptions:
    flags = ('--cold-factor', str(cold_factor))
    if is_baseline:
        return DeploymentOptions(
            upstream_flags=flags,
            daemon_module=plain_calls_daemon.MODULE,
        )
    return DeploymentOptions(upstream_flags=flags)


def _jobs(deployment: Deployment, service_ms: float) -> Iterator[Job]:
    addresses = [
        wiring.caller_address for wiring in deployment.site.wirings.values()
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


def _phases(
    deployment: Deployment,
    load: Load,
    seconds: float,
) -> dict[str, Figures]:
    third = list(deployment.site.wirings)[::COLD_EVERY]
    causes: dict[str, tuple[list[str], Callable[[str], object]]] = {
        'fresh': (list(deployment.site.wirings), lambda name: None),
        'restarted': (
            third,
            lambda name: deployment.control_upstream(
                name,
                'down',
                seconds=DOWN_SECONDS,
            ),
        ),
        'unannounced': (
            third,
            lambda name: deployment.control_upstream(name, 'cold'),
        ),
    }
    phases: dict[str, Figures] = {}
    for phase, (names, make_cold) in causes.items():
        collapsed = _sum(deployment, names, 'collapsed')
        for name in names:
            make_cold(name)
        figures = _phase(deployment, load, names, seconds)
        collapsed = _sum(deployment, names, 'collapsed') - collapsed
        phases[phase] = {**figures, 'collapsed': collapsed}
    return phases


def _phase(
    deployment: Deployment,
    load: Load,
    cold: list[str],
    seconds: float,
) -> Figures:
    first = time.monotonic()
    gevent.sleep(seconds)
    # A call still in flight is not an outcome yet and counts in no phase.
    planned = [one for one in load.outcomes if one.planned_at >= first]
    succeeded = [one for one in planned if one.is_success]
    stats = [deployment.control_upstream(name, 'stats') for name in cold]
    return {
        'cold_upstreams': len(cold),
        'peak_over_ramp': max(one['peak_over_ramp'] for one in stats),
        'requests_over_ramp': sum(one['over_ramp'] for one in stats),
        'peak_in_flight': max(one['peak_concurrency'] for one in stats),
        'calls': len(planned),
        'answered_per_second': round(len(succeeded) / seconds, 1),
        'goodput_percent': round(PERCENT * len(succeeded) / len(planned), 2),
    }


def _sum(deployment: Deployment, names: list[str], figure: str) -> int:
    return sum(
        int(deployment.control_upstream(name, 'stats')[figure])
        for name in names
    )


def _all_cold(deployment: Deployment) -> None:
    for name in deployment.site.wirings:
        deployment.control_upstream(name, 'cold')


if __name__ == '__main__':
    run_alone(run)
