"""State of the call owner: admission of attempts to the local upstream.

The owner is the daemon beside the upstream that runs a request. The module
accepts attempts from peers and from the sender of this daemon, checks them,
queues them for a slot, and handles the upstream's answers and probes.
"""

from typing import Final, final

from briartack.core.body_ids import attempt_body_id
from briartack.core.calls import reasons
from briartack.core.calls.body_grants import BodyGrants
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.crash_suspects import CrashSuspects
from briartack.core.calls.crash_watch import CrashWatch
from briartack.core.calls.dedup import DedupState
from briartack.core.calls.drain import DrainState
from briartack.core.calls.identity_watch import Evidence, IdentityWatch
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.owned_attempts import (
    LocalOutcome,
    OwnedAttempt,
    OwnedPhase,
    OwnerAnswers,
)
from briartack.core.calls.owner_bodies import OwnerBodies
from briartack.core.calls.owner_checks import (
    find_latest_start,
    find_refusal_reason,
    is_own_instance_out_of_service,
    is_stop_too_near,
    is_upstream_leaving,
)
from briartack.core.calls.owner_runner import OwnerRunner, drop_late_answer
from briartack.core.calls.reasons import Reason
from briartack.core.calls.upstream_reports import (
    report_health,
    report_ramp_restart,
    report_stated_limit,
)
from briartack.core.effects import (
    Count,
    DropBody,
    Effects,
    ProbeUpstream,
)
from briartack.core.events import (
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.messages import Attempt
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    AttemptId,
    BodyId,
    InstanceId,
)


