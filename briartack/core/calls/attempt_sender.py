"""Sending and cancelling single attempts of calls.

The sender decides when to make an attempt; the chooser selects the endpoint.
"""

from typing import Final, final

from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_logs import log_attempt_sent
from briartack.core.calls.call_table import Call, CallTable
from briartack.core.calls.choice_types import (
    LARGE_BODY_BYTES,
    ChosenEndpoint,
)
from briartack.core.calls.endpoints import UNKNOWN_CLOCK, EndpointsState
from briartack.core.calls.expected_times import ExpectedTimes
from briartack.core.calls.owner import OwnerState
from briartack.core.calls.placement import format_regions
from briartack.core.calls.reasons import Reason
from briartack.core.effects import Effects, SendAttempt, SendMessage
from briartack.core.messages import Attempt, Cancel
from briartack.core.units import MILLISECONDS_PER_SECOND, InstanceId

# Refusals whose cause lasts, so that the peer is avoided for a short time.
AVOIDANCE_REASON_CODES: Final = frozenset(
    (
        reasons.UNCONFIRMED.code,
        reasons.NO_SNAPSHOT.code,
        reasons.OUT_OF_SERVICE.code,
        reasons.WRONG_SERVICE.code,
        reasons.UPSTREAM_DOWN.code,
        reasons.UPSTREAM_UNVERIFIED.code,
        reasons.WINDOW_FULL.code,
    ),
)


@final
class AttemptSender:
    """Send attempts to peers, or directly to the owner in this daemon."""

    __slots__ = ('_table', '_endpoints', '_expected_times', '_owner')

    def __init__(
        self,
        *,
        table: CallTable,
        endpoints: EndpointsState,
        expected_times: ExpectedTimes,
        owner: OwnerState,
    ) -> None:
        self._table = table
        self._endpoints = endpoints
        self._expected_times = expected_times
        self._owner = owner

    def send(
        self,
        context: CallContext,
        now: float,
        call: Call,
        chosen: ChosenEndpoint,
    ) -> Effects:
        """Send the next attempt of a call to the chosen endpoint."""
        own = context.identity
        peer = chosen.member.instance
        call.is_last_resort = chosen.is_last_resort
        endpoint = self._endpoints.get(peer)
        awaits_grant = endpoint is not None and endpoint.needs_grant(
            call.body_bytes
        )
        target_ms = _compute_remaining_target_ms(
            context, now, call, chosen, awaits_grant=awaits_grant
        )
        attempt = Attempt(
            attempt_id=self._table.start_attempt(
                call,
                peer,
                f'{own.instance}.{own.incarnation}',
            ),
            owner_incarnation=endpoint.incarnation
            if endpoint
            else own.incarnation,
            owner_clock=endpoint.clock if endpoint else UNKNOWN_CLOCK,
            remaining_ms=(call.deadline - now) * MILLISECONDS_PER_SECOND,
            service=call.share.service,
            method=call.event.method,
            target=call.event.target,
            headers=call.headers,
            body_bytes=call.body_bytes,
            body_digest=call.body_digest,
            interactive=call.is_interactive,
            request_id=call.event.request_id,
            rank=call.rank,
            is_awaited_by_run=call.is_from_local_run,
            target_ms=target_ms,
            is_late=_is_late(call, target_ms),
            route=call.route.name,
            home_regions=format_regions(chosen.regions),
            idempotency_key=call.event.idempotency_key,
            is_last_resort=chosen.is_last_resort,
            awaits_grant=awaits_grant,
            # Calls of the run then count as retries too, at each level.
            is_repeat=call.has_reached_upstream or call.is_from_repeat,
        )
        call.sent_at = now
        call.starts_at_once = self._expected_times.record_attempt_start(
            now, call.share.service, chosen.member, call.share.limits.slots
        )
        body_id = call.body_id
        log_line = log_attempt_sent(context, now, call, peer, endpoint)
        if peer == own.instance:
            begun = self._owner.begin_local(context, now, attempt, body_id)
            return [*begun, log_line]
        self._endpoints.record_attempt_start(peer, now, call.body_bytes)
        return [
            SendAttempt(peer=peer, attempt=attempt, body_id=body_id),
            log_line,
        ]

    def withdraw(
        self,
        context: CallContext,
        now: float,
        call: Call,
    ) -> Effects:
        """Cancel the call's attempt in flight, if any.

        Marks the call as possibly run, unless the local owner knows that the
        upstream has not read the request.
        """
        attempt_id = call.attempt_id
        peer = call.peer
        if attempt_id is None or peer is None:
            return []
        self.end(call)
        if peer == context.identity.instance:
            if self._owner.may_have_run(attempt_id):
                call.may_have_run = True
            return self._owner.cancel(now, None, attempt_id)
        call.may_have_run = True
        return [SendMessage(peer=peer, message=Cancel(attempt_id=attempt_id))]

    def end(self, call: Call) -> None:
        """Unregister the call's attempt; a later answer counts as late."""
        if call.peer is not None:
            self._endpoints.record_attempt_end(call.peer)
            self._expected_times.record_attempt_end(call.share.service)
        self._table.end_attempt(call)

    def suspect(self, call: Call, now: float) -> None:
        """Suspect the peer of an attempt that was not answered in time."""
        if call.peer is not None:
            self._endpoints.suspect(call.peer, call.sent_at, now)

    def record_body_wait(
        self, call: Call, peer: InstanceId, seconds: float, now: float
    ) -> None:
        """Record how long bodies as urgent as the call's wait at a peer."""
        endpoint = self._endpoints.get(peer)
        if endpoint is not None:
            endpoint.body_wait.record(seconds, call.urgency, now)

    def apply_refusal(
        self, call: Call, peer: InstanceId, reason: Reason, now: float
    ) -> None:
        """Stop or pause new attempts to a peer after a refusal.

        A stopping peer is not used again, or not for calls as long as this one;
        a peer with another lasting cause is avoided for a short time, one
        without memory only by large bodies.
        """
        if reason is reasons.STOPPING:
            self._endpoints.mark_draining(peer)
        elif reason is reasons.STOP_TOO_NEAR:
            self._endpoints.limit_deadline(peer, call.deadline)
        elif reason is reasons.NO_ROOM:
            self._endpoints.record_lack_of_memory(peer, now)
        elif reason.code in AVOIDANCE_REASON_CODES:
            self._endpoints.avoid(peer, now)


