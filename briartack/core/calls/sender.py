"""The sender: handles a caller's call from its arrival to its answer.

The sender routes the call, sends attempts to the owners of upstreams, retries
failed attempts and answers the caller.
"""

from typing import Final, final

from briartack.core.body_ids import call_body_id
from briartack.core.calls import reasons
from briartack.core.calls.attempt_sender import AttemptSender
from briartack.core.calls.call_checks import route_call
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_endings import CallEndings
from briartack.core.calls.call_logs import (
    log_attempt_failed,
    log_call_refused,
)
from briartack.core.calls.call_responses import CallResponder
from briartack.core.calls.call_table import Call, CallPhase, CallTable
from briartack.core.calls.caller_clocks import CallerClocks
from briartack.core.calls.choice_types import (
    ChosenEndpoint,
    SelectionFailure,
)
from briartack.core.calls.drain import DrainState
from briartack.core.calls.endpoint_choice import EndpointChooser
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.owner import OwnerState
from briartack.core.calls.reasons import Reason
from briartack.core.calls.retry import (
    RetryState,
    draw_backoff_seconds,
    has_reached_upstream,
    is_free_refusal,
)
from briartack.core.calls.return_times import ReturnTimes
from briartack.core.calls.routing import RoutingState
from briartack.core.calls.streams import StreamsState
from briartack.core.calls.suspect_calls import find_suspicion
from briartack.core.calls.token_phase import TokenPhase
from briartack.core.effects import (
    AnswerCall,
    Count,
    DropBody,
    Effects,
    ReadBody,
    WakeAt,
)
from briartack.core.events import CallArrived, CallBodyRead
from briartack.core.messages import (
    MAX_BODY_BYTES,
    Answer,
)
from briartack.core.tenants.caps import CapsState
from briartack.core.units import AttemptId, BodyId, CallId, InstanceId
from briartack.core.verdict import Verdict

STREAM_WAIT_SECONDS: Final = 0.5
# The shell ticks at least this often; earlier times need a wake-up.
TICK_SECONDS: Final = 0.1
# After an idle stream or a pause, clock readings of owners are out of date and
# owners refuse attempts with them. Each refusal carries a fresh reading, so
# these attempts are not counted. The bound is above 1 because the endpoint
# chosen next may have an old reading too.
MAX_STALE_CLOCK_RETRIES: Final = 3
# The body may arrive while the call waits for a token.
_PHASES_BEFORE_BODY: Final = frozenset(
    (CallPhase.AWAITING_TOKEN, CallPhase.READING_BODY)
)


