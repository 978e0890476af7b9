"""Tests of daemons whose peers announce a change and then fall silent."""

import itertools
import unittest
from collections.abc import Collection, Sequence
from functools import partial
from typing import Final

from nose2.tools import params

from briartack.core import messages as wire
from briartack.core.dissemination.peer_sync import PeerSyncState
from briartack.core.effects import SendMessage
from briartack.core.units import Digest, Incarnation, InstanceId, Revision
from briartack.test.fake_holdings import FakeHoldings
from briartack.test.fleet import TICK_SECONDS, Fleet
from briartack.test.test_store_duty import IN_FORCE_SECONDS, started_fleet

# Regions that no daemon of which watches the store.
REGIONS: Final = ('r1', 'r2')
# Probes of other regions have ended.
PROBES_ENDED_SECONDS: Final = 5
STEP_SECONDS: Final = 0.25
SUMMARY: Final = wire.Summary(
    incarnation=Incarnation('1'),
    highest=Revision(1),
    configuration_digest=Digest(b'1'),
    instances_digest=Digest(b'1'),
    clock=0,
    wants_answers=False,
    configuration_highest=Revision(1),
)


def are_entries_for(
    receivers: Collection[str], peer: str, message: wire.PeerMessage
) -> bool:
    """Return whether a message brings entries to one of the receivers."""
    return peer in receivers and isinstance(message, wire.Entries)


def freeze_after_announcement(
    fleet: Fleet, region: Sequence[str], frozen: Collection[str]
) -> Revision:
    """Change the configuration; freeze daemons that hold and announced it.

    No other daemon of the region has received it yet.
    """
    waiting = set(region).difference(frozen)
    fleet.is_dropped = partial(are_entries_for, waiting)
    revision = fleet.edit_store('teams/a', 'second')
    fleet.run(TICK_SECONDS)
    for name in frozen:
        fleet.nodes[name].is_frozen = True
    fleet.is_dropped = lambda peer, message: False
    return revision


def ask_silent_peers(
    silent: int,
) -> tuple[list[InstanceId], list[tuple[float, str]]]:
    """Return all peers, and when pulls are sent to which of them.

    One more than the silent ones is in another region; none answers.
    """
    sync = PeerSyncState()
    peers = [InstanceId(f'peer-{number}') for number in range(silent + 1)]
    asked: list[tuple[float, str]] = []
    for step in range(round((silent + 1) / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for peer in peers:
            sync.on_summary(now, peer, SUMMARY, is_remote=peer == peers[-1])
        effects = sync.send_due_requests(
            now,
            FakeHoldings(),
            starts_inventories_with=lambda peer: False,
            remote_delay_seconds=0,
        )
        asked.extend(
            (now, effect.peer)
            for effect in effects
            if isinstance(effect, SendMessage)
        )
    return peers, asked


class TestSilentPeers(unittest.TestCase):
    # Guards against pulls that go to silent peers alternately, while another
    # peer that holds the change is not asked.
    @params(*itertools.product(REGIONS, range(1, 6)))
    def test_change_is_in_force_although_two_peers_fell_silent(
        self, region: str, place: int
    ) -> None:
        """Guard against a change that waits for two silent peers.

        The first root of a region and another daemon are paused after they
        have announced the change.
        """
        fleet = started_fleet()
        fleet.run(PROBES_ENDED_SECONDS)
        daemons = fleet.rank_daemons(region)
        frozen = (daemons[0], daemons[place])
        revision = freeze_after_announcement(fleet, daemons, frozen)
        fleet.run(IN_FORCE_SECONDS - TICK_SECONDS)
        late = set(fleet.find_daemons_without(revision)) - set(frozen)
        self.assertEqual(late, set())

    # Guards against peers that send heartbeats, do not answer pulls, and are
    # asked again before a peer that was not asked yet.
    @params(1, 2, 3, 4)
    def test_each_peer_is_asked_before_any_is_asked_again(
        self, silent: int
    ) -> None:
        """Guard against a pull that never reaches a peer that answers."""
        peers, asked = ask_silent_peers(silent)
        self.assertEqual([peer for _, peer in asked][: len(peers)], peers)

    # Guards against a change that waits for a timeout of each silent peer.
    @params((0, 0), (1, 0.5), (2, 0.5), (3, 1), (4, 1), (6, 1.5))
    def test_two_peers_are_asked_at_once_after_a_timeout(
        self, silent: int, expected: float
    ) -> None:
        """Check when the last peer is asked, which would answer."""
        peers, asked = ask_silent_peers(silent)
        times = [now for now, peer in asked if peer == peers[-1]]
        self.assertEqual(times[0], expected)
