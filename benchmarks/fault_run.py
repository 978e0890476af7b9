"""Random faults on real processes under load, judged from the outside.

The seed fixes the faults, their times and the load; what the processes make
of them varies from run to run.
"""

import shutil
import sys
from collections import Counter
from random import Random
from typing import Final

import defopt
import gevent
import msgspec

from benchmarks.fault_actions import FaultActions, guest_text, owner_text
from benchmarks.fault_jobs import FaultLoad, Made
from benchmarks.fault_judge import (
    Trails,
    first_runs_of,
    judge_calls,
    judge_held,
    judge_store,
    judge_trails,
    read_trails,
    runs_of,
    settle,
)
from benchmarks.fault_schedule import Fault, plan_faults
from benchmarks.figures import Figures, run_alone
from standins.deployment import Deployment
from standins.plans import Plan, generated
from standins.wiring import DeploymentOptions

CALLS_PER_SECOND: Final = 60.0
QUIET_SECONDS: Final = 3.0
SHOWN_REASONS: Final = 12


def run(arguments: list[str]) -> Figures:
    """Run with the flags of `measure`."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    seed: int = 1,
    seconds: float = 60,
    calls_per_second: float = CALLS_PER_SECOND,
    intensity: float = 1,
    record: bool = False,
) -> Figures:
    """Let faults happen and list every violation.

    :param seed: seed of faults and load
    :param seconds: time with faults
    :param calls_per_second: calls of all callers together
    :param intensity: how many times as many faults as usual
    :param record: record the daemons' event traces
    """
    options = DeploymentOptions(
        keeps_directory=True,
        records_traces=record,
        upstream_flags=('--cold-requests', '20', '--cold-limit', '4'),
    )
    deployment = Deployment(_plan(), options)
    directory = deployment.site.directory
    with deployment:
        faults = plan_faults(
            Random(f'faults {seed}'),
            seconds=seconds,
            data_centres=_data_centres(deployment),
            intensity=intensity,
        )
        figures = _run(deployment, seed, faults, calls_per_second)
    figures = {**figures, 'seconds': seconds, 'intensity': intensity}
    if figures['met']:
        shutil.rmtree(directory)
        return figures
    return {**figures, 'output': str(directory)}


def _plan() -> Plan:
    base = generated(
        regions=2,
        data_centres=2,
        daemons_per_data_centre=3,
        services=3,
    )
    tree = {
        **base.tree,
        'teams/owner': owner_text(has_policy=True),
        'teams/guest': guest_text(),
    }
    return Plan(name='faults', instances=base.instances, tree=tree)


def _run(
    deployment: Deployment,
    seed: int,
    faults: list[Fault],
    calls_per_second: float,
) -> Figures:
    for fault in faults:
        sys.stderr.write(f'{fault}\n')
    actions = FaultActions(deployment=deployment, random=Random(seed))
    load = FaultLoad(
        deployment=deployment,
        random=Random(f'load {seed}'),
        calls_per_second=calls_per_second,
    )
    load.start()
    actions.carry_out(faults)
    gevent.sleep(QUIET_SECONDS)
    settled_seconds, violations = settle(deployment)
    stats = deployment.control_store('stats')
    # The last planned stop happens under load, as all before it.
    stopped = gevent.spawn(actions.stop_all, list(deployment.site.wirings))
    gevent.sleep(QUIET_SECONDS)
    load.stop()
    stopped.join()
    runs = runs_of(deployment)
    trails = read_trails(deployment)
    violations += actions.violations
    violations += _bad_stops(actions)
    violations += judge_calls(load.made, runs, first_runs_of(deployment))
    violations += judge_trails(trails)
    violations += judge_held(trails, Random(f'held {seed}'))
    violations += judge_store(stats)
    return {
        'benchmark': 'fault_run',
        'seed': seed,
        'met': not violations,
        'violations': violations,
        'settled_seconds': settled_seconds,
        'store_peak_calls_per_second': stats['peak_calls_per_second'],
        'planned_stops': len(actions.stop_codes),
        **_counts(faults, load.made, trails),
    }


def _data_centres(deployment: Deployment) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for name, wiring in deployment.site.wirings.items():
        found.setdefault(wiring.plan.data_centre, []).append(name)
    return found


def _bad_stops(actions: FaultActions) -> list[dict[str, object]]:
    return [
        {
            'rule': 'a planned stop did not exit 0',
            'instance': name,
            'code': code,
        }
        for name, code in actions.stop_codes
        if code != 0
    ]


def _counts(faults: list[Fault], made: list[Made], trails: Trails) -> Figures:
    return {
        'faults': Counter(f'{one.group} {one.kind}' for one in faults),
        'calls': len(made),
        'calls_by_kind': Counter(one.sent.kind for one in made),
        'verdicts': Counter(one.verdict or 'no answer' for one in made),
        'statuses': Counter(str(one.status) for one in made),
        'reasons': dict(
            Counter(map(_reason, made)).most_common(SHOWN_REASONS),
        ),
        'audit_lines': sum(len(lines) for lines in trails.values()),
    }


def _reason(one: Made) -> str:
    if one.is_success:
        return 'success'
    try:
        code = msgspec.json.decode(one.text)['code']
    except (msgspec.DecodeError, KeyError):
        code = one.text
    return f'{one.status} {one.verdict} {code}'


if __name__ == '__main__':
    run_alone(run)
