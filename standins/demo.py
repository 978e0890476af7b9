"""Demonstrate a deployment: calls, a changed setting, a data centre out.

The demo prints figures and exits with 0 only if every check passed.
"""

import signal
import sys
import time
import uuid
from collections.abc import Callable
from typing import Final, Literal, final

import defopt
import gevent
import msgspec

from briartack.core.entries import TEAM_PREFIX
from standins.client import call
from standins.control_client import DeploymentError
from standins.demo_targets import (
    find_home_region_target,
    find_non_repeatable_target,
    list_entrance_addresses,
    list_entrance_sites,
    list_unrestricted_targets,
)
from standins.deployment import Deployment
from standins.deployment_plans import Plan, plan_horas, plan_pacifico
from standins.load import LoadGenerator, LoadResult

PLAN_BUILDERS: Final[dict[str, Callable[[], Plan]]] = {
    'pacifico': plan_pacifico,
    'horas': plan_horas,
}
CALLS_PER_SECOND: Final = 60
STEADY_SECONDS: Final = 3.0
OUT_OF_SERVICE_SECONDS: Final = 4.0
MAX_ACTIVATION_SECONDS: Final = 4.0  # target in docs/design.md, section 1.6
MAX_LAST_RUN_SECONDS: Final = 3.0
POLL_SECONDS: Final = 0.2
OK_STATUS: Final = 200
FIRST_ERROR_STATUS: Final = 400
FORBIDDEN_STATUS: Final = 403


@final
class DemoReport:
    """Print the progress of the demo and collect failed checks."""

    __slots__ = ('_problems',)

    def __init__(self) -> None:
        self._problems: list[str] = []

    @property
    def problems(self) -> list[str]:
        """Return the failed checks so far."""
        return self._problems

    def print_line(self, text: str) -> None:
        """Print and flush a line."""
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()

    def record_check(self, text: str, *, has_passed: bool) -> None:
        """Print the result of a check and record a failed check."""
        self.print_line(f'  {"ok " if has_passed else "BAD"} {text}')
        if not has_passed:
            self._problems.append(text)


