"""Guards how entries reach all daemons, at what cost and through faults.

Times are those of the fleet's own clock.
"""

import unittest
from collections import Counter
from unittest import mock

from nose2.tools import params

from briartack.core import events
from briartack.core import messages as wire
from briartack.core.dissemination import dissemination as core
from briartack.core.dissemination.overlay import rank
from briartack.core.entries import Entry
from briartack.core.units import InstanceId, Revision
from briartack.test.fleet import Fleet

CONVERGENCE_SECONDS = 4  # the target for each change
BOOT_SECONDS = 21  # until probes are gone and first watches have ended


def _started(*shape: int) -> Fleet:
    fleet = Fleet(*shape)
    fleet.start()
    fleet.run(BOOT_SECONDS)
    return fleet


class FleetTest(unittest.TestCase):
    def assert_reached(
        self,
        fleet: Fleet,
        revision: Revision,
        limit: float = CONVERGENCE_SECONDS,
        without: tuple[str, ...] = (),
    ) -> None:
        fleet.run_until(
            lambda: set(fleet.lacking(revision)) <= set(without),
            limit,
        )
        self.assertEqual(set(fleet.lacking(revision)) - set(without), set())

    def assert_watched(self, fleet: Fleet, *watchers: str) -> None:
        expected = sorted(watchers)
        fleet.run_until(lambda: sorted(fleet.watchers()) == expected, 15)
        self.assertEqual(sorted(fleet.watchers()), expected)


class ChangeTest(FleetTest):
    """Without these, a change would cost the store or paid links more."""

    @params((1, 1, 3), (2, 1, 5), (2, 2, 10))
    def test_change_costs_one_copy_and_one_store_call_per_region(
        self,
        *shape: int,
    ) -> None:
        fleet = _started(*shape)
        fleet.sent.clear()
        fleet.store.calls.clear()
        revision = fleet.edit('teams/a', 'second')
        self.assert_reached(fleet, revision, 0.2)
        fleet.run(0.7)
        watchers, size = shape[0], len(fleet.nodes)
        self.assertEqual(fleet.store.count('watch'), watchers)
        self.assertEqual(fleet.store.count('read'), 0)
        copies = Counter(
            node.copies['teams/a', revision] for node in fleet.nodes.values()
        )
        self.assertEqual(copies, {0: watchers, 1: size - watchers})
        self.assertEqual(fleet.sent['Pull'], size - watchers)

    def test_only_heartbeats_flow_when_nothing_changes(self) -> None:
        fleet = _started(2, 2, 5)
        fleet.sent.clear()
        fleet.store.calls.clear()
        fleet.run(20)
        self.assertEqual(set(fleet.sent), {'Summary'})
        # Two parents at most, in both directions; roots add 4 links at 0.5/s.
        bound = 20 * (2 * 2 * len(fleet.nodes) + 4)
        self.assertLessEqual(fleet.sent['Summary'], bound)
        self.assertLessEqual(len(fleet.store.calls), 2 * 2)

    def test_wake_ups_for_calls_cost_no_dissemination(self) -> None:
        """Guards against work on all streams for each wake-up of a call."""
        fleet = _started(1, 1, 3)
        node = next(iter(fleet.nodes.values()))
        with mock.patch.object(
            core, 'run_periodic_work', return_value=[]
        ) as work:
            for late in (0.1, 0.11, 0.15, 0.2):
                core.on_tick(
                    node.state,
                    events.Tick(now=fleet.now + late),
                    node.held,
                    node.held.membership,
                )
            self.assertEqual(work.call_count, 2)

    def test_burst_of_edits_is_batched(self) -> None:
        """Without the budget of watches, each edit is a call per watcher."""
        fleet = _started(1, 1, 3)
        fleet.store.calls.clear()
        for number in range(40):
            revision = fleet.edit(f'teams/t{number}', 'text')
            fleet.run(0.1)
        self.assertLessEqual(len(fleet.store.calls), 5 + 5 * 4)
        self.assert_reached(fleet, revision, 1)

    def test_change_crosses_no_link_between_regions_for_a_slow_store(
        self,
    ) -> None:
        """Without patience, each region's root pulls over paid links."""
        fleet = _started(2, 1, 4)
        fleet.store_seconds = lambda name: 0.4 if name[:2] == 'r1' else 0.003
        for number in range(20):
            revision = fleet.edit(f'teams/t{number}', 'text')
            fleet.run(0.7)
        self.assert_reached(fleet, revision, 1)
        first = fleet.nodes[fleet.roots('r1')[0]]
        self.assertEqual(set(first.copies), set())

    def test_lost_answer_is_asked_for_again_elsewhere(self) -> None:
        """Without the retry of pulls, a frozen parent stops a change."""
        fleet = _started(1, 1, 12)
        revision = fleet.edit('teams/a', 'second')
        answers: Counter[str] = Counter()
        fleet.is_dropped = lambda peer, message: (
            isinstance(message, wire.Entries)
            and not answers.update((peer,))
            and answers[peer] == 1
        )
        self.assert_reached(fleet, revision, 2.5)
        self.assertEqual(len(answers), 11)

    def test_gap_is_found_and_filled_in_both_directions(self) -> None:
        """A pull by revision never finds an entry below the highest."""
        fleet = _started(1, 1, 6)
        fleet.edit('teams/b', 'text')
        fleet.edit('teams/c', 'text')
        fleet.run(1)
        last = fleet.roots('r0')[-1]
        first = fleet.roots('r0')[0]
        fleet.nodes[last].held.lose('teams/a')
        fleet.nodes[first].held.lose('teams/b')
        fleet.run(8)
        for node in fleet.nodes.values():
            self.assertEqual(len(node.held.configuration), 3)
        fleet.sent.clear()
        fleet.run(5)
        self.assertEqual(set(fleet.sent), {'Summary'})

    def test_gap_of_a_region_with_acting_roots_is_filled(self) -> None:
        """Others still ask the dead roots, so only this side can begin."""
        fleet = _started(2, 1, 5)
        fleet.edit('teams/b', 'text')
        for root in fleet.roots('r1')[:2]:
            fleet.kill(root)
        fleet.run(10)
        far = [node for name, node in fleet.nodes.items() if name[:2] == 'r1']
        for node in far:
            node.held.lose('teams/a')
        fleet.run(10)
        for node in far:
            self.assertIn('teams/a', node.held.configuration)

    def test_large_answer_is_sent_in_parts(self) -> None:
        """One frame with a whole tree would block all other messages."""
        fleet = _started(1, 1, 3)
        last = fleet.roots('r0')[-1]
        fleet.kill(last)
        for name in 'bcd':
            revision = fleet.edit(f'teams/{name}', name * 3_000_000)
        fleet.run(2)
        fleet.sent.clear()
        fleet.start(last)
        self.assert_reached(fleet, revision)
        self.assertEqual(fleet.sent['Entries'], 3)
        self.assertEqual(fleet.sent['Pull'], 1)


