"""Connect the components of a daemon's shell to the fake reducer in tests."""

import time
from typing import Any

from gevent import socket

from briartack.addresses import Address
from briartack.bodies import BodyStore
from briartack.callers import CallerServer
from briartack.core import effects
from briartack.core.units import AttemptId, InstanceId
from briartack.dialects import StoreDialect, UpstreamDialect
from briartack.event_loop import EventLoop
from briartack.memory_budget import MemoryBudget
from briartack.native_dialects import create_native_dialects
from briartack.open_connections import ConnectionLimits
from briartack.peers import Peers
from briartack.store_client import StoreClient
from briartack.test.fake_reducer import (
    LOCAL_HOST,
    CountingObserver,
    FakeState,
    make_identity,
    reduce,
)
from briartack.upstream import UpstreamClient

BUDGET_BYTES = 100_000_000
CONNECTION_LIMITS = ConnectionLimits(max_served=1000, max_refused=100)


class ShellFixture:
    """Run the sockets of one daemon with the fake reducer, on free ports.

    The components are the caller server, the upstream client, the connections
    to peers and the store client, which uses the address of the upstream.
    """

    def __init__(
        self,
        name: str = 'saldo-1',
        *,
        upstream: Address = (LOCAL_HOST, 1),
        peer: InstanceId | None = None,
        incarnation: str = 'i1',
        upstream_dialect: UpstreamDialect | None = None,
        store_dialect: StoreDialect | None = None,
        budget_bytes: int = BUDGET_BYTES,
        connection_limits: ConnectionLimits = CONNECTION_LIMITS,
        link_bytes_per_second: float | None = None,
    ) -> None:
        self.name = InstanceId(name)
        self.state = FakeState(peer=peer)
        # How many responses callers get before those of attempts.
        self.counts_ahead: dict[AttemptId, int | None] = {}
        self.observer = CountingObserver()
        self.bodies = BodyStore(memory=MemoryBudget(max_bytes=budget_bytes))
        self.loop = EventLoop(
            state=self.state,
            reduce=reduce,
            clock=time.monotonic,
            recorder=None,
        )
        shared_arguments: dict[str, Any] = {
            'deliver': self.loop.deliver,
            'clock': time.monotonic,
            'observer': self.observer,
        }
        dialects = create_native_dialects()
        self.callers = CallerServer(
            bodies=self.bodies,
            dialect=dialects.callers,
            connection_limits=connection_limits,
            **shared_arguments,
        )
        self.peers = Peers(
            identity=make_identity(name, incarnation),
            bodies=self.bodies,
            count_ahead=lambda attempt_id: self.counts_ahead.get(attempt_id, 0),
            link_bytes_per_second=link_bytes_per_second,
            **shared_arguments,
        )
        self.upstream = UpstreamClient(
            address=upstream,
            bodies=self.bodies,
            dialect=upstream_dialect or dialects.upstream,
            **shared_arguments,
        )
        self.store = StoreClient(
            address=upstream,
            dialect=store_dialect or dialects.store,
            **shared_arguments,
        )
        self.loop.attach_handlers(
            {
                effects.ReadBody: self.callers.read_body,
                effects.AnswerCall: self.callers.answer,
                effects.DropBody: self._drop_body,
                effects.Dispatch: self.upstream.dispatch,
                effects.AbortDispatch: self.upstream.abort,
                effects.SendMessage: self.peers.send_message,
                effects.SendAttempt: self.peers.send_attempt,
                effects.SendAnswer: self.peers.send_answer,
                effects.GrantBody: self.peers.grant_body,
            },
            after_event=self.peers.flush,
        )
        self.caller_server = self.callers.create_server((LOCAL_HOST, 0))
        self.peer_server = self.peers.create_server((LOCAL_HOST, 0))
        self.caller_server.start()
        self.peer_server.start()

    @property
    def peer_address(self) -> str:
        return f'{LOCAL_HOST}:{self.peer_server.server_port}'

    def dial(self, other: 'ShellFixture') -> None:
        self.peers.connect(
            effects.Connect(peer=other.name, address=other.peer_address),
        )

    def send_messages(self, *effects_to_send: effects.Effect) -> None:
        """Send the messages among some effects, as the event loop would."""
        for effect in effects_to_send:
            if isinstance(effect, effects.SendMessage):
                self.peers.send_message(effect)
        self.peers.flush()

    def connect_caller(self) -> Any:
        """Return a socket that is connected to the caller server."""
        return socket.create_connection(
            (LOCAL_HOST, self.caller_server.server_port),
        )

    def stop(self) -> None:
        self.caller_server.stop(timeout=0)
        self.peer_server.stop(timeout=0)

    def _drop_body(self, effect: effects.DropBody) -> None:
        self.bodies.drop(effect.body_id)


def read_answer(sock: Any) -> tuple[int, bytes, bytes]:
    """Read one answer and return its status, head and body.

    Raises EOFError if the connection ends within the answer.
    """
    sock.settimeout(10)
    received = b''
    while b'\r\n\r\n' not in received:
        part = sock.recv(65536)
        if not part:
            raise EOFError(received)
        received += part
    head, _, body = received.partition(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            raise EOFError(f'{len(body)} of {length} bytes')
        body += part
    return int(head.split(b' ')[1]), head, body
