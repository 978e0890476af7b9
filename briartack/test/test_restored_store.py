"""Tests of a store that was restored from a copy.

The store loses its latest changes, counts on from the revision of the copy in a
new era, and the operators and the upstreams write again what they wrote. What
is in force must stay so, and later changes must come into force.
"""

import json
import unittest
from random import Random
from typing import Final

from briartack.core import events
from briartack.core.entries import Entry
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import Era, Incarnation, InstanceId, Revision

TEAM_KEY: Final = 'teams/op'


def subtree(number: int) -> str:
    """Return the subtree of a team that differs by a number."""
    return json.dumps(
        {'services': {'main': {'slots': number, 'connections': 8}}}
    )


def entry(revision: int, number: int) -> Entry:
    """Return a version of the configuration, as the store gives it."""
    return Entry(
        key=TEAM_KEY, revision=Revision(revision), value=subtree(number)
    )


class Daemon:
    """Run the reducer of a daemon that reads and watches the store."""

    def __init__(self) -> None:
        self.state = State(
            identity=Identity(
                instance=InstanceId('x'),
                incarnation=Incarnation('x.1'),
                service='op/main',
                data_centre='north-1',
                region='north',
            ),
            random=Random(1),
            drain_seconds=1,
        )

    @property
    def active_value(self) -> str | None:
        """Return the value of the configuration in force."""
        held = self.state.configuration.entries_for((TEAM_KEY,))
        return held[0].value if held else None

    def read(self, now: float, era: int, revision: int, *held: Entry) -> None:
        """Deliver the answer to a read of all keys."""
        reduce(
            self.state,
            events.StoreRead(
                now=now,
                prefix='',
                revision=Revision(revision),
                entries=held,
                era=Era(era),
            ),
        )

    def watch(self, now: float, era: int, *changes: Entry) -> None:
        """Deliver the answer to a watch."""
        reduce(
            self.state,
            events.StoreWatched(
                now=now,
                revision=changes[-1].revision,
                entries=changes,
                era=Era(era),
            ),
        )


class ReusedRevisionsTest(unittest.TestCase):
    """Check the changes that come after the restore.

    Revision 23 is in force in era 1. The copy ends at revision 21; the newest
    configuration is written again as revision 22 of era 2.
    """

    def setUp(self) -> None:
        self.daemon = Daemon()
        self.daemon.read(1, 1, 21, entry(21, 1))
        self.daemon.watch(2, 1, entry(22, 2))
        self.daemon.watch(3, 1, entry(23, 3))
        self.daemon.read(4, 2, 22, entry(22, 3))

    # Guards against a change that is refused because the store gave its
    # revision to another value in an earlier era.
    def test_change_with_a_revision_used_before_comes_into_force(self) -> None:
        self.daemon.watch(5, 2, entry(23, 4))
        self.assertEqual(self.daemon.active_value, subtree(4))


class LowerRevisionsTest(unittest.TestCase):
    """Check the changes of a store that fell far behind what is held."""

    # Guards against a change that is ignored because its revision is below one
    # of an earlier era.
    def test_change_with_a_lower_revision_comes_into_force(self) -> None:
        daemon = Daemon()
        daemon.read(1, 1, 90, entry(90, 1))
        daemon.read(4, 2, 40, entry(40, 1))
        daemon.watch(5, 2, entry(41, 2))
        self.assertEqual(daemon.active_value, subtree(2))
