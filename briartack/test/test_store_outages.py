"""Tests of what a daemon knows of outages of the store.

Upstreams whose records are deleted together have left, unless the store was
away: then they could not renew their records, and most of them still live.
"""

import unittest
from typing import Final

from nose2.tools import params

from briartack.core import events, messages
from briartack.core.dissemination.store_outages import (
    OUTAGE_EFFECT_SECONDS,
    StoreOutages,
)
from briartack.core.entries import Entry
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import Digest, Incarnation, Revision
from briartack.test.daemon_pair import PEER, connect_peer, make_state
from briartack.test.test_lapsed_records import (
    DRAIN_SECONDS,
    INSTANCE_COUNT,
    entry,
)

DELETED_COUNT: Final = 6
LAPSED_AT: Final = 10.0


def make_daemon() -> State:
    """Make the state of a daemon that a peer has told of all instances."""
    state = make_state(drain_seconds=5)
    reduce(state, events.Started(now=0, incarnation=Incarnation('a1')))
    connect_peer(state, 0.1)
    listed = [
        entry(number, number, 'live') for number in range(1, INSTANCE_COUNT + 1)
    ]
    receive(state, 0.2, make_entries(*listed))
    return state


def make_entries(*entries: Entry) -> messages.Entries:
    """Make the message with some entries."""
    return messages.Entries(highest=entries[-1].revision, entries=entries)


def make_summary(store_away_seconds_ago: float | None) -> messages.Summary:
    """Make the summary of a peer that has seen an outage or not."""
    return messages.Summary(
        incarnation=Incarnation('b1'),
        highest=Revision(1),
        configuration_digest=Digest(b''),
        instances_digest=Digest(b''),
        clock=1,
        store_away_seconds_ago=store_away_seconds_ago,
    )


def receive(state: State, now: float, message: messages.PeerMessage) -> None:
    """Deliver a message of the peer."""
    reduce(
        state, events.PeerMessageReceived(now=now, peer=PEER, message=message)
    )


def fail_call(state: State, now: float) -> None:
    """Report that the store gave no answer to a read of this daemon."""
    reduce(
        state,
        events.StoreFailed(
            now=now,
            operation=events.StoreOperation.READ,
            prefix='',
            reason='timeout',
        ),
    )


class MassLapseTest(unittest.TestCase):
    # Guards against requests to upstreams that left together, and against an
    # emptied list after an outage that this daemon or only a peer has seen.
    @params(
        (None, None, INSTANCE_COUNT - DELETED_COUNT),
        (0.3, None, INSTANCE_COUNT),
        (None, 0.3, INSTANCE_COUNT),
        (60.0, None, INSTANCE_COUNT - DELETED_COUNT),
    )
    def test_records_deleted_together_count_longer_after_an_outage(
        self, told: float | None, seen: float | None, expected_count: int
    ) -> None:
        """Each row states how long ago an outage was, told or seen."""
        state = make_daemon()
        if seen is not None:
            fail_call(state, LAPSED_AT - seen)
        receive(state, LAPSED_AT, make_summary(told))
        deleted = [
            entry(number, 100 + number, None)
            for number in range(1, DELETED_COUNT + 1)
        ]
        receive(state, LAPSED_AT, make_entries(*deleted))
        reduce(state, events.Tick(now=LAPSED_AT + DRAIN_SECONDS))
        self.assertEqual(state.membership.instance_count, expected_count)


class StoreOutagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outages = StoreOutages()

    # Guards against deletions that count late for good after one outage.
    def test_outage_is_forgotten(self) -> None:
        self.assertIsNone(self.outages.seconds_since(5))
        self.outages.record_failure(10)
        self.outages.record_answer(15)
        self.outages.record_answer(16)
        self.assertEqual(self.outages.seconds_since(16), 1)
        later = 15 + OUTAGE_EFFECT_SECONDS + 0.1
        self.assertIsNone(self.outages.seconds_since(later))

    # Guards against an outage without end at a daemon that calls no more.
    def test_failure_of_the_last_call_is_forgotten(self) -> None:
        self.outages.record_failure(10)
        self.assertIsNone(self.outages.seconds_since(60))
        self.outages.record_answer(60)
        self.assertIsNone(self.outages.seconds_since(60))

    # Guards against an outage that two daemons tell each other of for good.
    def test_outage_told_back_and_forth_ends(self) -> None:
        peer = StoreOutages()
        self.outages.record_failure(10)
        self.outages.record_answer(10)
        now = 10.0
        while now < 10 + 2 * OUTAGE_EFFECT_SECONDS:
            told = self.outages.seconds_since(now)
            now += 0.1
            peer.record_told(now, told)
            self.outages.record_told(now + 0.1, peer.seconds_since(now))
            now += 0.1
        self.assertIsNone(self.outages.seconds_since(now))
        self.assertIsNone(peer.seconds_since(now))
