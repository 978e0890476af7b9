"""Counts attempts at a refusing instance that is still on the instance list.

The platform's instance list lags behind. A refusal corrects the sender's view
of the endpoint, which is the lazy correction of the DHT paper; the comparison
run disables the correction. The benchmark drives one reducer with a simulated
clock, so every run yields the same figures.
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
REFUSING_PEER: Final = PEERS[0]
_EMPTY_DIGEST: Final = Digest(b'')
_TEAM_SETTINGS: Final = {
    'services': {'main': {'slots': 20, 'connections': 130}},
    'policies': {'p': {'max_attempts': 3, 'retry_percent': 100}},
    'routes': [
        {'name': 'r', 'path_prefix': '/', 'service': 'main', 'policy': 'p'},
    ],
}


def run(arguments: list[str]) -> dict[str, object]:
    """Compare attempts with and without correction; takes no options."""
    return {
        'calls': CALLS,
        'instances': len(PEERS),
        'corrected': _count_attempts(),
        'uncorrected': _count_uncorrected_attempts(),
    }


def _count_uncorrected_attempts() -> dict[str, int]:
    with ExitStack() as stack:
        for name in ('mark_draining', 'avoid'):
            skipped = patch.object(EndpointsState, name, _skip_correction)
            stack.enter_context(skipped)
        return _count_attempts()


def _skip_correction(*_arguments: object) -> None:
    """Leave the view of the endpoint unchanged."""


def _count_attempts() -> dict[str, int]:
    state = _create_state()
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
        pending = _select_attempts(reduce(state, event))
        while pending:
            attempts += 1
            send = pending.pop()
            refused += send.peer == REFUSING_PEER
            pending.extend(
                _select_attempts(reduce(state, _create_answer(now, send)))
            )
            # A retry waits for its jittered delay.
            now += 0.01
            pending.extend(
                _select_attempts(reduce(state, events.Tick(now=now)))
            )
    return {'attempts': attempts, 'refused_attempts': refused}


def _select_attempts(effects: Effects) -> list[SendAttempt]:
    return [effect for effect in effects if isinstance(effect, SendAttempt)]


def _create_answer(now: float, send: SendAttempt) -> events.PeerMessageReceived:
    is_refused = send.peer == REFUSING_PEER
    answer = messages.Answer(
        attempt_id=send.attempt.attempt_id,
        verdict=Verdict.NOT_RUN if is_refused else Verdict.RAN,
        status=503 if is_refused else 200,
        reason='stopping' if is_refused else '',
        headers=(),
        body_bytes=0,
        body_digest=_EMPTY_DIGEST,
        load=0,
        owner_clock=now,
    )
    return events.PeerMessageReceived(now=now, peer=send.peer, message=answer)


def _create_state() -> State:
    identity = Identity(
        instance=InstanceId('a-1'),
        incarnation=Incarnation('own'),
        service='a/main',
        data_centre='north-1',
        region='north',
    )
    state = State(identity=identity, random=Random(1), drain_seconds=1)
    reduce(state, events.Started(now=9, incarnation=identity.incarnation))
    tree = msgspec.json.encode(_TEAM_SETTINGS).decode()
    entries = [Entry(key='teams/b', revision=Revision(1), value=tree)]
    for number, peer in enumerate(PEERS):
        entries.append(_create_instance_entry(peer, number + 2))
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
        reduce(state, _create_connected_event(peer))
    return state


def _create_instance_entry(peer: str, revision: int) -> Entry:
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


def _create_connected_event(peer: str) -> events.PeerConnected:
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
