"""The owner's side: an attempt from its arrival to its answer."""

from typing import Final, final

from briartack.core import reasons
from briartack.core.admission import Admission, Waiting
from briartack.core.call_context import CallContext
from briartack.core.call_headers import for_upstream
from briartack.core.dedup import DedupState
from briartack.core.effects import (
    AbortDispatch,
    Count,
    Dispatch,
    DropBody,
    Effects,
    LogLevel,
    WriteLog,
)
from briartack.core.events import (
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.local_upstream import LocalUpstream
from briartack.core.messages import Attempt
from briartack.core.owned_attempts import (
    LocalOutcome,
    OwnedAttempt,
    OwnedPhase,
    OwnerAnswers,
)
from briartack.core.owner_checks import refusal
from briartack.core.reasons import Reason
from briartack.core.timers import Timers
from briartack.core.units import AttemptId, BodyId, InstanceId
from briartack.core.verdict import Verdict

MILLISECONDS: Final = 1000
SERVER_ERROR: Final = 500


@final
class OwnerState:
    """Own the attempts in flight at the local upstream."""

    __slots__ = (
        '_upstream',
        '_dedup',
        '_answers',
        '_attempts',
        '_timers',
    )

    def __init__(self) -> None:
        """Start with a cold upstream."""
        self._upstream = LocalUpstream()
        self._dedup = DedupState()
        self._attempts: dict[AttemptId, OwnedAttempt] = {}
        self._answers = OwnerAnswers(
            upstream=self._upstream,
            attempts=self._attempts,
        )
        self._timers: Timers[AttemptId] = Timers()

    @property
    def is_idle(self) -> bool:
        """Tell whether no attempt is in flight."""
        return not self._attempts

    @property
    def upstream(self) -> LocalUpstream:
        """Return the local upstream, for its load and health."""
        return self._upstream

    def next_outcome(self) -> LocalOutcome | None:
        """Take the next answer to an attempt of this daemon's sender."""
        return self._answers.next_local()

    def begin_local(
        self,
        context: CallContext,
        now: float,
        attempt: Attempt,
        body_id: BodyId,
    ) -> Effects:
        """Take an attempt of this daemon's own sender, with its body."""
        record = _record(attempt, None, body_id, now)
        return self._admit(context, now, record, is_stopping=False)

    def begin(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
        attempt: Attempt,
        *,
        is_stopping: bool,
    ) -> Effects:
        """Take the head of a peer's attempt.

        A repeated id gets no answer: the first one has been or will be
        answered, and the body is the first one's too.
        """
        attempt_id = attempt.attempt_id
        if attempt_id in self._attempts or self._dedup.is_known(attempt_id):
            return [Count(name='attempts_duplicate')]
        body_id = BodyId(f'attempt:{attempt_id}')
        record = _record(attempt, peer, body_id, now)
        replayed = self._replay(context, now, record)
        if replayed is not None:
            return replayed
        bound = self._dedup.bind(attempt, context.identity.incarnation, now)
        if bound is not None:
            return self._answers.refuse(now, record, bound)
        if attempt.body_bytes == len(attempt.body):
            return self._admit(context, now, record, is_stopping=is_stopping)
        reason = refusal(
            context,
            attempt,
            self._upstream,
            is_stopping=is_stopping,
        )
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        self._keep(record)
        return []

    def body_read(
        self,
        context: CallContext,
        now: float,
        attempt_id: AttemptId,
    ) -> Effects:
        """Take the whole body of an attempt that was accepted before."""
        record = self._attempts.get(attempt_id)
        if record is None or record.phase is not OwnedPhase.READING_BODY:
            return [DropBody(body_id=BodyId(f'attempt:{attempt_id}'))]
        self._attempts.pop(attempt_id)
        return self._admit(context, now, record, is_stopping=False)

    def cancel(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId | None,
        attempt_id: AttemptId,
    ) -> Effects:
        """Give up an attempt that nobody waits for.

        A running request with an idempotency key goes on, because a repeat
        will ask for its outcome.
        """
        record = self._attempts.get(attempt_id)
        if record is None or record.peer != peer:
            return []
        if record.phase is not OwnedPhase.RUNNING:
            return self._withdraw(now, record)
        if record.attempt.idempotency_key:
            return []
        self._attempts.pop(attempt_id)
        self._upstream.abort()
        return [
            AbortDispatch(attempt_id=attempt_id),
            *self._answers.drop_request(record),
            *self._apply(now, self._upstream.fill(now)),
        ]

    def peer_lost(self, now: float, peer: InstanceId) -> Effects:
        """Drop what a peer that is gone has not had started.

        Running requests go on: to abort them would save little and would
        leave more of them half done.
        """
        return [
            effect
            for record in tuple(self._attempts.values())
            if record.peer == peer and record.phase is not OwnedPhase.RUNNING
            for effect in self._withdraw(now, record)
        ]

    def upstream_answered(self, event: UpstreamAnswered) -> Effects:
        """Answer the sender and give the slot to the queue."""
        record = self._attempts.pop(event.attempt_id, None)
        if record is None:
            return [
                Count(name='upstream_answers_late'),
                DropBody(body_id=BodyId(f'answer:{event.attempt_id}')),
            ]
        has_restarted = self._upstream.answered(
            event.now,
            event.elapsed_seconds,
            generation=record.generation,
            is_success=event.status < SERVER_ERROR,
        )
        return [
            *self._answers.complete(event, record),
            *_ramp_log(has_restarted, 'latency'),
            *self._apply(event.now, self._upstream.fill(event.now)),
        ]

    def upstream_failed(self, event: UpstreamFailed) -> Effects:
        """Tell the sender whether the request may have run."""
        record = self._attempts.pop(event.attempt_id, None)
        if record is None:
            return [Count(name='upstream_answers_late')]
        has_restarted = self._upstream.failed(
            event.now,
            generation=record.generation,
            is_reset=event.is_reset,
        )
        verdict = Verdict.NOT_RUN
        if event.may_have_run:
            verdict = Verdict.UNKNOWN
        return [
            *self._answers.fail(event.now, record, verdict),
            *_ramp_log(has_restarted, 'reset'),
            *self._apply(event.now, self._upstream.fill(event.now)),
        ]

    def upstream_probed(self, event: UpstreamProbed) -> Effects:
        """Take the health, identity and load of the upstream."""
        has_restarted = self._upstream.probed(event)
        return _ramp_log(has_restarted, 'identity')

    def tick(self, now: float) -> Effects:
        """End attempts whose time is over before they started."""
        effects: Effects = []
        for attempt_id in self._timers.due(now):
            record = self._attempts.get(attempt_id)
            if record is not None:
                effects.extend(self._expire(now, record, reasons.DEADLINE))
        self._timers.compact(len(self._attempts), self._attempts.__contains__)
        effects.extend(self._apply(now, self._upstream.fill(now)))
        return effects

    def expire_all(self, now: float, reason: Reason) -> Effects:
        """End all attempts that have not started."""
        return [
            effect
            for record in tuple(self._attempts.values())
            for effect in self._expire(now, record, reason)
        ]

    def abort_all(self, now: float) -> Effects:
        """End every attempt, running ones with an unknown outcome."""
        effects = self.expire_all(now, reasons.STOPPING)
        for record in tuple(self._attempts.values()):
            attempt_id = record.attempt.attempt_id
            self._attempts.pop(attempt_id)
            self._upstream.abort()
            effects.append(AbortDispatch(attempt_id=attempt_id))
            effects.extend(self._answers.fail(now, record, Verdict.UNKNOWN))
        return effects

    def _keep(self, record: OwnedAttempt) -> None:
        attempt_id = record.attempt.attempt_id
        self._attempts[attempt_id] = record
        self._timers.add(record.deadline, attempt_id)

    def _replay(
        self,
        context: CallContext,
        now: float,
        record: OwnedAttempt,
    ) -> Effects | None:
        replayed = self._answers.replay(context.identity, now, record)
        if record.phase is OwnedPhase.JOINED:
            self._keep(record)
        return replayed

    def _admit(
        self,
        context: CallContext,
        now: float,
        record: OwnedAttempt,
        *,
        is_stopping: bool,
    ) -> Effects:
        """Check an attempt whose body is here, and ask for a slot."""
        attempt = record.attempt
        replayed = self._replay(context, now, record)
        if replayed is not None:
            return replayed
        reason = refusal(
            context,
            attempt,
            self._upstream,
            is_stopping=is_stopping,
        )
        if reason is None and now >= record.deadline:
            reason = reasons.DEADLINE
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        record.phase = OwnedPhase.QUEUED
        self._keep(record)
        self._answers.start_key(record)
        waiting = Waiting(
            attempt_id=attempt.attempt_id,
            deadline=record.deadline,
            interactive=attempt.interactive,
        )
        return self._apply(now, self._upstream.offer(waiting, now))

    def _apply(self, now: float, admission: Admission) -> Effects:
        effects: Effects = []
        for refused in admission.refused:
            record = self._attempts.pop(refused)
            reason = reasons.OVERLOAD
            if now >= record.deadline:
                reason = reasons.DEADLINE
            effects.append(Count(name='attempts_shed'))
            effects.extend(self._answers.refuse(now, record, reason))
        for started in admission.started:
            effects.append(self._dispatch(now, self._attempts[started]))
        return effects

    def _dispatch(self, now: float, record: OwnedAttempt) -> Dispatch:
        record.phase = OwnedPhase.RUNNING
        record.generation = self._upstream.generation
        attempt = record.attempt
        remaining = record.deadline - now
        return Dispatch(
            attempt_id=attempt.attempt_id,
            body_id=record.body_id,
            method=attempt.method,
            target=attempt.target,
            headers=for_upstream(attempt, remaining),
            timeout_seconds=remaining,
        )

    def _expire(
        self,
        now: float,
        record: OwnedAttempt,
        reason: Reason,
    ) -> Effects:
        """Refuse an attempt, unless it runs."""
        is_over = self._attempts.get(record.attempt.attempt_id) is not record
        if is_over or record.phase is OwnedPhase.RUNNING:
            return []
        self._attempts.pop(record.attempt.attempt_id)
        if record.phase is OwnedPhase.QUEUED:
            self._upstream.withdraw(record.attempt.attempt_id)
        return self._answers.refuse(now, record, reason)

    def _withdraw(self, now: float, record: OwnedAttempt) -> Effects:
        """Forget an attempt that has not started, without an answer."""
        self._attempts.pop(record.attempt.attempt_id, None)
        effects = self._answers.drop_request(record)
        if record.phase is OwnedPhase.QUEUED:
            self._upstream.withdraw(record.attempt.attempt_id)
            effects.extend(self._answers.release_key(now, record))
        return effects


def _record(
    attempt: Attempt,
    peer: InstanceId | None,
    body_id: BodyId,
    now: float,
) -> OwnedAttempt:
    return OwnedAttempt(
        attempt=attempt,
        peer=peer,
        body_id=body_id,
        deadline=now + attempt.remaining_ms / MILLISECONDS,
    )


def _ramp_log(has_restarted: bool, cause: str) -> Effects:
    if not has_restarted:
        return []
    return [
        Count(name='ramps_restarted', attributes=(('cause', cause),)),
        WriteLog(
            level=LogLevel.WARNING,
            code='ramp-restarted',
            fields=(('cause', cause),),
        ),
    ]
