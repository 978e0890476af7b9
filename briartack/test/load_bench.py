"""Run one daemon and its upstream in virtual time, through the reducer.

The daemon is sender and owner. Callers that are refused return with less time
left, as the platform's callers do; peers send attempts that are not repeated.
"""

import heapq
import itertools
import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Final, TypeAlias

from briartack.core import effects as out
from briartack.core import events, messages
from briartack.core.calls.call_rules import CallRules
from briartack.core.entries import Entry
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import AttemptId, CallId, InstanceId, Revision
from briartack.core.verdict import Verdict
from briartack.test.machine_data import EMPTY, OWN, instance_entry

SLOTS: Final = 3
QUEUE_LENGTH: Final = 40
WORK_SECONDS: Final = 0.05
# Runs that the upstream completes in a second at the usual speed.
CAPACITY: Final = SLOTS / WORK_SECONDS
TARGET_MS: Final = 368
TIMEOUT_MS: Final = 2454
PEER: Final = InstanceId('a-2')
WARM_UP_CALLS: Final = 40
TICK_SECONDS: Final = 0.1
STARTED_AT: Final = 100.0
Action: TypeAlias = Callable[[], None]


def _encode_settings() -> str:
    policies = {
        f'rank-{rank}': {
            'timeout_ms': TIMEOUT_MS,
            'target_ms': TARGET_MS,
            'rank': rank,
            'max_attempts': 1,
        }
        for rank in range(2)
    }
    return json.dumps(
        {
            'services': {
                'main': {
                    'slots': SLOTS,
                    'connections': 99,
                    'ramp_seconds': 0,
                    'queue_length': QUEUE_LENGTH,
                },
            },
            'policies': policies,
            'routes': [
                {
                    'name': name,
                    'path_prefix': f'/{name}/',
                    'service': 'a/main',
                    'policy': name,
                }
                for name in policies
            ],
        },
    )


@dataclass(slots=True, kw_only=True)
class Request:
    """Hold one request of a caller or a peer, with all of its tries."""

    rank: int
    began_at: float
    timeout_seconds: float
    tries: int = 0
    answered_after: float = float('inf')
    refusals: list[float] = field(default_factory=list)
    runs: int = 0
    answers: int = 0

    def is_in_time(self, target_seconds: float = TARGET_MS / 1000) -> bool:
        """Return whether the request was answered within its target."""
        return self.answered_after <= target_seconds


