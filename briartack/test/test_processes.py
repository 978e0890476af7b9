"""A few faults with real processes; every wait is for a condition."""

import json
import signal
import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import gevent

from standins.client import Answer, call
from standins.deployment import DEFAULT_OPTIONS, Deployment
from standins.plans import generated
from standins.wiring import DeploymentOptions

LIMIT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.05
# More than the gap after which a daemon does not trust its own view.
PAUSE_SECONDS: Final = 2.5
CALLERS: Final = 6
CALLS_AFTER_STOP: Final = 60
READ: Final = '/svc-1/read/x'
WRITE: Final = '/svc-1/write/x'
SLOW_UPSTREAMS: Final = DeploymentOptions(
    upstream_flags=('--service-ms', '50'),
)
Status = dict[str, Any]


def until(is_done: Callable[[], bool], goal: str) -> None:
    """Wait for a condition; raise AssertionError when the time is over."""
    limit = time.monotonic() + LIMIT_SECONDS
    while not is_done():
        if time.monotonic() > limit:
            raise AssertionError(f'not within {LIMIT_SECONDS} s: {goal}')
        gevent.sleep(POLL_SECONDS)


@contextmanager
def fleet(
    regions: int = 1,
    options: DeploymentOptions = DEFAULT_OPTIONS,
) -> Iterator[Deployment]:
    """Run two data centres with two daemons each, one of each service."""
    plan = generated(
        regions=regions,
        data_centres=2 // regions,
        daemons_per_data_centre=2,
        services=2,
    )
    with Deployment(plan, options) as deployment:
        yield deployment


def publish(deployment: Deployment) -> int:
    """Edit the team in the store and return the revision."""
    text = deployment.site.plan.tree['teams/generated']
    team = json.loads(text)
    team['policies'][f'p{time.monotonic_ns()}'] = {'timeout_ms': 100}
    return deployment.put('teams/generated', json.dumps(team))


def status_of(deployment: Deployment, name: str) -> Status | None:
    """Return the status of a daemon, nothing if it does not answer."""
    try:
        return deployment.status(name)
    except OSError:
        return None


def watchers(deployment: Deployment) -> list[str]:
    """Name the daemons that watch the store."""
    return [
        name
        for name in deployment.site.wirings
        if (status := status_of(deployment, name)) is not None
        and status['dissemination']['watches_store']
    ]


def holds(deployment: Deployment, name: str, revision: int) -> bool:
    """Tell whether a daemon holds a revision."""
    status = status_of(deployment, name)
    return status is not None and int(status['highest']) >= revision


def held_revisions(deployment: Deployment, name: str) -> list[int]:
    """Read from its audit trail what a daemon held, in order."""
    lines = deployment.child(name).stdout.read_text('utf-8').splitlines()
    records = [json.loads(line) for line in lines]
    return [
        record['highest']
        for record in records
        if record.get('kind') in {'configuration', 'held'}
    ]


def begin_outage(deployment: Deployment) -> None:
    """Stop the store and wait until it is gone."""
    deployment.control_store('outage', mode='refuse')
    until(lambda: not store_answers(deployment), 'the store refuses')


def store_answers(deployment: Deployment) -> bool:
    """Tell whether the store answers a read."""
    try:
        call(deployment.site.store_address, 'GET', '/v1/entries?prefix=none')
    except OSError:
        return False
    return True


def kill_watcher(deployment: Deployment) -> None:
    """End the daemon that watches the store."""
    until(lambda: bool(watchers(deployment)), 'a daemon watches the store')
    deployment.kill(watchers(deployment)[0])


