"""Tests of the configuration that a daemon accepts and has in force.

The cases in test-data/snapshot refer to entries of entries.json by name. Each
case states in `guards` the failure that the case guards against.
"""

import itertools
import json
import unittest
from collections.abc import Iterable
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import msgspec
from nose2.tools import params

from briartack.core.configuration.snapshot import (
    ConfigurationState,
    SnapshotChange,
)
from briartack.core.entries import Definition, Entry
from briartack.core.units import Revision

DATA: Final = Path(__file__).parent / 'test-data' / 'snapshot'


def _load_cases(name: str) -> Any:
    return json.loads((DATA / f'{name}.json').read_text(encoding='utf-8'))


def _entry(key: str, revision: int, settings: object) -> Entry:
    """Return an entry with settings as JSON; `None` deletes the key."""
    text = None if settings is None else json.dumps(settings)
    return Entry(key=key, revision=Revision(revision), value=text)


ENTRIES: Final = MappingProxyType(
    {name: _entry(*parts) for name, parts in _load_cases('entries').items()},
)


def _active_versions(state: ConfigurationState) -> dict[str, Revision]:
    """Return the versions in force by key."""
    return dict(state.snapshot.versions) if state.snapshot else {}


def _apply_step(state: ConfigurationState, step: Any) -> SnapshotChange:
    """Apply a step of a case: a batch, a full read or an entry of a peer."""
    if isinstance(step, list):
        return state.apply(ENTRIES[name] for name in step)
    sender = step.get('of')
    if sender is not None:
        return state.apply((_entry_from_peer(step['sent'], sender),))
    return state.apply_full_read(
        step.get('prefix', ''),
        step['read'],
        [ENTRIES[name] for name in step['entries']],
    )


def _entry_from_peer(name: str, held_by_peer: Iterable[str]) -> Entry:
    """Return an entry with all definitions that a peer's entries carry."""
    peer = _state_with(held_by_peer)
    return msgspec.structs.replace(
        ENTRIES[name],
        definitions=tuple(
            definition
            for entry in peer.entries_after(Revision(0))
            for definition in entry.definitions
        ),
    )


def _state_with(names: Iterable[str]) -> ConfigurationState:
    """Return a state that got entries one by one."""
    state = ConfigurationState()
    for name in names:
        state.apply((ENTRIES[name],))
    return state


def _send_differing_entries(
    source: ConfigurationState, target: ConfigurationState
) -> None:
    """Send the entries whose digests differ, as a peer does."""
    known = target.key_digests()
    differing = (
        key
        for key, digest in source.key_digests().items()
        if known.get(key) != digest
    )
    target.apply(source.entries_for(differing))


