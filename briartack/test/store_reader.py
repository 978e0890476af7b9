"""Daemons that read a store which may be restored from a copy, for tests."""

import json
from random import Random
from typing import Any, Final, NamedTuple

from briartack.core import events
from briartack.core.dissemination.dissemination import ReceivedEntries
from briartack.core.effects import Effects
from briartack.core.entries import INSTANCE_PREFIX, Entry
from briartack.core.identity import Identity
from briartack.core.merging import merge
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import (
    NO_REVISION,
    Era,
    Incarnation,
    InstanceId,
    Revision,
)

TEAM_KEY: Final = 'teams/op'
ZONE_KEY: Final = 'platform/north-2'
RECORD_KEY: Final = 'instances/i-1'
# Later than what was lost counts as written again or gone.
SETTLED: Final = 10.0


class Read(NamedTuple):
    """Describe the answer to a read of all keys."""

    now: float
    era: int
    revision: int
    entries: tuple[Entry, ...]


class ListRead(NamedTuple):
    """Describe the answer to a read of the list of instances."""

    now: float
    era: int
    revision: int
    entries: tuple[Entry, ...]


class Watched(NamedTuple):
    """Describe the answer to a watch."""

    now: float
    era: int
    revision: int
    entries: tuple[Entry, ...]


def subtree(number: int) -> str:
    """Return the subtree of a team that differs by a number."""
    return json.dumps(
        {'services': {'main': {'slots': number, 'connections': 8}}}
    )


def version(revision: int, number: int, stated: int | None = None) -> Entry:
    """Return a version of the configuration, as the store gives it."""
    return Entry(
        key=TEAM_KEY,
        revision=Revision(revision),
        value=subtree(number),
        stated=() if stated is None else (stated,),
    )


def zone(revision: int, *, is_out: bool = True) -> Entry:
    """Return that a data centre is out of service, or the end of it."""
    text = json.dumps({'data_centres_out': ['north-2']})
    return Entry(
        key=ZONE_KEY,
        revision=Revision(revision),
        value=text if is_out else None,
    )


def record(
    revision: int, state: str | None, sequence: int, born: int = 1000
) -> Entry:
    """Return the record of an upstream; `None` deletes it."""
    text = {
        'service': 'op/main',
        'data_centre': 'north-1',
        'region': 'north',
        'peer_address': '10.0.0.1:1',
        'instance': '10.0.0.1',
        'state': state,
        'started_ms': born,
    }
    return Entry(
        key=RECORD_KEY,
        revision=Revision(revision),
        value=None if state is None else json.dumps(text),
        stated=() if state is None else (born, sequence),
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

    @property
    def data_centres_out(self) -> tuple[str, ...]:
        """Return the data centres that are out of service."""
        snapshot = self.state.configuration.snapshot
        return () if snapshot is None else snapshot.platform.data_centres_out

    @property
    def listed_state(self) -> str | None:
        """Return the state of the upstream in the list, `None` if gone."""
        held = self.state.membership.find_record('i-1')
        if held is None or held.state is None:
            return None
        return str(held.state.value)

    def deliver(self, *answers: Read | ListRead | Watched) -> Effects:
        """Deliver answers of the store; return the effects."""
        effects: Effects = []
        for answer in answers:
            fields: dict[str, Any] = {
                'now': answer.now,
                'revision': Revision(answer.revision),
                'entries': answer.entries,
                'era': Era(answer.era),
            }
            if isinstance(answer, Watched):
                event = events.StoreWatched(**fields)
                effects.extend(reduce(self.state, event))
                continue
            prefix = INSTANCE_PREFIX if isinstance(answer, ListRead) else ''
            read = events.StoreRead(prefix=prefix, **fields)
            effects.extend(reduce(self.state, read))
        return effects

    def learn_from(self, peer: 'Daemon', now: float) -> None:
        """Merge all entries that another daemon holds."""
        holdings = peer.state.holdings
        received = ReceivedEntries(
            entries=tuple(holdings.entries_for(holdings.versions())),
            revision=NO_REVISION,
            source=InstanceId('peer'),
            effects=[],
        )
        merge(self.state, now, received)
