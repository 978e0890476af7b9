"""Deployments of the control measures, and what all their daemons report."""

import sys
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, Final, TypeVar

from gevent.pool import Pool

from standins.client import call
from standins.deployment import Deployment
from standins.plans import Plan, Tree, generated
from standins.wiring import DeploymentOptions

REGIONS: Final = 3
DATA_CENTRES: Final = 2  # of each region
SERVICES: Final = 3
PARALLEL: Final = 20
# A daemon that has started keeps a stream to another region for 10 s.
SETTLE_SECONDS: Final = 12.0
TIMEOUT_SECONDS: Final = 10.0
BASELINE_MODULE: Final = 'benchmarks.baseline_daemon'
PRODUCT_MODULE: Final = 'briartack.main'
Figures = dict[str, object]
AnswerT = TypeVar('AnswerT')


def plan_of(daemons: int, tree: Tree | None = None) -> Plan:
    """Spread a number of daemons over all data centres.

    Raises ValueError.
    """
    places = REGIONS * DATA_CENTRES
    if daemons < places or daemons % places:
        raise ValueError(f'{daemons} daemons are not a multiple of {places}')
    plan = generated(
        regions=REGIONS,
        data_centres=DATA_CENTRES,
        daemons_per_data_centre=daemons // places,
        services=SERVICES,
    )
    return replace(plan, tree=plan.tree | (tree or {}))


def deploy(
    plan: Plan,
    *,
    is_baseline: bool = False,
    records_traces: bool = False,
    store_limit: int = 2000,
) -> Deployment:
    """Prepare a deployment, which starts in a `with` block."""
    return Deployment(
        plan,
        DeploymentOptions(
            log_level='warning',
            records_traces=records_traces,
            store_limit=store_limit,
            daemon_module=BASELINE_MODULE if is_baseline else PRODUCT_MODULE,
        ),
    )


def tell(text: str) -> None:
    """Show progress, apart from the figures."""
    sys.stderr.write(f'{text}\n')


def ask_all(
    deployment: Deployment,
    ask: Callable[[str], AnswerT],
) -> dict[str, AnswerT]:
    """Ask all daemons at once, by the name of the instance."""
    names = list(deployment.site.wirings)
    return dict(zip(names, Pool(PARALLEL).map(ask, names), strict=True))


def statuses(deployment: Deployment) -> dict[str, dict[str, Any]]:
    """Return the status of each daemon."""
    return ask_all(deployment, deployment.status)


def metrics_of(deployment: Deployment, name: str) -> dict[str, float]:
    """Return the metrics of a daemon by name and attributes."""
    answer = call(
        deployment.site.wirings[name].operator_address,
        'GET',
        '/metrics',
        timeout_seconds=TIMEOUT_SECONDS,
    )
    pairs = (line.rpartition(' ') for line in answer.body.decode().splitlines())
    return {label: float(text) for label, _, text in pairs if label}


def all_metrics(deployment: Deployment) -> dict[str, dict[str, float]]:
    """Return the metrics of each daemon."""
    return ask_all(deployment, lambda name: metrics_of(deployment, name))


def control_bytes(metrics: dict[str, float]) -> float:
    """Sum the bytes of control messages in both directions."""
    return _sum_bytes(metrics, ('kind="control"',))


def cross_region_bytes(metrics: dict[str, float]) -> float:
    """Sum the bytes of control messages sent to other regions."""
    wanted = ('kind="control"', 'direction="sent"', 'region="other"')
    return _sum_bytes(metrics, wanted)


def _sum_bytes(metrics: dict[str, float], wanted: Iterable[str]) -> float:
    return sum(
        total
        for label, total in metrics.items()
        if label.startswith('briartack_peers_bytes{')
        and all(part in label for part in wanted)
    )
