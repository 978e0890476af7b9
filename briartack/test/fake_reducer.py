"""A small reducer and stand-ins that exercise the shell without the core."""

import contextlib
from collections.abc import Callable
from typing import Any

import gevent
from gevent.server import StreamServer

from briartack.addresses import Address
from briartack.core import effects, events
from briartack.core.body_ids import (
    answer_body_id,
    attempt_body_id,
    call_body_id,
)
from briartack.core.effects import Effects
from briartack.core.identity import Identity
from briartack.core.messages import Answer, Attempt
from briartack.core.units import (
    AttemptId,
    CallId,
    Incarnation,
    InstanceId,
)
from briartack.core.verdict import Verdict
from briartack.shell_interfaces import Attributes

LOCAL = '127.0.0.1'
WAIT_SECONDS = 10


class FakeState:
    """Keep every event, and the calls that wait for a body or an answer."""

    def __init__(self, *, peer: InstanceId | None = None) -> None:
        self.events: list[events.Event] = []
        self.peer = peer
        self.calls: dict[str, events.CallArrived] = {}
        self.owned: dict[str, tuple[InstanceId, Attempt]] = {}
        self.silent = False

    def seen(self, event_class: type[Any]) -> list[Any]:
        return [one for one in self.events if isinstance(one, event_class)]

    def wait_for(self, event_class: type[Any], number: int = 1) -> list[Any]:
        """Wait until enough events of a class are there, or raise."""
        wait_until(lambda: len(self.seen(event_class)) >= number)
        return self.seen(event_class)


def identity(name: str, incarnation: str = 'i1') -> Identity:
    """Name a daemon of the tests."""
    return Identity(
        instance=InstanceId(name),
        incarnation=Incarnation(incarnation),
        service='saldo',
        data_centre='costa-1',
        region='costa',
    )


def reduce(state: FakeState, event: events.Event) -> Effects:
    """Carry calls to the local upstream, or to the peer of the state."""
    if not isinstance(event, events.Tick | events.UpstreamProbed):
        state.events.append(event)
    handler = _HANDLERS.get(type(event))
    return handler(state, event) if handler else []


def _started(state: FakeState, event: events.Started) -> Effects:
    return [effects.ReadStore(prefix='')]


def _call(state: FakeState, event: events.CallArrived) -> Effects:
    if event.target == '/refused':
        return [_refusal(event.call_id)]
    state.calls[event.call_id] = event
    return [effects.ReadBody(call_id=event.call_id)]


def _refusal(call_id: CallId) -> effects.AnswerCall:
    return effects.AnswerCall(
        call_id=call_id,
        verdict=Verdict.NOT_RUN,
        status=503,
        headers=(('Retry-After', '1'),),
        reason='overload',
    )


def _body(state: FakeState, event: events.CallBodyRead) -> Effects:
    call = state.calls[event.call_id]
    if state.silent:
        return []
    if state.peer is None:
        return [
            effects.Dispatch(
                attempt_id=AttemptId(event.call_id),
                body_id=call_body_id(event.call_id),
                method=call.method,
                target=call.target,
                headers=(*call.headers, ('Briartack-Deadline-Ms', '5000')),
                timeout_seconds=5,
            ),
        ]
    attempt = Attempt(
        attempt_id=AttemptId(event.call_id),
        owner_incarnation=Incarnation('i1'),
        owner_clock=0,
        remaining_ms=5000,
        service='saldo',
        method=call.method,
        target=call.target,
        headers=call.headers,
        body_bytes=event.body_bytes,
        body_digest=event.body_digest,
        interactive=True,
    )
    return [
        effects.SendAttempt(
            peer=state.peer,
            attempt=attempt,
            body_id=call_body_id(event.call_id),
        ),
    ]


def _message(state: FakeState, event: events.PeerMessageReceived) -> Effects:
    message = event.message
    if isinstance(message, Answer):
        return _answer(
            state,
            AttemptId(message.attempt_id),
            message.status,
            message.headers,
        )
    if not isinstance(message, Attempt):
        return []
    state.owned[message.attempt_id] = (event.peer, message)
    return _run_owned(message) if message.body_bytes <= 65536 else []


def _attempt_body(state: FakeState, event: events.AttemptBodyRead) -> Effects:
    return _run_owned(state.owned[event.attempt_id][1])


def _run_owned(attempt: Attempt) -> Effects:
    return [
        effects.Dispatch(
            attempt_id=attempt.attempt_id,
            body_id=attempt_body_id(attempt.attempt_id),
            method=attempt.method,
            target=attempt.target,
            headers=attempt.headers,
            timeout_seconds=5,
        ),
    ]


