"""Tests of faults with real processes.

They check what a simulated fleet cannot show: signals, sockets and stopped
processes. Every wait is for a condition.
"""

import json
import signal
import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import gevent

from briartack.core.units import Era, place_in_era
from standins.client import Answer, call
from standins.deployment import DEFAULT_OPTIONS, Deployment
from standins.deployment_plans import plan_generated
from standins.deployment_site import DeploymentOptions

LIMIT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.05
# Longer than the gap after which a daemon no longer trusts its own state.
PAUSE_SECONDS: Final = 2.5
CALLER_COUNT: Final = 6
CALLS_AFTER_STOP: Final = 60
READ_PATH: Final = '/svc-1/read/x'
WRITE_PATH: Final = '/svc-1/write/x'
SLOW_UPSTREAMS: Final = DeploymentOptions(
    upstream_flags=('--service-ms', '50'),
)
Status = dict[str, Any]


def wait_until(is_done: Callable[[], bool], goal: str) -> None:
    """Wait for a condition.

    Raises AssertionError if the condition does not hold within the limit.
    """
    limit = time.monotonic() + LIMIT_SECONDS
    while not is_done():
        if time.monotonic() > limit:
            raise AssertionError(f'not within {LIMIT_SECONDS} s: {goal}')
        gevent.sleep(POLL_SECONDS)


@contextmanager
def running_fleet(
    regions: int = 1,
    options: DeploymentOptions = DEFAULT_OPTIONS,
) -> Iterator[Deployment]:
    """Run two data centres with a daemon for each of two services."""
    plan = plan_generated(
        regions=regions,
        data_centres=2 // regions,
        daemons_per_data_centre=2,
        services=2,
    )
    with Deployment(plan, options) as deployment:
        yield deployment


def publish_change(deployment: Deployment) -> int:
    """Add a policy to the team in the store and return the revision."""
    text = deployment.site.plan.tree['teams/generated']
    team = json.loads(text)
    team['policies'][f'p{time.monotonic_ns()}'] = {'timeout_ms': 100}
    return deployment.put('teams/generated', json.dumps(team))


def store_revision(deployment: Deployment) -> int:
    """Return the revision of the store."""
    return int(deployment.control_store('stats')['revision'])


def status_of(deployment: Deployment, name: str) -> Status | None:
    """Return the status of a daemon, or `None` if no answer arrives."""
    try:
        return deployment.status(name)
    except OSError:
        return None


def watchers(deployment: Deployment) -> list[str]:
    """Return the names of the daemons that watch the store."""
    return [
        name
        for name in deployment.site.instance_sites
        if (status := status_of(deployment, name)) is not None
        and status['dissemination']['watches_store']
    ]


def has_revision(deployment: Deployment, name: str, revision: int) -> bool:
    """Return whether a daemon holds a revision or a newer one."""
    status = status_of(deployment, name)
    return status is not None and int(status['highest']) >= revision


def recorded_revisions(deployment: Deployment, name: str) -> list[int]:
    """Return the revisions of a daemon's audit trail, in order."""
    lines = (
        deployment.get_daemon_process(name)
        .stdout.read_text('utf-8')
        .splitlines()
    )
    records = [json.loads(line) for line in lines]
    return [
        record['highest']
        for record in records
        if record.get('kind') in {'configuration', 'held'}
    ]


def is_new_era_read(deployment: Deployment) -> bool:
    """Return whether a daemon has logged that the store was restored."""
    return any(
        'store-era' in deployment.get_daemon_process(name).stderr.read_text()
        for name in deployment.site.instance_sites
    )


def begin_outage(deployment: Deployment) -> None:
    """Let the store refuse connections, and wait until reads fail."""
    deployment.control_store('outage', mode='refuse')
    wait_until(lambda: not is_store_answering(deployment), 'the store refuses')


def is_store_answering(deployment: Deployment) -> bool:
    """Return whether the store answers a read."""
    try:
        call(deployment.site.store_address, 'GET', '/v1/entries?prefix=none')
    except OSError:
        return False
    return True


def kill_watcher(deployment: Deployment) -> None:
    """Kill a daemon that watches the store."""
    wait_until(lambda: bool(watchers(deployment)), 'a daemon watches the store')
    deployment.kill(watchers(deployment)[0])


