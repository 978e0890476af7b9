"""Run-time verification of the invariants on one reducer, event by event.

The monitor reads only events, effects and the state's snapshot and members.
It shares no code with the decision modules, so that a fault in a decision
module cannot also disable the check for that fault.
"""

from collections.abc import Iterator
from typing import NamedTuple, final

from briartack.core.body_ids import attempt_body_id, call_body_id
from briartack.core.configuration.snapshot import Snapshot
from briartack.core.effects import (
    AbortDispatch,
    AnswerCall,
    Dispatch,
    Effect,
    Effects,
    SendAnswer,
    SendAttempt,
)
from briartack.core.events import (
    Event,
    PeerMessageReceived,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.messages import Answer
from briartack.core.state import State
from briartack.core.units import AttemptId, BodyId, CallId
from briartack.core.verdict import Verdict


@final
class _HeldVersion(NamedTuple):
    """Hold what orders a version: its revision and what its writer states."""

    revision: int
    stated: tuple[int, ...]

    def is_earlier_than(self, other: '_HeldVersion') -> bool:
        """Return whether another version comes after this one."""
        is_ordered = bool(self.stated and other.stated)
        if is_ordered and self.stated[:-1] == other.stated[:-1]:
            return self.stated < other.stated
        return self.revision < other.revision

    def __str__(self) -> str:
        return f'revision {self.revision} (states {self.stated})'


@final
class Violation:
    """Describe how a run violated an invariant, and when."""

    __slots__ = ('invariant', 'now', 'text')

    def __init__(self, *, invariant: str, now: float, text: str) -> None:
        """Create a violation; `now` is the time of the event in seconds."""
        self.invariant = invariant
        self.now = now
        self.text = text

    def __str__(self) -> str:
        return f'{self.invariant} at {self.now:.3f}: {self.text}'


@final
class InvariantMonitor:
    """Check one incarnation of a daemon; call `observe` after each event."""

    __slots__ = (
        '_answered',
        '_bodies_by_attempt',
        '_dispatched',
        '_identity',
        '_in_flight',
        '_may_have_run',
        '_now',
        '_answers_since_reset',
        '_versions',
    )

    def __init__(self) -> None:
        """Create a monitor that has to observe a run from its first event."""
        self._now = 0.0
        self._versions: dict[str, _HeldVersion] = {}
        self._answered: set[CallId] = set()
        self._bodies_by_attempt: dict[AttemptId, BodyId] = {}
        self._dispatched: set[AttemptId] = set()
        self._in_flight: set[AttemptId] = set()
        self._may_have_run: dict[BodyId, set[AttemptId]] = {}
        self._identity = ''
        self._answers_since_reset = 0

    def observe(
        self,
        state: State,
        event: Event,
        effects: Effects,
    ) -> list[Violation]:
        """Return the violations caused by an event and its effects."""
        self._now = event.now
        self._record_event(event)
        violations = list(self._check_snapshot(state.configuration.snapshot))
        for effect in effects:
            violations.extend(self._check_effect(state, effect))
        return violations

    def _record_event(self, event: Event) -> None:
        match event:
            case UpstreamAnswered():
                self._in_flight.discard(event.attempt_id)
                self._answers_since_reset += 1
            case UpstreamFailed():
                self._record_failure(event)
            case PeerMessageReceived(message=Answer() as answer):
                if answer.verdict is Verdict.NOT_RUN:
                    self._record_not_run(answer.attempt_id)
            case UpstreamProbed(identity=identity) if identity:
                self._record_identity(identity)

    def _record_failure(self, event: UpstreamFailed) -> None:
        self._in_flight.discard(event.attempt_id)
        if not event.may_have_run:
            self._record_not_run(event.attempt_id)
        if event.is_reset:
            self._answers_since_reset = 0

    def _record_sent(self, attempt_id: AttemptId, body_id: BodyId) -> None:
        self._bodies_by_attempt[attempt_id] = body_id
        self._may_have_run.setdefault(body_id, set()).add(attempt_id)

    def _record_not_run(self, attempt_id: AttemptId) -> None:
        body_id = self._bodies_by_attempt.get(attempt_id)
        if body_id is not None:
            self._may_have_run[body_id].discard(attempt_id)

    def _record_identity(self, identity: str) -> None:
        if identity != self._identity:
            self._identity = identity
            self._answers_since_reset = 0

    def _check_snapshot(self, snapshot: Snapshot | None) -> Iterator[Violation]:
        if snapshot is None:
            return
        stated = dict(snapshot.stated)
        versions = {
            key: _HeldVersion(revision, stated.get(key, ()))
            for key, revision in snapshot.versions
        }
        for key, before in self._versions.items():
            # A deleted key has no entry in `versions`.
            if key in versions and versions[key].is_earlier_than(before):
                yield self._violation(
                    'I1', f'{key} fell from {before} to {versions[key]}'
                )
        self._versions.update(versions)
        for route in snapshot.routes:
            if route.service not in snapshot.services:
                yield self._violation(
                    'I2',
                    f'route {route.name} refers to missing {route.service}',
                )

    def _check_effect(
        self,
        state: State,
        effect: Effect,
    ) -> Iterator[Violation]:
        match effect:
            case Dispatch():
                yield from self._check_dispatch(effect)
            case AbortDispatch():
                # Upstreams honour cancellation, so the slot is free again.
                self._in_flight.discard(effect.attempt_id)
            case SendAttempt():
                yield from self._check_send(state, effect)
            case AnswerCall():
                yield from self._check_answer(effect)
            case SendAnswer():
                yield from self._check_verdict(
                    effect.answer.verdict,
                    attempt_body_id(effect.answer.attempt_id),
                )

    def _check_dispatch(self, effect: Dispatch) -> Iterator[Violation]:
        attempt_id = effect.attempt_id
        if attempt_id in self._dispatched:
            yield self._violation('I9', f'{attempt_id} was dispatched twice')
        self._dispatched.add(attempt_id)
        self._record_sent(attempt_id, effect.body_id)
        self._in_flight.add(attempt_id)
        # After a reset the concurrency may grow only with answered requests:
        # 1, 2, 4 and so on.
        bound = self._answers_since_reset + 1
        if len(self._in_flight) > bound:
            yield self._violation(
                'I4',
                f'{len(self._in_flight)} in flight after {bound - 1} answers',
            )

    def _check_send(
        self,
        state: State,
        effect: SendAttempt,
    ) -> Iterator[Violation]:
        self._record_sent(effect.attempt.attempt_id, effect.body_id)
        member = state.membership.get(effect.peer)
        snapshot = state.configuration.snapshot
        if member is None or snapshot is None:
            return
        homes = effect.attempt.home_regions
        if homes and member.region not in homes:
            yield self._violation(
                'I6',
                f'attempt sent to non-home region {member.region}',
            )
        if member.data_centre in snapshot.platform.data_centres_out:
            yield self._violation(
                'I5',
                f'attempt sent to out-of-service {member.data_centre}',
            )

    def _check_answer(self, effect: AnswerCall) -> Iterator[Violation]:
        if effect.call_id in self._answered:
            yield self._violation('I7', f'{effect.call_id} was answered twice')
        self._answered.add(effect.call_id)
        yield from self._check_verdict(
            effect.verdict,
            call_body_id(effect.call_id),
        )

    def _check_verdict(
        self,
        verdict: Verdict,
        body_id: BodyId,
    ) -> Iterator[Violation]:
        if verdict is Verdict.NOT_RUN and self._may_have_run.get(body_id):
            yield self._violation(
                'I8', f'{body_id} may have run, but was reported as not-run'
            )

    def _violation(self, invariant: str, text: str) -> Violation:
        return Violation(invariant=invariant, now=self._now, text=text)