def _upstream(state: FakeState, event: events.UpstreamAnswered) -> Effects:
    owned = state.owned.pop(event.attempt_id, None)
    if owned is None:
        return _answer(state, event.attempt_id, event.status, event.headers)
    answer = Answer(
        attempt_id=event.attempt_id,
        verdict=Verdict.RAN,
        status=event.status,
        reason='',
        headers=event.headers,
        body_bytes=event.body_bytes,
        body_digest=event.body_digest,
        load=0,
        owner_clock=event.now,
    )
    return [
        effects.SendAnswer(
            peer=owned[0],
            answer=answer,
            body_id=answer_body_id(event.attempt_id),
        ),
    ]


def _answer(
    state: FakeState,
    attempt_id: AttemptId,
    status: int,
    headers: Any,
) -> Effects:
    state.calls.pop(attempt_id, None)
    return [
        effects.AnswerCall(
            call_id=CallId(attempt_id),
            verdict=Verdict.RAN,
            status=status,
            headers=headers,
            reason='',
            body_id=answer_body_id(attempt_id),
        ),
    ]


def _failed(state: FakeState, event: events.UpstreamFailed) -> Effects:
    return [
        effects.AnswerCall(
            call_id=CallId(event.attempt_id),
            verdict=Verdict.UNKNOWN,
            status=502,
            headers=(),
            reason='connection-lost',
        ),
    ]


def _key(state: FakeState, event: events.KeyRequested) -> Effects:
    return [
        effects.AnswerCall(
            call_id=event.call_id,
            verdict=Verdict.RAN,
            status=200,
            headers=(),
            reason='',
            detail=f'key-of-{event.service}',
        ),
    ]


def _stop(state: FakeState, event: events.StopRequested) -> Effects:
    return [effects.Exit(code=0)]


_HANDLERS: dict[type[Any], Callable[[FakeState, Any], Effects]] = {
    events.Started: _started,
    events.CallArrived: _call,
    events.CallBodyRead: _body,
    events.PeerMessageReceived: _message,
    events.AttemptBodyRead: _attempt_body,
    events.UpstreamAnswered: _upstream,
    events.UpstreamFailed: _failed,
    events.KeyRequested: _key,
    events.StopRequested: _stop,
}


class CountingObserver:
    """Keep counts and log codes for a test to look at."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.logs: list[tuple[str, dict[str, str]]] = []

    def count(self, name: str, **attributes: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def add(self, name: str, amount: int, attributes: Attributes) -> None:
        label = ' '.join((name, *(text for _, text in attributes)))
        self.counts[label] = self.counts.get(label, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Pass over durations."""

    def log(self, level: effects.LogLevel, code: str, **fields: str) -> None:
        self.logs.append((code, fields))


class ScriptedServer:
    """Read one request for each connection and answer with fixed bytes."""

    def __init__(
        self, answer: bytes = b'', *, is_waiting: bool = False
    ) -> None:
        self.requests: list[bytes] = []
        self.ends: list[bytes] = []
        self.answer = answer
        self._is_waiting = is_waiting  # keep the connection for the client
        self._server = StreamServer((LOCAL, 0), self._handle)
        self._server.start()

    @property
    def address(self) -> Address:
        return LOCAL, self._server.server_port

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _handle(self, sock: Any, address: Any) -> None:
        # The client under test may close the connection at any point.
        with contextlib.suppress(OSError):
            self.requests.append(read_request(sock))
            sock.sendall(self.answer)
            if self._is_waiting:
                self.ends.append(sock.recv(1))
        sock.close()
        self.ends.append(b'closed')


class EchoServer(StreamServer):  # type: ignore[misc]
    """Answer each request of a connection with its own body."""

    def __init__(self) -> None:
        super().__init__((LOCAL, 0))
        self.requests: list[bytes] = []
        self.ends = 0
        self.start()

    def handle(self, sock: Any, address: Any) -> None:
        while True:
            request = read_request(sock)
            if not request:
                self.ends += 1
                return
            self.requests.append(request)
            body = request.partition(b'\r\n\r\n')[2]
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body),
            )


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, or raise."""
    with gevent.Timeout(WAIT_SECONDS):
        while not condition():
            gevent.sleep(0.001)


def read_request(sock: Any) -> bytes:
    """Read one HTTP request with a Content-Length body or without one."""
    received = b''
    while b'\r\n\r\n' not in received:
        part = sock.recv(65536)
        if not part:
            return received
        received += part
    head, _, body = received.partition(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    while len(body) < length:
        body += sock.recv(65536)
    return b'\r\n\r\n'.join((head, body))
