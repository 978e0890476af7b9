"""The owner's attempts whose bodies wait for a grant.

`body_grants` decides which bodies are granted and refused; this module applies
its decisions to the attempts.
"""

from typing import final

from briartack.core.calls import reasons
from briartack.core.calls.body_grants import (
    BodyGrants,
    BodyRequest,
    get_urgency,
)
from briartack.core.calls.owned_attempts import (
    OwnedAttempt,
    OwnedPhase,
    OwnerAnswers,
)
from briartack.core.calls.owner_runner import OwnerRunner
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.effects import Count, Effects, GrantBody, WakeAt
from briartack.core.identity import Identity
from briartack.core.messages import Attempt
from briartack.core.units import AttemptId, InstanceId


@final
class OwnerBodies:
    """Grant the bodies of attempts, or refuse the attempts as overload."""

    __slots__ = ('_grants', '_answers', '_runner')

    def __init__(
        self, *, grants: BodyGrants, answers: OwnerAnswers, runner: OwnerRunner
    ) -> None:
        """Share the grants, the answers and the attempts with the owner."""
        self._grants = grants
        self._answers = answers
        self._runner = runner

    def describe(self) -> dict[str, object]:
        """Describe the bodies that wait for a grant and those in flight."""
        grants = self._grants
        return {
            'waiting': grants.waiting_count,
            'waiting_bytes': grants.waiting_bytes,
            'in_flight': grants.in_flight_count,
            'in_flight_bytes': grants.in_flight_bytes,
        }

    def begin(
        self, now: float, record: OwnedAttempt, latest_start: float
    ) -> Effects:
        """Let an accepted head wait for its grant.

        An attempt without a slot or a place in the queue is refused at once.
        `advance` grants or refuses the others.
        """
        attempt = record.attempt
        record.phase = OwnedPhase.AWAITING_GRANT
        slot_request = self._runner.build_slot_request(
            now, record, latest_start
        )
        request = BodyRequest(
            attempt_id=attempt.attempt_id,
            size=attempt.body_bytes,
            urgency=get_urgency(attempt),
            useful_until=_find_useful_until(attempt, slot_request),
            latest_arrival=slot_request.latest_start,
        )
        record.is_body_late = self._grants.is_late(request, now)
        effects = self._runner.expect_body(now, record, latest_start)
        if not self._runner.is_tracked(record):
            return effects
        self._grants.add(request, now)
        effects.append(Count(name='bodies.awaited_grant'))
        return effects

    def handle_missing_room(
        self, now: float, peer: InstanceId, attempt_id: AttemptId
    ) -> Effects:
        """Let a granted attempt wait again: there is no memory for its body."""
        record = self._runner.find(attempt_id)
        if record is None or record.peer != peer:
            return []
        if record.phase is not OwnedPhase.READING_BODY:
            return []
        record.phase = OwnedPhase.AWAITING_GRANT
        record.granted_at = None
        self._grants.put_back(attempt_id, now)
        return [Count(name='bodies.grants_without_room')]

    def replace_rate(self, link_bytes_per_second: float | None) -> None:
        """Replace the rate of the link of this daemon."""
        self._grants.replace_rate(link_bytes_per_second)

    def advance(self, identity: Identity, now: float) -> Effects:
        """Grant bodies and refuse attempts whose bodies would come too late."""
        effects: Effects = []
        has_room = self._grants.waiting_count > 0
        while has_room:
            result = self._grants.advance(now)
            if result.overdue:
                effects.append(
                    Count(name='bodies.overdue', amount=result.overdue)
                )
            for refused in result.refused:
                effects.extend(self._refuse(now, refused))
            given_up = self._grant_all(identity, now, result.granted, effects)
            # Those refused leave their room on the link to others.
            has_room = bool(given_up)
        retry_at = self._grants.retry_at
        if retry_at is not None and retry_at > now:
            effects.append(WakeAt(at=retry_at))
        return effects

    def _grant_all(
        self,
        identity: Identity,
        now: float,
        granted: tuple[AttemptId, ...],
        effects: Effects,
    ) -> int:
        """Grant bodies, and return how many are not needed after all."""
        unneeded = 0
        for record in filter(None, map(self._runner.find, granted)):
            answered = self._answer_without_body(identity, now, record)
            if answered is None:
                effects.extend(self._grant(now, record))
            else:
                unneeded += 1
                self._grants.end(record.attempt.attempt_id)
                effects.extend(answered)
        return unneeded

    def _answer_without_body(
        self, identity: Identity, now: float, record: OwnedAttempt
    ) -> Effects | None:
        """Answer an attempt that needs no transfer, `None` if it does.

        While its head waited, a request with its idempotency key may have
        begun, or the queue of the upstream may have filled up.
        """
        repeated = self._answers.answer_repeated_key(identity, now, record)
        if repeated is not None:
            if record.phase is not OwnedPhase.JOINED:
                self._runner.remove(now, record.attempt.attempt_id)
            return repeated
        if self._runner.has_slot_room(now, record):
            return None
        return self._refuse(now, record.attempt.attempt_id)

    def _grant(self, now: float, record: OwnedAttempt) -> Effects:
        record.phase = OwnedPhase.READING_BODY
        record.granted_at = now
        attempt_id = record.attempt.attempt_id
        if record.peer is None:
            return []
        return [
            GrantBody(peer=record.peer, attempt_id=attempt_id),
            Count(name='bodies.granted'),
        ]

    def _refuse(self, now: float, attempt_id: AttemptId) -> Effects:
        record = self._runner.find(attempt_id)
        if record is None:
            return []
        return [
            Count(name='attempts_shed'),
            Count(name='bodies.refused'),
            *self._runner.expire(now, record, reasons.OVERLOAD),
        ]


def _find_useful_until(
    attempt: Attempt, slot_request: SlotRequest
) -> float | None:
    """Return until when a body is in time for the target, `None` if late."""
    has_passed = attempt.target_ms is not None and attempt.target_ms <= 0
    if attempt.is_late or has_passed:
        return None
    return slot_request.useful_until