class SnapshotTest(unittest.TestCase):
    """Test the state; each case names the failure that it guards against."""

    @params(*_load_cases('permutations'))
    def test_order_of_entries_does_not_change_the_state(
        self, case: Any
    ) -> None:
        """Guard against daemons that differ by the order of their entries."""
        names = case['entries']
        expected = ConfigurationState()
        expected.apply(ENTRIES[name] for name in names)
        for order in itertools.permutations(names):
            state = _state_with(order)
            with self.subTest(case['guards'], order=order):
                self.assertEqual(_active_versions(state), case['active'])
                waiting = {item.key: item.revision for item in state.waiting}
                self.assertEqual(waiting, case['waiting'])
                self.assertEqual(state.digest, expected.digest)
                self.assertEqual(state.snapshot, expected.snapshot)

    @params(*_load_cases('histories'))
    def test_history_leads_to_the_expected_snapshot(self, case: Any) -> None:
        """Guard against a wrong snapshot, or a version that is ever lowered."""
        state = ConfigurationState()
        refused = 0
        stale = 0
        for step in case['steps']:
            before = _active_versions(state)
            change = _apply_step(state, step)
            refused += len(change.refused)
            stale += change.stale_count
            after = _active_versions(state)
            for key, revision in before.items():
                self.assertGreaterEqual(after[key], revision, case['guards'])
        assert state.snapshot
        self.assertEqual(
            _active_versions(state), case['active'], case['guards']
        )
        self.assertEqual(list(state.snapshot.retained), case['retained'])
        slots = {item.name: item.limits.slots for item in state.snapshot.routes}
        self.assertEqual(slots, case['routes'], case['guards'])
        self.assertEqual(refused, case.get('refused', 0), case['guards'])
        self.assertEqual(stale, case.get('stale', stale), case['guards'])

    @params(*_load_cases('joins'))
    def test_any_two_states_are_equal_after_an_exchange(
        self, case: Any
    ) -> None:
        """Guard against peers that differ after they exchanged entries.

        Each state holds any subset of the entries, in the order of the store.
        """
        names = case['entries']
        subsets = [
            subset
            for size in range(len(names) + 1)
            for subset in itertools.combinations(names, size)
        ]
        for pair in itertools.combinations(subsets, 2):
            states = tuple(_state_with(subset) for subset in pair)
            before = [_active_versions(state) for state in states]
            _send_differing_entries(*states)
            _send_differing_entries(*reversed(states))
            with self.subTest(case['guards'], pair=pair):
                self.assertEqual(states[0].digest, states[1].digest)
                self.assertEqual(states[0].snapshot, states[1].snapshot)
                joined = _active_versions(states[0])
                for key, revision in (*before[0].items(), *before[1].items()):
                    self.assertGreaterEqual(joined[key], revision)

    @params(*_load_cases('joins'))
    def test_entries_that_are_held_change_nothing(self, case: Any) -> None:
        """Guard against endless announcements.

        A daemon that took an echo of its own entries for a change would
        announce the change to its peers again.
        """
        state = _state_with(case['entries'])
        change = state.apply(state.entries_after(Revision(0)))
        self.assertFalse(change.is_changed or change.is_snapshot_new)
        self.assertEqual(change.activated, ())

    @params((5, 1), (1, 5))
    def test_newest_definition_is_in_force(self, *revisions: int) -> None:
        """Guard against an older definition that replaces a newer one.

        Definitions that several peers send may arrive in any order.
        """
        state = _state_with(('a3-r',))
        for revision in revisions:
            definition = Definition(
                team='a',
                kind='services',
                name='r',
                revision=Revision(revision),
                value=f'{{"slots": {revision}, "connections": 1}}',
            )
            entry = ENTRIES['b2-to-r']
            state.apply(
                (msgspec.structs.replace(entry, definitions=(definition,)),)
            )
        assert state.snapshot
        self.assertEqual(state.snapshot.routes[0].limits.slots, 5)
        self.assertEqual(state.snapshot.services['a/r'].slots, 5)
        self.assertEqual(state.snapshot.retained, ())

    @params(*_load_cases('peers'))
    def test_definition_from_peer_never_lowers_a_resource(
        self, case: Any
    ) -> None:
        """Guard against a peer's definition that is lost, stale or invalid."""
        state = ConfigurationState()
        known = 0
        for step in case['steps']:
            _apply_step(state, step)
            limits = state.snapshot and state.snapshot.services.get('a/r')
            if limits:
                self.assertGreaterEqual(limits.slots, known, case['guards'])
                known = limits.slots
        assert state.snapshot
        limits = state.snapshot.services.get('a/r')
        slots = limits.slots if limits else None
        self.assertEqual(slots, case['slots'], case['guards'])
        self.assertEqual(list(state.snapshot.retained), case['retained'])

    @params(*_load_cases('peers'))
    def test_peers_agree_on_definitions_after_an_exchange(
        self, case: Any
    ) -> None:
        """Guard against peers that differ in a definition for ever.

        A daemon may keep a definition that no entry carries to its peers.
        """
        for kept, others in itertools.product((2, 3, 4), ([], ['a1-r', 'b4'])):
            states = (ConfigurationState(), _state_with(others))
            for step in case['steps'][:kept]:
                _apply_step(states[0], step)
            for _ in range(2):
                _send_differing_entries(*states)
                _send_differing_entries(*reversed(states))
            with self.subTest(case['guards'], kept=kept, others=others):
                self.assertEqual(states[0].digest, states[1].digest)
                self.assertEqual(states[0].snapshot, states[1].snapshot)

    def test_reused_revision_in_a_batch_has_one_result(self) -> None:
        """Guard against a value that depends on the order within an answer.

        Two values of a key have the same revision.
        """
        states = (ConfigurationState(), ConfigurationState())
        states[0].apply((ENTRIES['a3-r'], ENTRIES['a3']))
        states[1].apply((ENTRIES['a3'], ENTRIES['a3-r']))
        self.assertEqual(states[0].digest, states[1].digest)

    def test_only_changed_teams_are_resolved_again(self) -> None:
        """Guard against a change of one team that costs as much as of all."""
        state = _state_with(('a1-r', 'b2-to-r'))
        assert state.snapshot
        before = state.snapshot.routes
        state.apply((ENTRIES['p7'],))
        self.assertIs(state.snapshot.routes[0], before[0])
        state.apply((ENTRIES['a3-r'],))
        self.assertEqual(state.snapshot.routes[0].limits.slots, 3)

    def test_refused_version_counts_as_seen(self) -> None:
        """Guard against a watch that returns a refused version for ever.

        The watch has to start after `seen`, since `highest` excludes refused
        versions.
        """
        state = _state_with(('a1-r', 'a2-bad'))
        self.assertEqual((state.highest, state.highest_seen), (1, 2))
        held = {key: kept.revision for key, kept in state.versions().items()}
        self.assertEqual(held, {'teams/a': 1})

    def test_waiting_version_names_what_is_missing(self) -> None:
        """Guard against a waiting version whose reason operators can't see."""
        change = _state_with(('a1-r',)).apply((ENTRIES['b6-to-r-s'],))
        self.assertEqual(change.waiting[0].missing, ('services/a/s',))
