"""Tests of the caps of tenants over all daemons, through the reducer."""

import unittest
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Final
from unittest.mock import patch

from nose2.tools import params

from briartack.core import events
from briartack.core.calls.token_phase import TokenPhase
from briartack.core.effects import ReadBody, SendMessage
from briartack.core.messages import Attempt, CapGrant, CapRequest
from briartack.core.reducer import reduce
from briartack.core.tenants import caps
from briartack.core.tenants.cap_holder import HeldCaps
from briartack.core.tenants.cut_off import CutOffDetector
from briartack.core.tenants.holders import HolderTable
from briartack.core.units import CallId
from briartack.credentials import digest_key
from briartack.test.tenant_fleet import TenantFleet, tenant

RATE: Final = 20
BURST: Final = 20
BOUND: Final = (RATE * 5 + BURST) * 1.25 + 20
SIZE: Final = 4
ALL: Final = tuple(f'm{number}' for number in range(SIZE))


def capped(**spec: Any) -> dict[str, Any]:
    """Return a tenant with a cap."""
    return tenant('t', 'k', **{'rate_per_s': RATE, 'burst': BURST, **spec})


def start_fleet(*more: dict[str, Any], **spec: Any) -> TenantFleet:
    """Start daemons whose buckets have filled."""
    fleet = TenantFleet(size=SIZE, resources=(capped(**spec), *more))
    fleet.run_until(fleet.now + 4)
    return fleet


def find_holder(fleet: TenantFleet, name: str = 'op/t') -> str:
    """Return the daemon that holds the bucket of a tenant."""
    table = fleet.states['m0'].calls.caps._holders
    holder = table.find(name)
    assert holder is not None
    return holder.instance


def flood_all(fleet: TenantFleet, seconds: float = 6) -> None:
    """Call far beyond the cap at all daemons."""
    fleet.flood(ALL, 4 * RATE, seconds, key='k')
    fleet.run_until(fleet.now + seconds)


def cut_all(fleet: TenantFleet) -> None:
    """Call while no daemon reaches another one."""
    for left in ALL:
        for right in ALL:
            if left != right:
                fleet.cut(left, right)
    flood_all(fleet)


def cut_while_hot(fleet: TenantFleet) -> None:
    """Cut half of the daemons off during a flood."""
    flood_all(fleet, seconds=2)
    for left in ALL[:2]:
        for right in ALL[2:]:
            fleet.cut(left, right)
    flood_all(fleet)


def restart_holder(fleet: TenantFleet) -> None:
    """Restart the holder each second during a flood."""
    fleet.flood(ALL, 4 * RATE, 6, key='k')
    for _ in range(6):
        fleet.start(find_holder(fleet))
        fleet.run_until(fleet.now + 1)


def move_holder(fleet: TenantFleet) -> None:
    """Take the holder from the list and add it again, during a flood."""
    fleet.flood(ALL, 4 * RATE, 6, key='k')
    for turn in range(12):
        held_by = find_holder(fleet)
        listed = tuple(one for one in ALL if turn % 2 or one != held_by)
        for name in ALL:
            fleet.list_instances(name, listed)
            fleet.run_until(fleet.now + 0.02)
        fleet.run_until(fleet.now + 0.42)


def complete_slow_bodies(fleet: TenantFleet) -> None:
    """Complete at once the bodies of calls that arrived over a long time."""
    started = []
    for number in range(300):
        fleet.call('m0', f's{number}', key='k', path='/slow/x', body_bytes=9)
        started.append(f's{number}')
        fleet.run_until(fleet.now + 0.06)
    for call_id in started:
        fleet.read_body('m0', call_id, 9)
    fleet.run_until(fleet.now + 2)


