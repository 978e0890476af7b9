"""The owner's side: which attempts start at the local upstream."""

from typing import Final, final

from briartack.core.body_ids import attempt_body
from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.dedup import DedupState
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.owned_attempts import (
    LocalOutcome,
    OwnedAttempt,
    OwnedPhase,
    OwnerAnswers,
)
from briartack.core.calls.owner_checks import (
    has_left,
    is_own_out,
    refusal,
)
from briartack.core.calls.owner_runner import OwnerRunner, late_answer
from briartack.core.calls.reasons import Reason
from briartack.core.effects import (
    Count,
    DropBody,
    Effects,
    LogLevel,
    ProbeUpstream,
    WriteLog,
)
from briartack.core.events import (
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.messages import Attempt
from briartack.core.units import AttemptId, BodyId, InstanceId

MILLISECONDS: Final = 1000


@final
class OwnerState:
    """Own what the owner of the local upstream holds."""

    __slots__ = (
        '_upstream',
        '_dedup',
        '_answers',
        '_attempts',
        '_runner',
        '_probe_path',
        '_was_out',
    )

    def __init__(self, *, rules: CallRules) -> None:
        """Start with a cold upstream."""
        self._upstream = LocalUpstream(rules=rules)
        self._probe_path = ''
        self._was_out = False
        self._dedup = DedupState()
        self._attempts: dict[AttemptId, OwnedAttempt] = {}
        self._answers = OwnerAnswers(
            upstream=self._upstream,
            attempts=self._attempts,
        )
        self._runner = OwnerRunner(
            upstream=self._upstream,
            answers=self._answers,
            attempts=self._attempts,
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether no attempt is in flight."""
        return not self._attempts

    @property
    def upstream(self) -> LocalUpstream:
        """Return the local upstream, for its load and health."""
        return self._upstream

    def rank_of_run(self, request_id: str) -> int | None:
        """Return the rank of a request that the upstream runs."""
        return self._runner.rank_of_run(request_id)

    def next_outcome(self) -> LocalOutcome | None:
        """Take the next answer to an attempt of this daemon's sender."""
        return self._answers.next_local()

    def may_have_run(self, attempt_id: AttemptId) -> bool:
        """Tell whether the upstream may have read an attempt's request."""
        if self._answers.is_refused(attempt_id):
            return False
        record = self._attempts.get(attempt_id)
        return record is None or record.phase is not OwnedPhase.QUEUED

    def begin_local(
        self,
        context: CallContext,
        now: float,
        attempt: Attempt,
        body_id: BodyId,
    ) -> Effects:
        """Take an attempt of this daemon's own sender, with its body.

        A planned stop does not refuse it: the call was accepted before.
        """
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
        body_id = attempt_body(attempt_id)
        record = _record(attempt, peer, body_id, now)
        replayed = self._replay(context, now, record)
        if replayed is not None:
            return replayed
        reason = self._dedup.bind(attempt, context.identity.incarnation, now)
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        if attempt.body_bytes == len(attempt.body):
            return self._admit(context, now, record, is_stopping=is_stopping)
        reason = refusal(
            context,
            now,
            record,
            self._upstream,
            is_stopping=is_stopping,
        )
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        self._runner.keep(record)
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
            return [DropBody(body_id=attempt_body(attempt_id))]
        self._runner.take(attempt_id)
        return self._admit(context, now, record, is_stopping=False)

    def cancel(
        self,
        now: float,
        peer: InstanceId | None,
        attempt_id: AttemptId,
    ) -> Effects:
        """Give up an attempt of a sender that no longer waits."""
        record = self._attempts.get(attempt_id)
        if record is None or record.peer != peer:
            return []
        return self._runner.cancel(now, record)

    def peer_lost(self, now: float, peer: InstanceId) -> Effects:
        """Drop what a peer that is gone has not had started.

        Running requests go on: to abort them would save little and would
        leave more of them half done.
        """
        return [
            effect
            for record in self._runner
            if record.peer == peer and record.phase is not OwnedPhase.RUNNING
            for effect in self._runner.withdraw(now, record)
        ]

    def upstream_answered(self, event: UpstreamAnswered) -> Effects:
        """Answer the sender and give the slot to the queue."""
        record = self._runner.take(event.attempt_id)
        if record is None:
            return late_answer(event.attempt_id)
        effects, has_restarted = self._runner.answered(event, record)
        if has_restarted:
            effects.extend(_ramp_log('answers'))
        return effects

    def upstream_failed(self, event: UpstreamFailed) -> Effects:
        """Tell the sender whether the request may have run."""
        record = self._runner.take(event.attempt_id)
        if record is None:
            return late_answer(event.attempt_id)
        effects, has_restarted = self._runner.failed(event, record)
        if has_restarted:
            effects.extend(_ramp_log('reset'))
        return effects

    def upstream_probed(self, event: UpstreamProbed) -> Effects:
        """Take the health, identity and load of the upstream."""
        upstream = self._upstream
        before = (upstream.health.identity, upstream.is_open)
        effects = _ramp_log('probe') if upstream.probed(event) else []
        if before != (upstream.health.identity, upstream.is_open):
            effects.append(_health_line(upstream, event))
        return effects

    def tick(self, context: CallContext, now: float) -> Effects:
        """End attempts whose time is over; follow limits and doubts."""
        effects = self._runner.tick(now)
        effects.extend(self._follow(context, now))
        return effects

    def expire_all(self, now: float, reason: Reason) -> Effects:
        """End all attempts that have not started."""
        return [
            effect
            for record in self._runner
            for effect in self._runner.expire(now, record, reason)
        ]

    def abort_all(self, now: float) -> Effects:
        """End every attempt, running ones with an unknown outcome."""
        effects = self.expire_all(now, reasons.STOPPING)
        for record in self._runner:
            effects.extend(self._runner.abort(now, record))
        return effects

    def _follow(self, context: CallContext, now: float) -> Effects:
        """Take the service's limits; probe the upstream when in doubt.

        It may have become cold while it was out of service.
        """
        snapshot = context.snapshot
        if snapshot is None:
            return []
        limits = snapshot.services.get(context.identity.service)
        if limits is None:
            return []
        member = context.members.get(context.identity.instance)
        self._upstream.configure(limits, member.slots if member else None)
        is_out = is_own_out(context, snapshot.platform)
        if self._was_out and not is_out:
            self._upstream.presume_cold(now)
        self._was_out = is_out
        effects: Effects = []
        if is_out or has_left(context, self._upstream.health.identity):
            # What waits must not start at an upstream that leaves.
            effects = self.expire_all(now, reasons.OUT_OF_SERVICE)
        is_moved = limits.health_path != self._probe_path
        self._probe_path = limits.health_path
        if self._upstream.health.take_doubt() or is_moved:
            effects.append(ProbeUpstream(path=limits.health_path))
        return effects

    def _replay(
        self,
        context: CallContext,
        now: float,
        record: OwnedAttempt,
    ) -> Effects | None:
        replayed = self._answers.replay(context.identity, now, record)
        if record.phase is OwnedPhase.JOINED:
            self._runner.keep(record)
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
        replayed = self._replay(context, now, record)
        if replayed is not None:
            return replayed
        reason = refusal(
            context,
            now,
            record,
            self._upstream,
            is_stopping=is_stopping,
        )
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        return self._runner.offer(now, record)


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


def _ramp_log(cause: str) -> Effects:
    return [
        Count(name='ramps_restarted', attributes=(('cause', cause),)),
        WriteLog(
            level=LogLevel.WARNING,
            code='ramp-restarted',
            fields=(('cause', cause),),
        ),
    ]


def _health_line(upstream: LocalUpstream, event: UpstreamProbed) -> WriteLog:
    cold_seconds = event.cold_seconds or 0
    return WriteLog(
        level=LogLevel.INFO,
        code='upstream-health',
        fields=(
            ('upstream', upstream.health.identity),
            ('open', str(upstream.is_open)),
            ('cold_ms', f'{cold_seconds * MILLISECONDS:.0f}'),
            ('running', str(upstream.running)),
        ),
    )
