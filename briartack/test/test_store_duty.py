"""Tests of the choice of the daemons that watch the store, by distance.

The store is in region r0; in the other regions its answers take 24 ms longer.
Two daemons of r0 should watch, and a change must be in force in time although
they fail.
"""

import itertools
import unittest
from collections.abc import Callable
from functools import partial
from typing import Final
from unittest import mock

from nose2.tools import params

from briartack.core import events
from briartack.core import messages as wire
from briartack.core.dissemination.store_rules import StoreRules
from briartack.core.entries import Entry
from briartack.core.units import Revision
from briartack.test.fleet import TICK_SECONDS, Fleet

# The platform's bound for a change to be in force in every daemon.
IN_FORCE_SECONDS: Final = 2.0
BOOT_SECONDS: Final = 6
RULES: Final = StoreRules(
    start_jitter_seconds=0.1,
    duty_backoff_seconds=1.0,
    redial_seconds=1.0,
    orphan_seconds=1.3,
    overdue_seconds=0.8,
    watch_wait_seconds=0.6,
    watch_grace_seconds=0.5,
    is_duty_by_distance=True,
)


def started_fleet(regions: int = 3) -> Fleet:
    """Return a fleet of regions, each with 2 data centres of 3 daemons."""
    fleet = Fleet(regions, 2, 3, rules=RULES)
    fleet.store_seconds = lambda name: 0.004 if name[:2] == 'r0' else 0.028
    fleet.start()
    fleet.run(BOOT_SECONDS)
    return fleet


def collect_watchers(fleet: Fleet, seconds: float) -> set[str]:
    """Return all daemons that watch at some moment of a time.

    At a single moment, a watcher may be between two watches.
    """
    found: set[str] = set()
    for _ in range(round(seconds / TICK_SECONDS)):
        fleet.run(TICK_SECONDS)
        found.update(fleet.list_watchers())
    return found


def no_fault(fleet: Fleet) -> tuple[str, ...]:
    """Leave the fleet without a fault."""
    return ()


def kill_first_watcher(fleet: Fleet) -> tuple[str, ...]:
    """Kill the first watcher and return the daemons that are lost."""
    lost = fleet.rank_daemons('r0')[0]
    fleet.kill(lost)
    return (lost,)


def freeze_first_watcher(fleet: Fleet) -> tuple[str, ...]:
    """Freeze the first watcher and return the daemons that are lost."""
    frozen = fleet.rank_daemons('r0')[0]
    fleet.nodes[frozen].is_frozen = True
    return (frozen,)


def freeze_both_watchers(fleet: Fleet) -> tuple[str, ...]:
    """Freeze both watchers and return the daemons that are lost."""
    frozen = tuple(fleet.rank_daemons('r0')[:2])
    for name in frozen:
        fleet.nodes[name].is_frozen = True
    return frozen


def kill_watching_region(fleet: Fleet) -> tuple[str, ...]:
    """Kill all daemons of the region that watches, and return them."""
    lost = tuple(fleet.rank_daemons('r0'))
    for name in lost:
        fleet.kill(name)
    return lost


def cut_first_watcher_from_store(fleet: Fleet) -> tuple[str, ...]:
    """Cut the first watcher off from the store; no daemon is lost."""
    root = fleet.rank_daemons('r0')[0]
    fleet.partition(
        lambda sender, receiver: (
            'r0-store' in {sender, receiver} and root == sender
        ),
    )
    return ()


def silence_store_at_first_watcher(fleet: Fleet) -> tuple[str, ...]:
    """Let the store ignore all calls of the first watcher."""
    silent = fleet.rank_daemons('r0')[0]
    fleet.is_store_silent = lambda name: name == silent
    return ()


def silence_store_at_both_watchers(fleet: Fleet) -> tuple[str, ...]:
    """Let the store ignore all calls of both watchers."""
    silent = fleet.rank_daemons('r0')[:2]
    fleet.is_store_silent = lambda name: name in silent
    return ()


def silence_store_in_watching_region(fleet: Fleet) -> tuple[str, ...]:
    """Let the store ignore all calls of the region that watches."""
    fleet.is_store_silent = lambda name: name[:2] == 'r0'
    return ()


