"""Records of attempts at the owner, and the answers to them."""

import enum
from collections import deque
from dataclasses import dataclass
from typing import Final, final

import msgspec

from briartack.core.body_ids import answer_body
from briartack.core.calls import reasons
from briartack.core.calls.call_lines import run_ended
from briartack.core.calls.idempotency import (
    MAX_OUTCOME_BYTES,
    IssuedKey,
    KeyStatus,
    OutcomesState,
    StoredOutcome,
    parse_key,
)
from briartack.core.calls.key_scope import request_digest, scoped_key
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.reasons import Reason
from briartack.core.effects import DropBody, Effects, SendAnswer, WriteLog
from briartack.core.events import UpstreamAnswered
from briartack.core.identity import Identity
from briartack.core.messages import Answer, Attempt
from briartack.core.units import AttemptId, BodyId, Digest, InstanceId
from briartack.core.verdict import Verdict

MILLISECONDS: Final = 1000
EMPTY_DIGEST: Final = Digest(b'')


@final
@enum.unique
class OwnedPhase(enum.Enum):
    """Name the steps of an attempt at its owner."""

    READING_BODY = enum.auto()
    QUEUED = enum.auto()
    RUNNING = enum.auto()
    # Another attempt with the same idempotency key runs.
    JOINED = enum.auto()


@final
@dataclass(slots=True, kw_only=True)
class OwnedAttempt:
    """Hold an attempt in flight; `peer` is `None` for a local sender."""

    attempt: Attempt
    peer: InstanceId | None
    body_id: BodyId
    deadline: float
    phase: OwnedPhase = OwnedPhase.READING_BODY
    generation: int = 0


