"""Guards the watch of the store where distance decides who keeps it.

Region r0 holds the store; an answer takes 24 ms longer elsewhere.
"""

import unittest
from collections.abc import Callable
from functools import partial
from typing import Final
from unittest import mock

from nose2.tools import params

from briartack.core import messages as wire
from briartack.core.dissemination.store_rules import StoreRules
from briartack.core.units import Revision
from briartack.test.fleet import Fleet

# The bound of a change on the platform, in seconds.
IN_FORCE_SECONDS: Final = 2.0
BOOT_SECONDS: Final = 6
RULES: Final = StoreRules(
    start_jitter_seconds=0.1,
    duty_backoff_seconds=1.0,
    redial_seconds=1.0,
    orphan_seconds=1.3,
    is_duty_by_distance=True,
)


def started() -> Fleet:
    """Start three regions of two data centres with three daemons each."""
    fleet = Fleet(3, 2, 3, rules=RULES)
    fleet.store_seconds = lambda name: 0.004 if name[:2] == 'r0' else 0.028
    fleet.start()
    fleet.run(BOOT_SECONDS)
    return fleet


def nothing(fleet: Fleet) -> tuple[str, ...]:
    """Let the fleet be."""
    return ()


def kill_first(fleet: Fleet) -> tuple[str, ...]:
    """Kill the first watcher."""
    lost = fleet.roots('r0')[0]
    fleet.kill(lost)
    return (lost,)


def freeze_first(fleet: Fleet) -> tuple[str, ...]:
    """Freeze the first watcher."""
    frozen = fleet.roots('r0')[0]
    fleet.nodes[frozen].is_frozen = True
    return (frozen,)


def freeze_both(fleet: Fleet) -> tuple[str, ...]:
    """Freeze both watchers."""
    frozen = tuple(fleet.roots('r0')[:2])
    for name in frozen:
        fleet.nodes[name].is_frozen = True
    return frozen


def kill_region(fleet: Fleet) -> tuple[str, ...]:
    """Kill the region that watches."""
    lost = tuple(fleet.roots('r0'))
    for name in lost:
        fleet.kill(name)
    return lost


def cut_first_from_store(fleet: Fleet) -> tuple[str, ...]:
    """Let the store turn the first watcher away."""
    root = fleet.roots('r0')[0]
    fleet.cut(lambda one, other: 'r0-store' in {one, other} and root == one)
    return ()


def _send_to_others(
    send: Callable[[str, str, wire.PeerMessage], None],
    alone: str,
    name: str,
    peer: str,
    message: wire.PeerMessage,
) -> None:
    """Lose without notice what one daemon sends or is sent."""
    if alone not in {name, peer}:
        send(name, peer, message)


class StoreDutyTest(unittest.TestCase):
    def test_the_nearest_region_watches_twice(self) -> None:
        """Guards against store answers on paid links."""
        fleet = started()
        self.assertEqual(
            sorted(fleet.watchers()), sorted(fleet.roots('r0')[:2])
        )

    def test_change_crosses_each_link_once(self) -> None:
        fleet = started()
        revision = fleet.edit('teams/a', 'second')
        fleet.run(1)
        self.assertEqual(fleet.lacking(revision), [])
        copies = [
            node.copies['teams/a', revision]
            for name, node in fleet.nodes.items()
        ]
        self.assertLessEqual(max(copies), 1)

    @params(
        nothing,
        kill_first,
        freeze_first,
        freeze_both,
        kill_region,
        cut_first_from_store,
    )
    def test_change_is_in_force_in_time(
        self,
        fault: Callable[[Fleet], tuple[str, ...]],
    ) -> None:
        """Guards against a change that waits for a watcher that is lost."""
        fleet = started()
        lost = fault(fleet)
        revision: Revision = fleet.edit('teams/a', 'second')
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(set(fleet.lacking(revision)) - set(lost), set())

    @params(*range(18))
    def test_change_reaches_a_daemon_that_hears_nobody(
        self,
        place: int,
    ) -> None:
        """Guards against a wait for peers beside a store that answers."""
        fleet = started()
        alone = fleet.names[place]
        send = partial(_send_to_others, fleet.send, alone)
        with mock.patch.object(fleet, 'send', send):
            revision = fleet.edit('teams/a', 'second')
            fleet.run(IN_FORCE_SECONDS)
            self.assertEqual(fleet.lacking(revision), [])
        fleet.run(BOOT_SECONDS)
        self.assertEqual(
            sorted(fleet.watchers()), sorted(fleet.roots('r0')[:2])
        )

    def test_duty_returns_to_the_nearest(self) -> None:
        fleet = started()
        lost = fleet.roots('r0')
        for name in lost:
            fleet.kill(name)
        fleet.run(3)
        fleet.start(*lost)
        fleet.run(BOOT_SECONDS)
        self.assertEqual(
            sorted(fleet.watchers()), sorted(fleet.roots('r0')[:2])
        )

    @params(0, 1, 9, 17)
    def test_restart_while_the_store_is_away(self, place: int) -> None:
        """Guards against a daemon that nobody tells of the fleet."""
        fleet = started()
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
        self.assertTrue(fleet.nodes[name].held.has_snapshot)
