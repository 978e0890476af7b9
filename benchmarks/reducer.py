"""Measures the reducer's time and memory at the sizes expected in two years.

No processes or sockets are involved, so the figures cover one daemon's
decisions only: the time for which they block its event loop, and memory.
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
ROUTES_PER_SUBTREE: Final = 20
INSTANCES: Final = 2600
DATA_CENTRES: Final = 19
REGIONS: Final = 7
REPEAT_COUNT: Final = 20
_SECONDS_TO_MS: Final = 1000
# The event loop has no target here; the latency target of calls covers it,
# since a blocked loop delays calls.
TARGET_MEMORY_MB: Final = 256


def run(arguments: list[str]) -> dict[str, object]:
    """Measure store reads, changes and inventories; takes no options."""
    entries = _create_entries()
    tracemalloc.start()
    state = _create_state()
    load_ms = _measure_milliseconds(lambda: _apply_store_read(state, entries))
    memory_mb = tracemalloc.get_traced_memory()[0] / 1_000_000
    tracemalloc.stop()
    state = _create_state()
    load_ms = _measure_milliseconds(lambda: _apply_store_read(state, entries))
    figures = {
        'load_ms': load_ms,
        'tick_ms': _measure_median(lambda _: _apply_tick(state)),
        'subtree_change_ms': _measure_median(
            lambda repetition: _change_subtree(state, repetition)
        ),
        'instance_change_ms': _measure_median(
            lambda repetition: _add_instance(state, repetition)
        ),
        'inventory_ms': _measure_median(
            lambda repetition: bucket_digests(state.holdings.versions()),
        ),
    }
    return {
        'subtrees': SUBTREES,
        'routes': SUBTREES * ROUTES_PER_SUBTREE,
        'instances': INSTANCES,
        'tree_bytes': len(msgspec.json.encode(entries[:SUBTREES])),
        'list_bytes': len(msgspec.json.encode(entries[SUBTREES:])),
        **figures,
        'state_memory_mb': round(memory_mb, 1),
        'target': {'memory_mb': TARGET_MEMORY_MB},
        'met': memory_mb <= TARGET_MEMORY_MB,
    }


def _create_state() -> State:
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


def _encode_subtree(timeout_ms: int, team: int) -> str:
    routes = [
        {
            'name': f'r-{route}',
            'path_prefix': f'/team-{team}/{route}/',
            'service': 'main',
            'policy': 'p',
        }
        for route in range(ROUTES_PER_SUBTREE)
    ]
    settings = {
        'services': {'main': {'slots': 20, 'connections': 130}},
        'policies': {'p': {'timeout_ms': timeout_ms}},
        'routes': routes,
    }
    return msgspec.json.encode(settings).decode()


def _create_entries() -> tuple[Entry, ...]:
    subtrees = [
        _create_entry(
            f'teams/team-{team}', team + 1, _encode_subtree(1000, team)
        )
        for team in range(SUBTREES)
    ]
    instances = [
        _create_entry(
            f'instances/i-{number}',
            SUBTREES + number + 1,
            _encode_record(number),
        )
        for number in range(INSTANCES)
    ]
    return (*subtrees, *instances)


def _encode_record(number: int) -> str:
    data_centre = number % DATA_CENTRES
    record = {
        'service': f'team-{number % SUBTREES}/main',
        'data_centre': f'dc-{data_centre}',
        'region': f'region-{data_centre % REGIONS}',
        'peer_address': f'10.0.{number // 250}.{number % 250}:7000',
    }
    return msgspec.json.encode(record).decode()


def _create_entry(key: str, revision: int, text: str) -> Entry:
    return Entry(key=key, revision=Revision(revision), value=text)


def _apply_store_read(state: State, entries: tuple[Entry, ...]) -> None:
    event = events.StoreRead(
        now=1,
        prefix='',
        revision=entries[-1].revision,
        entries=entries,
    )
    reduce(state, event)


def _apply_store_watch(state: State, key: str, text: str) -> None:
    revision = Revision(state.holdings.highest + 1)
    entry = Entry(key=key, revision=revision, value=text)
    event = events.StoreWatched(now=1, revision=revision, entries=(entry,))
    reduce(state, event)


def _change_subtree(state: State, repetition: int) -> None:
    _apply_store_watch(
        state, 'teams/team-7', _encode_subtree(2000 + repetition, 7)
    )


def _add_instance(state: State, repetition: int) -> None:
    _apply_store_watch(
        state, f'instances/new-{repetition}', _encode_record(repetition)
    )


def _apply_tick(state: State) -> None:
    reduce(state, events.Tick(now=1))


def _measure_median(action: Callable[[int], object]) -> float:
    return round(
        statistics.median(
            _measure_milliseconds(partial(action, repetition))
            for repetition in range(REPEAT_COUNT)
        ),
        3,
    )


def _measure_milliseconds(action: Callable[[], object]) -> float:
    started_at = time.perf_counter()
    action()
    return round((time.perf_counter() - started_at) * _SECONDS_TO_MS, 3)
