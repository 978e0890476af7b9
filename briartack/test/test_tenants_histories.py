"""Property tests of the caps: random histories, with the bound as property.

The search is derandomised, so that each run has the same result.
"""

import unittest
from collections.abc import Callable
from functools import partial
from typing import Any, Final, TypeAlias
from unittest.mock import patch

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from briartack.core.tenants.cap_bucket import (
    LEASE_SECONDS,
    CapBucket,
    compute_capacity,
)
from briartack.core.tenants.cap_fallback import (
    FALLBACK_RATIO,
    WINDOW_SECONDS,
    compute_share,
)
from briartack.core.tenants.cap_lease import CapLease
from briartack.core.tenants.holders import HolderTable
from briartack.core.tenants.tenant_table import ResolvedTenant
from briartack.core.units import CallId, InstanceId
from briartack.test.call_path_bench import FakeMember
from briartack.test.tenant_fleet import TenantFleet
from briartack.test.test_tenants_caps import (
    ALL,
    BOUND,
    RATE,
    capped,
    start_fleet,
)

OPERATIONS: Final = st.lists(
    st.tuples(st.floats(0, 0.6), *(st.integers(0, 60) for _ in range(3))),
    max_size=40,
)
PROPERTY: Final = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    suppress_health_check=[HealthCheck.too_slow],
)
FLEET_PROPERTY: Final = settings(PROPERTY, max_examples=60)


def make_tenant(rate: float, burst: float) -> ResolvedTenant:
    """Return a tenant with a cap."""
    return ResolvedTenant(
        name='op/t',
        title='t',
        header='t',
        rank=0,
        calls_per_second=rate,
        burst=burst,
        home_regions=None,
    )


def flood_one(fleet: TenantFleet, number: int, pause: float) -> None:
    """Call far beyond the cap at one daemon."""
    fleet.flood((ALL[number],), 10 * RATE, pause, key='k')


def cut_off(fleet: TenantFleet, number: int, pause: float) -> None:
    """Cut the links of one daemon."""
    for other in ALL:
        if other != ALL[number]:
            fleet.cut(ALL[number], other)


def partition(fleet: TenantFleet, number: int, pause: float) -> None:
    """Cut a region off from the other one and from the store."""
    if not fleet.cut_from_store:
        fleet.partition(ALL[number % 2 :: 2])


def heal(fleet: TenantFleet, number: int, pause: float) -> None:
    """End all cuts and freezes."""
    fleet.heal()
    fleet.frozen.clear()


def restart(fleet: TenantFleet, number: int, pause: float) -> None:
    """Restart a daemon."""
    fleet.start(ALL[number])


def freeze(fleet: TenantFleet, number: int, pause: float) -> None:
    """Let a daemon ignore the messages of its peers."""
    fleet.frozen.add(ALL[number])


def change_cap(fleet: TenantFleet, number: int, pause: float) -> None:
    """Publish a quarter of the rate, or more of it."""
    fleet.publish(capped(rate_per_s=RATE / 4 * (number + 1)))


def change_list(fleet: TenantFleet, number: int, pause: float) -> None:
    """Take a daemon from the list, or add it, at slightly different times."""
    before = fleet.listed[ALL[number]]
    listed = tuple(
        one for one in ALL if (one in before) != (one == ALL[number])
    )
    for place, one in enumerate(ALL):
        fleet.schedule(
            fleet.now + place / 20,
            partial(fleet.list_instances, one, listed),
        )


CHANGES: Final = (
    flood_one,
    cut_off,
    partition,
    heal,
    restart,
    freeze,
    change_cap,
    change_list,
)
STEPS: Final = st.lists(
    st.tuples(
        st.sampled_from(CHANGES),
        st.integers(0, len(ALL) - 1),
        st.floats(0.05, 1.5),
    ),
    min_size=3,
    max_size=9,
)
Steps: TypeAlias = list[
    tuple[Callable[[TenantFleet, int, float], None], int, float]
]


def play(fleet: TenantFleet, steps: Steps) -> None:
    """Apply the steps during a flood at all daemons."""
    seconds = 3 + sum(step[2] for step in steps)
    fleet.flood(ALL, 1.5 * RATE, seconds, key='k')
    for change, number, pause in steps:
        change(fleet, number, pause)
        fleet.run_until(fleet.now + pause)
    fleet.run_until(fleet.now + 4)


class HistoryTest(unittest.TestCase):
    @FLEET_PROPERTY
    @given(STEPS)
    def test_runs_stay_within_the_bound(self, steps: Steps) -> None:
        """Guard against an order of faults in which a cap does not bind.

        Nor may a call wait for a token without end.
        """
        fleet = start_fleet()
        play(fleet, steps)
        self.assertEqual(fleet.list_excesses('t', BOUND), [])
        waiting = [
            lease.waiting
            for name in ALL
            for lease in fleet.states[name].calls.caps.leases
        ]
        self.assertEqual(sum(map(len, waiting)), 0)


def credit_all(bucket: Any, now: float, returned: int) -> None:
    """Credit all tokens that a peer claims to return."""
    bucket._refill(now)
    bucket._free = min(bucket._capacity, bucket._free + returned)