class WatcherTest(FleetTest):
    """Without these, a change would wait for a process that is gone."""

    @params(1, 2, 3)
    def test_next_in_order_replaces_killed_watchers(self, dead: int) -> None:
        fleet = _started(1, 2, 8)
        roots = fleet.roots('r0')
        for name in roots[:dead]:
            fleet.kill(name)
        revision = fleet.edit('teams/a', 'second')
        self.assert_reached(fleet, revision, 4 + 2 * dead)
        self.assert_watched(fleet, roots[dead])
        fleet.start(roots[0])
        self.assert_watched(fleet, roots[0])

    @params(1, 2)
    def test_frozen_watcher_is_replaced_and_returns(self, dead: int) -> None:
        fleet = _started(2, 1, 8)
        roots, other = fleet.roots('r0'), fleet.roots('r1')[0]
        for name in roots[:dead]:
            fleet.nodes[name].is_frozen = True
        revision = fleet.edit('teams/a', 'second')
        self.assert_reached(fleet, revision, without=tuple(roots[:dead]))
        fleet.run(3)  # longer than the pause that asks for confirmation
        for old in roots[:dead]:
            fleet.nodes[old].watch = None
        self.assert_watched(fleet, roots[dead], other)
        for name in roots[:dead]:
            fleet.thaw(name)
            fleet.run(0)
            self.assertFalse(core.is_confirmed(fleet.nodes[name].state))
        fleet.run(0.3)
        self.assertEqual(fleet.lacking(revision), [])
        for name in roots[:dead]:
            self.assertTrue(core.is_confirmed(fleet.nodes[name].state))
        self.assert_watched(fleet, roots[0], other)

    def test_frozen_top_of_a_data_centre_cuts_nobody_off(self) -> None:
        fleet = _started(1, 1, 30)
        top = sorted(
            fleet.names, key=lambda name: rank('r0-0', InstanceId(name))
        )
        top = [name for name in top if name not in fleet.roots('r0')[:1]][:2]
        for name in top:
            fleet.nodes[name].is_frozen = True
        revision = fleet.edit('teams/a', 'second')
        self.assert_reached(fleet, revision, without=tuple(top))

    def test_last_survivor_watches_for_itself(self) -> None:
        fleet = _started(1, 1, 20)
        survivor = fleet.roots('r0')[10]
        for name in fleet.names:
            if name != survivor:
                fleet.kill(name)
        self.assert_reached(fleet, fleet.edit('teams/a', 'second'), 8)


