"""Play senders against fake owners that state their load, in virtual time.

Each sender is the call path of a daemon. The owners are fakes: they run
requests in slots, queue and refuse by the target, and state slowdown and wait.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
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
from briartack.core.calls.reasons import OVERLOAD
from briartack.core.configuration.settings import (
    PlatformSettings,
    Policy,
    ServiceLimits,
)
from briartack.core.identity import Identity
from briartack.core.units import CallId, Digest, Incarnation, InstanceId
from briartack.core.verdict import Verdict
from briartack.test.call_path_bench import (
    FakeMember,
    FakeMembers,
    FakeRoute,
    FakeShare,
    FakeSnapshot,
)

Action: TypeAlias = Callable[[], None]
SLOTS: Final = 3
LIMITS: Final = ServiceLimits(
    slots=SLOTS, connections=50, queue_length=40, ramp_seconds=0
)
RULES: Final = CallRules(
    counts_refusals=False,
    retry_ratio=0.2,
    retry_burst=60,
    full_load=1.25,
    large_body_full_load=4.0,
)
TICK_SECONDS: Final = 0.1
# One way, as in the deployments.
NEAR_SECONDS: Final = 0.0003
REGION_SECONDS: Final = 0.001
FLEET_SECONDS: Final = 0.012
EMPTY_DIGEST: Final = Digest(b'')


@dataclass(slots=True, kw_only=True)
class FakeOwner:
    """Fake an owner and its upstream.

    The queue serves attempts in time before those whose target has passed.
    """

    name: str
    data_centre: str
    slowdown_at: Callable[[float], float]
    states_slowdown: bool = True
    is_cut: bool = False
    running: int = 0
    queue: deque[tuple[str, messages.Attempt, float, float]] = field(
        default_factory=deque
    )
    mean_seconds: float = 0.1


@dataclass(slots=True, kw_only=True)
class Caller:
    """Hold one call with its returns."""

    sender: str
    began_at: float
    deadline: float
    work_seconds: float
    tries: int = 0
    answered_at: float | None = None
    owner: str = ''
    refused_at: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class SenderFleet:
    """Run senders and owners; hold what the callers saw.

    `places` names the data centres as REGION-NUMBER, each with a sender.
    `policy` is that of the only route.
    """

    places: tuple[str, ...]
    owners: dict[str, FakeOwner]
    policy: Policy
    now: float = 100.0
    seed: int = 1
    calls: list[Caller] = field(default_factory=list)
    scope_changes: int = 0
    states: dict[str, CallsState] = field(default_factory=dict)
    contexts: dict[str, CallContext] = field(default_factory=dict)
    _callers: dict[str, Caller] = field(default_factory=dict)
    _queue: list[tuple[float, int, Action]] = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=itertools.count)
    _away: dict[str, bool] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Connect each sender with each owner."""
        for place in self.places:
            self.contexts[place] = self._make_context(place)
            self.states[place] = CallsState(drain_seconds=5, rules=RULES)
            for owner in self.owners.values():
                self._connect(place, owner)
        self.schedule(self.now + TICK_SECONDS, self._tick)

    def schedule(self, at: float, action: Action) -> None:
        """Schedule an action of the test or of the fleet."""
        heapq.heappush(self._queue, (at, next(self._order), action))

    def run_until(self, until: float) -> None:
        """Advance the clock."""
        while self._queue and self._queue[0][0] <= until:
            at, _order, action = heapq.heappop(self._queue)
            self.now = at
            action()
        self.now = until

    def call(
        self, place: str, work_seconds: float, body_bytes: int = 0
    ) -> None:
        """Make a call at the sender of a data centre."""
        caller = Caller(
            sender=place,
            began_at=self.now,
            deadline=self.now + self.policy.timeout_ms / 1000,
            work_seconds=work_seconds,
        )
        self.calls.append(caller)
        self._try(caller, body_bytes)

    def compute_shares(self) -> dict[str, float]:
        """Return the shares of calls in time and beyond the data centre.

        `refused` is the number of refusals for each call.
        """
        target = (self.policy.target_ms or 0) / 1000
        in_time = sum(
            call.answered_at is not None
            and call.answered_at - call.began_at <= target
            for call in self.calls
        )
        crossed = sum(
            bool(call.owner)
            and self.owners[call.owner].data_centre != call.sender
            for call in self.calls
        )
        count = len(self.calls)
        return {
            'in_time': in_time / count,
            'crossed': crossed / count,
            'refused': sum(len(call.refused_at) for call in self.calls) / count,
        }

    def cut(self, data_centre: str) -> None:
        """End all streams to the owners of a data centre."""
        for owner in self.owners.values():
            if owner.data_centre != data_centre:
                continue
            owner.is_cut = True
            for place in self.places:
                event = events.PeerDisconnected(
                    now=self.now, peer=InstanceId(owner.name), reason=''
                )
                self._handle(place, call_handlers.on_peer_disconnected, event)

    def _try(self, caller: Caller, body_bytes: int) -> None:
        left_ms = (caller.deadline - self.now) * 1000
        if left_ms <= caller.work_seconds * 1000:
            return
        caller.tries += 1
        call_id = f'c{next(self._order)}'
        self._callers[call_id] = caller
        event = events.CallArrived(
            now=self.now,
            call_id=CallId(call_id),
            method='GET',
            target=f'/s/{call_id}',
            headers=(),
            deadline_ms=left_ms,
            body_bytes=body_bytes,
        )
        self._handle(caller.sender, call_handlers.on_call_arrived, event)
        if body_bytes:
            read = events.CallBodyRead(
                now=self.now,
                call_id=CallId(call_id),
                body_bytes=body_bytes,
                body_digest=EMPTY_DIGEST,
            )
            self._handle(caller.sender, call_handlers.on_call_body_read, read)
        chooser = self.states[caller.sender].sender.chooser
        times = chooser.expected_times.get('s')
        if times is not None:
            was_away = self._away.get(caller.sender, False)
            self.scope_changes += was_away is not times.is_away
            self._away[caller.sender] = times.is_away

    def _handle(
        self,
        place: str,
        handler: Callable[..., out.Effects],
        *arguments: object,
    ) -> None:
        state, context = self.states[place], self.contexts[place]
        for effect in handler(state, context, *arguments):
            if isinstance(effect, out.SendAttempt):
                self._send(place, effect.peer, effect.attempt)
            elif isinstance(effect, out.SendMessage):
                if isinstance(effect.message, messages.Cancel):
                    self._cancel(effect.peer, effect.message)
            elif isinstance(effect, out.AnswerCall):
                self._end_call(effect)

    def _send(self, place: str, peer: str, attempt: messages.Attempt) -> None:
        at = self.now + find_latency(place, self.owners[peer].data_centre)
        self.schedule(at, partial(self._arrive, place, peer, attempt))

    def _arrive(self, place: str, peer: str, attempt: messages.Attempt) -> None:
        owner = self.owners[peer]
        if owner.is_cut:
            return
        deadline = self.now + attempt.remaining_ms / 1000
        limit = deadline
        if attempt.target_ms is not None and attempt.target_ms > 0:
            limit = min(limit, self.now + attempt.target_ms / 1000)
        waiting = (place, attempt, limit, deadline)
        if owner.running < SLOTS:
            self._start(owner, waiting)
            return
        position = len(owner.queue)
        while (
            position
            and owner.queue[position - 1][1].is_late
            and not attempt.is_late
        ):
            position -= 1
        wait = (position + 1) * owner.mean_seconds / SLOTS
        if (
            self.now + wait + owner.mean_seconds > limit
            or len(owner.queue) >= LIMITS.queue_length
        ):
            self._refuse(owner, waiting)
            return
        owner.queue.insert(position, waiting)

    def _cancel(self, peer: str, cancel: messages.Cancel) -> None:
        owner = self.owners[peer]
        owner.queue = deque(
            one for one in owner.queue if one[1].attempt_id != cancel.attempt_id
        )

    def _start(
        self,
        owner: FakeOwner,
        waiting: tuple[str, messages.Attempt, float, float],
    ) -> None:
        owner.running += 1
        call_id = waiting[1].target.removeprefix('/s/')
        work = self._callers[call_id].work_seconds
        seconds = work * owner.slowdown_at(self.now)
        self.schedule(
            self.now + seconds, partial(self._finish, owner, waiting, seconds)
        )

    def _finish(
        self,
        owner: FakeOwner,
        waiting: tuple[str, messages.Attempt, float, float],
        seconds: float,
    ) -> None:
        owner.running -= 1
        owner.mean_seconds += (seconds - owner.mean_seconds) / 16
        while owner.queue and owner.running < SLOTS:
            following = owner.queue.popleft()
            if self.now + owner.mean_seconds > following[3]:
                self._refuse(owner, following)
            else:
                self._start(owner, following)
        if not owner.is_cut:
            self._answer(owner, waiting, Verdict.RAN, '')

    def _refuse(
        self,
        owner: FakeOwner,
        waiting: tuple[str, messages.Attempt, float, float],
    ) -> None:
        self._answer(owner, waiting, Verdict.NOT_RUN, OVERLOAD.code)

    def _answer(
        self,
        owner: FakeOwner,
        waiting: tuple[str, messages.Attempt, float, float],
        verdict: Verdict,
        reason: str,
    ) -> None:
        place = waiting[0]
        is_full = owner.running >= SLOTS
        ahead = len(owner.queue) + 1 if is_full else 0
        answer = messages.Answer(
            attempt_id=waiting[1].attempt_id,
            verdict=verdict,
            status=503 if reason else 200,
            reason=reason,
            headers=(),
            body_bytes=0,
            body_digest=EMPTY_DIGEST,
            load=(owner.running + len(owner.queue)) / SLOTS,
            owner_clock=self.now,
            run_seconds=owner.mean_seconds,
            slowdown=owner.slowdown_at(self.now) * owner.states_slowdown,
            wait_seconds=ahead * owner.mean_seconds / SLOTS,
        )
        self.schedule(
            self.now + find_latency(place, owner.data_centre),
            partial(self._receive, place, owner, answer),
        )

    def _receive(
        self, place: str, owner: FakeOwner, answer: messages.Answer
    ) -> None:
        call = self.states[place].sender.find_call(answer.attempt_id)
        if call is not None and answer.verdict is Verdict.RAN:
            self._callers[call].owner = owner.name
        event = events.PeerMessageReceived(
            now=self.now, peer=InstanceId(owner.name), message=answer
        )
        self._handle(place, call_handlers.on_answer, event, answer)

    def _end_call(self, effect: out.AnswerCall) -> None:
        caller = self._callers[effect.call_id]
        if effect.verdict is Verdict.RAN:
            caller.answered_at = self.now
        elif effect.verdict is Verdict.NOT_RUN and effect.status == 503:
            seconds = effect.retry_after_seconds
            seconds = min(seconds, (caller.deadline - self.now) / 3)
            caller.refused_at.append((self.now, seconds))
            self.schedule(self.now + seconds, partial(self._try, caller, 0))

    def _tick(self) -> None:
        for place in self.places:
            self._handle(
                place, call_handlers.on_tick, events.Tick(now=self.now)
            )
        self.schedule(self.now + TICK_SECONDS, self._tick)

    def _connect(self, place: str, owner: FakeOwner) -> None:
        hello = messages.Hello(
            protocol_version=messages.PROTOCOL_VERSION,
            instance=InstanceId(owner.name),
            incarnation=Incarnation('j1'),
            service='s',
            data_centre=owner.data_centre,
            region=find_region(owner.data_centre),
            clock=self.now,
        )
        event = events.PeerConnected(
            now=self.now, peer=InstanceId(owner.name), hello=hello
        )
        self._handle(place, call_handlers.on_peer_connected, event)

    def _make_context(self, place: str) -> CallContext:
        return CallContext(
            identity=Identity(
                instance=InstanceId(f'sender-{place}'),
                incarnation=Incarnation('i1'),
                service='other',
                data_centre=place,
                region=find_region(place),
            ),
            snapshot=FakeSnapshot(
                routes=(
                    FakeRoute(
                        shares=(FakeShare(limits=LIMITS),), policy=self.policy
                    ),
                ),
                services={'s': LIMITS},
                tenant_regions={},
                platform=PlatformSettings(),
            ),
            members=FakeMembers(
                members=tuple(
                    FakeMember(
                        instance=InstanceId(owner.name),
                        data_centre=owner.data_centre,
                        region=find_region(owner.data_centre),
                        slots=SLOTS,
                    )
                    for owner in self.owners.values()
                )
            ),
            random=Random(f'{place} {self.seed}'),
            rules=RULES,
        )


def find_region(data_centre: str) -> str:
    """Return the region in the name of a data centre."""
    return data_centre.partition('-')[0]


def find_latency(left: str, right: str) -> float:
    """Return the latency one way between two data centres."""
    if left == right:
        return NEAR_SECONDS
    if find_region(left) == find_region(right):
        return REGION_SECONDS
    return FLEET_SECONDS