def partition_from_holder(fleet: TenantFleet) -> None:
    """Cut the region of the holder off, until others have dropped it."""
    side = ALL.index(find_holder(fleet)) % 2
    fleet.flood(ALL, 4 * RATE, 14, key='k')
    fleet.run_until(fleet.now + 1)
    fleet.partition(ALL[side::2])
    fleet.run_until(fleet.now + 8)
    fleet.heal()
    fleet.run_until(fleet.now + 5)


HISTORIES: Final[tuple[Callable[[TenantFleet], None], ...]] = (
    flood_all,
    cut_all,
    cut_while_hot,
    restart_holder,
    move_holder,
    partition_from_holder,
    complete_slow_bodies,
)


def never_cut_off(*_: Any, **named: Any) -> bool:
    """Never notice that the store's side is cut off."""
    return False


# Each mechanism with the history that exceeds the bound without it.
MECHANISMS: Final[tuple[tuple[Any, ...], ...]] = (
    (flood_all, HeldCaps, 'is_held_here', lambda *_: True),
    (flood_all, caps.CapsState, 'acquire', lambda *_: caps.Token(expires_at=0)),
    (cut_all, caps, 'compute_share', lambda *_: RATE * 5 + BURST),
    (restart_holder, HolderTable, 'find_start', lambda *_: 0),
    (move_holder, HolderTable, 'find_start', lambda *_: 0),
    (partition_from_holder, CutOffDetector, 'update', never_cut_off),
    (complete_slow_bodies, TokenPhase, 'renew', lambda *_: []),
)


class BoundTest(unittest.TestCase):
    @params(*HISTORIES)
    def test_runs_stay_within_the_bound(
        self, play: Callable[[TenantFleet], None]
    ) -> None:
        """Guard against more runs in 5 s than a cap and its margin allow."""
        fleet = start_fleet()
        play(fleet)
        self.assertEqual(fleet.list_excesses('t', BOUND), [])
        self.assertGreater(len(fleet.runs), 0)

    @params(*MECHANISMS)
    def test_bound_is_exceeded_without_its_mechanism(
        self,
        play: Callable[[TenantFleet], None],
        owner: Any,
        name: str,
        replacement: Any,
    ) -> None:
        """Guard against histories that would pass whatever the code does."""
        with ExitStack() as patches:
            patches.enter_context(patch.object(owner, name, replacement))
            fleet = start_fleet()
            play(fleet)
        self.assertNotEqual(fleet.list_excesses('t', BOUND), [])

    def test_lowered_cap_binds(self) -> None:
        """Guard against a former cap that goes on at the holder."""
        fleet = start_fleet()
        fleet.flood(ALL, 4 * RATE, 14, key='k')
        fleet.run_until(fleet.now + 3)
        fleet.publish(capped(rate_per_s=2, burst=2))
        lowered_at = fleet.now
        fleet.run_until(fleet.now + 11)
        bound = (2 * 5 + 2) * 1.25 + 20
        self.assertEqual(fleet.list_excesses('t', bound, lowered_at + 1), [])
        self.assertNotEqual(fleet.list_excesses('t', bound), [])


