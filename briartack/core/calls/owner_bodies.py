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
from briartack.core.calls.owned_attempts import OwnedAttempt, OwnedPhase
from briartack.core.calls.owner_runner import OwnerRunner
from briartack.core.effects import Count, Effects, GrantBody, WakeAt
from briartack.core.units import AttemptId, InstanceId


@final
class OwnerBodies:
    """Grant the bodies of attempts, or refuse the attempts as overload."""

    __slots__ = ('_grants', '_runner')

    def __init__(self, *, grants: BodyGrants, runner: OwnerRunner) -> None:
        """Share the grants and the attempts with the owner."""
        self._grants = grants
        self._runner = runner

    def begin(
        self, now: float, record: OwnedAttempt, latest_start: float
    ) -> Effects:
        """Let an accepted head wait for its grant.

        An attempt without a slot or a place in the queue is refused at once.
        `advance` grants or refuses the others.
        """
        attempt = record.attempt
        record.phase = OwnedPhase.AWAITING_GRANT
        record.latest_start = latest_start
        effects = self._runner.expect_body(now, record, latest_start)
        if not self._runner.is_tracked(record):
            return effects
        slot_request = self._runner.build_slot_request(
            now, record, latest_start
        )
        is_late = attempt.is_late or (
            attempt.target_ms is not None and attempt.target_ms <= 0
        )
        record.is_body_late = self._grants.add(
            BodyRequest(
                attempt_id=attempt.attempt_id,
                size=attempt.body_bytes,
                urgency=get_urgency(attempt),
                useful_until=None if is_late else slot_request.useful_until,
                latest_arrival=slot_request.latest_start,
            ),
            now,
        )
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

    def advance(self, now: float) -> Effects:
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
            without_slot = self._grant_all(now, result.granted, effects)
            # Those refused leave their room on the link to others.
            has_room = bool(without_slot)
        retry_at = self._grants.retry_at
        if retry_at is not None and retry_at > now:
            effects.append(WakeAt(at=retry_at))
        return effects

    def _grant_all(
        self, now: float, granted: tuple[AttemptId, ...], effects: Effects
    ) -> int:
        """Grant bodies, and return how many were refused instead.

        The queue of the upstream may have filled up while a head waited, so
        its room is checked again before the bytes are transferred.
        """
        refused = 0
        for attempt_id in granted:
            record = self._runner.find(attempt_id)
            if record is not None and self._runner.has_slot_room(now, record):
                effects.extend(self._grant(now, record))
                continue
            refused += 1
            self._grants.end(attempt_id)
            effects.extend(self._refuse(now, attempt_id))
        return refused

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
