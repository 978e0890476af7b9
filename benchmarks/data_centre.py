"""Service while a data centre leaves and returns, by order or by failure."""

import time
from collections.abc import Callable
from typing import Final

import defopt
import gevent

from benchmarks.accounts import accounts, summary
from benchmarks.figures import Figures, run_alone
from benchmarks.load import Load
from benchmarks.paid_bytes import PaidBytes
from benchmarks.regional_jobs import regional_jobs
from standins.deployment import Deployment
from standins.plans import pacifico
from standins.wiring import DeploymentOptions

NO_NEW_WORK_SECONDS: Final = 4.0
WARM_SECONDS: Final = 6.0
RETURN_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.1
# Each of these counts calls that a planned change must not cause.
PLANNED_WRONG: Final = (
    'failed',
    'refused',
    'without_answer',
    'repeated',
    'untruthful',
    'misplaced',
    'crossed_answers',
)
# After a failure a repeatable call may run twice, and a call may end with a
# truthful refusal or an unknown outcome.
FAILURE_WRONG: Final = (
    'repeated_purchases',
    'untruthful',
    'misplaced',
    'crossed_answers',
)


def run(arguments: list[str]) -> Figures:
    """Measure with the flags of `measure`."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    data_centre: str = 'costa-1',
    calls_per_second: float = 180,
    out_seconds: float = 10,
    service_ms: float = 50,
    killed: bool = False,
    daemon_module: str = 'briartack.main',
) -> Figures:
    """Measure a data centre's leaving and return.

    :param data_centre: data centre that leaves
    :param calls_per_second: calls of all callers together
    :param out_seconds: time between leaving and return
    :param service_ms: time of work of each call
    :param killed: kill and restart the daemons instead
    :param daemon_module: module that runs a daemon
    """
    options = DeploymentOptions(daemon_module=daemon_module)
    plan = pacifico()
    with Deployment(plan, options) as deployment:
        load = Load(
            jobs=regional_jobs(deployment.site.wirings, 'call', service_ms),
            calls_per_second=calls_per_second,
        )
        load.start()
        gevent.sleep(WARM_SECONDS)
        paid = PaidBytes(deployment)
        change = _killed if killed else _planned
        change_figures = change(deployment, data_centre, out_seconds)
        gevent.sleep(WARM_SECONDS)
        load.stop()
        restarted = _instances(deployment, data_centre) if killed else []
        paid_figures = paid.figures(frozenset(restarted))
        calls = summary(deployment, accounts(deployment, load.outcomes))
    return {
        'variant': 'killed' if killed else 'planned',
        'daemons': len(plan.instances),
        'calls_per_second': calls_per_second,
        'out_seconds': out_seconds,
        **change_figures,
        **calls,
        **paid_figures,
        **_judged(calls, change_figures, is_planned=not killed),
    }


def _planned(
    deployment: Deployment,
    data_centre: str,
    out_seconds: float,
) -> Figures:
    before = _runs(deployment, data_centre)
    put_at = time.time()
    deployment.take_out_data_centre(data_centre)
    gevent.sleep(out_seconds)
    last_run_at = max(
        float(deployment.control_upstream(name, 'stats')['last_run_at'])
        for name in _instances(deployment, data_centre)
    )
    back = _back_after(
        deployment,
        data_centre,
        lambda: deployment.bring_back(data_centre),
    )
    return {
        'seconds_until_no_new_work': round(max(0.0, last_run_at - put_at), 3),
        'runs_before_leaving': sum(before.values()),
        **back,
    }


def _killed(
    deployment: Deployment,
    data_centre: str,
    out_seconds: float,
) -> Figures:
    names = _instances(deployment, data_centre)
    for name in names:
        deployment.kill(name)
    gevent.sleep(out_seconds)
    return _back_after(
        deployment,
        data_centre,
        lambda: _restart(deployment, names),
    )


def _restart(deployment: Deployment, names: list[str]) -> None:
    for name in names:
        deployment.restart(name)


def _back_after(
    deployment: Deployment,
    data_centre: str,
    bring_back: Callable[[], object],
) -> Figures:
    """Measure the time until each instance of a data centre works again."""
    before = _runs(deployment, data_centre)
    started = time.monotonic()
    bring_back()
    changed_after = time.monotonic() - started
    missing = set(before)
    first_seconds: float | None = None
    while missing and time.monotonic() - started < RETURN_SECONDS:
        runs = _runs(deployment, data_centre)
        missing -= {name for name in before if runs[name] > before[name]}
        if first_seconds is None and len(missing) < len(before):
            first_seconds = time.monotonic() - started
        gevent.sleep(POLL_SECONDS)
    all_seconds = time.monotonic() - started
    return {
        'seconds_of_bringing_back': round(changed_after, 3),
        'seconds_until_first_work': _rounded(first_seconds),
        'seconds_until_all_work': None if missing else round(all_seconds, 3),
        'instances_without_work': sorted(missing),
    }


def _runs(deployment: Deployment, data_centre: str) -> dict[str, int]:
    return {
        name: int(deployment.control_upstream(name, 'stats')['runs'])
        for name in _instances(deployment, data_centre)
    }


def _instances(deployment: Deployment, data_centre: str) -> list[str]:
    return [
        name
        for name, wiring in deployment.site.wirings.items()
        if wiring.plan.data_centre == data_centre
    ]


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _judged(
    calls: Figures,
    change: Figures,
    *,
    is_planned: bool,
) -> Figures:
    target: Figures = dict.fromkeys(
        PLANNED_WRONG if is_planned else FAILURE_WRONG,
        0,
    )
    met = not any(calls[name] for name in target)
    met = met and not change['instances_without_work']
    if is_planned:
        target['seconds_until_no_new_work'] = NO_NEW_WORK_SECONDS
        stopped_after = change['seconds_until_no_new_work']
        assert isinstance(stopped_after, float)
        met = met and stopped_after <= NO_NEW_WORK_SECONDS
        # A data centre without work proves nothing by stopping it.
        met = met and bool(change['runs_before_leaving'])
    return {'target': target, 'met': met}


if __name__ == '__main__':
    run_alone(run)
