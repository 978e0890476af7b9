"""Records of callers' calls and of the attempts made for them."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

from briartack.core.body_ids import call_body
from briartack.core.calls.call_context import RouteView, ShareView
from briartack.core.calls.idempotency import IssuedKey
from briartack.core.calls.reasons import Reason
from briartack.core.calls.timers import Timers
from briartack.core.events import CallArrived
from briartack.core.messages import Headers
from briartack.core.units import (
    AttemptId,
    BodyId,
    CallId,
    Digest,
    InstanceId,
)


@final
@enum.unique
class CallPhase(enum.Enum):
    """Name the steps of a call at the daemon that took it."""

    READING_BODY = enum.auto()
    CONNECTING = enum.auto()
    BACKING_OFF = enum.auto()
    SENT = enum.auto()


@final
@dataclass(slots=True, kw_only=True)
class Call:
    """Hold a call in flight."""

    event: CallArrived
    headers: Headers
    route: RouteView
    share: ShareView  # the one of the route's services that was chosen
    issued_key: IssuedKey | None
    rank: int  # 0 is the most urgent
    interactive: bool
    deadline: float
    body_bytes: int
    body_digest: Digest
    phase: CallPhase = CallPhase.READING_BODY
    wait_until: float = 0
    attempt_id: AttemptId | None = None
    peer: InstanceId | None = None
    attempts: int = 0
    tried: tuple[InstanceId, ...] = ()
    may_have_run: bool = False
    sent_at: float = 0
    stale_clocks: int = 0
    free_refusals: int = 0
    # Made by a run of this daemon's own upstream, which waits for it.
    is_of_own_run: bool = False
    refused_for: Reason | None = None  # why the last owner did not start it

    @property
    def body_id(self) -> BodyId:
        """Name the body of the request."""
        return call_body(self.event.call_id)


@final
class CallTable:
    """Own the calls in flight, by call and by attempt, and their times."""

    __slots__ = ('_calls', '_attempts', '_timers', '_sequence')

    def __init__(self) -> None:
        """Start empty."""
        self._calls: dict[CallId, Call] = {}
        self._attempts: dict[AttemptId, Call] = {}
        self._timers: Timers[CallId] = Timers()
        self._sequence = 0

    def __len__(self) -> int:
        """Count the calls in flight."""
        return len(self._calls)

    def __iter__(self) -> Iterator[Call]:
        """List the calls, so that each may end meanwhile."""
        return iter(tuple(self._calls.values()))

    @property
    def next_at(self) -> float | None:
        """Return the earliest time at which a call needs a tick."""
        return self._timers.next_at(self._calls.__contains__)

    def get(self, call_id: CallId) -> Call | None:
        """Find a call."""
        return self._calls.get(call_id)

    def of_attempt(self, attempt_id: AttemptId) -> Call | None:
        """Find the call whose present attempt has this id."""
        return self._attempts.get(attempt_id)

    def sent_to(self, peer: InstanceId) -> list[Call]:
        """List the calls whose present attempt is at a peer."""
        return [call for call in self._attempts.values() if call.peer == peer]

    def connecting(self, service: str) -> list[Call]:
        """List the calls that wait for a stream to a service."""
        return [
            call
            for call in self._calls.values()
            if call.phase is CallPhase.CONNECTING
            and call.share.service == service
        ]

    def add(self, call: Call) -> None:
        """Begin a call."""
        self._calls[call.event.call_id] = call
        self._timers.add(call.deadline, call.event.call_id)

    def wait(self, call: Call, phase: CallPhase, until: float) -> None:
        """Let a call wait for a stream or a backoff."""
        call.phase = phase
        call.wait_until = until
        self._timers.add(until, call.event.call_id)

    def start_attempt(
        self,
        call: Call,
        peer: InstanceId,
        prefix: str,
    ) -> AttemptId:
        """Name the next attempt of a call."""
        self._sequence += 1
        attempt_id = AttemptId(f'{prefix}.{self._sequence}')
        call.phase = CallPhase.SENT
        call.attempt_id = attempt_id
        call.peer = peer
        call.attempts += 1
        self._attempts[attempt_id] = call
        return attempt_id

    def end_attempt(self, call: Call) -> None:
        """Forget the present attempt; its answer is late from now on."""
        if call.attempt_id is not None:
            self._attempts.pop(call.attempt_id, None)
        call.attempt_id = None
        call.peer = None

    def remove(self, call: Call) -> None:
        """End a call."""
        self.end_attempt(call)
        self._calls.pop(call.event.call_id, None)

    def due(self, now: float) -> Iterator[Call]:
        """Take the calls whose deadline or wait is over."""
        for call_id in self._timers.due(now):
            call = self._calls.get(call_id)
            if call is not None:
                yield call
        self._timers.compact(len(self._calls), self._calls.__contains__)
