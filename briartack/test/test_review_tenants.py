"""Tests of faults in the caps of tenants that a review found."""

import unittest
from typing import Final

from briartack.test.tenant_fleet import TenantFleet, tenant

ALL: Final = ('m0', 'm1')


def find_daemons(fleet: TenantFleet) -> tuple[str, str]:
    """Return the holder of the tenant and another daemon."""
    held_by = fleet.states['m0'].calls.caps._holders.find('op/t')
    assert held_by is not None
    holder = str(held_by.instance)
    return holder, next(name for name in ALL if name != holder)


def start_fleet(rate: float, burst: float) -> TenantFleet:
    """Start two daemons whose buckets have filled."""
    resource = tenant('t', 'k', rate_per_s=rate, burst=burst)
    fleet = TenantFleet(size=len(ALL), resources=(resource,))
    fleet.run_until(fleet.now + 4)
    return fleet


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
