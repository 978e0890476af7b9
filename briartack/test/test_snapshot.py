"""Guards of the accepted configuration; the cases are in test-data/snapshot."""

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


def _load(name: str) -> Any:
    return json.loads((DATA / f'{name}.json').read_text(encoding='utf-8'))


def _entry(key: str, revision: int, settings: object) -> Entry:
    text = None if settings is None else json.dumps(settings)
    return Entry(key=key, revision=Revision(revision), value=text)


ENTRIES: Final = MappingProxyType(
    {name: _entry(*parts) for name, parts in _load('entries').items()},
)


def _active(state: ConfigurationState) -> dict[str, Revision]:
    return dict(state.snapshot.versions) if state.snapshot else {}


def _apply(state: ConfigurationState, step: Any) -> SnapshotChange:
    if isinstance(step, list):
        return state.apply(ENTRIES[name] for name in step)
    sender = step.get('of')
    if sender is not None:
        return state.apply((_sent(step['sent'], sender),))
    return state.apply_full_read(
        step.get('prefix', ''),
        step['read'],
        [ENTRIES[name] for name in step['entries']],
    )


def _sent(name: str, held_by_peer: Iterable[str]) -> Entry:
    """Give an entry with all definitions that a peer's entries carry."""
    peer = _state(held_by_peer)
    return msgspec.structs.replace(
        ENTRIES[name],
        definitions=tuple(
            definition
            for entry in peer.entries_after(Revision(0))
            for definition in entry.definitions
        ),
    )


def _state(names: Iterable[str]) -> ConfigurationState:
    state = ConfigurationState()
    for name in names:
        state.apply((ENTRIES[name],))
    return state


def _send(source: ConfigurationState, target: ConfigurationState) -> None:
    known = target.key_digests()
    differing = (
        key
        for key, digest in source.key_digests().items()
        if known.get(key) != digest
    )
    target.apply(source.entries_for(differing))


class SnapshotTest(unittest.TestCase):
    """Each case names the failure that it guards against."""

    @params(*_load('permutations'))
    def test_order_does_not_matter(self, case: Any) -> None:
        names = case['entries']
        expected = ConfigurationState()
        expected.apply(ENTRIES[name] for name in names)
        for order in itertools.permutations(names):
            state = _state(order)
            with self.subTest(case['guards'], order=order):
                self.assertEqual(_active(state), case['active'])
                waiting = {item.key: item.revision for item in state.waiting}
                self.assertEqual(waiting, case['waiting'])
                self.assertEqual(state.digest, expected.digest)
                self.assertEqual(state.snapshot, expected.snapshot)

    @params(*_load('histories'))
    def test_history(self, case: Any) -> None:
        state = ConfigurationState()
        refused = 0
        stale = 0
        for step in case['steps']:
            before = _active(state)
            change = _apply(state, step)
            refused += len(change.refused)
            stale += change.stale_count
            after = _active(state)
            for key, revision in before.items():
                self.assertGreaterEqual(after[key], revision, case['guards'])
        assert state.snapshot
        self.assertEqual(_active(state), case['active'], case['guards'])
        self.assertEqual(list(state.snapshot.retained), case['retained'])
        slots = {item.name: item.limits.slots for item in state.snapshot.routes}
        self.assertEqual(slots, case['routes'], case['guards'])
        self.assertEqual(refused, case.get('refused', 0), case['guards'])
        self.assertEqual(stale, case.get('stale', stale), case['guards'])

    @params(*_load('joins'))
    def test_join_of_any_two_states(self, case: Any) -> None:
        """Both states see any subset, in the order of the store."""
        names = case['entries']
        subsets = [
            subset
            for size in range(len(names) + 1)
            for subset in itertools.combinations(names, size)
        ]
        for pair in itertools.combinations(subsets, 2):
            states = tuple(_state(subset) for subset in pair)
            before = [_active(state) for state in states]
            _send(*states)
            _send(*reversed(states))
            with self.subTest(case['guards'], pair=pair):
                self.assertEqual(states[0].digest, states[1].digest)
                self.assertEqual(states[0].snapshot, states[1].snapshot)
                joined = _active(states[0])
                for key, revision in (*before[0].items(), *before[1].items()):
                    self.assertGreaterEqual(joined[key], revision)

    @params(*_load('joins'))
    def test_own_entries_change_nothing(self, case: Any) -> None:
        """An echo of what is held makes daemons announce for ever."""
        state = _state(case['entries'])
        change = state.apply(state.entries_after(Revision(0)))
        self.assertFalse(change.is_changed or change.is_snapshot_new)
        self.assertEqual(change.activated, ())

    @params((5, 1), (1, 5))
    def test_newest_definition_is_in_force(self, *revisions: int) -> None:
        """Definitions of peers that cross lower a resource."""
        state = _state(('a3-r',))
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

    @params(*_load('peers'))
    def test_definition_of_peer(self, case: Any) -> None:
        state = ConfigurationState()
        known = 0
        for step in case['steps']:
            _apply(state, step)
            limits = state.snapshot and state.snapshot.services.get('a/r')
            if limits:
                self.assertGreaterEqual(limits.slots, known, case['guards'])
                known = limits.slots
        assert state.snapshot
        limits = state.snapshot.services.get('a/r')
        slots = limits.slots if limits else None
        self.assertEqual(slots, case['slots'], case['guards'])
        self.assertEqual(list(state.snapshot.retained), case['retained'])

    @params(*_load('peers'))
    def test_peers_agree_on_definitions(self, case: Any) -> None:
        """A kept definition that no entry carries leaves peers unequal."""
        for kept, others in itertools.product((2, 3, 4), ([], ['a1-r', 'b4'])):
            states = (ConfigurationState(), _state(others))
            for step in case['steps'][:kept]:
                _apply(states[0], step)
            for _ in range(2):
                _send(*states)
                _send(*reversed(states))
            with self.subTest(case['guards'], kept=kept, others=others):
                self.assertEqual(states[0].digest, states[1].digest)
                self.assertEqual(states[0].snapshot, states[1].snapshot)

    def test_reused_revision_in_one_batch(self) -> None:
        """The order within an answer decides which value is in force."""
        states = (ConfigurationState(), ConfigurationState())
        states[0].apply((ENTRIES['a3-r'], ENTRIES['a3']))
        states[1].apply((ENTRIES['a3'], ENTRIES['a3-r']))
        self.assertEqual(states[0].digest, states[1].digest)

    def test_only_changed_teams_are_resolved_again(self) -> None:
        """A change of one team costs as much as a change of all."""
        state = _state(('a1-r', 'b2-to-r'))
        assert state.snapshot
        before = state.snapshot.routes
        state.apply((ENTRIES['p7'],))
        self.assertIs(state.snapshot.routes[0], before[0])
        state.apply((ENTRIES['a3-r'],))
        self.assertEqual(state.snapshot.routes[0].limits.slots, 3)

    def test_refused_version_counts_as_seen(self) -> None:
        """A watch after `highest` would return a refused version for ever."""
        state = _state(('a1-r', 'a2-bad'))
        self.assertEqual((state.highest, state.highest_seen), (1, 2))
        self.assertEqual(state.versions(), {'teams/a': 1})

    def test_waiting_version_names_what_is_missing(self) -> None:
        """Operators cannot tell why a version is not in force."""
        change = _state(('a1-r',)).apply((ENTRIES['b6-to-r-s'],))
        self.assertEqual(change.waiting[0].missing, ('services/a/s',))
