"""The calls in flight at the daemon that accepted them, with their attempts."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

from briartack.core.body_ids import call_body_id
from briartack.core.calls.call_context import RouteView, ShareView
from briartack.core.calls.idempotency import IssuedKey
from briartack.core.calls.reasons import Reason
from briartack.core.calls.timers import Timers
from briartack.core.events import CallArrived
from briartack.core.messages import Headers
from briartack.core.tenants.identification import UNKEYED, CallOrigin
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    AttemptId,
    BodyId,
    CallId,
    Digest,
    InstanceId,
)


@final
@enum.unique
class CallPhase(enum.Enum):
    """Enumerate the phases of a call at the daemon that accepted it."""

    AWAITING_TOKEN = enum.auto()
    READING_BODY = enum.auto()
    CONNECTING = enum.auto()
    BACKING_OFF = enum.auto()
    SENT = enum.auto()


@final
@dataclass(slots=True, kw_only=True)
class Call:
    """Hold the request, the routing and the attempts of a call in flight."""

    event: CallArrived
    headers: Headers
    route: RouteView
    share: ShareView  # the chosen share of the route
    issued_key: IssuedKey | None
    rank: int  # 0 is the most urgent
    is_interactive: bool
    deadline: float
    body_bytes: int
    body_digest: Digest
    origin: CallOrigin = UNKEYED
    token_expires_at: float | None = None  # of the tenant's cap
    is_body_read: bool = False
    is_counted: bool = False  # towards what the service earns in retries
    phase: CallPhase = CallPhase.READING_BODY
    wait_until: float = 0
    attempt_id: AttemptId | None = None
    peer: InstanceId | None = None
    attempts: int = 0
    tried_instances: tuple[InstanceId, ...] = ()
    may_have_run: bool = False
    sent_at: float = 0
    starts_at_once: bool = False  # the owner probably had a free slot
    stale_clock_refusals: int = 0
    free_refusals: int = 0
    is_last_resort: bool = False  # the attempt was, see `ChosenEndpoint`
    has_met_overload: bool = False  # an owner had no room
    has_waited: bool = False  # in vain, for a stream to an owner
    # Made by a request that runs at this daemon's upstream and waits for it.
    is_from_local_run: bool = False
    is_from_repeat: bool = False  # that request is a retry
    has_reached_upstream: bool = False  # an earlier attempt has, or may have
    last_refusal: Reason | None = None  # reason of the last free refusal
    # Time at the caller since its first try; `None` if unknown.
    elapsed_seconds: float | None = None

    @property
    def urgency(self) -> tuple[bool, int]:
        """Return the order of the call's body among those of other calls."""
        return not self.is_from_local_run, self.rank

    @property
    def body_id(self) -> BodyId:
        """Return the id of the request body."""
        return call_body_id(self.event.call_id)

    @property
    def target_at(self) -> float:
        """Return the time of the latency target, from the caller's first try.

        It is the deadline for a call of a local run, which fails without the
        call, and infinite without a target.
        """
        if self.is_from_local_run:
            return self.deadline
        target_ms = self.route.policy.target_ms
        if target_ms is None:
            return float('inf')
        first_try_at = self.event.now - (self.elapsed_seconds or 0)
        return first_try_at + target_ms / MILLISECONDS_PER_SECOND


@final
class CallTable:
    """Hold the calls in flight by call and attempt id, with their timers."""

    __slots__ = ('_calls', '_attempts', '_timers', '_sequence')

    def __init__(self) -> None:
        self._calls: dict[CallId, Call] = {}
        self._attempts: dict[AttemptId, Call] = {}
        self._timers: Timers[CallId] = Timers()
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._calls)

    def __iter__(self) -> Iterator[Call]:
        """Iterate over a copy of the calls, so that each may be removed."""
        return iter(tuple(self._calls.values()))

    @property
    def next_due_at(self) -> float | None:
        """Return the earliest timer of a call in flight, or `None`."""
        return self._timers.next_due_at(self._calls.__contains__)

    def get(self, call_id: CallId) -> Call | None:
        """Return the call with an id, or `None` once it has ended."""
        return self._calls.get(call_id)

    def find_by_attempt(self, attempt_id: AttemptId) -> Call | None:
        """Return the call whose current attempt has this id, or `None`."""
        return self._attempts.get(attempt_id)

    def list_sent_to(self, peer: InstanceId) -> list[Call]:
        """Return the calls whose current attempt was sent to a peer."""
        return [call for call in self._attempts.values() if call.peer == peer]

    def list_connecting(self, service: str) -> list[Call]:
        """Return the calls that wait for a stream to a service."""
        return [
            call
            for call in self._calls.values()
            if call.phase is CallPhase.CONNECTING
            and call.share.service == service
        ]

    def add(self, call: Call) -> None:
        """Add a call and schedule its deadline."""
        self._calls[call.event.call_id] = call
        self._timers.add(call.deadline, call.event.call_id)

    def begin_wait(self, call: Call, phase: CallPhase, until: float) -> None:
        """Move a call to a waiting phase until a time.

        The phase is `AWAITING_TOKEN`, `CONNECTING` or `BACKING_OFF`.
        """
        call.phase = phase
        call.wait_until = until
        self._timers.add(until, call.event.call_id)

    def start_attempt(
        self,
        call: Call,
        peer: InstanceId,
        prefix: str,
    ) -> AttemptId:
        """Register the next attempt of a call and return its new id.

        `prefix` makes the id unique across instances and incarnations.
        """
        self._sequence += 1
        attempt_id = AttemptId(f'{prefix}.{self._sequence}')
        call.phase = CallPhase.SENT
        call.attempt_id = attempt_id
        call.peer = peer
        call.attempts += 1
        self._attempts[attempt_id] = call
        return attempt_id

    def end_attempt(self, call: Call) -> None:
        """Unregister the current attempt; a later answer counts as late."""
        if call.attempt_id is not None:
            self._attempts.pop(call.attempt_id, None)
        call.attempt_id = None
        call.peer = None

    def remove(self, call: Call) -> None:
        """Remove a call and its current attempt."""
        self.end_attempt(call)
        self._calls.pop(call.event.call_id, None)

    def pop_due(self, now: float) -> Iterator[Call]:
        """Yield the calls with an expired timer: a deadline or a wait."""
        for call_id in self._timers.pop_due(now):
            call = self._calls.get(call_id)
            if call is not None:
                yield call
        self._timers.compact(len(self._calls), self._calls.__contains__)
