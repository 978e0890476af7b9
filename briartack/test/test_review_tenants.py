"""Tests of faults in the caps of tenants that a review found."""

import unittest
from typing import Final

from briartack.core import events
from briartack.core.units import CallId
from briartack.credentials import digest_key
from briartack.test.tenant_fleet import TenantFleet, tenant

ALL: Final = ('m0', 'm1')


def find_daemons(fleet: TenantFleet) -> tuple[str, str]:
    """Return the holder of the tenant and another daemon."""
    caps = fleet.states['m0'].calls.caps
    held_by = caps._holders.find('op/t')
    assert held_by is not None
    holder = str(held_by.instance)
    return holder, next(name for name in ALL if name != holder)


def start_fleet(rate: float, burst: float) -> TenantFleet:
    """Start two daemons whose buckets have filled."""
    resource = tenant('t', 'k', rate_per_s=rate, burst=burst)
    fleet = TenantFleet(size=len(ALL), resources=(resource,))
    fleet.run_until(fleet.now + 4)
    return fleet


def call_with_idempotency_key(
    fleet: TenantFleet, name: str, call_id: str, deadline_ms: float
) -> None:
    """Make a call that may repeat one that has run."""
    arrived = events.CallArrived(
        now=fleet.now,
        call_id=CallId(call_id),
        method='GET',
        target='/main/x',
        headers=(),
        key_digest=digest_key(b'k'),
        idempotency_key='repeated',
        body_bytes=0,
        deadline_ms=deadline_ms,
    )
    fleet.apply(name, arrived)


class ChangedCapTest(unittest.TestCase):
    def test_removed_cap_is_granted_to_daemons_with_the_former(self) -> None:
        """Guard against an error at a holder whose version has no cap."""
        fleet = start_fleet(20, 20)
        holder, caller = find_daemons(fleet)
        fleet.publish(tenant('t', 'k'), to=(holder,))
        for number in range(50):
            fleet.call(caller, f'c{number}', key='k')
        fleet.run_until(fleet.now + 1)
        self.assertEqual(fleet.count_answers(200), 50)

    def test_raised_cap_ends_refusals(self) -> None:
        """Guard against refusals below a cap, for the wait of a lower one."""
        fleet = start_fleet(0.02, 1)
        _, caller = find_daemons(fleet)
        fleet.run_until(fleet.now + 60)
        for number in range(3):
            fleet.call(caller, f'c{number}', key='k')
        fleet.run_until(fleet.now + 0.5)
        self.assertEqual(fleet.count_answers(429), 2)
        # The holder names the wait of the former cap until it has the version.
        raised = tenant('t', 'k', rate_per_s=20, burst=20)
        fleet.publish(raised, to=(caller,))
        fleet.call(caller, 'early', key='k')
        fleet.run_until(fleet.now + 0.2)
        fleet.publish(raised)
        fleet.run_until(fleet.now + 2)
        fleet.call(caller, 'late', key='k')
        fleet.run_until(fleet.now + 0.5)
        self.assertEqual(fleet.answers['late'].status, 200)

    def test_lowered_cap_binds_for_slow_bodies(self) -> None:
        """Guard against a bucket that fills by the cap of earlier calls."""
        fleet = TenantFleet(
            resources=(tenant('t', 'k', rate_per_s=200, burst=400),)
        )
        fleet.run_until(fleet.now + 4)
        ids = [f'c{number}' for number in range(200)]
        for call_id in ids:
            fleet.call('m0', call_id, key='k', path='/slow/x', body_bytes=9)
        fleet.publish(tenant('t', 'k', rate_per_s=2, burst=2))
        fleet.run_until(fleet.now + 1)
        lowered_at = fleet.now
        for call_id in ids:
            fleet.read_body('m0', call_id, 9)
            fleet.run_until(fleet.now + 0.05)
        bound = (2 * 5 + 2) * 1.25 + 20
        self.assertEqual(fleet.list_excesses('t', bound, lowered_at), [])
        self.assertGreater(fleet.count_answers(200), 9)

    def test_removed_cap_refuses_no_slow_body(self) -> None:
        """Guard against a refusal by a cap that is no longer in force."""
        fleet = TenantFleet(
            resources=(tenant('t', 'k', rate_per_s=1, burst=20),)
        )
        fleet.run_until(fleet.now + 25)
        ids = [f'c{number}' for number in range(15)]
        for call_id in ids:
            fleet.call('m0', call_id, key='k', path='/slow/x', body_bytes=9)
        fleet.publish(tenant('t', 'k'))
        fleet.run_until(fleet.now + 1)
        for call_id in ids:
            fleet.read_body('m0', call_id, 9)
        fleet.run_until(fleet.now + 1)
        self.assertEqual(fleet.count_answers(200), len(ids))

    def test_removed_cap_refuses_no_waiting_call(self) -> None:
        """Guard against a refusal by a cap that went during the wait."""
        fleet = start_fleet(1, 0)
        holder, caller = find_daemons(fleet)
        fleet.frozen.add(holder)
        for number in range(9):
            fleet.call(caller, f'c{number}', key='k')
        fleet.publish(tenant('t', 'k'), to=(caller,))
        fleet.run_until(fleet.now + 0.05)
        self.assertEqual(len(fleet.answers), 0)
        fleet.run_until(fleet.now + 0.5)
        reasons = {answer.reason for answer in fleet.answers.values()}
        self.assertEqual(len(fleet.answers), 9)
        self.assertNotIn('no-cap-holder', reasons)


class IdempotencyKeyTest(unittest.TestCase):
    def test_repeat_beyond_the_cap_is_not_said_to_have_not_run(self) -> None:
        """Guard against a 429 for a request that may have run before."""
        fleet = start_fleet(1, 1)
        holder, _ = find_daemons(fleet)
        fleet.call(holder, 'first', key='k')
        call_with_idempotency_key(fleet, holder, 'repeat', 1000)
        fleet.run_until(fleet.now + 0.5)
        answer = fleet.answers['repeat']
        self.assertEqual(answer.reason, 'beyond-cap')
        self.assertEqual(answer.verdict.value, 'unknown')
        self.assertEqual(answer.status, 502)

    def test_ended_call_waits_for_no_token(self) -> None:
        """Guard against tokens for calls that ended while they waited."""
        fleet = start_fleet(20, 20)
        holder, caller = find_daemons(fleet)
        fleet.frozen.add(holder)
        call_with_idempotency_key(fleet, caller, 'c', 30)
        fleet.run_until(fleet.now + 0.5)
        self.assertIn('c', fleet.answers)
        leases = fleet.states[caller].calls.caps.leases
        self.assertEqual([len(lease.waiting) for lease in leases], [0])


class CallOfRunTest(unittest.TestCase):
    def test_run_is_known_after_another_of_the_same_id(self) -> None:
        """Guard against a refused call of a run whose id another run had."""
        fleet = TenantFleet(resources=(tenant('t', 'k'),))
        fleet.run_until(fleet.now + 1)
        fleet.run_seconds = 0.3
        fleet.call('m0', 'first', key='k', request_id='r')
        fleet.run_until(fleet.now + 0.2)
        fleet.call('m0', 'second', key='k', request_id='r')
        fleet.run_until(fleet.now + 0.2)
        self.assertEqual(set(fleet.answers), {'first'})
        fleet.call('m0', 'nested', request_id='r.1')
        fleet.run_until(fleet.now + 0.5)
        self.assertEqual(fleet.answers['nested'].status, 200)
