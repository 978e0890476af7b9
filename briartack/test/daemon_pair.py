"""Make the state of a daemon `a` and let its peer `b` open a stream."""

from random import Random
from typing import Final

from briartack.core import events, messages
from briartack.core.calls.call_rules import CallRules
from briartack.core.effects import Effects
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import AttemptId, Digest, Incarnation, InstanceId

OWN: Final = InstanceId('a')
PEER: Final = InstanceId('b')


def make_state(*, drain_seconds: float) -> State:
    """Make the state of daemon `a`, whose platform needs identities."""
    return State(
        identity=Identity(
            instance=OWN,
            incarnation=Incarnation('a1'),
            service='a/s',
            data_centre='d',
            region='r',
        ),
        random=Random(1),
        drain_seconds=drain_seconds,
        rules=CallRules(requires_identity=True),
    )


def connect_peer(state: State, now: float) -> None:
    """Let daemon `b` open a stream."""
    hello = messages.Hello(
        protocol_version=messages.PROTOCOL_VERSION,
        instance=PEER,
        incarnation=Incarnation('b1'),
        service='a/s',
        data_centre='d',
        region='r',
        clock=now,
    )
    reduce(state, events.PeerConnected(now=now, peer=PEER, hello=hello))


def probe(state: State, now: float, identity: str) -> Effects:
    """Let a probe report a healthy upstream with an identity."""
    return reduce(
        state,
        events.UpstreamProbed(
            now=now,
            is_healthy=True,
            is_draining=False,
            identity=identity,
            reported_load=None,
        ),
    )


def send(
    state: State, now: float, attempt: str, service: str = 'a/s'
) -> Effects:
    """Let daemon `b` send an attempt."""
    message = messages.Attempt(
        attempt_id=AttemptId(attempt),
        owner_incarnation=Incarnation('a1'),
        owner_clock=now,
        remaining_ms=900,
        service=service,
        method='GET',
        target='/',
        headers=(),
        body_bytes=0,
        body_digest=Digest(b''),
        interactive=True,
    )
    received = events.PeerMessageReceived(now=now, peer=PEER, message=message)
    return reduce(state, received)
