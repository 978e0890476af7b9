"""Tests of daemons that start or take over after the store was restored.

Such a daemon has not seen the restore itself: its first answers may be those of
the copy, and what was lost is known to its peers alone.
"""

import itertools
import unittest

import msgspec
from nose2.tools import params

from briartack.core.entries import Entry, is_instance_key
from briartack.core.units import Era, place_in_era
from briartack.test.store_reader import (
    SETTLED,
    Daemon,
    ListRead,
    Read,
    Watched,
    record,
    subtree,
    version,
    zone,
)

OUT = ('north-2',)
# What the fleet holds when the store is restored at number 21.
OLD_DAEMON = (
    Read(1, 1, 21, (version(21, 3, 9), record(20, 'live', 5))),
    Watched(2, 1, 22, (zone(22),)),
)
COPY = (version(21, 3, 9), record(20, 'live', 5))


COPIED = place_in_era(Era(2), 21)
DELETION = msgspec.structs.replace(record(23, None, 0), stated=(1000, 5))


class StartedAfterRestoreTest(unittest.TestCase):
    # Guards against a data centre that gets work again because a daemon that
    # started after the restore takes a key that the copy lacks for deleted.
    @params(
        (ListRead(4, 2, 21, (record(20, 'live', 5),)), Read(4.5, 2, 21, COPY)),
        (Read(4, 2, 21, COPY), Read(4.5, 2, 21, COPY)),
    )
    def test_key_that_the_copy_lacks_is_not_deleted(
        self, first: Read | ListRead, second: Read
    ) -> None:
        old = Daemon()
        old.deliver(*OLD_DAEMON)
        fresh = Daemon()
        fresh.deliver(first)
        fresh.learn_from(old, 4.2)
        fresh.deliver(second)
        self.assertEqual(fresh.data_centres_out, OUT)
        # The operators have written it again, or taken the centre back.
        fresh.deliver(Read(SETTLED, 2, 21, COPY))
        self.assertEqual(fresh.data_centres_out, ())

    # Guards against a data centre that is out again, at all daemons, because
    # one that started after the restore has read the copy.
    def test_copy_does_not_bring_an_ended_outage_back(self) -> None:
        old = Daemon()
        old.deliver(*OLD_DAEMON, Watched(3, 1, 23, (zone(23, is_out=False),)))
        fresh = Daemon()
        fresh.deliver(Read(4, 2, 22, (*COPY, zone(22))))
        old.learn_from(fresh, 4.1)
        fresh.learn_from(old, 4.1)
        self.assertEqual(old.data_centres_out, ())
        self.assertEqual(fresh.data_centres_out, ())

    # Guards against a list that has an upstream again which had left, because
    # a daemon that started after the restore has read the copy.
    def test_copy_does_not_bring_an_upstream_back_that_left(self) -> None:
        old = Daemon()
        old.deliver(*OLD_DAEMON, Watched(3, 1, 23, (record(23, None, 0),)))
        fresh = Daemon()
        fresh.deliver(Read(4, 2, 22, (*COPY, zone(22))))
        old.learn_from(fresh, 4.1)
        fresh.learn_from(old, 4.1)
        self.assertIsNone(old.listed_state)
        self.assertIsNone(fresh.listed_state)


class TakesOverAfterRestoreTest(unittest.TestCase):
    # Guards against a change that is never in force because the daemon that
    # reads it first knows the era by its peers alone.
    @params((None, None, None, None), (9, 11, 14, 15))
    def test_change_is_in_force(self, *stated: int | None) -> None:
        watcher = Daemon()
        watcher.deliver(
            Read(1, 1, 40, (version(40, 1, stated[0]),)),
            Read(4, 2, 29, (version(21, 2, stated[1]),)),
            Watched(5, 2, 30, (version(30, 3, stated[2]),)),
        )
        other = Daemon()
        other.deliver(Read(1, 1, 40, (version(40, 1, stated[0]),)))
        other.learn_from(watcher, 6)
        self.assertEqual(other.active_value, subtree(3))
        change = version(31, 4, stated[3])
        other.deliver(Read(SETTLED * 2, 2, 31, (change,)))
        self.assertEqual(other.active_value, subtree(4))

    # Guards against a version that is refused, or lost, because a daemon that
    # started after the restore has placed it in the era before, where the same
    # or a higher number stands for an older version.
    @params(22, 35)
    def test_version_of_a_number_that_was_given_out_twice_is_in_force(
        self, number: int
    ) -> None:
        lagging = Daemon()
        lagging.deliver(Read(1, 1, number, (version(number, 2, 11),)))
        fresh = Daemon()
        fresh.deliver(Read(4, 2, 22, (version(22, 3, 12),)))
        lagging.learn_from(fresh, 4.1)
        fresh.learn_from(lagging, 4.1)
        self.assertEqual(lagging.active_value, subtree(3))
        self.assertEqual(fresh.active_value, subtree(3))


class RefusedVersionTest(unittest.TestCase):
    # Guards against a daemon without a team's configuration for good: it starts
    # after the restore and reads a malformed version, whose number stands for
    # the version in force in the era before.
    def test_valid_version_is_not_taken_for_a_refused_one(self) -> None:
        old = Daemon()
        old.deliver(Read(1, 1, 17, (version(17, 3),)))
        malformed = msgspec.structs.replace(version(17, 0), value='{"x": 1}')
        fresh = Daemon()
        fresh.deliver(Read(4, 2, 19, (malformed,)))
        self.assertIsNone(fresh.active_value)
        fresh.learn_from(old, 4.1)
        self.assertEqual(fresh.active_value, subtree(3))


class DeletedInstanceTest(unittest.TestCase):
    # Guards against lists that differ for good, or change with every message,
    # because two daemons order a record and its deletion differently.
    @params(
        # The restored store repeats a record that was deleted.
        (DELETION, record(COPIED, 'live', 5), None),
        # The upstream has written again after the deletion.
        (DELETION, record(COPIED, 'live', 6), 'live'),
        # Another start of the upstream has its id.
        (DELETION, record(COPIED, 'live', 1, born=2000), 'live'),
        # The restored store lacks the record, although it is a later one.
        (record(COPIED, None, 0), record(25, 'live', 9), None),
    )
    def test_daemons_agree_whatever_came_first(
        self, deletion: Entry, listed: Entry, state: str | None
    ) -> None:
        for order in itertools.permutations((deletion, listed)):
            daemon = Daemon()
            daemon.deliver(*OLD_DAEMON)
            daemon.state.membership.apply(order)
            daemon.state.membership.apply(order)
            self.assertEqual(daemon.listed_state, state, order)


class InventoryOfInstancesTest(unittest.TestCase):
    # Guards against daemons that list different upstreams for good: the order
    # that upstreams state decides between eras, so peers have to compare it.
    def test_versions_of_instances_state_their_order(self) -> None:
        daemon = Daemon()
        daemon.deliver(*OLD_DAEMON)
        held = daemon.state.holdings.versions()
        stated = {
            key: found.stated
            for key, found in held.items()
            if is_instance_key(key)
        }
        self.assertEqual(stated, {'instances/i-1': (1000, 5)})