class ServiceTest(unittest.TestCase):
    @params(
        ({}, 0.8),
        ({'burst': 0}, 0.3),
        ({'rate_per_s': 95, 'burst': 95}, 0.9),
    )
    def test_nothing_is_refused_below_the_cap(
        self, spec: dict[str, Any], load: float
    ) -> None:
        """Guard against tokens that wait where no call needs them."""
        fleet = start_fleet(**spec)
        rate = spec.get('rate_per_s', RATE)
        calls_per_second = load * rate / SIZE
        fleet.flood(ALL, calls_per_second, 8, key='k')
        fleet.run_until(fleet.now + 9)
        self.assertEqual(fleet.count_answers(200), len(fleet.answers))
        self.assertGreater(len(fleet.answers), 6 * load * rate)

    def test_one_daemon_may_use_the_whole_cap(self) -> None:
        """Guard against a fixed share for each daemon."""
        fleet = start_fleet()
        fleet.flood(('m1',), 4 * RATE, 5, key='k')
        fleet.run_until(fleet.now + 5)
        self.assertGreater(len(fleet.runs), 0.9 * (5 * RATE + BURST))

    def test_calls_cause_about_one_request_each_at_most(self) -> None:
        """Guard against a storm of messages within and beyond the cap."""
        for calls_per_second in (RATE / 8, 4 * RATE):
            fleet = start_fleet()
            fleet.flood(ALL, calls_per_second, 5, key='k')
            fleet.run_until(fleet.now + 6)
            requests = fleet.count_sent(CapRequest)
            self.assertLess(requests, 1.1 * len(fleet.answers))
            self.assertLessEqual(fleet.count_sent(CapGrant), requests)

    def test_hot_tenant_takes_nothing_from_others(self) -> None:
        """Guard against refused calls of a tenant within its cap."""
        fleet = start_fleet(tenant('u', 'v', rate_per_s=RATE, burst=BURST))
        fleet.flood(ALL, 8 * RATE, 4, key='k')
        fleet.flood(('m0', 'm1'), RATE / 4, 4, key='v', label='v')
        fleet.run_until(fleet.now + 5)
        called = sum('v' in call_id for call_id in fleet.answers)
        served = sum(run[2]['X-Tenant'] == 'u' for run in fleet.runs)
        self.assertEqual(served, called)
        self.assertGreater(served, 0)

    @params(({'path': '/public/x'}, True), ({}, False))
    def test_only_calls_with_a_key_count(
        self, request: dict[str, Any], has_all: bool
    ) -> None:
        """Guard against a cap on public routes."""
        fleet = start_fleet()
        for number in range(300):
            fleet.call('m0', f'c{number}', key='k', **request)
        fleet.run_until(fleet.now + 0.5)
        self.assertEqual(fleet.count_answers(200) == 300, has_all)

    def test_calls_of_runs_count_towards_no_cap(self) -> None:
        """Guard against a run that fails because of its tenant's cap."""
        fleet = start_fleet(rate_per_s=1, burst=1)
        fleet.run_seconds = 1
        fleet.call('m0', 'c', key='k', request_id='r')
        fleet.run_until(fleet.now + 0.1)
        where = fleet.runs[0][1]
        for number in range(50):
            fleet.call(where, f'n{number}', request_id=f'r.{number}')
        fleet.run_until(fleet.now + 0.5)
        self.assertEqual(len(fleet.runs), 51)