class StoreTest(FleetTest):
    """Without these, an outage or a restart would overload the store."""

    def test_outage_bounds_calls_and_ends(self) -> None:
        fleet = _started(2, 1, 6)
        fleet.store.is_down = True
        fleet.run(30)
        fleet.store.calls.clear()
        fleet.run(60)
        self.assertLessEqual(len(fleet.store.calls), 2 * 12)
        fleet.store.is_down = False
        self.assert_reached(fleet, fleet.edit('teams/a', 'second'), 31)

    @params(0, -1)
    def test_start_during_outage_gets_all_from_peers(self, place: int) -> None:
        fleet = _started(1, 1, 12)
        name = fleet.roots('r0')[place]
        fleet.store.is_down = True
        fleet.kill(name)
        fleet.run(3)
        fleet.start(name)
        self.assert_reached(fleet, Revision(1), 15)

    def test_restart_of_all_reads_the_tree_at_the_roots_only(self) -> None:
        fleet = Fleet(2, 1, 20)
        fleet.start()
        fleet.run(6)
        self.assertEqual(fleet.lacking(Revision(1)), [])
        # One read of the list each, one of the tree per region.
        self.assertLessEqual(fleet.store.count('read'), 40 + 2)
        per_second = Counter(int(at) for at, _kind in fleet.store.calls)
        self.assertLessEqual(max(per_second.values()), 40 * 3 / 4)

    @params((1, None), (50, 'instances/'))
    def test_old_answer_implies_no_deletions(
        self,
        revision: int,
        prefix: str | None,
    ) -> None:
        """A restored store must not delete what was created since."""
        fleet = _started(1, 1, 3)
        node = fleet.nodes[fleet.roots('r0')[0]]
        answer = events.StoreRead(
            now=fleet.now,
            prefix='instances/',
            revision=Revision(revision),
            entries=(),
        )
        received = core.on_store_read(node.state, answer, node.held)
        self.assertEqual(received.full_read_prefix, prefix)

    def test_daemon_absent_from_the_list_is_served_but_no_root(self) -> None:
        fleet = Fleet(1, 1, 12)
        first = fleet.roots('r0')[0]
        fleet.store.edits.pop(f'instances/{first}')
        fleet.start()
        fleet.run(BOOT_SECONDS)
        self.assertEqual(fleet.lacking(Revision(1)), [])
        self.assert_watched(fleet, fleet.roots('r0')[1])
        fleet.enlist(first)
        self.assert_watched(fleet, first)


class PartitionTest(FleetTest):
    """Without these, a part of the fleet would stay behind."""

    def test_parts_keep_serving_and_join(self) -> None:
        fleet = _started(2, 2, 4)
        fleet.cut(lambda one, other: one[:2] != other[:2])
        revision = fleet.edit('teams/a', 'second')
        fleet.run(60)
        far = [name for name in fleet.names if name.startswith('r1')]
        self.assertEqual(fleet.lacking(revision), far)
        # The store stays out of reach: the peers alone have to bring it.
        fleet.cut(lambda one, other: 'r0-store' in (one, other))
        self.assert_reached(fleet, revision, 15)

    def test_region_without_the_store_gets_changes_from_others(self) -> None:
        fleet = _started(2, 1, 6)
        fleet.cut(lambda one, other: {one[:2], other} == {'r1', 'r0-store'})
        revision = fleet.edit('teams/a', 'second')
        self.assert_reached(fleet, revision)
        copies = sum(
            node.copies['teams/a', revision]
            for name, node in fleet.nodes.items()
            if name.startswith('r1')
        )
        # Both roots may ask at the same time, one copy each.
        self.assertLessEqual(copies, 6 + 1)


class PauseTest(FleetTest):
    """Without these, a paused daemon would serve what it held before."""

    @params(0, 5)
    def test_new_calls_wait_for_an_answer(self, place: int) -> None:
        fleet = _started(1, 1, 8)
        name = fleet.roots('r0')[place]
        node = fleet.nodes[name]
        node.is_frozen = True
        fleet.run(3)
        fleet.is_dropped = lambda peer, _message: peer == name
        fleet.store.is_down = True
        fleet.thaw(name)
        fleet.run(0.9)
        self.assertFalse(core.is_confirmed(node.state))
        fleet.run(0.3)
        self.assertTrue(core.is_confirmed(node.state))

    def test_peers_can_not_make_a_watcher_skip_an_edit(self) -> None:
        fleet = _started(1, 1, 3)
        watcher, peer = fleet.roots('r0')[:2]
        ahead = Entry(key='teams/b', revision=Revision(99), value='text')
        fleet.nodes[peer].held.merge([ahead])
        fleet.run(BOOT_SECONDS)
        self.assertEqual(fleet.nodes[watcher].held.highest, 99)
        revision = fleet.edit('teams/a', 'second')
        self.assertLess(revision, 99)
        self.assert_reached(fleet, revision, 5)