def silence_store_at_all_roots(fleet: Fleet) -> tuple[str, ...]:
    """Let the store ignore all calls of the roots of every region."""
    regions = {name[:2] for name in fleet.names}
    silent = {
        root for region in regions for root in fleet.rank_daemons(region)[:2]
    }
    fleet.is_store_silent = lambda name: name in silent
    return ()


def deliver_change(fleet: Fleet, place: int, revision: Revision) -> Revision:
    """Let the watch of one daemon return a change of the configuration."""
    change = Entry(key='teams/a', revision=revision, value='second')
    watched = partial(events.StoreWatched, revision=revision, entries=(change,))
    fleet.deliver(sorted(fleet.names)[place], watched)
    return revision


def _send_to_others(
    send: Callable[[str, str, wire.PeerMessage], None],
    isolated: str,
    name: str,
    peer: str,
    message: wire.PeerMessage,
) -> None:
    """Send a message, unless its sender or receiver is the isolated daemon."""
    if isolated not in {name, peer}:
        send(name, peer, message)


class StoreDutyTest(unittest.TestCase):
    def test_two_daemons_of_the_nearest_region_watch(self) -> None:
        """Guard against answers of the store on paid links."""
        fleet = started_fleet()
        self.assertEqual(
            sorted(fleet.list_watchers()), sorted(fleet.rank_daemons('r0')[:2])
        )

    def test_each_daemon_gets_a_change_once(self) -> None:
        """Guard against copies of a change on paid links."""
        fleet = started_fleet()
        revision = fleet.edit_store('teams/a', 'second')
        fleet.run(1)
        self.assertEqual(fleet.find_daemons_without(revision), [])
        copies = [
            node.copies['teams/a', revision]
            for name, node in fleet.nodes.items()
        ]
        self.assertLessEqual(max(copies), 1)

    @params(
        no_fault,
        kill_first_watcher,
        freeze_first_watcher,
        freeze_both_watchers,
        kill_watching_region,
        cut_first_watcher_from_store,
        silence_store_at_first_watcher,
        silence_store_at_both_watchers,
        silence_store_in_watching_region,
    )
    def test_change_is_in_force_in_time(
        self,
        fault: Callable[[Fleet], tuple[str, ...]],
    ) -> None:
        """Guard against a change that waits for a lost watcher."""
        fleet = started_fleet()
        lost = fault(fleet)
        revision: Revision = fleet.edit_store('teams/a', 'second')
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(
            set(fleet.find_daemons_without(revision)) - set(lost), set()
        )

    # Guards against watches that are pending and silent, and count as healthy.
    @params(*range(20))
    def test_change_is_in_force_although_the_store_ignores_its_watchers(
        self, tenths: int
    ) -> None:
        """Guard against watchers that wait for a store that is silent.

        The store ignores both watchers from a moment before the change on.
        """
        fleet = started_fleet()
        fleet.run(1 + tenths / 10)
        silence_store_at_both_watchers(fleet)
        fleet.run(tenths / 10)
        revision = fleet.edit_store('teams/a', 'second')
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(fleet.find_daemons_without(revision), [])

    # Guards against a store that nobody watches but silent roots.
    @params(*itertools.product((1, 2, 3), range(0, 20, 3)))
    def test_change_is_in_force_although_the_store_ignores_all_roots(
        self, regions: int, tenths: int
    ) -> None:
        """Guard against a watch that only roots of a region may take over.

        The store ignores the roots of all regions from a moment before the
        change on. When it answers them again, only they watch.
        """
        fleet = started_fleet(regions)
        fleet.run(1 + tenths / 10)
        silence_store_at_all_roots(fleet)
        fleet.run(tenths / 10)
        revision = fleet.edit_store('teams/a', 'second')
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(fleet.find_daemons_without(revision), [])
        fleet.is_store_silent = lambda name: False
        fleet.run(BOOT_SECONDS)
        self.assertEqual(
            collect_watchers(fleet, 1), set(fleet.rank_daemons('r0')[:2])
        )

    # Guards against a daemon that trusts a watch after one that was silent.
    @params(*range(20))
    def test_change_is_in_force_although_all_watches_are_silent(
        self, tenths: int
    ) -> None:
        """Guard against silent watches that are followed by watches only.

        The store answers reads, and no watch from a moment before the change.
        """
        fleet = started_fleet()
        fleet.run(1 + tenths / 10)
        fleet.are_watches_silent = True
        fleet.run(tenths / 10)
        revision = fleet.edit_store('teams/a', 'second')
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(fleet.find_daemons_without(revision), [])

    @params(*range(18))
    def test_change_reaches_a_daemon_that_receives_no_messages(
        self,
        place: int,
    ) -> None:
        """Guard against a daemon that waits for peers while the store answers.

        All messages of the daemon are lost in both directions, without notice.
        """
        fleet = started_fleet()
        isolated = fleet.names[place]
        send = partial(_send_to_others, fleet.send, isolated)
        with mock.patch.object(fleet, 'send', send):
            revision = fleet.edit_store('teams/a', 'second')
            fleet.run(IN_FORCE_SECONDS)
            self.assertEqual(fleet.find_daemons_without(revision), [])
        fleet.run(BOOT_SECONDS)
        self.assertEqual(
            sorted(fleet.list_watchers()), sorted(fleet.rank_daemons('r0')[:2])
        )

    # Guards against configuration below a revision that the list has raised.
    @params(*itertools.permutations((0, 1, 5, 9, 17), 2))
    def test_configuration_spreads_although_a_newer_list_came_first(
        self, joiner: int, reader: int
    ) -> None:
        """Guard against a highest revision that stands for all entries.

        A daemon reads the list of instances alone, at revision 27; then
        another one reads the configuration of revision 25.
        """
        fleet = started_fleet()
        before = fleet.store.revision
        newer_list = Entry(
            key='instances/r0-0-0',
            revision=Revision(before + 7),
            value=fleet.store.edits['instances/r0-0-0'].value,
        )
        read = partial(
            events.StoreRead,
            prefix='instances/',
            revision=newer_list.revision,
            entries=(*fleet.store.read('instances/')[1:], newer_list),
        )
        fleet.deliver(sorted(fleet.names)[joiner], read)
        fleet.run(0.5)
        self.assertEqual(fleet.find_daemons_without(newer_list.revision), [])
        change = deliver_change(fleet, reader, Revision(before + 5))
        fleet.run(0.5)
        self.assertEqual(fleet.find_daemons_without(change), [])

    # Guards against configuration below a revision that a single key raised.
    @params(*itertools.permutations((0, 1, 5, 9, 17), 2))
    def test_configuration_spreads_although_a_newer_key_came_first(
        self, resumed: int, reader: int
    ) -> None:
        """Guard against a read of one key that counts as a read of all.

        After a pause, a daemon reads one key at revision 27 to learn how far
        the store is; then another one reads the configuration of revision 25.
        """
        fleet = started_fleet()
        before = fleet.store.revision
        key = Entry(key='platform', revision=Revision(before + 7), value='text')
        read = partial(
            events.StoreRead,
            prefix='platform',
            revision=key.revision,
            entries=(key,),
        )
        fleet.deliver(sorted(fleet.names)[resumed], read)
        fleet.run(0.5)
        change = deliver_change(fleet, reader, Revision(before + 5))
        fleet.run(0.5)
        self.assertEqual(fleet.find_daemons_without(change), [])

    def test_watch_returns_to_the_nearest_region(self) -> None:
        """Guard against a watch that stays in a distant region."""
        fleet = started_fleet()
        lost = fleet.rank_daemons('r0')
        for name in lost:
            fleet.kill(name)
        fleet.run(3)
        fleet.start(*lost)
        fleet.run(BOOT_SECONDS)
        self.assertEqual(
            sorted(fleet.list_watchers()), sorted(fleet.rank_daemons('r0')[:2])
        )

    @params(0, 1, 9, 17)
    def test_restart_during_store_outage_gets_a_snapshot(
        self, place: int
    ) -> None:
        """Guard against a restarted daemon that gets no snapshot.

        The store is down, and the peers hold the daemon's goodbye.
        """
        fleet = started_fleet()
        name = sorted(fleet.names)[place]
        fleet.store.is_down = True
        fleet.run(1)
        goodbye = wire.Goodbye(incarnation=fleet.nodes[name].hello.incarnation)
        for peer in fleet.nodes:
            fleet.send(name, peer, goodbye)
        fleet.run(0.1)
        fleet.kill(name)
        fleet.run(1)
        fleet.start(name)
        fleet.run(IN_FORCE_SECONDS)
        self.assertTrue(fleet.nodes[name].holdings.has_snapshot)
