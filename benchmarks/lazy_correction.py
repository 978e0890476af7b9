"""Counts attempts at an instance that refuses while the list still shows it.

The platform's list lags. A refusal corrects the sender's view of the endpoint
(the lazy correction of the DHT paper); the comparison takes that out. One
reducer is driven with a clock of its own, so each run gives the same figures.
"""

from contextlib import ExitStack
from random import Random
from typing import Final
from unittest.mock import patch

import msgspec

from briartack.core import events, messages
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.effects import Effects, SendAttempt
from briartack.core.entries import Entry
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import (
    CallId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict

CALLS: Final = 1000
CALLS_PER_SECOND: Final = 54
PEERS: Final = ('b-1', 'b-2', 'b-3', 'b-4', 'b-5', 'b-6')
REFUSING: Final = PEERS[0]
_EMPTY: Final = Digest(b'')
_TREE: Final = {
    'services': {'main': {'slots': 20, 'connections': 130}},
    'policies': {'p': {'max_attempts': 3, 'retry_percent': 100}},
    'routes': [
        {'name': 'r', 'path_prefix': '/', 'service': 'main', 'policy': 'p'},
    ],
}


def run(arguments: list[str]) -> dict[str, object]:
    """Compare both ways over the same calls; takes no options."""
    return {
        'calls': CALLS,
        'instances': len(PEERS),
        'corrected': _count(),
        'uncorrected': _count_uncorrected(),
    }


def _count_uncorrected() -> dict[str, int]:
    with ExitStack() as stack:
        for name in ('drain', 'avoid'):
            ignored = patch.object(EndpointsState, name, _ignore)
            stack.enter_context(ignored)
        return _count()


def _ignore(*_arguments: object) -> None:
    """Keep the view of an endpoint as it is."""


def _count() -> dict[str, int]:
    state = _state()
    refused = 0
    attempts = 0
    for number in range(CALLS):
        now = 10 + number / CALLS_PER_SECOND
        event = events.CallArrived(
            now=now,
            call_id=CallId(f'c{number}'),
            method='GET',
            target='/x',
            headers=(),
        )
        pending = _sent(reduce(state, event))
        while pending:
            attempts += 1
            sent = pending.pop()
            refused += sent.peer == REFUSING
            pending.extend(_sent(reduce(state, _answer(now, sent))))
            # A retry waits for its jittered delay.
            now += 0.01
            pending.extend(_sent(reduce(state, events.Tick(now=now))))
    return {'attempts': attempts, 'refused_attempts': refused}


def _sent(effects: Effects) -> list[SendAttempt]:
    return [effect for effect in effects if isinstance(effect, SendAttempt)]


def _answer(now: float, sent: SendAttempt) -> events.PeerMessageReceived:
    is_refused = sent.peer == REFUSING
    answer = messages.Answer(
        attempt_id=sent.attempt.attempt_id,
        verdict=Verdict.NOT_RUN if is_refused else Verdict.RAN,
        status=503 if is_refused else 200,
        reason='stopping' if is_refused else '',
        headers=(),
        body_bytes=0,
        body_digest=_EMPTY,
        load=0,
        owner_clock=now,
    )
    return events.PeerMessageReceived(now=now, peer=sent.peer, message=answer)


def _state() -> State:
    identity = Identity(
        instance=InstanceId('a-1'),
        incarnation=Incarnation('own'),
        service='a/main',
        data_centre='north-1',
        region='north',
    )
    state = State(identity=identity, random=Random(1), drain_seconds=1)
    reduce(state, events.Started(now=9, incarnation=identity.incarnation))
    tree = msgspec.json.encode(_TREE).decode()
    entries = [Entry(key='teams/b', revision=Revision(1), value=tree)]
    for number, peer in enumerate(PEERS):
        entries.append(_listed(peer, number + 2))
    reduce(
        state,
        events.StoreRead(
            now=9,
            prefix='',
            revision=entries[-1].revision,
            entries=tuple(entries),
        ),
    )
    for peer in PEERS:
        reduce(state, _connected(peer))
    return state


def _listed(peer: str, revision: int) -> Entry:
    record = {
        'service': 'b/main',
        'data_centre': 'north-1',
        'region': 'north',
        'peer_address': '127.0.0.1:7001',
    }
    return Entry(
        key=f'instances/{peer}',
        revision=Revision(revision),
        value=msgspec.json.encode(record).decode(),
    )


def _connected(peer: str) -> events.PeerConnected:
    hello = messages.Hello(
        protocol_version=messages.PROTOCOL_VERSION,
        instance=InstanceId(peer),
        incarnation=Incarnation('first'),
        service='b/main',
        data_centre='north-1',
        region='north',
        clock=9,
    )
    return events.PeerConnected(now=9, peer=hello.instance, hello=hello)
