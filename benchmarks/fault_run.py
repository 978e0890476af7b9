"""Injects random faults into real processes under load and checks the result.

The seed determines the faults, their times and the load; the behaviour of the
processes under them still varies from run to run.
"""

import shutil
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Final

import defopt
import gevent
import msgspec

from benchmarks.fault_actions import (
    FaultInjector,
    encode_guest_subtree,
    encode_owner_subtree,
)
from benchmarks.fault_checks import (
    Trails,
    check_answered,
    check_calls,
    check_held,
    check_store_load,
    check_trails,
    collect_first_run_times,
    collect_runs,
    read_trails,
    wait_for_equal_digests,
)
from benchmarks.fault_load import CallResult, FaultLoadGenerator
from benchmarks.fault_places import (
    PLACED_KEY,
    PlacedCalls,
    check_homes,
    check_shares,
    encode_placed_subtree,
)
from benchmarks.fault_schedule import (
    Fault,
    plan_faults,
    plan_link_faults,
)
from benchmarks.figures import Figures, run_as_program
from standins.deployment import Deployment
from standins.deployment_plans import Plan, plan_generated
from standins.deployment_site import DeploymentOptions
from standins.link_proxy import LinkProxy

CALLS_PER_SECOND: Final = 60.0
LOAD_TAIL_SECONDS: Final = 3.0
MAX_LISTED_REASONS: Final = 12


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
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
    """Inject faults and list every violation.

    :param seed: seed of the faults and the load
    :param seconds: duration of the phase with faults
    :param calls_per_second: calls per second of all callers together
    :param intensity: factor on the usual rate of faults
    :param record: record the daemons' event traces
    """
    options = DeploymentOptions(
        keeps_directory=True,
        records_traces=record,
        proxies_peers=True,
        upstream_flags=('--cold-requests', '20', '--cold-limit', '4'),
    )
    deployment = Deployment(_create_plan(), options)
    directory = deployment.site.directory
    proxies = _create_proxies(deployment)
    with _running(proxies), deployment:
        faults = plan_faults(
            Random(f'faults {seed}'),
            seconds=seconds,
            data_centres=_group_by_data_centre(deployment),
            intensity=intensity,
        )
        faults += plan_link_faults(
            Random(f'links {seed}'),
            seconds=seconds,
            instances=list(proxies),
            intensity=intensity,
        )
        injector = FaultInjector(
            deployment=deployment, proxies=proxies, random=Random(seed)
        )
        figures = _inject_under_load(
            deployment, injector, seed, faults, calls_per_second
        )
    figures = {**figures, 'seconds': seconds, 'intensity': intensity}
    if figures['met']:
        shutil.rmtree(directory)
        return figures
    return {**figures, 'output': str(directory)}


def _create_proxies(deployment: Deployment) -> dict[str, LinkProxy]:
    return {
        name: LinkProxy(address=site.proxy_address, target=site.peer_address)
        for name, site in deployment.site.instance_sites.items()
    }


@contextmanager
def _running(proxies: dict[str, LinkProxy]) -> Iterator[None]:
    for proxy in proxies.values():
        proxy.start()
    try:
        yield
    finally:
        for proxy in proxies.values():
            proxy.stop()


def _create_plan() -> Plan:
    base = plan_generated(
        regions=2,
        data_centres=2,
        daemons_per_data_centre=3,
        services=3,
    )
    tree = {
        **base.tree,
        'teams/owner': encode_owner_subtree(has_policy=True),
        'teams/guest': encode_guest_subtree(),
        PLACED_KEY: encode_placed_subtree(),
    }
    return Plan(name='faults', instances=base.instances, tree=tree)


def _inject_under_load(
    deployment: Deployment,
    injector: FaultInjector,
    seed: int,
    faults: list[Fault],
    calls_per_second: float,
) -> Figures:
    for fault in faults:
        sys.stderr.write(f'{fault}\n')
    instance_sites = deployment.site.instance_sites
    placed = PlacedCalls(
        random=Random(f'placed {seed}'), instances=list(instance_sites)
    )
    load = FaultLoadGenerator(
        deployment=deployment,
        random=Random(f'load {seed}'),
        calls_per_second=calls_per_second,
        choose_further=placed.create_requests,
    )
    load.start()
    injector.inject_all(faults)
    gevent.sleep(LOAD_TAIL_SECONDS)
    settled_seconds, violations = wait_for_equal_digests(deployment)
    stats = deployment.control_store('stats')
    # The final planned stop of all daemons happens under load, like the others.
    stop_greenlet = gevent.spawn(
        injector.stop_all, list(deployment.site.instance_sites)
    )
    gevent.sleep(LOAD_TAIL_SECONDS)
    load.stop()
    stop_greenlet.join()
    runs = collect_runs(deployment)
    trails = read_trails(deployment)
    violations += injector.violations
    violations += _find_failed_stops(injector)
    violations += check_calls(
        load.results, runs, collect_first_run_times(deployment)
    )
    violations += check_answered(load.results, runs, injector.windows)
    violations += check_homes(
        load.results,
        runs,
        {name: one.plan.region for name, one in instance_sites.items()},
    )
    violations += check_shares(load.results, runs)
    violations += check_trails(trails)
    violations += check_held(trails, Random(f'held {seed}'))
    violations += check_store_load(stats)
    return {
        'benchmark': 'fault_run',
        'seed': seed,
        'met': not violations,
        'violations': violations,
        'settled_seconds': settled_seconds,
        'store_peak_calls_per_second': stats['peak_calls_per_second'],
        'planned_stops': len(injector.exit_codes),
        **_summarise(faults, load.results, trails),
    }


def _group_by_data_centre(deployment: Deployment) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for name, instance_site in deployment.site.instance_sites.items():
        found.setdefault(instance_site.plan.data_centre, []).append(name)
    return found


def _find_failed_stops(injector: FaultInjector) -> list[dict[str, object]]:
    return [
        {
            'rule': 'a planned stop did not exit with code 0',
            'instance': name,
            'code': code,
        }
        for name, code in injector.exit_codes
        if code != 0
    ]


def _summarise(
    faults: list[Fault], results: list[CallResult], trails: Trails
) -> Figures:
    return {
        'faults': Counter(f'{fault.group} {fault.kind}' for fault in faults),
        'calls': len(results),
        'calls_by_kind': Counter(result.request.kind for result in results),
        'verdicts': Counter(
            result.verdict or 'no answer' for result in results
        ),
        'statuses': Counter(str(result.status) for result in results),
        'reasons': dict(
            Counter(map(_describe_result, results)).most_common(
                MAX_LISTED_REASONS
            ),
        ),
        'audit_lines': sum(len(lines) for lines in trails.values()),
    }


def _describe_result(result: CallResult) -> str:
    if result.is_success:
        return 'success'
    try:
        code = msgspec.json.decode(result.text)['code']
    except (msgspec.DecodeError, KeyError):
        code = result.text
    return f'{result.status} {result.verdict} {code}'


if __name__ == '__main__':
    run_as_program(run)
