"""Times the reducer alone at the sizes expected in two years.

No process or socket is involved, so the figures are those of one daemon's
decisions: time for which its event loop stands still, and memory.
"""

import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import msgspec

from briartack.core import events
from briartack.core.dissemination.inventory import bucket_digests
from briartack.core.entries import Entry
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import Incarnation, InstanceId, Revision

SUBTREES: Final = 210
ROUTES: Final = 20
INSTANCES: Final = 2600
DATA_CENTRES: Final = 19
REGIONS: Final = 7
REPEATS: Final = 20
_SECONDS_TO_MS: Final = 1000
# The target for the event loop is that of the calls which it holds up.
TARGET_MEMORY_MB: Final = 256


def run(arguments: list[str]) -> dict[str, object]:
    """Measure loads, changes and comparisons; takes no options."""
    entries = _entries()
    tracemalloc.start()
    state = _state()
    load_ms = _milliseconds(lambda: _read(state, entries))
    memory_mb = tracemalloc.get_traced_memory()[0] / 1_000_000
    tracemalloc.stop()
    state = _state()
    load_ms = _milliseconds(lambda: _read(state, entries))
    figures = {
        'load_ms': load_ms,
        'tick_ms': _repeated(lambda _: _tick(state)),
        'subtree_change_ms': _repeated(lambda turn: _edit(state, turn)),
        'instance_change_ms': _repeated(lambda turn: _enlist(state, turn)),
        'inventory_ms': _repeated(
            lambda turn: bucket_digests(state.holdings.versions()),
        ),
    }
    return {
        'subtrees': SUBTREES,
        'routes': SUBTREES * ROUTES,
        'instances': INSTANCES,
        'tree_bytes': len(msgspec.json.encode(entries[:SUBTREES])),
        'list_bytes': len(msgspec.json.encode(entries[SUBTREES:])),
        **figures,
        'state_memory_mb': round(memory_mb, 1),
        'target': {'memory_mb': TARGET_MEMORY_MB},
        'met': memory_mb <= TARGET_MEMORY_MB,
    }


def _state() -> State:
    identity = Identity(
        instance=InstanceId('i-0'),
        incarnation=Incarnation('first'),
        service='team-0/main',
        data_centre='dc-0',
        region='region-0',
    )
    state = State(identity=identity, random=Random(1), drain_seconds=1)
    reduce(state, events.Started(now=1, incarnation=identity.incarnation))
    return state


def _subtree(timeout_ms: int, team: int) -> str:
    routes = [
        {
            'name': f'r-{route}',
            'path_prefix': f'/team-{team}/{route}/',
            'service': 'main',
            'policy': 'p',
        }
        for route in range(ROUTES)
    ]
    settings = {
        'services': {'main': {'slots': 20, 'connections': 130}},
        'policies': {'p': {'timeout_ms': timeout_ms}},
        'routes': routes,
    }
    return msgspec.json.encode(settings).decode()


def _entries() -> tuple[Entry, ...]:
    trees = [
        _entry(f'teams/team-{team}', team + 1, _subtree(1000, team))
        for team in range(SUBTREES)
    ]
    listed = [
        _entry(f'instances/i-{number}', SUBTREES + number + 1, _record(number))
        for number in range(INSTANCES)
    ]
    return (*trees, *listed)


def _record(number: int) -> str:
    data_centre = number % DATA_CENTRES
    record = {
        'service': f'team-{number % SUBTREES}/main',
        'data_centre': f'dc-{data_centre}',
        'region': f'region-{data_centre % REGIONS}',
        'peer_address': f'10.0.{number // 250}.{number % 250}:7000',
    }
    return msgspec.json.encode(record).decode()


def _entry(key: str, revision: int, text: str) -> Entry:
    return Entry(key=key, revision=Revision(revision), value=text)


def _read(state: State, entries: tuple[Entry, ...]) -> None:
    event = events.StoreRead(
        now=1,
        prefix='',
        revision=entries[-1].revision,
        entries=entries,
    )
    reduce(state, event)


def _watch(state: State, key: str, text: str) -> None:
    revision = Revision(state.holdings.highest + 1)
    entry = Entry(key=key, revision=revision, value=text)
    event = events.StoreWatched(now=1, revision=revision, entries=(entry,))
    reduce(state, event)


def _edit(state: State, turn: int) -> None:
    _watch(state, 'teams/team-7', _subtree(2000 + turn, 7))


def _enlist(state: State, turn: int) -> None:
    _watch(state, f'instances/new-{turn}', _record(turn))


def _tick(state: State) -> None:
    reduce(state, events.Tick(now=1))


def _repeated(action: Callable[[int], object]) -> float:
    return round(
        statistics.median(
            _milliseconds(partial(action, turn)) for turn in range(REPEATS)
        ),
        3,
    )


def _milliseconds(action: Callable[[], object]) -> float:
    began = time.perf_counter()
    action()
    return round((time.perf_counter() - began) * _SECONDS_TO_MS, 3)
