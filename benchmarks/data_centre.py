"""Measures calls while a data centre is taken out or killed, and returns."""

import time
from collections.abc import Callable
from typing import Final

import defopt
import gevent

from benchmarks.call_accounting import collect_call_records, summarise_calls
from benchmarks.cross_region_traffic import CrossRegionTraffic
from benchmarks.figures import Figures, run_as_program
from benchmarks.load import LoadGenerator
from benchmarks.regional_jobs import generate_regional_jobs
from standins.deployment import Deployment
from standins.deployment_plans import plan_pacifico
from standins.deployment_site import DeploymentOptions

MAX_SECONDS_UNTIL_NO_NEW_WORK: Final = 4.0
# Slow start of a new daemon takes 10 s in the users' settings. Until the
# slow start ends, calls may go to other regions for lack of slots.
WARM_UP_SECONDS: Final = 12.0
LOAD_TAIL_SECONDS: Final = 6.0
RETURN_TIMEOUT_SECONDS: Final = 20.0
POLL_INTERVAL_SECONDS: Final = 0.1
# Counts of calls that must be zero when a data centre is taken out as planned.
PLANNED_ZERO_FIGURES: Final = (
    'failed',
    'refused',
    'without_answer',
    'repeated',
    'untruthful',
    'misplaced',
    'crossed_answers',
)
# Counts of calls that must be zero after a failure. A repeatable call may run
# twice, and a call may end with a truthful refusal or an unknown outcome.
FAILURE_ZERO_FIGURES: Final = (
    'repeated_purchases',
    'untruthful',
    'misplaced',
    'crossed_answers',
)


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    data_centre: str = 'costa-1',
    calls_per_second: float = 180,
    out_seconds: float = 10,
    service_ms: float = 50,
    killed: bool = False,
    daemon_module: str = 'briartack.launcher',
) -> Figures:
    """Measure calls while a data centre leaves and returns.

    :param data_centre: data centre that leaves
    :param calls_per_second: calls per second of all callers together
    :param out_seconds: time between leaving and return
    :param service_ms: service time of each call
    :param killed: kill and restart the daemons instead of a planned change
    :param daemon_module: Python module that runs a daemon
    """
    options = DeploymentOptions(daemon_module=daemon_module)
    plan = plan_pacifico()
    with Deployment(plan, options) as deployment:
        load = LoadGenerator(
            jobs=generate_regional_jobs(
                deployment.site.instance_sites, 'call', service_ms
            ),
            calls_per_second=calls_per_second,
        )
        load.start()
        gevent.sleep(WARM_UP_SECONDS)
        traffic = CrossRegionTraffic(deployment)
        disrupt = _kill_and_restart if killed else _take_out_and_bring_back
        change_figures = disrupt(deployment, data_centre, out_seconds)
        gevent.sleep(LOAD_TAIL_SECONDS)
        load.stop()
        restarted = _list_instances(deployment, data_centre) if killed else []
        traffic_figures = traffic.summarise(frozenset(restarted))
        calls = summarise_calls(
            deployment,
            collect_call_records(deployment, load.outcomes),
        )
    return {
        'variant': 'killed' if killed else 'planned',
        'daemons': len(plan.instances),
        'calls_per_second': calls_per_second,
        'out_seconds': out_seconds,
        **change_figures,
        **calls,
        **traffic_figures,
        **_evaluate_target(calls, change_figures, is_planned=not killed),
    }


def _take_out_and_bring_back(
    deployment: Deployment,
    data_centre: str,
    out_seconds: float,
) -> Figures:
    before = _count_runs(deployment, data_centre)
    put_at = time.time()
    deployment.take_out_data_centre(data_centre)
    gevent.sleep(out_seconds)
    last_run_at = max(
        float(deployment.control_upstream(name, 'stats')['last_run_at'])
        for name in _list_instances(deployment, data_centre)
    )
    return_figures = _measure_return(
        deployment,
        data_centre,
        lambda: deployment.bring_back_data_centre(data_centre),
    )
    return {
        'seconds_until_no_new_work': round(max(0.0, last_run_at - put_at), 3),
        'runs_before_leaving': sum(before.values()),
        **return_figures,
    }


def _kill_and_restart(
    deployment: Deployment,
    data_centre: str,
    out_seconds: float,
) -> Figures:
    names = _list_instances(deployment, data_centre)
    for name in names:
        deployment.kill(name)
    gevent.sleep(out_seconds)
    return _measure_return(
        deployment,
        data_centre,
        lambda: _restart_daemons(deployment, names),
    )


def _restart_daemons(deployment: Deployment, names: list[str]) -> None:
    for name in names:
        deployment.restart(name)


def _measure_return(
    deployment: Deployment,
    data_centre: str,
    bring_back_data_centre: Callable[[], object],
) -> Figures:
    """Measure the time until each instance of a data centre runs requests."""
    before = _count_runs(deployment, data_centre)
    started = time.monotonic()
    bring_back_data_centre()
    bring_back_seconds = time.monotonic() - started
    missing = set(before)
    first_seconds: float | None = None
    while missing and time.monotonic() - started < RETURN_TIMEOUT_SECONDS:
        runs = _count_runs(deployment, data_centre)
        missing -= {name for name in before if runs[name] > before[name]}
        if first_seconds is None and len(missing) < len(before):
            first_seconds = time.monotonic() - started
        gevent.sleep(POLL_INTERVAL_SECONDS)
    all_seconds = time.monotonic() - started
    return {
        'seconds_of_bringing_back': round(bring_back_seconds, 3),
        'seconds_until_first_work': _round_optional_seconds(first_seconds),
        'seconds_until_all_work': None if missing else round(all_seconds, 3),
        'instances_without_work': sorted(missing),
    }


def _count_runs(deployment: Deployment, data_centre: str) -> dict[str, int]:
    return {
        name: int(deployment.control_upstream(name, 'stats')['runs'])
        for name in _list_instances(deployment, data_centre)
    }


def _list_instances(deployment: Deployment, data_centre: str) -> list[str]:
    return [
        name
        for name, instance_site in deployment.site.instance_sites.items()
        if instance_site.plan.data_centre == data_centre
    ]


def _round_optional_seconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _evaluate_target(
    calls: Figures,
    change: Figures,
    *,
    is_planned: bool,
) -> Figures:
    target: Figures = dict.fromkeys(
        PLANNED_ZERO_FIGURES if is_planned else FAILURE_ZERO_FIGURES,
        0,
    )
    met = not any(calls[name] for name in target)
    met = met and not change['instances_without_work']
    if is_planned:
        target['seconds_until_no_new_work'] = MAX_SECONDS_UNTIL_NO_NEW_WORK
        stopped_after = change['seconds_until_no_new_work']
        assert isinstance(stopped_after, float)
        met = met and stopped_after <= MAX_SECONDS_UNTIL_NO_NEW_WORK
        # An idle data centre cannot show that new work stopped.
        met = met and bool(change['runs_before_leaving'])
    return {'target': target, 'met': met}


if __name__ == '__main__':
    run_as_program(run)