class StoreFaultsTest(unittest.TestCase):
    def test_change_after_kill_of_watcher(self) -> None:
        """Guards against a fleet that depends on one daemon's watch."""
        with fleet() as deployment:
            kill_watcher(deployment)
            deployment.wait_until_in_force(publish(deployment), LIMIT_SECONDS)

    def test_calls_during_store_outage(self) -> None:
        """Guards against calls or later changes that need the store."""
        with fleet(regions=2) as deployment:
            begin_outage(deployment)
            revision = publish(deployment)
            for name in deployment.site.wirings:
                answer = deployment.call(name, 'GET', READ)
                self.assertEqual((answer.status, answer.verdict), (200, 'ran'))
                self.assertFalse(holds(deployment, name, revision))
            deployment.control_store('outage', mode='')
            deployment.wait_until_in_force(revision, LIMIT_SECONDS)

    def test_outage_and_kill_of_watcher_at_once(self) -> None:
        """Guards against a successor that gives up while the store is down."""
        with fleet() as deployment:
            begin_outage(deployment)
            kill_watcher(deployment)
            until(lambda: bool(watchers(deployment)), 'another daemon watches')
            revision = publish(deployment)
            deployment.control_store('outage', mode='')
            deployment.wait_until_in_force(revision, LIMIT_SECONDS)


class PauseTest(unittest.TestCase):
    def test_resumed_daemon_takes_the_change(self) -> None:
        """Guards against a daemon that resumes with its old view."""
        with fleet() as deployment:
            until(lambda: bool(watchers(deployment)), 'a daemon watches')
            frozen = watchers(deployment)[0]
            others = [
                name for name in deployment.site.wirings if name != frozen
            ]
            deployment.freeze(frozen)
            gevent.sleep(PAUSE_SECONDS)
            revision = publish(deployment)
            until(
                lambda: all(
                    holds(deployment, name, revision) for name in others
                ),
                'the other daemons hold the change',
            )
            deployment.resume(frozen)
            until(lambda: holds(deployment, frozen, revision), frozen)
            later = publish(deployment)
            deployment.wait_until_in_force(later, LIMIT_SECONDS)
            for checked in deployment.site.wirings:
                seen = held_revisions(deployment, checked)
                self.assertEqual(seen, sorted(seen))
                self.assertEqual(seen[-1], later)


class CallFaultsTest(unittest.TestCase):
    def test_cut_after_purchase_was_read(self) -> None:
        """Guards against a second run of what may not be repeated."""
        owners = ('svc-1-1', 'svc-1-3')
        with fleet() as deployment:
            for upstream in owners:
                deployment.control_upstream(upstream, 'fault', kind='cut')
            answer = deployment.call(
                'svc-2-2',
                'POST',
                WRITE,
                headers={'X-Request-Id': 'purchase'},
                body=b'1',
            )
            runs = sum(
                deployment.control_upstream(owner, 'runs').get('purchase', 0)
                for owner in owners
            )
            self.assertEqual((answer.status, answer.verdict), (502, 'unknown'))
            self.assertEqual(runs, 1)

    def test_graceful_stop_under_load(self) -> None:
        """Guards against a planned stop that cuts or loses requests."""
        with fleet(options=SLOW_UPSTREAMS) as deployment:
            answers: list[Answer] = []
            wanted: list[int] = []

            def call_on() -> None:  # noqa: WPS430
                while not wanted or len(answers) < wanted[0]:
                    answers.append(deployment.call('svc-2-2', 'POST', WRITE))

            callers = [gevent.spawn(call_on) for _ in range(CALLERS)]
            until(lambda: len(answers) >= CALLS_AFTER_STOP, 'calls flow')
            stopped = deployment.child('svc-1-1')
            stopped.send(signal.SIGTERM)
            self.assertEqual(stopped.wait(LIMIT_SECONDS), 0)
            wanted.append(len(answers) + CALLS_AFTER_STOP)
            gevent.joinall(callers, timeout=LIMIT_SECONDS, raise_error=True)
            outcomes = {(answer.status, answer.verdict) for answer in answers}
            self.assertEqual(outcomes, {(200, 'ran')})
            self.assertGreaterEqual(len(answers), wanted[0])
            stats = deployment.control_upstream('svc-1-1', 'stats')
            self.assertGreater(stats['runs'], 0)