@final
class SenderState:
    """Manage the calls that callers made to this daemon."""

    __slots__ = (
        '_table',
        '_responder',
        '_retry',
        '_routing',
        '_streams',
        '_chooser',
        '_attempt_sender',
        '_owner',
        '_caller_clocks',
        '_tokens',
        '_endings',
    )

    def __init__(
        self,
        *,
        routing: RoutingState,
        endpoints: EndpointsState,
        streams: StreamsState,
        owner: OwnerState,
        drain: DrainState,
        caps: CapsState,
    ) -> None:
        self._table = CallTable()
        self._retry = RetryState()
        self._routing = routing
        self._streams = streams
        self._owner = owner
        self._caller_clocks = CallerClocks()
        self._chooser = EndpointChooser(
            routing=routing,
            endpoints=endpoints,
            upstream=owner.upstream,
            drain=drain,
        )
        self._responder = CallResponder(
            table=self._table,
            return_times=ReturnTimes(
                expected_times=self._chooser.expected_times
            ),
            caller_clocks=self._caller_clocks,
            caps=caps,
        )
        self._tokens = TokenPhase(
            caps=caps,
            table=self._table,
            responder=self._responder,
            endpoints=endpoints,
            drain=drain,
        )
        self._attempt_sender = AttemptSender(
            table=self._table,
            endpoints=endpoints,
            expected_times=self._chooser.expected_times,
            owner=owner,
        )
        self._endings = CallEndings(
            table=self._table,
            attempt_sender=self._attempt_sender,
            responder=self._responder,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether every call has been answered."""
        return not self._table

    @property
    def in_flight(self) -> int:
        """Return the number of calls that have yet to be answered."""
        return len(self._table)

    def find_call(self, attempt_id: AttemptId) -> CallId | None:
        """Return the call whose current attempt has this id, or `None`."""
        call = self._table.find_by_attempt(attempt_id)
        return None if call is None else call.event.call_id

    @property
    def chooser(self) -> EndpointChooser:
        """Return the chooser of endpoints, which the key issuer shares."""
        return self._chooser

    @property
    def endings(self) -> CallEndings:
        """Return what ends all calls."""
        return self._endings

    @property
    def tokens(self) -> TokenPhase:
        """Return the phase that gets tokens of the caps of tenants."""
        return self._tokens

    def handle_call_arrived(
        self, context: CallContext, event: CallArrived
    ) -> Effects:
        """Handle a new call: refuse it, send it or read its body."""
        run = self._owner.find_running(event.parent_id)
        call = route_call(
            context,
            event,
            self._routing,
            is_parent_running=run is not None,
        )
        if isinstance(call, AnswerCall):
            return [call, log_call_refused(context, event, call.reason)]
        if run is not None and call.origin.may_be_of_run:
            # A call of a local request is as urgent as that request.
            call.rank = run.rank
            call.is_from_local_run = True
            call.is_from_repeat = run.is_repeat
        self._measure_elapsed(call)
        self._table.add(call)
        return [
            *_schedule_wake(event.now, call.deadline),
            *self._tokens.begin(context, event.now, call),
            *self._continue_with_token(context, event.now, call),
        ]

    def handle_body_read(
        self, context: CallContext, event: CallBodyRead
    ) -> Effects:
        """Handle the complete body of a call and send the first attempt."""
        call = self._table.get(event.call_id)
        if call is None or call.phase not in _PHASES_BEFORE_BODY:
            return [DropBody(body_id=call_body_id(event.call_id))]
        reason = None
        if event.body_bytes > _get_body_limit(context):
            reason = reasons.BODY_TOO_LARGE
        elif not event.has_room:
            reason = reasons.NO_ROOM
        if reason is not None:
            return self._responder.refuse(
                context, event.now, call, reason, Verdict.NOT_RUN
            )
        call.body_bytes = event.body_bytes
        call.body_digest = event.body_digest
        call.is_body_read = True
        return [
            *self._tokens.renew(context, event.now, call),
            *self._continue_with_token(context, event.now, call),
        ]

    def continue_all(
        self,
        context: CallContext,
        now: float,
        settled: tuple[list[Call], Effects],
    ) -> Effects:
        """Continue the calls that have got a token, after the effects."""
        calls, effects = settled
        for call in calls:
            effects.extend(self._continue_with_token(context, now, call))
        return effects

    def cancel(
        self,
        context: CallContext,
        now: float,
        call_id: CallId,
    ) -> Effects:
        """Cancel a call whose caller disconnected."""
        call = self._table.get(call_id)
        if call is None:
            return []
        effects = self._attempt_sender.withdraw(context, now, call)
        if not (call.attempts or call.may_have_run):
            self._responder.release_token(now, call)
        self._table.remove(call)
        effects.append(DropBody(body_id=call.body_id))
        return effects

    def handle_answer(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
        answer: Answer,
        body_id: BodyId | None,
        *,
        is_body_kept: bool = False,
    ) -> Effects:
        """Handle the answer to an attempt.

        The answer's body is dropped after use, unless the owner keeps it. An
        answer to an attempt that has ended is counted as late.
        """
        drop_body_effects = _drop_body(None if is_body_kept else body_id)
        call = self._table.find_by_attempt(answer.attempt_id)
        if call is not None and call.peer != peer:
            call = None
        self._chooser.expected_times.record_answer(
            context, now, peer, answer, call
        )
        if call is None:
            return [Count(name='answers_late'), *drop_body_effects]
        self._attempt_sender.end(call)
        self._attempt_sender.record_body_wait(
            call, peer, answer.body_wait_seconds, now
        )
        if answer.verdict is Verdict.RAN:
            return self._responder.answer(
                now, call, answer, body_id, drop_body_effects
            )
        reason = reasons.REASONS_BY_CODE.get(
            answer.reason, reasons.UPSTREAM_FAILED
        )
        self._attempt_sender.apply_refusal(call, peer, reason, now)
        log_line = log_attempt_failed(
            call,
            peer,
            verdict=answer.verdict,
            reason=answer.reason,
        )
        effects: Effects = [*drop_body_effects, log_line]
        if reason is reasons.OVERLOAD:
            call.has_met_overload = True
        if reason is not reasons.STOP_TOO_NEAR or call.is_last_resort:
            call.tried_instances = (*call.tried_instances, peer)
        effects.extend(
            self._handle_failure(context, now, call, answer.verdict, reason),
        )
        return effects

    def handle_peer_loss(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
    ) -> Effects:
        """Fail the attempts at a peer whose stream is down."""
        self._chooser.expected_times.forget(peer)
        effects: Effects = []
        for call in self._table.list_sent_to(peer):
            self._attempt_sender.end(call)
            call.tried_instances = (*call.tried_instances, peer)
            effects.append(
                log_attempt_failed(
                    call,
                    peer,
                    verdict=Verdict.UNKNOWN,
                    reason=reasons.CONNECTION_LOST.code,
                ),
            )
            effects.extend(
                self._handle_failure(
                    context,
                    now,
                    call,
                    Verdict.UNKNOWN,
                    reasons.CONNECTION_LOST,
                ),
            )
        return effects

    def resume_connecting_calls(
        self,
        context: CallContext,
        now: float,
        service: str,
    ) -> Effects:
        """Resume the calls that wait for a stream to a service."""
        return [
            effect
            for call in self._table.list_connecting(service)
            for effect in self._start_next_attempt(context, now, call)
        ]

    def tick(self, context: CallContext, now: float) -> Effects:
        """Expire calls at their deadline and resume calls after their wait."""
        effects: Effects = []
        for call in self._table.pop_due(now):
            effects.extend(self._handle_expired_timer(context, now, call))
        next_at = self._table.next_due_at
        if next_at is not None:
            effects.extend(_schedule_wake(now, next_at))
        return effects

    def _continue_with_token(
        self, context: CallContext, now: float, call: Call
    ) -> Effects:
        """Send a call or read its body, unless it waits or was refused."""
        if self._tokens.is_waiting(call):
            return []
        if not call.is_counted:
            call.is_counted = True
            self._streams.record_call(call.share.service, now)
            self._retry.count_call(context, now, call)
        if call.is_body_read:
            return self._start_next_attempt(context, now, call)
        return [ReadBody(call_id=call.event.call_id)]

    def _measure_elapsed(self, call: Call) -> None:
        """Measure the time since the first try of a call with a target.

        A call made by a local request has its deadline as the target.
        """
        event = call.event
        has_target = call.route.policy.target_ms is not None
        if has_target and event.deadline_ms and not call.is_from_local_run:
            call.elapsed_seconds = self._caller_clocks.measure_elapsed_seconds(
                event.now, call.route.name, event.deadline_ms
            )

    def _handle_expired_timer(
        self, context: CallContext, now: float, call: Call
    ) -> Effects:
        """Handle an expired timer of a call: its deadline or its wait."""
        if now >= call.deadline:
            self._attempt_sender.suspect(call, now)
            return self._endings.abandon(context, now, call, reasons.DEADLINE)
        if now < call.wait_until:
            return []
        if call.phase is CallPhase.AWAITING_TOKEN:
            return [
                *self._tokens.give_up(context, now, call),
                *self._continue_with_token(context, now, call),
            ]
        if call.phase is CallPhase.CONNECTING:
            return self._end_wait(context, now, call)
        if call.phase is CallPhase.BACKING_OFF:
            return self._start_next_attempt(context, now, call)
        return []

    def _end_wait(
        self, context: CallContext, now: float, call: Call
    ) -> Effects:
        """Refuse a call that got no stream, unless there is a last resort."""
        call.has_waited = True
        effects = self._start_next_attempt(context, now, call)
        is_open = self._table.get(call.event.call_id) is call
        if is_open and call.phase is CallPhase.CONNECTING:
            return self._responder.refuse(
                context, now, call, reasons.NO_ENDPOINT, Verdict.NOT_RUN
            )
        return effects

    def _start_next_attempt(
        self,
        context: CallContext,
        now: float,
        call: Call,
    ) -> Effects:
        """Choose an endpoint and send the next attempt, or wait for a stream.

        Refuses the call if no endpoint can be chosen.
        """
        if now >= call.deadline:
            return self._endings.abandon(context, now, call, reasons.DEADLINE)
        if not context.is_confirmed:
            # The call outlasted a pause of this process. Its route may have
            # changed meanwhile.
            return self._responder.refuse(
                context, now, call, reasons.UNCONFIRMED, Verdict.NOT_RUN
            )
        suspicion = find_suspicion(self._owner.suspects, call, now)
        if suspicion.refused_seconds:
            return self._responder.refuse_suspect(
                context, now, call, suspicion.refused_seconds
            )
        choice = self._chooser.choose_for_call(
            context, now, call, suspicion.isolated
        )
        if isinstance(choice, ChosenEndpoint):
            return self._attempt_sender.send(context, now, call, choice)
        if isinstance(choice, SelectionFailure):
            return self._responder.refuse_unroutable(context, now, call, choice)
        if call.phase is CallPhase.CONNECTING:
            return choice
        until = now + STREAM_WAIT_SECONDS
        self._table.begin_wait(call, CallPhase.CONNECTING, until)
        return choice

    def _handle_failure(
        self,
        context: CallContext,
        now: float,
        call: Call,
        verdict: Verdict,
        reason: Reason,
    ) -> Effects:
        """Retry after a failed attempt, or refuse the call.

        A stale clock reading or a free refusal is retried at once. Other
        retries wait for a backoff and take a token of the retry budget.
        """
        if verdict is Verdict.UNKNOWN:
            call.may_have_run = True
        if has_reached_upstream(verdict, reason):
            call.has_reached_upstream = True
        if (
            reason is reasons.STALE_CLOCK
            and call.stale_clock_refusals < MAX_STALE_CLOCK_RETRIES
        ):
            call.stale_clock_refusals += 1
            call.attempts -= 1
            call.tried_instances = call.tried_instances[:-1]
            return self._start_next_attempt(context, now, call)
        wait_seconds = draw_backoff_seconds(context.random, call.attempts)
        if is_free_refusal(context.rules, call, verdict, reason):
            call.free_refusals += 1
            call.attempts -= 1
            if reason is not reasons.STOP_TOO_NEAR:
                call.last_refusal = reason
            return self._start_next_attempt(context, now, call)
        if now + wait_seconds < call.deadline and self._retry.reserve_retry(
            context.rules,
            call,
            verdict,
            reason,
        ):
            until = now + wait_seconds
            self._table.begin_wait(call, CallPhase.BACKING_OFF, until)
            return [Count(name='retries'), *_schedule_wake(now, until)]
        return self._responder.refuse(
            context, now, call, reason, verdict, is_from_owner=True
        )


def _drop_body(body_id: BodyId | None) -> Effects:
    return [] if body_id is None else [DropBody(body_id=body_id)]


def _schedule_wake(now: float, at: float) -> Effects:
    """Request a wake-up at a time that precedes the next regular tick."""
    return [WakeAt(at=at)] if at < now + TICK_SECONDS else []


def _get_body_limit(context: CallContext) -> int:
    snapshot = context.snapshot
    if snapshot is None:
        return MAX_BODY_BYTES
    return snapshot.caller_limits.body_limit
