"""Prepares fleets for control-plane benchmarks and queries all daemons."""

import sys
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, Final, TypeVar

from gevent.pool import Pool

from standins.client import call
from standins.deployment import Deployment
from standins.deployment_plans import Plan, Tree, plan_generated
from standins.deployment_site import DeploymentOptions

REGIONS: Final = 3
DATA_CENTRES: Final = 2  # per region
SERVICES: Final = 3
MAX_CONCURRENT_QUERIES: Final = 20
# A daemon keeps a stream to another region for 10 s after its start.
SETTLE_SECONDS: Final = 12.0
TIMEOUT_SECONDS: Final = 10.0
BASELINE_MODULE: Final = 'benchmarks.baseline_daemon'
PRODUCT_MODULE: Final = 'briartack.launcher'
Figures = dict[str, object]
ResultT = TypeVar('ResultT')


def create_fleet_plan(daemons: int, tree: Tree | None = None) -> Plan:
    """Create a plan that spreads daemons evenly over all data centres.

    Raises ValueError.
    """
    data_centre_count = REGIONS * DATA_CENTRES
    if daemons < data_centre_count or daemons % data_centre_count:
        raise ValueError(
            f'{daemons} daemons are not a multiple of {data_centre_count}'
        )
    plan = plan_generated(
        regions=REGIONS,
        data_centres=DATA_CENTRES,
        daemons_per_data_centre=daemons // data_centre_count,
        services=SERVICES,
    )
    return replace(plan, tree=plan.tree | (tree or {}))


def prepare_deployment(
    plan: Plan,
    *,
    is_baseline: bool = False,
    records_traces: bool = False,
    store_limit: int = 2000,
) -> Deployment:
    """Create a deployment that starts when its `with` block is entered."""
    return Deployment(
        plan,
        DeploymentOptions(
            log_level='warning',
            records_traces=records_traces,
            store_limit=store_limit,
            daemon_module=BASELINE_MODULE if is_baseline else PRODUCT_MODULE,
        ),
    )


def print_progress(text: str) -> None:
    """Write a progress line to stderr; stdout is for the figures."""
    sys.stderr.write(f'{text}\n')


def query_all(
    deployment: Deployment,
    query: Callable[[str], ResultT],
) -> dict[str, ResultT]:
    """Query all daemons concurrently; return the results by instance."""
    names = list(deployment.site.instance_sites)
    return dict(
        zip(names, Pool(MAX_CONCURRENT_QUERIES).map(query, names), strict=True)
    )


def fetch_statuses(deployment: Deployment) -> dict[str, dict[str, Any]]:
    """Return the status of each daemon by instance."""
    return query_all(deployment, deployment.status)


def fetch_metrics(deployment: Deployment, name: str) -> dict[str, float]:
    """Return a daemon's metrics, keyed by metric name with attributes."""
    answer = call(
        deployment.site.instance_sites[name].operator_address,
        'GET',
        '/metrics',
        timeout_seconds=TIMEOUT_SECONDS,
    )
    pairs = (line.rpartition(' ') for line in answer.body.decode().splitlines())
    return {label: float(text) for label, _, text in pairs if label}


def fetch_all_metrics(deployment: Deployment) -> dict[str, dict[str, float]]:
    """Return the metrics of each daemon by instance."""
    return query_all(deployment, lambda name: fetch_metrics(deployment, name))


def sum_control_bytes(metrics: dict[str, float]) -> float:
    """Sum the bytes of control messages sent and received."""
    return _sum_peer_bytes(metrics, ('kind="control"',))


def sum_cross_region_bytes(metrics: dict[str, float]) -> float:
    """Sum the bytes of control messages sent to other regions."""
    required_labels = ('kind="control"', 'direction="sent"', 'region="other"')
    return _sum_peer_bytes(metrics, required_labels)


def _sum_peer_bytes(
    metrics: dict[str, float], required_labels: Iterable[str]
) -> float:
    return sum(
        total
        for label, total in metrics.items()
        if label.startswith('briartack_peers_bytes{')
        and all(part in label for part in required_labels)
    )
