"""Test how entries reach all daemons, at what cost and despite faults.

All times are in seconds of the clock of the simulated fleet.
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

CONVERGENCE_SECONDS = 4  # target: a change reaches all daemons
BOOT_SECONDS = 21  # probes and first watches have ended by then


def _start_fleet(*shape: int) -> Fleet:
    fleet = Fleet(*shape)
    fleet.start()
    fleet.run(BOOT_SECONDS)
    return fleet


class FleetTest(unittest.TestCase):
    """Assert the state of a simulated fleet."""

    def assert_reached(
        self,
        fleet: Fleet,
        revision: Revision,
        limit: float = CONVERGENCE_SECONDS,
        without: tuple[str, ...] = (),
    ) -> None:
        """Run until all daemons but `without` hold a revision."""
        fleet.run_until(
            lambda: set(fleet.find_daemons_without(revision)) <= set(without),
            limit,
        )
        self.assertEqual(
            set(fleet.find_daemons_without(revision)) - set(without), set()
        )

    def assert_watched(self, fleet: Fleet, *watchers: str) -> None:
        """Run until exactly these daemons watch the store, for up to 15 s."""
        expected = sorted(watchers)
        fleet.run_until(lambda: sorted(fleet.list_watchers()) == expected, 15)
        self.assertEqual(sorted(fleet.list_watchers()), expected)


class ChangeCostTest(FleetTest):
    """Check that a change reaches all daemons at a bounded cost.

    The cost is calls to the store, work for each daemon and copies over links
    between regions, which are paid for by volume.
    """

    @params((1, 1, 3), (2, 1, 5), (2, 2, 10))
    def test_change_costs_one_copy_and_one_store_call_per_region(
        self,
        *shape: int,
    ) -> None:
        fleet = _start_fleet(*shape)
        fleet.sent.clear()
        fleet.store.calls.clear()
        revision = fleet.edit_store('teams/a', 'second')
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
        fleet = _start_fleet(2, 2, 5)
        fleet.sent.clear()
        fleet.store.calls.clear()
        fleet.run(20)
        self.assertEqual(set(fleet.sent), {'Summary'})
        # Each daemon has up to two parents, with summaries in both directions;
        # the roots add 4 links with a summary each 2 s.
        bound = 20 * (2 * 2 * len(fleet.nodes) + 4)
        self.assertLessEqual(fleet.sent['Summary'], bound)
        self.assertLessEqual(len(fleet.store.calls), 2 * 2)

    def test_wake_ups_for_calls_cost_no_dissemination(self) -> None:
        """Check that ticks between two regular ticks do no periodic work.

        Each call may wake up the daemon; work for all peers each time would
        make calls expensive.
        """
        fleet = _start_fleet(1, 1, 3)
        node = next(iter(fleet.nodes.values()))
        with mock.patch.object(
            core, 'run_periodic_work', return_value=[]
        ) as work:
            for elapsed in (0.1, 0.11, 0.15, 0.2):
                core.on_tick(
                    node.state,
                    events.Tick(now=fleet.now + elapsed),
                    node.holdings,
                    node.holdings.membership,
                )
            self.assertEqual(work.call_count, 2)

    def test_burst_of_edits_shares_store_calls(self) -> None:
        """Check that 40 edits in 4 s cost at most 5 calls and 5 per second.

        Without the budget of watches, each edit would cost one call for each
        watcher.
        """
        fleet = _start_fleet(1, 1, 3)
        fleet.store.calls.clear()
        for number in range(40):
            revision = fleet.edit_store(f'teams/t{number}', 'text')
            fleet.run(0.1)
        self.assertLessEqual(len(fleet.store.calls), 5 + 5 * 4)
        self.assert_reached(fleet, revision, 1)

    def test_slow_store_causes_no_pull_between_regions(
        self,
    ) -> None:
        """Check that a root waits for its store rather than pull from a region.

        The store answers region `r1` after 0.4 s; without the wait, its root
        would pull each change over a paid link between regions.
        """
        fleet = _start_fleet(2, 1, 4)
        fleet.store_seconds = lambda name: 0.4 if name[:2] == 'r1' else 0.003
        for number in range(20):
            revision = fleet.edit_store(f'teams/t{number}', 'text')
            fleet.run(0.7)
        self.assert_reached(fleet, revision, 1)
        first = fleet.nodes[fleet.rank_daemons('r1')[0]]
        self.assertEqual(set(first.copies), set())

    def test_lost_answer_is_requested_from_another_peer(self) -> None:
        """Check that a pull whose answer is lost is sent again to another peer.

        Otherwise a frozen parent would stop a change for its children.
        """
        fleet = _start_fleet(1, 1, 12)
        revision = fleet.edit_store('teams/a', 'second')
        answers: Counter[str] = Counter()
        fleet.is_dropped = lambda peer, message: (
            isinstance(message, wire.Entries)
            and not answers.update((peer,))
            and answers[peer] == 1
        )
        self.assert_reached(fleet, revision, 2.5)
        self.assertEqual(len(answers), 11)

    def test_missing_entries_are_filled_in_both_directions(self) -> None:
        """Check that missing entries at the last and first daemon are filled.

        A pull asks for revisions above the highest held, so only inventories
        can find a missing entry below it. Afterwards only summaries are sent.
        """
        fleet = _start_fleet(1, 1, 6)
        fleet.edit_store('teams/b', 'text')
        fleet.edit_store('teams/c', 'text')
        fleet.run(1)
        last = fleet.rank_daemons('r0')[-1]
        first = fleet.rank_daemons('r0')[0]
        fleet.nodes[last].holdings.remove_entry('teams/a')
        fleet.nodes[first].holdings.remove_entry('teams/b')
        fleet.run(8)
        for node in fleet.nodes.values():
            self.assertEqual(len(node.holdings.configuration), 3)
        fleet.sent.clear()
        fleet.run(5)
        self.assertEqual(set(fleet.sent), {'Summary'})

    def test_missing_entry_of_region_with_acting_roots_is_filled(self) -> None:
        """Check that a region whose two roots died gets a missing entry.

        The daemons of the other region still contact the dead roots, so the
        acting roots have to send the inventory.
        """
        fleet = _start_fleet(2, 1, 5)
        fleet.edit_store('teams/b', 'text')
        for root in fleet.rank_daemons('r1')[:2]:
            fleet.kill(root)
        fleet.run(10)
        remote = [
            node for name, node in fleet.nodes.items() if name[:2] == 'r1'
        ]
        for node in remote:
            node.holdings.remove_entry('teams/a')
        fleet.run(10)
        for node in remote:
            self.assertIn('teams/a', node.holdings.configuration)

    def test_large_answer_is_sent_in_parts(self) -> None:
        """Check that a large answer is split into several messages.

        A single frame with the whole tree would delay all other messages of
        the connection.
        """
        fleet = _start_fleet(1, 1, 3)
        last = fleet.rank_daemons('r0')[-1]
        fleet.kill(last)
        for name in 'bcd':
            revision = fleet.edit_store(f'teams/{name}', name * 3_000_000)
        fleet.run(2)
        fleet.sent.clear()
        fleet.start(last)
        self.assert_reached(fleet, revision)
        self.assertEqual(fleet.sent['Entries'], 3)
        self.assertEqual(fleet.sent['Pull'], 1)


class WatcherReplacementTest(FleetTest):
    """Check that another daemon watches the store when a watcher is gone.

    Without a replacement, a change would not leave the store.
    """

    @params(1, 2, 3)
    def test_next_in_order_replaces_killed_watchers(
        self, failed_count: int
    ) -> None:
        fleet = _start_fleet(1, 2, 8)
        roots = fleet.rank_daemons('r0')
        for name in roots[:failed_count]:
            fleet.kill(name)
        revision = fleet.edit_store('teams/a', 'second')
        self.assert_reached(fleet, revision, 4 + 2 * failed_count)
        self.assert_watched(fleet, roots[failed_count])
        fleet.start(roots[0])
        self.assert_watched(fleet, roots[0])

    @params(1, 2)
    def test_frozen_watcher_is_replaced_and_returns(
        self, failed_count: int
    ) -> None:
        fleet = _start_fleet(2, 1, 8)
        roots, other = fleet.rank_daemons('r0'), fleet.rank_daemons('r1')[0]
        for name in roots[:failed_count]:
            fleet.nodes[name].is_frozen = True
        revision = fleet.edit_store('teams/a', 'second')
        self.assert_reached(
            fleet, revision, without=tuple(roots[:failed_count])
        )
        fleet.run(3)  # longer than the pause after which a daemon must confirm
        for old in roots[:failed_count]:
            fleet.nodes[old].watch = None
        self.assert_watched(fleet, roots[failed_count], other)
        for name in roots[:failed_count]:
            fleet.resume(name)
            fleet.run(0)
            self.assertFalse(core.is_confirmed(fleet.nodes[name].state))
        fleet.run(0.3)
        self.assertEqual(fleet.find_daemons_without(revision), [])
        for name in roots[:failed_count]:
            self.assertTrue(core.is_confirmed(fleet.nodes[name].state))
        self.assert_watched(fleet, roots[0], other)

    def test_change_bypasses_frozen_parents_of_data_centre(self) -> None:
        """Check that a change reaches daemons whose two parents are frozen."""
        fleet = _start_fleet(1, 1, 30)
        top = sorted(
            fleet.names, key=lambda name: rank('r0-0', InstanceId(name))
        )
        top = [
            name for name in top if name not in fleet.rank_daemons('r0')[:1]
        ][:2]
        for name in top:
            fleet.nodes[name].is_frozen = True
        revision = fleet.edit_store('teams/a', 'second')
        self.assert_reached(fleet, revision, without=tuple(top))

    def test_last_daemon_watches_the_store(self) -> None:
        fleet = _start_fleet(1, 1, 20)
        survivor = fleet.rank_daemons('r0')[10]
        for name in fleet.names:
            if name != survivor:
                fleet.kill(name)
        self.assert_reached(fleet, fleet.edit_store('teams/a', 'second'), 8)


class StoreLoadTest(FleetTest):
    """Check the calls to the store during outages and restarts.

    Without limits, the retries and first reads of all daemons would overload
    the store.
    """

    def test_outage_limits_store_calls_and_recovers(self) -> None:
        fleet = _start_fleet(2, 1, 6)
        fleet.store.is_down = True
        fleet.run(30)
        fleet.store.calls.clear()
        fleet.run(60)
        self.assertLessEqual(len(fleet.store.calls), 2 * 12)
        fleet.store.is_down = False
        self.assert_reached(fleet, fleet.edit_store('teams/a', 'second'), 31)

    @params(0, -1)
    def test_start_during_outage_reads_from_peers(self, place: int) -> None:
        fleet = _start_fleet(1, 1, 12)
        name = fleet.rank_daemons('r0')[place]
        fleet.store.is_down = True
        fleet.kill(name)
        fleet.run(3)
        fleet.start(name)
        self.assert_reached(fleet, Revision(1), 15)

    def test_restart_of_all_reads_tree_only_at_roots(self) -> None:
        fleet = Fleet(2, 1, 20)
        fleet.start()
        fleet.run(6)
        self.assertEqual(fleet.find_daemons_without(Revision(1)), [])
        # One read of the instance list for each daemon, one read of the whole
        # tree for each region.
        self.assertLessEqual(fleet.store.count('read'), 40 + 2)
        per_second = Counter(int(at) for at, _kind in fleet.store.calls)
        self.assertLessEqual(max(per_second.values()), 40 * 3 / 4)

    @params((1, None), (50, 'instances/'))
    def test_old_answer_causes_no_deletions(
        self,
        revision: int,
        prefix: str | None,
    ) -> None:
        """Check that an old answer to a full read deletes no entries.

        A store that was restored from a backup lacks the entries that were
        created since; they must not be taken for deleted.
        """
        fleet = _start_fleet(1, 1, 3)
        node = fleet.nodes[fleet.rank_daemons('r0')[0]]
        answer = events.StoreRead(
            now=fleet.now,
            prefix='instances/',
            revision=Revision(revision),
            entries=(),
        )
        received = core.on_store_read(node.state, answer, node.holdings)
        self.assertEqual(received.full_read_prefix, prefix)

    def test_daemon_is_served_unlisted_but_root_only_if_listed(self) -> None:
        fleet = Fleet(1, 1, 12)
        first = fleet.rank_daemons('r0')[0]
        fleet.store.edits.pop(f'instances/{first}')
        fleet.start()
        fleet.run(BOOT_SECONDS)
        self.assertEqual(fleet.find_daemons_without(Revision(1)), [])
        self.assert_watched(fleet, fleet.rank_daemons('r0')[1])
        fleet.list_instance(first)
        self.assert_watched(fleet, first)


class PartitionTest(FleetTest):
    """Check that a change passes a network partition or follows after it.

    Otherwise a part of the fleet would keep an old configuration.
    """

    def test_partitioned_region_catches_up_from_peers(self) -> None:
        fleet = _start_fleet(2, 2, 4)
        fleet.partition(lambda one, other: one[:2] != other[:2])
        revision = fleet.edit_store('teams/a', 'second')
        fleet.run(60)
        remote = [name for name in fleet.names if name.startswith('r1')]
        self.assertEqual(fleet.find_daemons_without(revision), remote)
        # The store stays out of reach, so the change must come from peers.
        fleet.partition(lambda one, other: 'r0-store' in (one, other))
        self.assert_reached(fleet, revision, 15)

    def test_region_without_store_gets_changes_from_peers(self) -> None:
        fleet = _start_fleet(2, 1, 6)
        fleet.partition(
            lambda one, other: {one[:2], other} == {'r1', 'r0-store'}
        )
        revision = fleet.edit_store('teams/a', 'second')
        self.assert_reached(fleet, revision)
        copies = sum(
            node.copies['teams/a', revision]
            for name, node in fleet.nodes.items()
            if name.startswith('r1')
        )
        # Both roots may pull at the same time, which adds one copy.
        self.assertLessEqual(copies, 6 + 1)


class PauseConfirmationTest(FleetTest):
    """Check that a daemon confirms its configuration after a pause.

    Without it, a resumed daemon would serve calls with the configuration from
    before the pause.
    """

    @params(0, 5)
    def test_resumed_daemon_is_unconfirmed_until_answer_or_timeout(
        self, place: int
    ) -> None:
        """Check that a daemon without an answer confirms only after 1 s.

        The time limit keeps new calls from waiting for ever.
        """
        fleet = _start_fleet(1, 1, 8)
        name = fleet.rank_daemons('r0')[place]
        node = fleet.nodes[name]
        node.is_frozen = True
        fleet.run(3)
        fleet.is_dropped = lambda peer, _message: peer == name
        fleet.store.is_down = True
        fleet.resume(name)
        fleet.run(0.9)
        self.assertFalse(core.is_confirmed(node.state))
        fleet.run(0.3)
        self.assertTrue(core.is_confirmed(node.state))

    def test_revision_from_peer_does_not_skip_edits(self) -> None:
        """Check that a watcher finds edits below a revision held by a peer.

        A watch that continued after revision 99 of the peer, which the store
        has not reached, would miss the next edit.
        """
        fleet = _start_fleet(1, 1, 3)
        watcher, peer = fleet.rank_daemons('r0')[:2]
        ahead = Entry(key='teams/b', revision=Revision(99), value='text')
        fleet.nodes[peer].holdings.merge([ahead])
        fleet.run(BOOT_SECONDS)
        self.assertEqual(fleet.nodes[watcher].holdings.highest, 99)
        revision = fleet.edit_store('teams/a', 'second')
        self.assertLess(revision, 99)
        self.assert_reached(fleet, revision, 5)