@final
class LocalOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hand an answer to the sender in this same daemon."""

    answer: Answer
    body_id: BodyId | None
    is_kept: bool  # the owner drops the body later


@final
class OwnerAnswers:
    """Own the stored outcomes, those who wait for one, and local answers."""

    __slots__ = ('_upstream', '_attempts', '_outcomes', '_joined', '_local')

    def __init__(
        self,
        *,
        upstream: LocalUpstream,
        attempts: dict[AttemptId, OwnedAttempt],
    ) -> None:
        """Read the load and the attempts that the owner holds."""
        self._upstream = upstream
        self._attempts = attempts
        self._outcomes = OutcomesState()
        self._joined: dict[str, list[AttemptId]] = {}
        self._local: deque[LocalOutcome] = deque()

    def next_local(self) -> LocalOutcome | None:
        """Take the next answer for this daemon's own sender."""
        return self._local.popleft() if self._local else None

    def is_refused(self, attempt_id: AttemptId) -> bool:
        """Tell whether a refusal of an attempt awaits its local sender."""
        return any(
            outcome.answer.attempt_id == attempt_id
            and outcome.answer.verdict is Verdict.NOT_RUN
            for outcome in self._local
        )

    def replay(
        self,
        identity: Identity,
        now: float,
        record: OwnedAttempt,
    ) -> Effects | None:
        """Answer from what is known of the key; `None` if it is fresh."""
        key = record.attempt.idempotency_key
        if not key:
            return None
        issued = parse_key(key)
        if issued is not None and (
            issued.instance != identity.instance
            or issued.incarnation != identity.incarnation
        ):
            return self._refuse_unknown(now, record, reasons.KEY_OWNER_GONE)
        key = scoped_key(record.attempt)
        status = self._outcomes.status(key)
        if not self._outcomes.is_for(key, request_digest(record.attempt)):
            return self._refuse(
                now,
                record,
                reasons.KEY_REUSED,
                Verdict.NOT_RUN,
            )
        if status is KeyStatus.EXPIRED or _is_future(issued, now):
            return self._refuse_unknown(now, record, reasons.KEY_EXPIRED)
        if status is KeyStatus.STORED:
            return self._answer_stored(now, record)
        if status is KeyStatus.RUNNING:
            record.phase = OwnedPhase.JOINED
            joined = self._joined.setdefault(key, [])
            joined.append(record.attempt.attempt_id)
            return self.drop_request(record)
        return None

    def start_key(self, record: OwnedAttempt) -> None:
        """Mark the key of an attempt, if it has one, as running."""
        key = scoped_key(record.attempt)
        if key:
            self._outcomes.begin(key, request_digest(record.attempt))

    def release_key(self, now: float, record: OwnedAttempt) -> Effects:
        """Free the key of an attempt that has not run."""
        key = scoped_key(record.attempt)
        if not key:
            return []
        self._outcomes.forget(key)
        return [
            effect
            for joined in self._take_joined(key)
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
        """Answer an attempt that has not started."""
        if record.phase is OwnedPhase.JOINED:
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
        """Answer an attempt whose upstream gave no whole answer."""
        effects = self._refuse(now, record, reason, verdict)
        if verdict is Verdict.NOT_RUN:
            effects.extend(self.release_key(now, record))
            return effects
        answer = self._refusal(now, record, reason, verdict)
        effects.extend(self._settle_key(now, record, answer, None))
        return effects

    def complete(
        self,
        event: UpstreamAnswered,
        record: OwnedAttempt,
    ) -> Effects:
        """Answer an attempt with the upstream's answer."""
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
            owner_clock=event.now,
        )
        body_id = answer_body(event.attempt_id)
        outcome = f'status {event.status}'
        line = self._line(event.now, record, outcome)
        is_kept = bool(record.attempt.idempotency_key)
        effects: Effects = [line]
        effects.extend(
            self._deliver(record, answer, body_id, is_kept=is_kept),
        )
        effects.extend(self.drop_request(record))
        if is_kept:
            effects.extend(
                self._settle_key(event.now, record, answer, body_id),
            )
        elif record.peer is not None:
            effects.append(DropBody(body_id=body_id))
        return effects

    def drop_request(self, record: OwnedAttempt) -> Effects:
        """Drop a peer's request; a local one belongs to the sender."""
        if record.peer is None:
            return []
        return [DropBody(body_id=record.body_id)]

    def _settle_key(
        self,
        now: float,
        record: OwnedAttempt,
        answer: Answer,
        body_id: BodyId | None,
    ) -> Effects:
        """Store an outcome, and give it to those who wait for it."""
        key = scoped_key(record.attempt)
        if not key:
            return []
        effects = [
            effect
            for joined in self._take_joined(key)
            for effect in self._repeat(now, joined, answer, body_id)
        ]
        kept_body = body_id
        if body_id is not None and answer.body_bytes > MAX_OUTCOME_BYTES:
            kept_body = None
            effects.append(DropBody(body_id=body_id))
        outcome = StoredOutcome(answer=answer, body_id=kept_body)
        displaced = self._outcomes.store(key, outcome)
        if displaced is not None:
            effects.append(DropBody(body_id=displaced))
        return effects

    def _answer_stored(self, now: float, record: OwnedAttempt) -> Effects:
        outcome = self._outcomes.stored(scoped_key(record.attempt))
        is_cut = outcome.answer.body_bytes > 0 and outcome.body_id is None
        if is_cut:
            return self._refuse(
                now,
                record,
                reasons.OUTCOME_TOO_LARGE,
                Verdict.RAN,
            )
        effects = self._repeat(now, record, outcome.answer, outcome.body_id)
        effects.extend(self.drop_request(record))
        return effects

    def _repeat(
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
            owner_clock=now,
        )
        return self._deliver(record, repeated, body_id, is_kept=True)

    def _take_joined(self, key: str) -> list[OwnedAttempt]:
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
        answer = self._refusal(now, record, reason, verdict)
        line = self._line(now, record, reason.code)
        effects: Effects = [line]
        effects.extend(self._deliver(record, answer, None, is_kept=False))
        effects.extend(self.drop_request(record))
        return effects

    def _line(
        self,
        now: float,
        record: OwnedAttempt,
        outcome: str,
    ) -> WriteLog:
        return run_ended(
            record.attempt,
            self._upstream,
            outcome=outcome,
            phase=record.phase.name.lower(),
            left_seconds=record.deadline - now,
        )

    def _refusal(
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
            owner_clock=now,
        )

    def _deliver(
        self,
        record: OwnedAttempt,
        answer: Answer,
        body_id: BodyId | None,
        *,
        is_kept: bool,
    ) -> Effects:
        if record.peer is not None:
            return [
                SendAnswer(peer=record.peer, answer=answer, body_id=body_id),
            ]
        self._local.append(
            LocalOutcome(answer=answer, body_id=body_id, is_kept=is_kept),
        )
        return []


def _is_future(issued: IssuedKey | None, now: float) -> bool:
    """Tell whether a key was made up: its clock is ahead of its owner's.

    Once forgotten, it would make every key that is issued until then expire.
    """
    return issued is not None and issued.clock_ms > now * MILLISECONDS