@dataclass(slots=True, kw_only=True)
class LoadBench:
    """Drive the reducer of one daemon; hold the requests by name.

    `slowdown` returns the factor by which work takes longer at a time. The
    upstream states its load only if `states_load`. `started` holds the names
    of the requests in the order of their runs, and `answers` what peers got.
    """

    slowdown: Callable[[float], float] = lambda _: 1.0
    states_load: bool = True
    random: Random = field(default_factory=lambda: Random(1))
    now: float = STARTED_AT
    requests: dict[str, Request] = field(default_factory=dict)
    started: list[str] = field(default_factory=list)
    answers: list[messages.Answer] = field(default_factory=list)
    running: int = 0
    state: State = field(
        default_factory=lambda: State(
            identity=OWN,
            random=Random(1),
            drain_seconds=30,
            rules=CallRules(counts_refusals=False),
        ),
    )
    _queue: list[tuple[float, int, Action]] = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=itertools.count)
    _names: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Configure the daemon and let the upstream reach all its slots."""
        self.apply(
            events.Started(now=self.now, incarnation=OWN.incarnation),
        )
        own = instance_entry(0)
        settings = Entry(
            key='teams/a', revision=Revision(2), value=_encode_settings()
        )
        self.apply(
            events.StoreRead(
                now=self.now,
                prefix='',
                revision=Revision(2),
                entries=(own, settings),
            ),
        )
        self.apply(
            events.UpstreamProbed(
                now=self.now,
                is_healthy=True,
                is_draining=False,
                identity='u',
                reported_load=None,
            ),
        )
        for number in range(WARM_UP_CALLS):
            at = self.now + number * WORK_SECONDS
            self.schedule(at, partial(self.call, f'warm-{number}', 0))
        self.run_for(WARM_UP_CALLS * WORK_SECONDS + 1)
        self.requests.clear()
        self.started.clear()

    def schedule(self, at: float, action: Action) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (at, next(self._order), action))

    def run_for(self, seconds: float) -> None:
        """Advance the clock, with a tick of the daemon each 0.1 s."""
        ticks = round(seconds / TICK_SECONDS)
        for _ in range(ticks):
            tick_at = self.now + TICK_SECONDS
            while self._queue and self._queue[0][0] <= tick_at:
                at, _, action = heapq.heappop(self._queue)
                self.now = max(self.now, at)
                action()
            self.now = tick_at
            self.apply(events.Tick(now=self.now))

    def schedule_calls(
        self, rank: int, per_second: float, seconds: float
    ) -> None:
        """Schedule callers at random times, on average at a rate."""
        at = self.now
        for number in itertools.count():
            at += self.random.expovariate(per_second)
            if at >= self.now + seconds:
                return
            name = f'{rank}-{number}-{self.now:.1f}'
            self.schedule(at, partial(self.call, name, rank))

    def call(self, name: str, rank: int) -> None:
        """Make a call, or let its caller return after a refusal."""
        request = self.requests.setdefault(
            name,
            Request(
                rank=rank,
                began_at=self.now,
                timeout_seconds=TIMEOUT_MS / 1000,
            ),
        )
        request.tries += 1
        call_id = f'{name}/{request.tries}'
        self._names[call_id] = name
        left_seconds = request.began_at + request.timeout_seconds - self.now
        self.apply(
            events.CallArrived(
                now=self.now,
                call_id=CallId(call_id),
                method='GET',
                target=f'/rank-{rank}/{call_id}',
                headers=(),
                deadline_ms=left_seconds * 1000,
            ),
        )

    def send_attempt(
        self,
        name: str,
        *,
        rank: int,
        timeout_seconds: float,
        target_seconds: float | None,
        is_awaited_by_run: bool = False,
    ) -> None:
        """Let a peer send an attempt, whose refusal ends it."""
        self.requests[name] = Request(
            rank=rank, began_at=self.now, timeout_seconds=timeout_seconds
        )
        self._names[name] = name
        attempt = messages.Attempt(
            attempt_id=AttemptId(name),
            owner_incarnation=OWN.incarnation,
            owner_clock=self.now,
            remaining_ms=timeout_seconds * 1000,
            service='a/main',
            method='GET',
            target=f'/rank-{rank}/{name}',
            headers=(),
            body_bytes=0,
            body_digest=EMPTY,
            interactive=True,
            rank=rank,
            target_ms=None if target_seconds is None else target_seconds * 1000,
            is_awaited_by_run=is_awaited_by_run,
            route=f'rank-{rank}',
        )
        self.apply(
            events.PeerMessageReceived(
                now=self.now, peer=PEER, message=attempt
            ),
        )

    def apply(self, event: events.Event) -> None:
        """Feed one event and execute its effects."""
        for effect in reduce(self.state, event):
            match effect:
                case out.Dispatch():
                    self._dispatch(effect)
                case out.AnswerCall():
                    is_run = effect.verdict is Verdict.RAN
                    self._end(effect.call_id, is_run, effect)
                case out.SendAnswer():
                    self.answers.append(effect.answer)
                    is_run = effect.answer.verdict is Verdict.RAN
                    self._end(effect.answer.attempt_id, is_run, None)

    def _dispatch(self, effect: out.Dispatch) -> None:
        name = self._names[effect.target.split('/', 2)[2]]
        self.requests[name].runs += 1
        self.started.append(name)
        self.running += 1
        seconds = WORK_SECONDS * self.slowdown(self.now)
        self.schedule(
            self.now + seconds, partial(self._answer, effect, seconds)
        )

    def _answer(self, effect: out.Dispatch, seconds: float) -> None:
        self.running -= 1
        report = events.LoadReport(
            running=self.running,
            waiting=0,
            slots=SLOTS,
            slowdown=self.slowdown(self.now),
        )
        self.apply(
            events.UpstreamAnswered(
                now=self.now,
                attempt_id=effect.attempt_id,
                status=200,
                headers=(),
                body_bytes=0,
                body_digest=EMPTY,
                elapsed_seconds=seconds,
                load_report=report if self.states_load else None,
            ),
        )

    def _end(
        self, call_id: str, is_run: bool, refusal: out.AnswerCall | None
    ) -> None:
        """Record an answer; a refused caller returns as it was told."""
        name = self._names[call_id]
        request = self.requests[name]
        request.answers += 1
        if is_run:
            request.answered_after = self.now - request.began_at
            return
        request.refusals.append(self.now - request.began_at)
        if refusal is None:
            return
        back_at = self.now + max(refusal.retry_after_seconds, TICK_SECONDS / 10)
        if back_at < request.began_at + request.timeout_seconds:
            self.schedule(back_at, partial(self.call, name, request.rank))