def _compute_remaining_target_ms(
    context: CallContext,
    now: float,
    call: Call,
    chosen: ChosenEndpoint,
    *,
    awaits_grant: bool,
) -> float | None:
    """Return the milliseconds left to meet the policy's target time.

    The owner refuses an attempt at once if the expected wait is longer. `None`
    means that the attempt may wait until its deadline, as does an attempt with
    a large body in this data centre: sending the body elsewhere costs more than
    the wait. A body that awaits a grant has not been sent when its head is
    refused, so its attempt states the target. A call made by a local request
    gets the time to its deadline, because the local request fails without the
    call.
    """
    is_near = chosen.member.data_centre == context.identity.data_centre
    is_large = call.body_bytes >= LARGE_BODY_BYTES and not awaits_grant
    if is_near and is_large and not call.is_from_local_run:
        return None
    if call.is_from_local_run:
        return (call.deadline - now) * MILLISECONDS_PER_SECOND
    target_ms = call.route.policy.target_ms
    if target_ms is None:
        return None
    elapsed_seconds = now - call.event.now + (call.elapsed_seconds or 0)
    return target_ms - elapsed_seconds * MILLISECONDS_PER_SECOND


def _is_late(call: Call, target_ms: float | None) -> bool:
    """Return whether the target has passed, measured from the first try.

    Without a known first try, the owner refuses the attempt unless it can
    start at once.
    """
    if call.elapsed_seconds is None or target_ms is None:
        return False
    return target_ms <= 0
