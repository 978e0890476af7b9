"""Lifecycle of the owner's attempts: slots, dispatch, expiry and completion.

Part of the owner's state; `owner` checks attempts before it passes them
to this module.
"""

from collections.abc import Callable, Iterator
from typing import Final, final

from briartack.core.body_ids import answer_body_id
from briartack.core.calls import reasons
from briartack.core.calls.admission import AdmissionResult
from briartack.core.calls.body_grants import BodyGrants, get_urgency
from briartack.core.calls.call_headers import build_upstream_headers
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.owned_attempts import (
    OwnedAttempt,
    OwnedPhase,
    OwnerAnswers,
)
from briartack.core.calls.reasons import Reason
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.calls.timers import Timers
from briartack.core.effects import (
    AbortDispatch,
    Count,
    Dispatch,
    DropBody,
    Effects,
    WakeAt,
)
from briartack.core.events import UpstreamAnswered, UpstreamFailed
from briartack.core.messages import Attempt
from briartack.core.units import MILLISECONDS_PER_SECOND, AttemptId
from briartack.core.verdict import Verdict

# From this status on, an answer is a failure of the upstream itself, which must
# not raise its concurrency limit.
MIN_SERVER_ERROR_STATUS: Final = 500


@final
class OwnerRunner:
    """Hold the attempts that were accepted and have not been answered."""

    __slots__ = (
        '_upstream',
        '_answers',
        '_grants',
        '_attempts',
        '_timers',
        '_running',
    )

    def __init__(
        self,
        *,
        upstream: LocalUpstream,
        answers: OwnerAnswers,
        grants: BodyGrants,
        attempts: dict[AttemptId, OwnedAttempt],
    ) -> None:
        self._upstream = upstream
        self._answers = answers
        self._grants = grants
        self._attempts = attempts
        self._timers: Timers[AttemptId] = Timers()
        # By request id. A repeat may run beside the attempt that it repeats.
        self._running: dict[str, dict[AttemptId, Attempt]] = {}

    def __iter__(self) -> Iterator[OwnedAttempt]:
        """Iterate over a copy, so that attempts may end meanwhile."""
        return iter(tuple(self._attempts.values()))

    def track(self, record: OwnedAttempt) -> None:
        """Track an attempt until it ends or its deadline passes."""
        attempt_id = record.attempt.attempt_id
        self._attempts[attempt_id] = record
        self._timers.add(record.deadline, attempt_id)

    def remove(self, now: float, attempt_id: AttemptId) -> OwnedAttempt | None:
        """Remove and return an attempt, or return `None` if it is unknown."""
        record = self._attempts.pop(attempt_id, None)
        if record is not None and record.phase is OwnedPhase.RUNNING:
            self._end_run(record.attempt)
            self._upstream.run_bound.end(attempt_id, now)
        if record is not None and record.attempt.awaits_grant:
            self._grants.end(attempt_id)
        return record

    def find(self, attempt_id: AttemptId) -> OwnedAttempt | None:
        """Return an attempt that has not been answered, or `None`."""
        return self._attempts.get(attempt_id)

    def is_tracked(self, record: OwnedAttempt) -> bool:
        """Return whether an attempt has not been answered."""
        return self._attempts.get(record.attempt.attempt_id) is record

    def find_running(self, request_id: str) -> Attempt | None:
        """Return the latest attempt of a running request, or `None`."""
        attempts = self._running.get(request_id)
        return next(reversed(attempts.values())) if attempts else None

    def offer(
        self, now: float, record: OwnedAttempt, latest_start: float
    ) -> Effects:
        """Request a slot for an attempt and mark its key as running."""
        record.phase = OwnedPhase.QUEUED
        self.track(record)
        self._answers.mark_key_running(record)
        waiting = self.build_slot_request(now, record, latest_start)
        return self._apply(now, self._upstream.offer(waiting, now))

    def expect_body(
        self, now: float, record: OwnedAttempt, latest_start: float
    ) -> Effects:
        """Track an attempt until its body is read, or refuse it for overload.

        Attempts whose bodies are being read, and that would go first, are
        expected to take slots or places in the queue.
        """
        record.latest_start = latest_start
        if self.has_slot_room(now, record):
            self.track(record)
            return []
        return [
            Count(name='attempts_shed'),
            *self._answers.refuse(now, record, reasons.OVERLOAD),
        ]

    def has_slot_room(self, now: float, record: OwnedAttempt) -> bool:
        """Return whether an attempt would get a slot or a place in the queue.

        Attempts whose bodies wait for a grant are not expected to: the queue
        may be shorter by the time that they have arrived.
        """
        order = get_urgency(record.attempt)
        expected = sum(
            other.phase is OwnedPhase.READING_BODY
            and get_urgency(other.attempt) <= order
            for other in self._attempts.values()
        )
        waiting = self.build_slot_request(now, record, record.latest_start)
        return self._upstream.has_room(waiting, now, expected=expected)

    def cancel(self, now: float, record: OwnedAttempt) -> Effects:
        """Cancel an attempt whose answer nobody waits for.

        A running request with an idempotency key continues, because a repeat
        of the request will ask for its outcome.
        """
        if record.phase is not OwnedPhase.RUNNING:
            return self.withdraw(now, record)
        if record.attempt.idempotency_key:
            return []
        attempt_id = record.attempt.attempt_id
        self.remove(now, attempt_id)
        self._upstream.abort()
        return [
            AbortDispatch(attempt_id=attempt_id),
            *self._answers.drop_request_body(record),
            *self.fill(now),
        ]

    def withdraw(self, now: float, record: OwnedAttempt) -> Effects:
        """Remove an attempt that has not started, without answering it."""
        self.remove(now, record.attempt.attempt_id)
        effects = self._answers.drop_request_body(record)
        if record.phase is OwnedPhase.QUEUED:
            self._upstream.withdraw(record.attempt.attempt_id)
            effects.extend(self._answers.release_key(now, record))
        return effects

    def expire(
        self,
        now: float,
        record: OwnedAttempt,
        reason: Reason,
    ) -> Effects:
        """Refuse an attempt, unless it is running or has ended."""
        has_ended = self._attempts.get(record.attempt.attempt_id) is not record
        if has_ended or record.phase is OwnedPhase.RUNNING:
            return []
        self.remove(now, record.attempt.attempt_id)
        if record.phase is OwnedPhase.QUEUED:
            self._upstream.withdraw(record.attempt.attempt_id)
        return self._answers.refuse(now, record, reason)

    def expire_where(
        self,
        now: float,
        reason: Reason,
        applies_to: Callable[[OwnedAttempt], bool],
    ) -> Effects:
        """Refuse the attempts that have not started and meet a condition."""
        return [
            effect
            for record in self
            if applies_to(record)
            for effect in self.expire(now, record, reason)
        ]

    def abort(self, now: float, record: OwnedAttempt) -> Effects:
        """Abort a running attempt and answer that its outcome is unknown."""
        attempt_id = record.attempt.attempt_id
        self.remove(now, attempt_id)
        self._upstream.abort()
        return [
            AbortDispatch(attempt_id=attempt_id),
            *self._answers.fail(now, record, Verdict.UNKNOWN),
        ]

    def handle_answer(
        self,
        event: UpstreamAnswered,
        record: OwnedAttempt,
    ) -> tuple[Effects, bool]:
        """Answer the sender; also return whether the slow start restarted."""
        has_restarted = self._upstream.handle_answer(
            event.now,
            event.elapsed_seconds,
            generation=record.generation,
            is_success=event.status < MIN_SERVER_ERROR_STATUS,
            route=record.attempt.route,
            load_report=event.load_report,
        )
        effects = self._answers.complete(event, record)
        effects.extend(self.fill(event.now))
        return effects, has_restarted

    def handle_failure(
        self,
        event: UpstreamFailed,
        record: OwnedAttempt,
    ) -> tuple[Effects, bool]:
        """Answer the sender; also return whether the slow start restarted."""
        self._upstream.times.record_report(event.now, event.load_report)
        has_restarted = self._upstream.handle_failure(
            event.now,
            generation=record.generation,
            is_reset=event.is_reset,
            is_down=event.is_reset and not event.may_have_run,
        )
        reason = reasons.UPSTREAM_FAILED
        if event.is_refusal:
            reason = reasons.UPSTREAM_REFUSED
        if event.identity:
            has_restarted = self._upstream.handle_replacement(
                event.now, event.identity
            )
            reason = reasons.UPSTREAM_REPLACED
        verdict = Verdict.UNKNOWN if event.may_have_run else Verdict.NOT_RUN
        effects = self._answers.fail(event.now, record, verdict, reason)
        effects.extend(self.fill(event.now))
        return effects, has_restarted

    def fill(self, now: float) -> Effects:
        """Start queued attempts in the free slots."""
        return self._apply(now, self._upstream.fill(now))

    def tick(self, now: float) -> Effects:
        """Expire overdue attempts that have not started; start queued ones."""
        effects: Effects = []
        for attempt_id in self._timers.pop_due(now):
            record = self._attempts.get(attempt_id)
            if record is not None:
                effects.extend(self.expire(now, record, reasons.DEADLINE))
        # The rate of a cold upstream allows new starts as time passes, even
        # if no answer frees a slot.
        effects.extend(self.fill(now))
        self._timers.compact(len(self._attempts), self._attempts.__contains__)
        return effects

    def build_slot_request(
        self, now: float, record: OwnedAttempt, latest_start: float
    ) -> SlotRequest:
        """Describe the slot that an attempt needs, with its time limits."""
        attempt = record.attempt
        times = self._upstream.times
        run_seconds = times.run_seconds(
            now, attempt.route, self._upstream.mean_seconds
        )
        useful_until = float('inf')
        if attempt.target_ms is not None and not record.is_body_late:
            target_seconds = attempt.target_ms / MILLISECONDS_PER_SECOND
            # The wait for a grant is part of the time to the target.
            stated_at = record.received_at if attempt.awaits_grant else now
            useful_until = stated_at + target_seconds
            useful_until -= times.likely_run_seconds(
                now, attempt.route, self._upstream.mean_seconds
            )
        # The queue of an upstream that states no load keeps its order.
        becomes_late = times.has_load_report and times.has_enough_runs
        is_late = attempt.is_late or record.is_body_late
        # While slots are short, each run of a late attempt makes one that is
        # in time miss its target. A body that was granted has its place.
        gives_way = (
            attempt.is_late
            and times.is_usable(now)
            and not (attempt.body_bytes or attempt.is_awaited_by_run)
        )
        return SlotRequest(
            attempt_id=attempt.attempt_id,
            deadline=record.deadline,
            interactive=attempt.interactive,
            rank=attempt.rank,
            is_awaited_by_run=attempt.is_awaited_by_run,
            useful_until=useful_until,
            latest_start=min(latest_start, record.deadline - run_seconds),
            is_late=is_late and times.has_enough_runs,
            gives_way=gives_way,
            late_from=useful_until if becomes_late else float('inf'),
        )

    def _end_run(self, attempt: Attempt) -> None:
        attempts = self._running.get(attempt.request_id, {})
        attempts.pop(attempt.attempt_id, None)
        if not attempts:
            self._running.pop(attempt.request_id, None)

    def _apply(self, now: float, admission: AdmissionResult) -> Effects:
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
        next_start_at = self._upstream.next_start_at(now)
        if next_start_at is not None:
            effects.append(WakeAt(at=next_start_at))
        return effects

    def _dispatch(self, now: float, record: OwnedAttempt) -> Dispatch:
        record.phase = OwnedPhase.RUNNING
        record.started_at = now
        record.generation = self._upstream.generation
        attempt = record.attempt
        self._upstream.run_bound.begin(attempt.attempt_id, now)
        if attempt.request_id:
            attempts = self._running.setdefault(attempt.request_id, {})
            attempts[attempt.attempt_id] = attempt
        remaining = record.deadline - now
        return Dispatch(
            attempt_id=attempt.attempt_id,
            body_id=record.body_id,
            method=attempt.method,
            target=attempt.target,
            headers=build_upstream_headers(attempt, remaining),
            timeout_seconds=remaining,
            expected_identity=self._upstream.health.identity,
        )


def drop_late_answer(attempt_id: AttemptId) -> Effects:
    """Count and drop an upstream's answer to an attempt that has ended."""
    return [
        Count(name='upstream_answers_late'),
        DropBody(body_id=answer_body_id(attempt_id)),
    ]