@final
class Demo:
    """Run the steps of the demo on a running deployment."""

    __slots__ = ('_deployment', '_report')

    def __init__(self, *, deployment: Deployment, report: DemoReport) -> None:
        self._deployment = deployment
        self._report = report

    def run(self) -> None:
        """Run all steps in order and report their results."""
        self._call_each_service()
        load = self._start_load()
        gevent.sleep(STEADY_SECONDS)
        self._change_setting()
        self._cycle_data_centre()
        result = load.stop()
        self._report_load(result)
        self._check_home_regions()
        self._check_idempotency_key()
        self._report_store()

    def _call_each_service(self) -> None:
        self._report.print_line('Each route from each region:')
        for target in list_unrestricted_targets(self._deployment):
            statuses = []
            for address in list_entrance_addresses(self._deployment):
                answer = call(
                    address,
                    target.method,
                    target.path,
                    body=target.body,
                )
                statuses.append(answer.status)
            self._report.record_check(
                f'{target.method} {target.path}: {statuses}',
                has_passed=set(statuses) == {OK_STATUS},
            )

    def _start_load(self) -> LoadGenerator:
        # Callers in the data centre that is taken out keep calling its daemons.
        calls = [
            target.create_call(instance_site.caller_address)
            for instance_site in self._deployment.site.instance_sites.values()
            for target in list_unrestricted_targets(self._deployment)
        ]
        load = LoadGenerator(calls=calls, per_second=CALLS_PER_SECOND)
        load.start()
        self._report.print_line(f'Load of {CALLS_PER_SECOND} calls/s started.')
        return load

    def _change_setting(self) -> None:
        key, text = _edit_team_settings(self._deployment)
        revision = self._deployment.put(key, text)
        self._check_activation(f'{key} changed', revision)

    def _check_activation(self, change: str, revision: int) -> None:
        try:
            seconds = self._deployment.wait_until_in_force(
                revision,
                MAX_ACTIVATION_SECONDS,
            )
        except DeploymentError as error:
            self._report.record_check(f'{change}: {error}', has_passed=False)
            return
        daemons = len(self._deployment.site.instance_sites)
        self._report.record_check(
            f'{change}: revision {revision} in force in all'
            f' {daemons} daemons after {seconds:.2f} s',
            has_passed=True,
        )

    def _cycle_data_centre(self) -> None:
        name = self._deployment.site.plan.data_centres[0]
        self._report.print_line(
            f'Data centre {name} is taken out and brought back:'
        )
        out_at = time.time()
        idle_seconds = out_at - self._find_last_run_time(name)
        self._report.record_check(
            f'{name}: last run began {idle_seconds:.2f} s before the change',
            has_passed=idle_seconds < STEADY_SECONDS,
        )
        revision = self._deployment.take_out_data_centre(name)
        self._check_activation(f'{name} out', revision)
        gevent.sleep(OUT_OF_SERVICE_SECONDS)
        last_run_seconds = max(0, self._find_last_run_time(name) - out_at)
        self._report.record_check(
            f'last run in {name} {last_run_seconds:.2f} s after the change',
            has_passed=last_run_seconds < MAX_LAST_RUN_SECONDS,
        )
        back_at = time.time()
        self._check_activation(
            f'{name} back', self._deployment.bring_back_data_centre(name)
        )
        gevent.sleep(STEADY_SECONDS)
        self._report.record_check(
            f'{name} runs new requests again',
            has_passed=self._find_last_run_time(name) > back_at,
        )

    def _find_last_run_time(self, data_centre: str) -> float:
        return max(
            float(
                self._deployment.control_upstream(name, 'stats')['last_run_at']
            )
            for name, instance in self._deployment.site.instance_sites.items()
            if instance.plan.data_centre == data_centre
        )

    def _report_load(self, result: LoadResult) -> None:
        self._report.print_line('Calls under load:')
        self._report.record_check(
            f'{result.total} calls: {result.ok} ok,'
            f' {result.refused} refused as not run, {result.failed} failed',
            has_passed=result.ok > 0 and not result.failed,
        )
        for failure in result.failures:
            self._report.print_line(f'      {failure}')
        self._report.print_line(
            f'      latency with the upstream: median'
            f' {result.latency_ms(50):.1f} ms, p99'
            f' {result.latency_ms(99):.1f} ms',
        )
        doubled = [
            name
            for name in self._deployment.site.instance_sites
            if self._deployment.control_upstream(name, 'stats')['doubled']
        ]
        self._report.record_check(
            f'upstreams that ran a request twice: {len(doubled)}',
            has_passed=not doubled,
        )

    def _check_home_regions(self) -> None:
        target = find_home_region_target(self._deployment)
        self._report.print_line(f'Home regions of {target.path}:')
        for instance_site in list_entrance_sites(self._deployment):
            answer = call(
                instance_site.caller_address,
                target.method,
                target.path,
                body=target.body,
            )
            is_home = instance_site.plan.region in target.home_regions
            expected = OK_STATUS if is_home else FORBIDDEN_STATUS
            homes = answer.headers.get('briartack-home-regions', '')
            self._report.record_check(
                f'from {instance_site.plan.region}: {answer.status}'
                f' {answer.verdict} {homes}',
                has_passed=answer.status == expected,
            )

    def _check_idempotency_key(self) -> None:
        target = find_non_repeatable_target(self._deployment)
        self._report.print_line(
            f'{target.method} {target.path} with an issued key:'
        )
        address = list_entrance_addresses(self._deployment)[0]
        issued = call(
            address,
            'POST',
            f'/.briartack/keys?service={target.service}',
        )
        self._report.record_check(
            f'key: {issued.status} {issued.body.decode()[:80]}',
            has_passed=issued.status < FIRST_ERROR_STATUS,
        )
        if issued.status >= FIRST_ERROR_STATUS:
            return
        headers = {
            'Idempotency-Key': str(issued.json()['key']),
            'X-Request-Id': f'purchase-{uuid.uuid4().hex}',
        }
        answers = [
            call(
                entrance,
                target.method,
                target.path,
                headers=headers,
                body=target.body,
            )
            for entrance in list_entrance_addresses(self._deployment)
        ]
        runs = sum(
            int(
                self._deployment.control_upstream(name, 'runs').get(
                    headers['X-Request-Id'],
                    0,
                )
            )
            for name in self._deployment.site.instance_sites
        )
        self._report.record_check(
            f'{len(answers)} repeats in {len(answers)} regions:'
            f' {[answer.status for answer in answers]}, runs: {runs}',
            has_passed=runs == 1
            and len({answer.body for answer in answers}) == 1,
        )

    def _report_store(self) -> None:
        stats = self._deployment.control_store('stats')
        self._report.print_line(
            f'Store: at most {stats["peak_calls_per_second"]} calls/s,'
            f' {stats["calls_refused"]} refused,'
            f' {stats["bytes_out"]} bytes out.',
        )


