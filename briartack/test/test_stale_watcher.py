"""Tests of cuts between daemons while the store ignores all roots.

Daemons below the roots watch the store then. A cut may part them from daemons
that have heard of their watch.
"""

import itertools
import unittest
from collections.abc import Callable
from functools import partial
from unittest import mock

from nose2.tools import params

from briartack.core import messages as wire
from briartack.test.fleet import TICK_SECONDS, Fleet
from briartack.test.test_store_duty import (
    BOOT_SECONDS,
    IN_FORCE_SECONDS,
    silence_store_at_all_roots,
    started_fleet,
)


def _send_within(
    send: Callable[[str, str, wire.PeerMessage], None],
    zone: str,
    name: str,
    peer: str,
    message: wire.PeerMessage,
) -> None:
    if name.startswith(zone) == peer.startswith(zone):
        send(name, peer, message)


def find_late_daemons(fleet: Fleet) -> set[str]:
    """Return the daemons that lack a change in time, but for the roots."""
    revision = fleet.edit_store('teams/a', 'second')
    fleet.run(IN_FORCE_SECONDS)
    late = fleet.find_daemons_without(revision)
    return set(late).difference(fleet.rank_daemons('r0')[:2])


class StaleWatcherTest(unittest.TestCase):
    # Guards against daemons that trust the last word of a silent parent, or of
    # one that no longer hears the watcher.
    @params(*itertools.product(('r0-0', 'r0-1'), (0, 3, 6, 9)))
    def test_change_is_in_force_on_both_sides_of_a_cut(
        self, zone: str, tenths: int
    ) -> None:
        fleet = started_fleet(1)
        silence_store_at_all_roots(fleet)
        fleet.run(BOOT_SECONDS + tenths * TICK_SECONDS)
        send = partial(_send_within, fleet.send, zone)
        with mock.patch.object(fleet, 'send', send):
            self.assertEqual(find_late_daemons(fleet), set())
