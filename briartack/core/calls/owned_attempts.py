"""Records of the owner's attempts, and the answers to them.

The answers include those of repeated idempotency keys, which get the stored
outcome of the first request.
"""

import enum
from collections import deque
from dataclasses import dataclass
from typing import Final, final

import msgspec

from briartack.core.body_ids import answer_body_id
from briartack.core.calls import reasons
from briartack.core.calls.body_grants import BodyGrants, get_urgency
from briartack.core.calls.call_logs import log_run_ended
from briartack.core.calls.idempotency import (
    MAX_OUTCOME_BYTES,
    IssuedKey,
    KeyStatus,
    OutcomeStore,
    StoredOutcome,
    parse_key,
)
from briartack.core.calls.key_scope import (
    build_scoped_key,
    compute_request_digest,
)
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.reasons import Reason
from briartack.core.effects import DropBody, Effects, SendAnswer, WriteLog
from briartack.core.events import UpstreamAnswered
from briartack.core.identity import Identity
from briartack.core.messages import Answer, Attempt
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    AttemptId,
    BodyId,
    Digest,
    InstanceId,
)
from briartack.core.verdict import Verdict

EMPTY_DIGEST: Final = Digest(b'')


@final
@enum.unique
class OwnedPhase(enum.Enum):
    """Enumerate the phases of an attempt at its owner."""

    # The sender keeps the body until this daemon grants it.
    AWAITING_GRANT = enum.auto()
    READING_BODY = enum.auto()
    QUEUED = enum.auto()
    RUNNING = enum.auto()
    # Waits for a running attempt with the same idempotency key.
    JOINED = enum.auto()


# An attempt marks its key as running once its body is complete.
_PHASES_BEFORE_KEY: Final = frozenset(
    (OwnedPhase.AWAITING_GRANT, OwnedPhase.READING_BODY)
)


@final
@dataclass(slots=True, kw_only=True)
class OwnedAttempt:
    """Hold an attempt in flight; `peer` is `None` for the local sender."""

    attempt: Attempt
    peer: InstanceId | None
    body_id: BodyId
    deadline: float
    received_at: float
    phase: OwnedPhase = OwnedPhase.READING_BODY
    generation: int = 0
    latest_start: float = float('inf')  # as a planned stop allows
    # The body could not arrive in time for the target.
    is_body_late: bool = False
    granted_at: float | None = None
    started_at: float | None = None  # the upstream got the request
    body_read_at: float | None = None


