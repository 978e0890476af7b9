"""Make the state of a daemon `a` and let its peer `b` open a stream."""

from random import Random
from typing import Final

from briartack.core import events, messages
from briartack.core.calls.call_rules import CallRules
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import Incarnation, InstanceId

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