class StoreFaultsTest(unittest.TestCase):
    def test_change_is_in_force_after_kill_of_watcher(self) -> None:
        """Guard against a fleet that depends on the watch of one daemon."""
        with running_fleet() as deployment:
            kill_watcher(deployment)
            deployment.wait_until_in_force(
                publish_change(deployment), LIMIT_SECONDS
            )

    def test_calls_are_served_during_store_outage(self) -> None:
        """Guard against calls that need the store.

        A change made during the outage must be in force afterwards.
        """
        with running_fleet(regions=2) as deployment:
            begin_outage(deployment)
            revision = publish_change(deployment)
            for name in deployment.site.instance_sites:
                answer = deployment.call(name, 'GET', READ_PATH)
                self.assertEqual((answer.status, answer.verdict), (200, 'ran'))
                self.assertFalse(has_revision(deployment, name, revision))
            deployment.control_store('outage', mode='')
            deployment.wait_until_in_force(revision, LIMIT_SECONDS)

    def test_watcher_is_replaced_during_store_outage(self) -> None:
        """Guard against a new watcher that gives up while the store is down."""
        with running_fleet() as deployment:
            begin_outage(deployment)
            kill_watcher(deployment)
            wait_until(
                lambda: bool(watchers(deployment)), 'another daemon watches'
            )
            revision = publish_change(deployment)
            deployment.control_store('outage', mode='')
            deployment.wait_until_in_force(revision, LIMIT_SECONDS)

    # Guards against changes that are in force nowhere after the store came back
    # from a copy, in a dialect that states no order of versions.
    def test_change_is_in_force_after_the_store_was_restored(self) -> None:
        with running_fleet() as deployment:
            copied = publish_change(deployment)
            for _ in range(3):
                lost = publish_change(deployment)
            deployment.wait_until_in_force(lost, LIMIT_SECONDS)
            deployment.control_store('restore', revision=copied, seconds=0.2)
            wait_until(
                lambda: store_revision(deployment) > copied,
                'the lost change is written again',
            )
            # Before that, a version whose number the copy had used is refused
            # as outdated, because this dialect states no order of versions.
            wait_until(
                lambda: is_new_era_read(deployment),
                'a daemon reads the restored store',
            )
            revision = publish_change(deployment)
            self.assertLessEqual(revision, lost)
            deployment.wait_until_in_force(
                place_in_era(Era(2), revision), LIMIT_SECONDS
            )


class PauseTest(unittest.TestCase):
    def test_resumed_daemon_applies_the_missed_change(self) -> None:
        """Guard against a daemon that resumes with the state before a pause."""
        with running_fleet() as deployment:
            wait_until(lambda: bool(watchers(deployment)), 'a daemon watches')
            frozen = watchers(deployment)[0]
            others = [
                name
                for name in deployment.site.instance_sites
                if name != frozen
            ]
            deployment.freeze(frozen)
            gevent.sleep(PAUSE_SECONDS)
            revision = publish_change(deployment)
            wait_until(
                lambda: all(
                    has_revision(deployment, name, revision) for name in others
                ),
                'the other daemons hold the change',
            )
            deployment.resume(frozen)
            wait_until(
                lambda: has_revision(deployment, frozen, revision), frozen
            )
            later = publish_change(deployment)
            deployment.wait_until_in_force(later, LIMIT_SECONDS)
            for checked in deployment.site.instance_sites:
                seen = recorded_revisions(deployment, checked)
                self.assertEqual(seen, sorted(seen))
                self.assertEqual(seen[-1], later)


class CallFaultsTest(unittest.TestCase):
    def test_cut_write_runs_once_and_is_unknown(self) -> None:
        """Guard against a second run of a request that is not repeatable.

        The upstream reads a purchase, runs it and cuts the connection.
        """
        owners = ('svc-1-1', 'svc-1-3')
        with running_fleet() as deployment:
            for upstream in owners:
                deployment.control_upstream(upstream, 'fault', kind='cut')
            answer = deployment.call(
                'svc-2-2',
                'POST',
                WRITE_PATH,
                headers={'X-Request-Id': 'purchase'},
                body=b'1',
            )
            runs = sum(
                deployment.control_upstream(owner, 'runs').get('purchase', 0)
                for owner in owners
            )
            self.assertEqual((answer.status, answer.verdict), (502, 'unknown'))
            self.assertEqual(runs, 1)

    def test_planned_stop_under_load_loses_no_request(self) -> None:
        """Guard against a planned stop that aborts or loses requests."""
        with running_fleet(options=SLOW_UPSTREAMS) as deployment:
            answers: list[Answer] = []
            wanted_count: list[int] = []

            def call_repeatedly() -> None:  # noqa: WPS430
                """Make calls until enough of them are answered."""
                while not wanted_count or len(answers) < wanted_count[0]:
                    answers.append(
                        deployment.call('svc-2-2', 'POST', WRITE_PATH)
                    )

            callers = [
                gevent.spawn(call_repeatedly) for _ in range(CALLER_COUNT)
            ]
            wait_until(
                lambda: len(answers) >= CALLS_AFTER_STOP, 'calls are answered'
            )
            stopped = deployment.get_daemon_process('svc-1-1')
            stopped.send_signal(signal.SIGTERM)
            self.assertEqual(stopped.wait(LIMIT_SECONDS), 0)
            wanted_count.append(len(answers) + CALLS_AFTER_STOP)
            gevent.joinall(callers, timeout=LIMIT_SECONDS, raise_error=True)
            outcomes = {(answer.status, answer.verdict) for answer in answers}
            self.assertEqual(outcomes, {(200, 'ran')})
            self.assertGreaterEqual(len(answers), wanted_count[0])
            stats = deployment.control_upstream('svc-1-1', 'stats')
            self.assertGreater(stats['runs'], 0)
