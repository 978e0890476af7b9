"""Tests of what operators see of load: status and explanation."""

import pickle  # noqa: S403
import unittest
from typing import Any

from briartack.core import events
from briartack.core.calls.call_rules import CallRules
from briartack.core.messages import Attempt
from briartack.core.reducer import make_call_context
from briartack.core.state import State
from briartack.core.status import describe
from briartack.core.units import AttemptId, Digest, InstanceId
from briartack.test.tenant_fleet import ROUTES, SERVICE, TenantFleet
from briartack.test.test_expected_times import make_answer

BODY_BYTES = 8000


def make_fleet() -> TenantFleet:
    """Make three daemons; `m0` and `m2` are in one data centre."""
    fleet = TenantFleet(size=3, resources=(ROUTES[0],))
    fleet.run_until(fleet.now + 3)
    return fleet


def state_times(state: State, instance: str, **stated: Any) -> None:
    """Record a statement of an owner at a daemon."""
    state.calls.sender.chooser.expected_times.record_answer(
        make_call_context(state),
        state.last_event_at,
        InstanceId(instance),
        make_answer(**stated),
        None,
    )


def make_attempt(state: State, number: int) -> Attempt:
    """Make the head of an attempt whose body needs a grant."""
    return Attempt(
        attempt_id=AttemptId(f'm1.m1.1.{number}'),
        owner_incarnation=state.identity.incarnation,
        owner_clock=state.last_event_at,
        remaining_ms=5000,
        service=SERVICE,
        method='POST',
        target='/main/x',
        headers=(),
        body_bytes=BODY_BYTES,
        body_digest=Digest(b''),
        interactive=True,
        awaits_grant=True,
    )


def encode_choice_state(state: State) -> bytes:
    """Encode all that choices depend on, to compare it."""
    calls = state.calls
    expected_times = calls.sender.chooser.expected_times
    return pickle.dumps(
        (expected_times, calls.endpoints, calls.owner.upstream, state.random)
    )


class StatusTest(unittest.TestCase):
    def test_status_shows_load_waits_and_room(self) -> None:
        """Guard against a status that hides which service lacks room."""
        state = make_fleet().states['m0']
        state_times(state, 'm1', wait_seconds=0.3, slowdown=2, run_seconds=0.04)
        state_times(
            state, 'm2', wait_seconds=0.1, body_wait_seconds=0.5, run_seconds=0
        )
        endpoint = state.calls.endpoints.get(InstanceId('m2'))
        assert endpoint is not None
        endpoint.record_load(0.6, 0.04, state.last_event_at)
        services: Any = describe(state)['services']
        self.assertEqual(
            services,
            {
                SERVICE: {
                    'instances': 3,
                    'reachable': 3,
                    'in_flight': 0,
                    'is_away': False,
                    'free_slots': 2400,
                    'load': 0.2,
                    'slowdown': 1.5,
                    'wait_ms': 200,
                    'smallest_wait_ms': 100,
                    'body_wait_ms': 250,
                    'run_ms': 40,
                }
            },
        )

    def test_status_changes_no_state(self) -> None:
        """Guard against a status that changes later choices."""
        fleet = make_fleet()
        state = fleet.states['m0']
        state_times(state, 'm1', wait_seconds=0.3)
        fleet.run_until(fleet.now + 1)
        before = encode_choice_state(state)
        describe(state)
        self.assertEqual(encode_choice_state(state), before)

    def test_status_shows_the_bodies_of_its_upstream(self) -> None:
        """Guard against uploads that wait for a grant unseen."""
        fleet = make_fleet()
        state = fleet.states['m0']
        state.calls.replace_rules(CallRules(link_bytes_per_second=100_000), 5)
        for number in range(3):
            fleet.apply(
                'm0',
                events.PeerMessageReceived(
                    now=fleet.now,
                    peer=InstanceId('m1'),
                    message=make_attempt(state, number),
                ),
            )
        described: Any = describe(state)['upstream']
        self.assertEqual(
            described['bodies'],
            {
                'waiting': 2,
                'waiting_bytes': 2 * BODY_BYTES,
                'in_flight': 1,
                'in_flight_bytes': BODY_BYTES,
            },
        )
        self.assertEqual((described['slowdown'], described['wait_ms']), (0, 0))
