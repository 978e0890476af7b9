"""Tests of cuts that let messages through in one direction only.

The daemons behind such a cut hear who watches the store and which versions
there are, and nothing that they ask for is answered.
"""

import itertools
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial
from typing import Any
from unittest import mock

from nose2.tools import params

from briartack.core import messages as wire
from briartack.core.dissemination.overdue_versions import OverdueVersions
from briartack.core.units import Revision
from briartack.test.fleet import TICK_SECONDS, Fleet
from briartack.test.test_store_duty import (
    IN_FORCE_SECONDS,
    started_fleet,
)


def cut_from(fleet: Fleet, prefix: str) -> AbstractContextManager[Any]:
    """Lose what some daemons send to all others, without notice."""
    send = partial(_send_unless_cut, fleet.send, prefix)
    return mock.patch.object(fleet, 'send', send)


def _send_unless_cut(
    send: Callable[[str, str, wire.PeerMessage], None],
    prefix: str,
    name: str,
    peer: str,
    message: wire.PeerMessage,
) -> None:
    if peer.startswith(prefix) or not name.startswith(prefix):
        send(name, peer, message)


class OneWayCutTest(unittest.TestCase):
    # Guards against daemons that hear of a version, cannot get it from a peer
    # and do not ask the store.
    @params(
        *itertools.product(('r0', 'r1', 'r1-1', 'r0-1-1', 'r2-0-0'), (0, 5))
    )
    def test_version_is_in_force_where_only_announcements_arrive(
        self, prefix: str, tenths: int
    ) -> None:
        fleet = started_fleet()
        with cut_from(fleet, prefix):
            fleet.run(tenths / 10)
            for text in ('second', 'third'):
                revision: Revision = fleet.edit_store('teams/a', text)
                fleet.run(IN_FORCE_SECONDS)
                self.assertEqual(fleet.find_daemons_without(revision), [])


class OverdueVersionsTest(unittest.TestCase):
    # Guards against steady reads by a daemon that cannot take a version.
    @params((1, 2, 8), (2, 2, 0), (3, 2, 0))
    def test_reads_grow_rare_without_progress(
        self, held: int, announced: int, reads: int
    ) -> None:
        overdue = OverdueVersions()
        taken = 0
        for tick in range(round(130 / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            overdue.record(now, Revision(held), Revision(announced))
            taken += overdue.take_overdue(now, 1)
        self.assertEqual(taken, reads)

    # Guards against a read of the store for each change that arrives in time.
    def test_progress_and_pauses_restart_the_wait(self) -> None:
        overdue = OverdueVersions()
        for second in range(20):
            overdue.record(second, Revision(second), Revision(second + 1))
            self.assertFalse(overdue.take_overdue(second + 0.9, 1))
        overdue.resume()
        overdue.record(30, Revision(20), Revision(21))
        self.assertFalse(overdue.take_overdue(30.9, 1))
        self.assertTrue(overdue.take_overdue(31, 1))