class BucketTest(unittest.TestCase):
    def find_excess(
        self, operations: list[tuple[float, int, int, int]]
    ) -> float:
        """Return by how much the needed tokens exceed burst and rate."""
        tenant = make_tenant(10, 30)
        bucket = CapBucket(tenant=tenant, now=0, since=-9)
        now, needed_total, excess = 0.0, 0, 0.0
        for pause, needed, ahead, returned in operations:
            now += pause
            bucket.give_back(now, returned)
            granted = bucket.take(now, needed, 0)
            needed_total += granted.tokens
            bucket.take(now, 0, ahead)
            allowed = compute_capacity(tenant) + 10 * now + 1e-6
            excess = max(excess, needed_total - allowed)
        return excess

    @PROPERTY
    @given(OPERATIONS)
    def test_returns_add_no_tokens(
        self, operations: list[tuple[float, int, int, int]]
    ) -> None:
        """Guard against a peer that returns more than it was lent."""
        self.assertEqual(self.find_excess(operations), 0)

    def test_returns_would_add_tokens_without_their_limit(self) -> None:
        """Guard against a property that holds without its mechanism."""
        operations = [(0.01, 30, 0, 30) for _ in range(9)]
        with patch.object(CapBucket, 'give_back', credit_all):
            self.assertGreater(self.find_excess(operations), 0)

    def test_tokens_in_advance_leave_half_for_calls(self) -> None:
        """Guard against tokens in advance that cause a refusal elsewhere."""
        bucket = CapBucket(tenant=make_tenant(10, 30), now=0, since=-9)
        self.assertEqual(bucket.take(0, 0, 60), (15, 0))
        self.assertEqual(bucket.take(0, 15, 9), (15, 0))
        refused = bucket.take(0, 2, 0)
        self.assertEqual(refused, (0, 0.1))

    def test_leased_tokens_leave_no_room_in_the_bucket(self) -> None:
        """Guard against a burst that is leased and saved up again."""
        bucket = CapBucket(tenant=make_tenant(100, 30), now=0, since=-9)
        bucket.take(0, 0, 60)
        self.assertEqual(bucket.take(0.5, 30, 0).tokens, 15)


class LeaseTest(unittest.TestCase):
    def test_token_expires_by_the_time_of_its_request(self) -> None:
        """Guard against a late answer whose tokens count as fresh."""
        lease = CapLease()
        lease.waiting[CallId('c')] = None
        lease.open_request(1, 1)
        sent_at = lease.close_request(1)
        assert sent_at is not None
        expires_at = sent_at + LEASE_SECONDS
        lease.add(expires_at, expires_at, 3)
        self.assertIsNone(lease.take(expires_at))
        lease.add(1.1, expires_at, 3)
        self.assertEqual(lease.take(1.2), expires_at)
        self.assertIsNone(lease.take(expires_at))
        self.assertEqual(lease.returned, 2)


class FallbackTest(unittest.TestCase):
    @PROPERTY
    @given(
        rate=st.floats(0.01, 5000),
        burst=st.floats(0, 5000),
        instances=st.integers(1, 200),
    )
    def test_shares_add_up_to_a_quarter_at_most(
        self, rate: float, burst: float, instances: int
    ) -> None:
        """Guard against shares that are rounded up for each daemon."""
        tenant = make_tenant(rate, burst)
        shares = [
            compute_share(tenant, instances, position)
            for position in range(instances)
        ]
        quarter = (rate * WINDOW_SECONDS + burst) * FALLBACK_RATIO
        self.assertLessEqual(sum(shares), quarter)
        beyond = rate * LEASE_SECONDS + compute_capacity(tenant) - burst
        self.assertLessEqual(sum(shares) + beyond, quarter + 20)

    def test_daemon_that_is_not_listed_has_no_share(self) -> None:
        """Guard against a share that the sum does not contain."""
        self.assertEqual(compute_share(make_tenant(95, 95), 3, None), 0)


class HolderTest(unittest.TestCase):
    @PROPERTY
    @given(st.lists(st.sets(st.integers(0, 12)), min_size=1, max_size=8))
    def test_holder_is_that_of_a_new_table(self, lists: list[set[int]]) -> None:
        """Guard against daemons that differ in the holder for one list."""
        table = HolderTable()
        for now, numbers in enumerate(lists):
            members = tuple(make_member(number) for number in sorted(numbers))
            table.update(now, members)
            fresh = HolderTable()
            fresh.update(now, members)
            for tenant in ('a', 'b', 'c'):
                self.assertEqual(table.find(tenant), fresh.find(tenant))

    def test_bucket_fills_since_its_holder_is_first(self) -> None:
        """Guard against an empty bucket after each change of the list."""
        table = HolderTable()
        members = tuple(map(make_member, range(9)))
        for now in range(1, 9):
            table.update(now, members[now:])
        starts = [
            (number, table.find_start(f't{number}', InstanceId('m8')))
            for number in range(40)
        ]
        for number, start in starts:
            # The list of a time lacks the instances before it.
            others = [
                list_at
                for list_at in range(1, 8)
                if find_first(members[list_at:], f't{number}') != 'm8'
            ]
            self.assertEqual(start, max(others, default=0) + 1)

    def test_tenants_are_spread_over_the_instances(self) -> None:
        """Guard against one daemon that holds the caps of all tenants."""
        table = HolderTable()
        table.update(1, tuple(map(make_member, range(20))))
        held = {table.find(f't{number}') for number in range(82)}
        self.assertGreater(len(held), 15)


def find_first(members: tuple[FakeMember, ...], tenant: str) -> str:
    """Return the holder of a tenant in a list."""
    table = HolderTable()
    table.update(0, members)
    holder = table.find(tenant)
    assert holder is not None
    return holder.instance


def make_member(number: int) -> FakeMember:
    """Return a listed instance."""
    return FakeMember(
        instance=InstanceId(f'm{number}'), data_centre='d', region='r'
    )
