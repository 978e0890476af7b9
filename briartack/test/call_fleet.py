"""Run the call paths of several daemons in simulated time.

The links have a fixed latency and lose nothing. The upstream of each daemon
runs a request for the time that its target states.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Final, TypeAlias

from briartack.core import effects as out
from briartack.core import events, messages
from briartack.core.calls import call_handlers
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.calls_state import CallsState
from briartack.core.configuration.settings import (
    PlatformSettings,
    Policy,
    ServiceLimits,
)
from briartack.core.identity import Identity
from briartack.core.units import CallId, Digest, Incarnation, InstanceId
from briartack.test.call_path_bench import (
    FakeMember,
    FakeMembers,
    FakeRoute,
    FakeShare,
    FakeSnapshot,
)

DRAIN_SECONDS: Final = 5.1
RULES: Final = CallRules(
    counts_refusals=False,
    retry_ratio=0.2,
    retry_burst=62,
    linger_seconds=2.2,
)
LIMITS: Final = ServiceLimits(
    slots=4, connections=20, queue_length=16, ramp_seconds=0
)
LATENCY_SECONDS: Final = 0.001
TICK_SECONDS: Final = 0.1
EMPTY_DIGEST: Final = Digest(b'')
Action: TypeAlias = Callable[[], None]
Handler: TypeAlias = Callable[..., out.Effects]
_HANDLERS: Final[Mapping[type, Handler]] = {
    messages.Attempt: call_handlers.on_attempt,
    messages.Answer: call_handlers.on_answer,
    messages.Cancel: call_handlers.on_cancel,
    messages.Goodbye: call_handlers.on_goodbye,
}


@dataclass(slots=True, kw_only=True)
class Run:
    """Hold one run of a request at an upstream; `ended_at` 0 is unfinished."""

    owner: str
    started_at: float
    ended_at: float = 0
    is_aborted: bool = False


@dataclass(slots=True, kw_only=True)
class Daemon:
    """Hold the call path of one daemon and the time of its stop."""

    state: CallsState
    context: CallContext
    stopped_at: float = float('inf')


@dataclass(slots=True, kw_only=True)
class CallFleet:
    """Run a fleet and hold what its callers and upstreams saw.

    `answers`, `calls`, `callers` and `deadlines` hold the answer, the runs, the
    daemon and the deadline of each call, `runs` the run of each attempt.
    Daemons in `others` are beside upstreams of another service, so that calls
    at them go to peers.
    """

    names: str
    timeout_ms: int
    others: str = ''
    seed: int = 1
    now: float = 100.0
    daemons: dict[str, Daemon] = field(default_factory=dict)
    answers: dict[str, out.AnswerCall] = field(default_factory=dict)
    runs: dict[str, Run] = field(default_factory=dict)
    calls: dict[str, list[Run]] = field(default_factory=dict)
    callers: dict[str, str] = field(default_factory=dict)
    deadlines: dict[str, float] = field(default_factory=dict)
    _queue: list[tuple[float, int, Action]] = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Start all daemons and connect each with every other."""
        for name in self.names:
            self.daemons[name] = Daemon(
                state=CallsState(drain_seconds=DRAIN_SECONDS, rules=RULES),
                context=self._make_context(name),
            )
        for left, right in itertools.permutations(self.names, 2):
            identity = self.daemons[right].context.identity
            hello = messages.Hello(
                protocol_version=messages.PROTOCOL_VERSION,
                instance=identity.instance,
                incarnation=identity.incarnation,
                service=identity.service,
                data_centre=identity.data_centre,
                region=identity.region,
                clock=self.now,
            )
            connected = events.PeerConnected(
                now=self.now, peer=identity.instance, hello=hello
            )
            self._handle(left, call_handlers.on_peer_connected, connected)

    def run_until(self, until: float) -> None:
        """Advance the clock, with a tick of every daemon each 0.1 s."""
        while self.now < until:
            tick_at = self.now + TICK_SECONDS
            while self._queue and self._queue[0][0] <= tick_at:
                at, _order, action = heapq.heappop(self._queue)
                self.now = at
                action()
            self.now = tick_at
            for name in self.names:
                self._handle(
                    name, call_handlers.on_tick, events.Tick(now=tick_at)
                )

    def call(self, name: str, call_id: str, run_ms: int) -> None:
        """Make a call at a daemon whose request runs for a time."""
        self.callers[call_id] = name
        self.deadlines[call_id] = self.now + self.timeout_ms / 1000
        event = events.CallArrived(
            now=self.now,
            call_id=CallId(call_id),
            method='POST',
            target=f'/s/{call_id}?{run_ms}',
            headers=(),
            tenant='',
            idempotency_key='',
            deadline_ms=None,
            is_nested=False,
            body_bytes=0,
        )
        self._handle(name, call_handlers.on_call_arrived, event)

    def stop(self, name: str) -> None:
        """Begin the planned stop of a daemon."""
        self.daemons[name].stopped_at = self.now
        event = events.StopRequested(now=self.now)
        self._handle(name, call_handlers.on_stop_requested, event)

    def schedule(self, at: float, action: Action) -> None:
        """Schedule an action of the test."""
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _make_context(self, name: str) -> CallContext:
        policy = Policy(
            max_attempts=3, repeatable=False, timeout_ms=self.timeout_ms
        )
        members = tuple(
            FakeMember(
                instance=InstanceId(one), data_centre='costa-1', region='costa'
            )
            for one in self.names
            if one not in self.others
        )
        return CallContext(
            identity=Identity(
                instance=InstanceId(name),
                incarnation=Incarnation(f'{name}1'),
                service='other' if name in self.others else 's',
                data_centre='costa-1',
                region='costa',
            ),
            snapshot=FakeSnapshot(
                routes=(
                    FakeRoute(
                        shares=(FakeShare(limits=LIMITS),), policy=policy
                    ),
                ),
                services={'s': LIMITS},
                tenant_regions={},
                platform=PlatformSettings(),
            ),
            members=FakeMembers(members=members),
            random=Random(f'{name} {self.seed}'),
            is_confirmed=True,
            rules=RULES,
        )

    def _handle(self, name: str, handler: Handler, *arguments: object) -> None:
        daemon = self.daemons[name]
        for effect in handler(daemon.state, daemon.context, *arguments):
            self._execute(name, effect)

    def _execute(self, name: str, effect: out.Effect) -> None:
        match effect:
            case out.SendAttempt():
                self._send(name, effect.peer, effect.attempt)
            case out.SendAnswer():
                self._send(name, effect.peer, effect.answer)
            case out.SendMessage():
                self._send(name, effect.peer, effect.message)
            case out.Dispatch():
                self._dispatch(name, effect)
            case out.AbortDispatch():
                run = self.runs[effect.attempt_id]
                run.ended_at = self.now
                run.is_aborted = True
            case out.AnswerCall():
                self.answers[effect.call_id] = effect

    def _send(
        self, name: str, peer: str, message: messages.PeerMessage
    ) -> None:
        self.schedule(
            self.now + LATENCY_SECONDS,
            partial(self._receive, InstanceId(name), peer, message),
        )

    def _receive(
        self, name: InstanceId, peer: str, message: messages.PeerMessage
    ) -> None:
        event = events.PeerMessageReceived(
            now=self.now, peer=name, message=message
        )
        self._handle(peer, _HANDLERS[type(message)], event, message)

    def _dispatch(self, name: str, effect: out.Dispatch) -> None:
        call_id, _, run_ms = effect.target.removeprefix('/s/').partition('?')
        run = Run(owner=name, started_at=self.now)
        self.runs[effect.attempt_id] = run
        self.calls.setdefault(call_id, []).append(run)
        self.schedule(
            self.now + int(run_ms) / 1000, partial(self._end, name, effect, run)
        )

    def _end(self, name: str, effect: out.Dispatch, run: Run) -> None:
        if run.is_aborted:
            return
        run.ended_at = self.now
        event = events.UpstreamAnswered(
            now=self.now,
            attempt_id=effect.attempt_id,
            status=200,
            headers=(),
            body_bytes=0,
            body_digest=EMPTY_DIGEST,
            elapsed_seconds=self.now - run.started_at,
        )
        self._handle(name, call_handlers.on_upstream_answered, event)