@final
class OwnerState:
    """Hold the owner's state: its attempts, their ids, and the upstream."""

    __slots__ = (
        '_upstream',
        'dedup',
        'bodies',
        '_grants',
        '_answers',
        '_attempts',
        '_runner',
        '_probe_path',
        '_was_out_of_service',
        '_listed_cold_ms',
        '_crash_watch',
        '_identity_watch',
        '_drain',
    )

    def __init__(self, *, drain: DrainState, rules: CallRules) -> None:
        """Start with a cold upstream that has not been probed."""
        self._drain = drain
        self._upstream = LocalUpstream(drain=drain, rules=rules)
        self._probe_path = ''
        self._was_out_of_service = False
        self._listed_cold_ms = 0
        self._crash_watch = CrashWatch()
        self.dedup: Final = DedupState()
        self._attempts: dict[AttemptId, OwnedAttempt] = {}
        self._grants = BodyGrants(
            link_bytes_per_second=rules.link_bytes_per_second,
        )
        self._answers = OwnerAnswers(
            upstream=self._upstream,
            grants=self._grants,
            attempts=self._attempts,
        )
        self._runner = OwnerRunner(
            upstream=self._upstream,
            answers=self._answers,
            grants=self._grants,
            attempts=self._attempts,
        )
        self._identity_watch = IdentityWatch(
            upstream=self._upstream, runner=self._runner
        )
        self.bodies: Final = OwnerBodies(
            grants=self._grants,
            answers=self._answers,
            runner=self._runner,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of attempts that have yet to be answered."""
        return len(self._attempts)

    @property
    def upstream(self) -> LocalUpstream:
        """Return the local upstream, which reports its load and health."""
        return self._upstream

    @property
    def suspects(self) -> CrashSuspects:
        """Return the requests that are suspected to crash their upstreams."""
        return self._crash_watch.suspects

    def find_running(self, request_id: str) -> Attempt | None:
        """Return the attempt of a running request, or `None`."""
        return self._runner.find_running(request_id)

    def pop_outcome(self) -> LocalOutcome | None:
        """Remove and return the next outcome for the sender of this daemon."""
        return self._answers.pop_local_outcome()

    def may_have_run(self, attempt_id: AttemptId) -> bool:
        """Return whether the upstream may have read an attempt's request."""
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
        """Admit an attempt of this daemon's own sender, whose body is complete.

        A planned stop does not refuse the attempt, because its call was
        accepted before the stop began.
        """
        record = _create_owned_attempt(attempt, None, body_id, now)
        return self._admit(context, now, record, is_stopping=False)

    def begin(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
        attempt: Attempt,
        *,
        is_stopping: bool,
        has_room: bool = True,
    ) -> Effects:
        """Handle the head of a peer's attempt, which may carry the whole body.

        A repeated attempt id gets no answer: the first attempt with this id
        has been or will be answered, and a body that follows belongs to it.
        """
        attempt_id = attempt.attempt_id
        if attempt_id in self._attempts or self.dedup.is_known(attempt_id):
            return [Count(name='attempts_duplicate')]
        body_id = attempt_body_id(attempt_id)
        record = _create_owned_attempt(attempt, peer, body_id, now)
        repeat_effects = self._answer_if_repeated(context, now, record)
        if repeat_effects is not None:
            return repeat_effects
        reason = self.dedup.register(attempt, context.identity.incarnation, now)
        if reason is None and not has_room:
            reason = reasons.NO_ROOM
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        if attempt.body_bytes == len(attempt.body):
            return self._admit(context, now, record, is_stopping=is_stopping)
        reason = find_refusal_reason(
            context,
            now,
            record,
            self._upstream,
            drain=self._drain,
            is_stopping=is_stopping,
        )
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        latest_start = find_latest_start(
            self._drain, now, record, self._upstream
        )
        if attempt.awaits_grant:
            return self.bodies.begin(now, record, latest_start)
        return self._runner.expect_body(now, record, latest_start)

    def handle_body_read(
        self,
        context: CallContext,
        now: float,
        attempt_id: AttemptId,
    ) -> Effects:
        """Admit an accepted attempt whose body has been read completely."""
        record = self._attempts.get(attempt_id)
        if record is None or record.phase is not OwnedPhase.READING_BODY:
            return [DropBody(body_id=attempt_body_id(attempt_id))]
        self._runner.remove(now, attempt_id)
        record.body_read_at = now
        return self._admit(context, now, record, is_stopping=False)

    def cancel(
        self,
        now: float,
        peer: InstanceId | None,
        attempt_id: AttemptId,
    ) -> Effects:
        """Cancel an attempt whose sender no longer waits for the answer."""
        record = self._attempts.get(attempt_id)
        if record is None or record.peer != peer:
            return []
        return self._runner.cancel(now, record)

    def handle_peer_loss(self, now: float, peer: InstanceId) -> Effects:
        """Withdraw the attempts of a disconnected peer that have not started.

        Running requests continue: aborting them would save little and would
        leave more requests partly executed.
        """
        return [
            effect
            for record in self._runner
            if record.peer == peer and record.phase is not OwnedPhase.RUNNING
            for effect in self._runner.withdraw(now, record)
        ]

    def handle_upstream_answer(self, event: UpstreamAnswered) -> Effects:
        """Answer the sender and give the freed slot to the queue."""
        record = self._runner.remove(event.now, event.attempt_id)
        if record is None:
            return drop_late_answer(event.attempt_id)
        limit_effects = _update_stated_limit(self._upstream, event.stated_limit)
        limit_effects.extend(
            self._crash_watch.handle_answer(event.now, record.attempt)
        )
        effects, has_restarted = self._runner.handle_answer(event, record)
        effects.extend(limit_effects)
        if has_restarted:
            effects.extend(report_ramp_restart('answers'))
        return effects

    def handle_upstream_failure(
        self, context: CallContext, event: UpstreamFailed
    ) -> Effects:
        """Answer the sender, stating whether the request may have run."""
        record = self._runner.remove(event.now, event.attempt_id)
        if record is None:
            return drop_late_answer(event.attempt_id)
        limit_effects: Effects = []
        if event.stated_limit is not None:
            limit_effects = _update_stated_limit(
                self._upstream, event.stated_limit
            )
        self._crash_watch.handle_failure(event, record.attempt)
        effects, has_restarted = self._runner.handle_failure(event, record)
        effects.extend(limit_effects)
        if has_restarted:
            effects.extend(report_ramp_restart('reset'))
        if event.identity:
            effects.extend(
                self._identity_watch.update(
                    context, event.now, Evidence.REFUSAL
                )
            )
            effects.extend(self._runner.fill(event.now))
        if event.is_reset and event.may_have_run:
            # Evidence on a crash waits for the probe.
            effects.extend(
                _probe_if_requested(self._upstream, self._probe_path)
            )
        return effects

    def handle_upstream_probe(
        self, context: CallContext, event: UpstreamProbed
    ) -> Effects:
        """Record the health, identity and load that a probe reports."""
        upstream = self._upstream
        before = (upstream.health.identity, upstream.is_open)
        effects = self._crash_watch.handle_probe(
            event, upstream.health.identity, upstream.running
        )
        if upstream.handle_probe(event):
            effects.extend(report_ramp_restart('probe'))
        if before != (upstream.health.identity, upstream.is_open):
            effects.append(report_health(upstream, event))
        effects.extend(
            self._identity_watch.update(context, event.now, Evidence.PROBE)
        )
        if event.stated_limit is not None:
            effects.extend(
                _update_stated_limit(self._upstream, event.stated_limit)
            )
        return effects

    def begin_stop(self, now: float) -> Effects:
        """Give back the attempts that wait and that the stop may abort.

        Their senders can choose other owners.
        """
        return self._runner.expire_where(
            now,
            reasons.STOP_TOO_NEAR,
            lambda record: (
                record.phase is not OwnedPhase.JOINED
                and is_stop_too_near(self._drain, now, record, self._upstream)
            ),
        )

    def tick(self, context: CallContext, now: float) -> Effects:
        """Expire overdue attempts, apply new limits and request due probes."""
        effects = self._identity_watch.update(context, now, Evidence.LIST)
        effects.extend(self._runner.tick(now))
        effects.extend(self.suspects.expire(now))
        effects.extend(self._apply_configuration(context, now))
        return effects

    def expire_all(self, now: float, reason: Reason) -> Effects:
        """Refuse all attempts that have not started."""
        return self._runner.expire_where(now, reason, lambda _: True)

    def refuse_suspects(self, now: float) -> Effects:
        """Refuse the attempts that wait and whose request became a suspect."""
        return self._runner.expire_where(
            now,
            reasons.CRASH_SUSPECT,
            lambda record: self._crash_watch.is_refused(record.attempt, now),
        )

    def abort_all(self, now: float) -> Effects:
        """End all attempts; the outcome of running ones is unknown."""
        effects = self.expire_all(now, reasons.STOPPING)
        for record in self._runner:
            effects.extend(self._runner.abort(now, record))
        return effects

    def _apply_configuration(self, context: CallContext, now: float) -> Effects:
        """Apply the service's configuration and request a probe if needed.

        An upstream that returns to service is assumed to be cold, because it
        may have become cold while it was out of service.
        """
        snapshot = context.snapshot
        if snapshot is None:
            return []
        limits = snapshot.services.get(context.identity.service)
        if limits is None:
            return []
        member = context.members.get(context.identity.instance)
        self._upstream.configure(limits, member.slots if member else None)
        cold_ms = member.cold_ms if member else 0
        if cold_ms and cold_ms != self._listed_cold_ms:
            self._upstream.assume_cold(now, cold_ms / MILLISECONDS_PER_SECOND)
        self._listed_cold_ms = cold_ms
        is_out = is_own_instance_out_of_service(context, snapshot.platform)
        if self._was_out_of_service and not is_out:
            self._upstream.assume_cold(now)
        self._was_out_of_service = is_out
        effects: Effects = []
        if is_out or is_upstream_leaving(
            context, self._upstream.health.identity
        ):
            # Queued attempts must not start at an upstream that is leaving.
            effects = self.expire_all(now, reasons.OUT_OF_SERVICE)
        has_path_changed = limits.health_path != self._probe_path
        self._probe_path = limits.health_path
        if has_path_changed:
            self._upstream.health.request_probe()
        effects.extend(_probe_if_requested(self._upstream, self._probe_path))
        return effects

    def _answer_if_repeated(
        self,
        context: CallContext,
        now: float,
        record: OwnedAttempt,
    ) -> Effects | None:
        repeat_effects = self._answers.answer_repeated_key(
            context.identity, now, record
        )
        if record.phase is OwnedPhase.JOINED:
            self._runner.track(record)
        return repeat_effects

    def _admit(
        self,
        context: CallContext,
        now: float,
        record: OwnedAttempt,
        *,
        is_stopping: bool,
    ) -> Effects:
        """Check an attempt whose body is complete, and request a slot."""
        repeat_effects = self._answer_if_repeated(context, now, record)
        if repeat_effects is not None:
            return repeat_effects
        reason = find_refusal_reason(
            context,
            now,
            record,
            self._upstream,
            drain=self._drain,
            is_stopping=is_stopping,
        )
        if reason is None and self._crash_watch.is_refused(record.attempt, now):
            reason = reasons.CRASH_SUSPECT
        if reason is not None:
            return self._answers.refuse(now, record, reason)
        latest_start = find_latest_start(
            self._drain, now, record, self._upstream
        )
        return self._runner.offer(now, record, latest_start)


def _create_owned_attempt(
    attempt: Attempt,
    peer: InstanceId | None,
    body_id: BodyId,
    now: float,
) -> OwnedAttempt:
    return OwnedAttempt(
        attempt=attempt,
        peer=peer,
        body_id=body_id,
        deadline=now + attempt.remaining_ms / MILLISECONDS_PER_SECOND,
        received_at=now,
    )


def _probe_if_requested(upstream: LocalUpstream, path: str) -> Effects:
    if not upstream.health.take_probe_request():
        return []
    return [ProbeUpstream(path=path)]


def _update_stated_limit(
    upstream: LocalUpstream, per_second: float | None
) -> Effects:
    if not upstream.update_stated_limit(per_second):
        return []
    return [report_stated_limit(upstream, per_second)]
