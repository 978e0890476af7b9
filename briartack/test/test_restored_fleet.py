"""Tests of fleets whose store is restored while other faults last.

A seed decides when the store is restored, how old its copy is, what is written
meanwhile, and which daemons are killed, frozen or cut off. The operators and
the upstreams write again what was lost.
"""

import os
import unittest
from random import Random
from typing import Final, NamedTuple

from nose2.tools import params

from briartack.core.entries import Entry
from briartack.test.fake_holdings import StoreCopy
from briartack.test.fleet import TICK_SECONDS, Fleet
from briartack.test.test_store_duty import IN_FORCE_SECONDS, started_fleet

KEY: Final = 'teams/a'
# `FIRST:LAST` plays other seeds.
SEEDS_VARIABLE: Final = 'BRIARTACK_RESTORE_SEEDS'
# What was lost is written again within this time after the store's return.
REWRITE_SECONDS: Final = 2.0
# A change that comes this long after the last fault must be in force in time.
STABLE_SECONDS: Final = 3.0
# Lists agree once the era has settled and all keys were read again.
LISTED_SECONDS: Final = 6.0
HISTORY_SECONDS: Final = 6.0
FAULT_SECONDS: Final = 8.0


def seeds() -> tuple[int, ...]:
    """Return the seeds to play."""
    first, last = os.environ.get(SEEDS_VARIABLE, '1:10').split(':')
    return tuple(range(int(first), int(last) + 1))


class Held(NamedTuple):
    """Hold the version that a daemon held, and the start it belongs to."""

    incarnation: str
    version: int


class RestoredFleet:
    """Restore the store of a fleet and check what the daemons hold."""

    def __init__(self, seed: int) -> None:
        self.random = Random(f'restored {seed}')
        self.fleet: Fleet = started_fleet()
        self.version = 1
        # The store of the product's own dialect states no order of versions.
        self._is_stated = self.random.choice((True, False))
        self.went_back: list[str] = []
        self._held: dict[str, Held] = {}
        self._copies: list[StoreCopy] = []
        self._gone: set[str] = set()
        self.publish()

    def publish(self) -> None:
        """Publish the next version, if the store is there."""
        if not self.fleet.store.is_down:
            self.version += self.random.randrange(1, 4)
            self.write_again()

    def write_again(self) -> None:
        """Write the newest version."""
        stated = (self.version,) if self._is_stated else ()
        self.fleet.edit_store(KEY, str(self.version), stated)

    def run(self, seconds: float) -> None:
        """Run the fleet, keep copies of the store and watch the versions."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self._copies.append(self.fleet.store.copy())
            self.fleet.run(TICK_SECONDS)
            self._check_versions()

    def restore(self) -> None:
        """Take the store down and let it return with a copy."""
        store = self.fleet.store
        age_seconds = self.random.uniform(0.2, HISTORY_SECONDS)
        age = min(round(age_seconds / TICK_SECONDS), len(self._copies))
        copy = self._copies[-age]
        lost = store.copy()
        store.is_down = True
        self.run(self.random.uniform(0.3, 2.5))
        store.restore(copy)
        store.is_down = False
        self._copies.clear()
        self._write_lost(copy, lost)

    def disturb(self) -> None:
        """Kill, freeze or cut off some daemons for a time."""
        names = self.random.sample(self.fleet.names, 3)
        killed, frozen, cut = (name for name in names)
        self.fleet.kill(killed)
        self.fleet.nodes[frozen].is_frozen = True
        self.fleet.partition(lambda left, right: cut in {left, right})

    def recover(self) -> None:
        """End the disturbances."""
        for name, node in list(self.fleet.nodes.items()):
            if node.is_frozen:
                self.fleet.resume(name)
        self.fleet.start(*set(self.fleet.names) - set(self.fleet.nodes))
        self.fleet.partition(lambda left, right: False)

    def unlist(self) -> None:
        """Let the upstream beside a daemon leave."""
        name = self.random.choice(self.fleet.names)
        if name not in self._gone and not self.fleet.store.is_down:
            self._gone.add(name)
            self.fleet.edit_store(f'instances/{name}', None)

    def find_behind(self) -> list[str]:
        """Return the daemons that do not hold the newest version."""
        return [
            name
            for name in self.fleet.nodes
            if self._version_of(name) != self.version
        ]

    def find_wrong_lists(self) -> list[str]:
        """Return the daemons that list other upstreams than those there."""
        expected = set(self.fleet.names) - self._gone
        return [
            name for name in self.fleet.nodes if self._list_of(name) != expected
        ]

    def _write_lost(self, copy: StoreCopy, lost: StoreCopy) -> None:
        """Write again what was lost, in any order, and run meanwhile."""
        changed = [
            entry
            for key, entry in lost.edits.items()
            if copy.edits.get(key) != entry
        ]
        self.random.shuffle(changed)
        for entry in changed:
            self.run(self.random.uniform(0, REWRITE_SECONDS / len(changed)))
            self._write_entry(entry)

    def _write_entry(self, entry: Entry) -> None:
        if entry.key == KEY:
            self.write_again()
        elif entry.value is None:
            self.fleet.edit_store(entry.key, None)
        else:
            self.fleet.list_instance(entry.key.removeprefix('instances/'))

    def _list_of(self, name: str) -> set[str]:
        holdings = self.fleet.nodes[name].holdings
        listed = holdings.membership.live_members()
        return {str(member.instance) for member in listed}

    def _version_of(self, name: str) -> int:
        holdings = self.fleet.nodes[name].holdings
        held = holdings.configuration.get(KEY)
        return 0 if held is None else int(held.value or 0)

    def _check_versions(self) -> None:
        for name, node in self.fleet.nodes.items():
            held = Held(node.hello.incarnation, self._version_of(name))
            before = self._held.get(name, held)
            is_same_start = before.incarnation == held.incarnation
            if is_same_start and held.version < before.version:
                self.went_back.append(
                    f'{name}: {before.version} to {held.version}'
                )
            self._held[name] = held


class RestoredFleetTest(unittest.TestCase):
    # Guards against changes that are not in force in time after a restore,
    # versions that come back, and lists that differ from the upstreams.
    @params(*seeds())
    def test_changes_are_in_force_and_never_go_back(self, seed: int) -> None:
        played = RestoredFleet(seed)
        random = played.random
        for _ in range(random.randrange(2, 6)):
            played.run(random.uniform(0.2, 2))
            random.choice((played.publish, played.unlist))()
        played.run(1)
        for _ in range(random.randrange(1, 3)):
            is_disturbed = random.choice((True, True, False))
            if is_disturbed:
                played.disturb()
            played.run(random.uniform(0.1, 1))
            played.publish()
            played.restore()
            played.run(random.uniform(0, FAULT_SECONDS))
            if is_disturbed:
                played.recover()
        played.run(STABLE_SECONDS)
        played.publish()
        played.run(IN_FORCE_SECONDS)
        self.assertEqual(played.find_behind(), [])
        played.run(LISTED_SECONDS - IN_FORCE_SECONDS)
        self.assertEqual(played.find_wrong_lists(), [])
        self.assertEqual(played.went_back, [])
