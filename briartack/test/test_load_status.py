"""Tests of what operators see of load: status and explanation."""

import pickle  # noqa: S403
import unittest
from typing import Any

from nose2.tools import params

from briartack.core import events
from briartack.core.calls.call_rules import CallRules
from briartack.core.explanation import explain
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


def list_receivers(fleet: TenantFleet) -> list[str]:
    """Return the daemons to which attempts were sent, in order."""
    return [
        peer for _, peer, message in fleet.sent if isinstance(message, Attempt)
    ]


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


class ExplanationTest(unittest.TestCase):
    # Each row: waits that the daemons of the own data centre and the far one
    # state, the expected completion at these, and the outcome.
    @params(
        (
            (0.1, 0),
            (140, 64),
            'm2 in the data centre, in 140 ms: the earlier of two; '
            'calls stay there up to 250 of 500 ms',
            ['m2'],
        ),
        (
            (0.4, 0),
            (440, 64),
            'm1 in the fleet, in 64 ms: the data centre needs 440 ms, and '
            'calls stay there up to 250 of 500 ms',
            ['m1'],
        ),
        (
            (0.4, 0.45),
            (440, 514),
            'm2 in the data centre, in 440 ms: calls stay there up to 250 of '
            '500 ms, but no farther scope is earlier by more than its round '
            'trip and in time',
            ['m2'],
        ),
        (
            (9, 9),
            (9040, 9064),
            'refused: no endpoint would complete by the deadline',
            [],
        ),
    )
    def test_explanation_states_times_and_reason(
        self,
        waits: tuple[float, float],
        totals: tuple[int, int],
        outcome: str,
        chosen: list[str],
    ) -> None:
        """Guard against an explanation that differs from the choice."""
        fleet = make_fleet()
        state = fleet.states['m0']
        state.calls.owner.upstream.health.mark_down()
        near_wait, far_wait = waits
        state_times(state, 'm2', wait_seconds=near_wait, run_seconds=0.04)
        state_times(state, 'm1', wait_seconds=far_wait, run_seconds=0.04)
        before = encode_choice_state(state)
        explained: Any = explain(state, 'GET', '/main/x', '')
        self.assertEqual(encode_choice_state(state), before)
        self.assertEqual(explained['outcome'], outcome)
        expected = {
            one['instance']: one['expected']['total_ms']
            for one in explained['endpoints']
            if not one['excluded']
        }
        self.assertEqual((expected['m2'], expected['m1']), totals)
        self.assertNotIn('m0', expected)
        fleet.sent.clear()
        fleet.call('m0', 'c1')
        self.assertEqual(list_receivers(fleet), chosen)

    def test_body_that_needs_a_grant_has_its_part(self) -> None:
        """Guard against an upload explained as if it had no body."""
        state = make_fleet().states['m0']
        state_times(state, 'm2', body_wait_seconds=0.2)
        times = state.calls.sender.chooser.expected_times.get(SERVICE)
        assert times is not None
        times.ungranted_body_bytes = BODY_BYTES - 1
        state.rules = CallRules(link_bytes_per_second=100_000)
        for size, body_ms in ((0, 0), (BODY_BYTES, 280)):
            explained: Any = explain(state, 'GET', '/main/x', '', size)
            expected = {
                one['instance']: one['expected']['body_ms']
                for one in explained['endpoints']
            }
            self.assertEqual(expected['m2'], body_ms)
            self.assertEqual(expected['m0'], 0)

    # Each row: waits for a grant at the near and the far owner, and the choice.
    @params(
        (0, 0, ['m2']),
        (0.45, 0, ['m1']),
        (9, 9, []),
    )
    def test_upload_is_explained_as_it_is_chosen(
        self, near_wait: float, far_wait: float, chosen: list[str]
    ) -> None:
        """Guard against an explanation that ignores the waits for grants."""
        fleet = make_fleet()
        state = fleet.states['m0']
        state.calls.owner.upstream.health.mark_down()
        for peer, wait in (('m2', near_wait), ('m1', far_wait)):
            state_times(state, peer, body_wait_seconds=wait)
            endpoint = state.calls.endpoints.get(InstanceId(peer))
            assert endpoint is not None
            endpoint.ungranted_body_bytes = BODY_BYTES - 1
            endpoint.body_wait.record(wait, (True, 0), fleet.now)
        before = encode_choice_state(state)
        explained: Any = explain(state, 'GET', '/main/x', '', BODY_BYTES)
        self.assertEqual(encode_choice_state(state), before)
        expected = chosen[0] if chosen else 'refused: no endpoint would get'
        self.assertTrue(explained['outcome'].startswith(expected), explained)
        fleet.sent.clear()
        fleet.call('m0', 'c1', body_bytes=BODY_BYTES)
        fleet.read_body('m0', 'c1', BODY_BYTES)
        self.assertEqual(list_receivers(fleet), chosen)

    def test_choice_by_load_has_no_times(self) -> None:
        """Guard against times for a service whose owners state none."""
        explained: Any = explain(
            make_fleet().states['m0'], 'GET', '/main/x', ''
        )
        self.assertIn('the less loaded of two', explained['outcome'])
        for endpoint in explained['endpoints']:
            self.assertIsNone(endpoint['expected'])

    @params(
        (False, 'the list does not have its upstream in this service'),
        (True, ''),
    )
    def test_upstream_that_is_not_verified_is_named(
        self, is_verified: bool, excluded: str
    ) -> None:
        """Guard against an upstream that is excluded without its reason."""
        state = make_fleet().states['m0']
        state.replace_rules(CallRules(requires_identity=True), 1)
        health = state.calls.owner.upstream.health
        health.update_identity('i-1')
        health.verify(is_own_service=is_verified)
        explained: Any = explain(state, 'GET', '/main/x', '')
        found = [
            one['excluded'] for one in explained['endpoints'] if one['is_own']
        ]
        self.assertEqual(found, [excluded])