class RefusalTest(unittest.TestCase):
    def test_refusal_is_early_and_says_when_to_return(self) -> None:
        """Guard against a body that is read for a call beyond the cap."""
        fleet = start_fleet(rate_per_s=1, burst=1)
        for number in range(9):
            fleet.call('m0', f'c{number}', key='k')
        fleet.run_until(fleet.now + 0.2)
        arrived = events.CallArrived(
            now=fleet.now,
            call_id=CallId('last'),
            method='POST',
            target='/main/x',
            headers=(),
            key_digest=digest_key(b'k'),
            body_bytes=9,
        )
        produced = reduce(fleet.states['m0'], arrived)
        self.assertFalse(any(isinstance(one, ReadBody) for one in produced))
        refused = [one for one in fleet.answers.values() if one.status == 429]
        self.assertEqual(len(refused), 8)
        for answer in refused:
            self.assertEqual(answer.verdict.value, 'not-run')
            self.assertGreater(answer.retry_after_seconds, 0)

    def test_holder_goes_on_while_only_the_store_is_away(self) -> None:
        """Guard against caps that shrink during an outage of the store."""
        fleet = start_fleet()
        fleet.cut_from_store.update(ALL)
        fleet.flood(ALL, RATE, 4, key='k')
        fleet.run_until(fleet.now + 1)
        failed = events.StoreFailed(
            now=fleet.now,
            operation=events.StoreOperation.WATCH,
            prefix='',
            reason='away',
        )
        for name in ALL:
            fleet.apply(name, failed)
        before = len(fleet.runs)
        fleet.run_until(fleet.now + 2)
        self.assertGreater(len(fleet.runs) - before, RATE)
        reasons = {answer.reason for answer in fleet.answers.values()}
        self.assertLessEqual(reasons, {'', 'beyond-cap'})

    @params('frozen', 'cut', 'old')
    def test_calls_do_not_wait_for_a_lost_holder(self, fault: str) -> None:
        """Guard against calls that end because their holder is away.

        One without an answer waits for 0.1 s; daemons of earlier releases get
        no request.
        """
        fleet = start_fleet(rate_per_s=80, burst=80)
        holder = find_holder(fleet)
        caller = next(name for name in ALL if name != holder)
        if fault == 'frozen':
            fleet.frozen.add(holder)
        elif fault == 'cut':
            fleet.cut(holder, caller)
        else:
            fleet.old.add(holder)
            fleet.start(holder)
            fleet.run_until(fleet.now + 3)
        began = fleet.now
        for number in range(9):
            fleet.call(caller, f'c{number}', key='k')
            fleet.run_until(fleet.now + 0.05)
        fleet.run_until(fleet.now + 0.3)
        self.assertEqual(fleet.count_answers(200), 9)
        self.assertLess(fleet.answered_at['c0'] - began, 0.12)
        if fault == 'old':
            self.assertEqual(fleet.count_sent(CapRequest), 0)

    def test_home_regions_outlast_a_change_while_a_call_waits(self) -> None:
        """Guard against a run outside the home regions of its caller."""
        fleet = TenantFleet(size=2, resources=(capped(home_regions=['north']),))
        name = next(
            f't{number}'
            for number in range(99)
            if find_holder(fleet, f'op/t{number}') == 'm1'
        )
        spec = {'rate_per_s': RATE, 'burst': BURST}
        fleet.publish(tenant(name, 'k', home_regions=['north'], **spec))
        fleet.run_until(fleet.now + 1)
        fleet.frozen.add('m1')
        fleet.call('m0', 'c', key='k')
        fleet.publish(tenant(name, 'k', **spec))
        down = events.UpstreamProbed(
            now=fleet.now,
            is_healthy=False,
            is_draining=False,
            identity='u-m0',
            reported_load=0,
        )
        fleet.apply('m0', down)
        fleet.run_until(fleet.now + 0.3)
        self.assertEqual(fleet.count_sent(CapRequest), 1)
        self.assertEqual(fleet.count_sent(Attempt), 0)
        self.assertEqual(fleet.answers['c'].verdict.value, 'not-run')

    def test_body_that_arrives_while_the_call_waits_is_kept(self) -> None:
        """Guard against an upload that ends because its token comes late."""
        fleet = start_fleet()
        holder = find_holder(fleet)
        caller = next(name for name in ALL if name != holder)
        fleet.call(caller, 'c', key='k', body_bytes=9)
        fleet.read_body(caller, 'c', 9)
        fleet.run_until(fleet.now + 0.2)
        self.assertEqual(fleet.answers['c'].status, 200)

    def test_stopping_holder_grants_nothing(self) -> None:
        """Guard against two holders while one of them stops."""
        fleet = start_fleet()
        holder = find_holder(fleet)
        fleet.apply(holder, events.StopRequested(now=fleet.now))
        fleet.run_until(fleet.now + 0.2)
        peer = next(name for name in ALL if name != holder)
        asked = CapRequest(tenant='op/t', number=1, needed=1)
        arrived = events.PeerMessageReceived(
            now=fleet.now,
            peer=fleet.states[peer].identity.instance,
            message=asked,
        )
        sent = [
            effect.message
            for effect in reduce(fleet.states[holder], arrived)
            if isinstance(effect, SendMessage)
        ]
        refused = CapGrant(tenant='op/t', number=1, tokens=0, is_holder=False)
        self.assertEqual(sent, [refused])