def _edit_team_settings(deployment: Deployment) -> tuple[str, str]:
    key = next(
        key for key in deployment.site.plan.tree if key.startswith(TEAM_PREFIX)
    )
    path = deployment.site.tree / f'{key}.json'
    team = msgspec.json.decode(path.read_bytes())
    for policy in team['policies'].values():
        policy['timeout_ms'] += 1
    return key, msgspec.json.format(msgspec.json.encode(team)).decode()


def _watch_revisions(deployment: Deployment, report: DemoReport) -> None:
    site = deployment.site
    report.print_line(
        f'The settings are in {site.tree}; edit a file and read /status:'
    )
    for name, instance_site in site.instance_sites.items():
        report.print_line(
            f'  {name:12} {instance_site.plan.data_centre:10}'
            f' callers http://{instance_site.caller_address}'
            f' operators http://{instance_site.operator_address}/status',
        )
    report.print_line('Press Ctrl-C to stop all processes.')
    seen = 0
    while True:
        gevent.sleep(POLL_SECONDS)
        revision = int(deployment.control_store('stats')['revision'])
        if seen and revision > seen:
            report.print_line(f'The store is at revision {revision}.')
        seen = revision


def _raise_interrupt(_number: int, _frame: object) -> None:
    raise KeyboardInterrupt


def run(
    *,
    deployment: Literal['pacifico', 'horas'] = 'pacifico',
    hold: bool = False,
) -> None:
    """Start a deployment, demonstrate it and stop it.

    :param deployment: name of the deployment to start
    :param hold: keep running until Ctrl-C, so that settings can be edited
    """
    # Shells start background jobs with SIGINT ignored.
    signal.signal(signal.SIGINT, _raise_interrupt)
    signal.signal(signal.SIGTERM, _raise_interrupt)
    report = DemoReport()
    started = time.monotonic()
    try:
        with Deployment(PLAN_BUILDERS[deployment]()) as running:
            report.print_line(
                f'{len(running.site.instance_sites)} daemons ready after'
                f' {time.monotonic() - started:.1f} s.',
            )
            Demo(deployment=running, report=report).run()
            if hold:
                _watch_revisions(running, report)
    except KeyboardInterrupt:
        report.print_line('Interrupted.')
    except DeploymentError as error:
        report.record_check(str(error), has_passed=False)
    report.print_line(
        f'{len(report.problems)} problems,'
        f' {time.monotonic() - started:.0f} s in total; all processes stopped.',
    )
    sys.exit(1 if report.problems else 0)


if __name__ == '__main__':
    defopt.run(run)