@final
class LocalOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an answer for the sender in the same daemon."""

    answer: Answer
    body_id: BodyId | None
    is_body_kept: bool  # the owner keeps the body and drops it later


@final
class OwnerAnswers:
    """Hold the stored outcomes, the joined attempts and the local answers.

    A joined attempt waits for the outcome of a running one with the same key.
    """

    __slots__ = (
        '_upstream',
        '_grants',
        '_attempts',
        '_outcomes',
        '_joined',
        '_local_outcomes',
    )

    def __init__(
        self,
        *,
        upstream: LocalUpstream,
        grants: BodyGrants,
        attempts: dict[AttemptId, OwnedAttempt],
    ) -> None:
        """Share the upstream, the grants and the attempts with the owner."""
        self._upstream = upstream
        self._grants = grants
        self._attempts = attempts
        self._outcomes = OutcomeStore()
        self._joined: dict[str, list[AttemptId]] = {}
        self._local_outcomes: deque[LocalOutcome] = deque()

    def pop_local_outcome(self) -> LocalOutcome | None:
        """Remove and return the next outcome for this daemon's own sender."""
        return self._local_outcomes.popleft() if self._local_outcomes else None

    def is_refused(self, attempt_id: AttemptId) -> bool:
        """Return whether a refusal of an attempt awaits its local sender."""
        return any(
            outcome.answer.attempt_id == attempt_id
            and outcome.answer.verdict is Verdict.NOT_RUN
            for outcome in self._local_outcomes
        )

    def answer_repeated_key(
        self,
        identity: Identity,
        now: float,
        record: OwnedAttempt,
    ) -> Effects | None:
        """Answer an attempt by its key; return `None` if the attempt must run.

        A stored key gets its outcome, and a running one is joined. Keys of
        another owner, of another request and expired keys are refused.
        """
        key = record.attempt.idempotency_key
        if not key:
            return None
        issued = parse_key(key)
        if issued is not None and (
            issued.instance != identity.instance
            or issued.incarnation != identity.incarnation
        ):
            return self._refuse_unknown(now, record, reasons.KEY_OWNER_GONE)
        key = build_scoped_key(record.attempt)
        status = self._outcomes.status(key)
        if not self._outcomes.matches_request(
            key, compute_request_digest(record.attempt)
        ):
            return self._refuse(
                now,
                record,
                reasons.KEY_REUSED,
                Verdict.NOT_RUN,
            )
        if status is KeyStatus.EXPIRED or _is_from_future(issued, now):
            return self._refuse_unknown(now, record, reasons.KEY_EXPIRED)
        if status is KeyStatus.STORED:
            return self._answer_stored(now, record)
        if status is KeyStatus.RUNNING:
            record.phase = OwnedPhase.JOINED
            joined = self._joined.setdefault(key, [])
            joined.append(record.attempt.attempt_id)
            return self.drop_request_body(record)
        return None

    def mark_key_running(self, record: OwnedAttempt) -> None:
        """Mark the idempotency key of an attempt, if any, as running."""
        key = build_scoped_key(record.attempt)
        if key:
            self._outcomes.mark_running(
                key, compute_request_digest(record.attempt)
            )

    def release_key(self, now: float, record: OwnedAttempt) -> Effects:
        """Release the key of an attempt that has not run.

        Attempts that joined it are refused.
        """
        key = build_scoped_key(record.attempt)
        if not key:
            return []
        self._outcomes.release(key)
        return [
            effect
            for joined in self._pop_joined(key)
            for effect in self._refuse(
                now,
                joined,
                reasons.OVERLOAD,
                Verdict.NOT_RUN,
            )
        ]

    def refuse(
        self,
        now: float,
        record: OwnedAttempt,
        reason: Reason,
    ) -> Effects:
        """Refuse an attempt that has not started.

        The outcome of a joined attempt is unknown, because the attempt that it
        joined is still running. So is that of an attempt whose key another one
        has used while its body was awaited.
        """
        if record.phase is OwnedPhase.JOINED or self._is_key_used(record):
            return self._refuse_unknown(now, record, reasons.KEY_IN_PROGRESS)
        effects = self._refuse(now, record, reason, Verdict.NOT_RUN)
        if record.phase is OwnedPhase.QUEUED:
            effects.extend(self.release_key(now, record))
        return effects

    def fail(
        self,
        now: float,
        record: OwnedAttempt,
        verdict: Verdict,
        reason: Reason = reasons.UPSTREAM_FAILED,
    ) -> Effects:
        """Answer an attempt whose upstream gave no complete answer."""
        effects = self._refuse(now, record, reason, verdict)
        if verdict is Verdict.NOT_RUN:
            effects.extend(self.release_key(now, record))
            return effects
        answer = self._create_refusal(now, record, reason, verdict)
        effects.extend(self._store_outcome(now, record, answer, None))
        return effects

    def complete(
        self,
        event: UpstreamAnswered,
        record: OwnedAttempt,
    ) -> Effects:
        """Answer an attempt with the upstream's answer.

        With an idempotency key, the answer is stored as the key's outcome.
        """
        answer = Answer(
            attempt_id=event.attempt_id,
            verdict=Verdict.RAN,
            status=event.status,
            reason='',
            headers=event.headers,
            body_bytes=event.body_bytes,
            body_digest=event.body_digest,
            load=self._upstream.load(event.now),
            run_seconds=self._upstream.run_seconds(event.now),
            slowdown=self._upstream.times.slowdown(event.now),
            wait_seconds=self._upstream.wait_seconds(event.now),
            owner_clock=event.now,
            body_wait_seconds=self._body_wait_seconds(event.now, record),
        )
        body_id = answer_body_id(event.attempt_id)
        outcome = f'status {event.status}'
        line = self._create_log_line(event.now, record, outcome)
        is_body_kept = bool(record.attempt.idempotency_key)
        effects: Effects = [line]
        effects.extend(
            self._deliver(record, answer, body_id, is_body_kept=is_body_kept),
        )
        effects.extend(self.drop_request_body(record))
        if is_body_kept:
            effects.extend(
                self._store_outcome(event.now, record, answer, body_id),
            )
        elif record.peer is not None:
            effects.append(DropBody(body_id=body_id))
        return effects

    def drop_request_body(self, record: OwnedAttempt) -> Effects:
        """Drop a peer's request body; a local one belongs to the sender."""
        if record.peer is None:
            return []
        return [DropBody(body_id=record.body_id)]

    def _is_key_used(self, record: OwnedAttempt) -> bool:
        """Return whether another attempt has run, or runs, the same request."""
        key = record.attempt.idempotency_key
        if not key or record.phase not in _PHASES_BEFORE_KEY:
            return False
        key = build_scoped_key(record.attempt)
        return self._outcomes.status(
            key
        ) is not KeyStatus.FRESH and self._outcomes.matches_request(
            key, compute_request_digest(record.attempt)
        )

    def _store_outcome(
        self,
        now: float,
        record: OwnedAttempt,
        answer: Answer,
        body_id: BodyId | None,
    ) -> Effects:
        """Store the outcome of a key and deliver it to the joined attempts."""
        key = build_scoped_key(record.attempt)
        if not key:
            return []
        effects = [
            effect
            for joined in self._pop_joined(key)
            for effect in self._deliver_repeat(now, joined, answer, body_id)
        ]
        stored_body = body_id
        if body_id is not None and answer.body_bytes > MAX_OUTCOME_BYTES:
            stored_body = None
            effects.append(DropBody(body_id=body_id))
        outcome = StoredOutcome(answer=answer, body_id=stored_body)
        effects.extend(
            DropBody(body_id=dropped)
            for dropped in self._outcomes.store(key, outcome)
        )
        return effects

    def _answer_stored(self, now: float, record: OwnedAttempt) -> Effects:
        outcome = self._outcomes.get_stored_outcome(
            build_scoped_key(record.attempt)
        )
        is_body_missing = (
            outcome.answer.body_bytes > 0 and outcome.body_id is None
        )
        if is_body_missing:
            return self._refuse(
                now,
                record,
                reasons.OUTCOME_TOO_LARGE,
                Verdict.RAN,
            )
        effects = self._deliver_repeat(
            now, record, outcome.answer, outcome.body_id
        )
        effects.extend(self.drop_request_body(record))
        return effects

    def _deliver_repeat(
        self,
        now: float,
        record: OwnedAttempt,
        answer: Answer,
        body_id: BodyId | None,
    ) -> Effects:
        repeated = msgspec.structs.replace(
            answer,
            attempt_id=record.attempt.attempt_id,
            load=self._upstream.load(now),
            run_seconds=self._upstream.run_seconds(now),
            slowdown=self._upstream.times.slowdown(now),
            wait_seconds=self._upstream.wait_seconds(now),
            owner_clock=now,
            body_wait_seconds=self._body_wait_seconds(now, record),
        )
        return self._deliver(record, repeated, body_id, is_body_kept=True)

    def _pop_joined(self, key: str) -> list[OwnedAttempt]:
        found = [
            self._attempts.pop(attempt_id, None)
            for attempt_id in self._joined.pop(key, ())
        ]
        return [record for record in found if record is not None]

    def _refuse_unknown(
        self,
        now: float,
        record: OwnedAttempt,
        reason: Reason,
    ) -> Effects:
        return self._refuse(now, record, reason, Verdict.UNKNOWN)

    def _refuse(
        self,
        now: float,
        record: OwnedAttempt,
        reason: Reason,
        verdict: Verdict,
    ) -> Effects:
        answer = self._create_refusal(now, record, reason, verdict)
        line = self._create_log_line(now, record, reason.code)
        effects: Effects = [line]
        effects.extend(self._deliver(record, answer, None, is_body_kept=False))
        effects.extend(self.drop_request_body(record))
        return effects

    def _create_log_line(
        self,
        now: float,
        record: OwnedAttempt,
        outcome: str,
    ) -> WriteLog:
        return log_run_ended(
            now,
            record.attempt,
            self._upstream,
            outcome=outcome,
            phase=record.phase.name.lower(),
            left_seconds=record.deadline - now,
            wait_seconds=(record.started_at or now) - record.received_at,
            body_seconds=_measure_body_seconds(now, record),
        )

    def _create_refusal(
        self,
        now: float,
        record: OwnedAttempt,
        reason: Reason,
        verdict: Verdict,
    ) -> Answer:
        return Answer(
            attempt_id=record.attempt.attempt_id,
            verdict=verdict,
            status=reason.status,
            reason=reason.code,
            headers=(),
            body_bytes=0,
            body_digest=EMPTY_DIGEST,
            load=self._upstream.load(now),
            run_seconds=self._upstream.run_seconds(now),
            slowdown=self._upstream.times.slowdown(now),
            wait_seconds=self._upstream.wait_seconds(now),
            owner_clock=now,
            body_wait_seconds=self._body_wait_seconds(now, record),
        )

    def _body_wait_seconds(self, now: float, record: OwnedAttempt) -> float:
        """Return how long a new body as urgent as the attempt would wait."""
        return self._grants.wait_seconds(now, get_urgency(record.attempt))

    def _deliver(
        self,
        record: OwnedAttempt,
        answer: Answer,
        body_id: BodyId | None,
        *,
        is_body_kept: bool,
    ) -> Effects:
        if record.peer is not None:
            return [
                SendAnswer(
                    peer=record.peer,
                    answer=answer,
                    body_id=body_id,
                    deadline=record.deadline,
                ),
            ]
        self._local_outcomes.append(
            LocalOutcome(
                answer=answer, body_id=body_id, is_body_kept=is_body_kept
            ),
        )
        return []


def _measure_body_seconds(
    now: float, record: OwnedAttempt
) -> tuple[float, float] | None:
    """Return how long a body waited for its grant, and then to be whole."""
    if not record.attempt.awaits_grant:
        return None
    granted_at = now if record.granted_at is None else record.granted_at
    read_at = record.body_read_at
    if read_at is None:
        read_at = now
    return granted_at - record.received_at, read_at - granted_at


def _is_from_future(issued: IssuedKey | None, now: float) -> bool:
    """Return whether a key is forged: its clock is ahead of its owner's.

    Evicting the outcome of such a key would expire every key that is issued
    until the owner's clock reaches the forged reading.
    """
    return (
        issued is not None and issued.clock_ms > now * MILLISECONDS_PER_SECOND
    )
