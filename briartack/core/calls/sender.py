"""The sender: handles a caller's call from its arrival to its answer.

Routes the call, sends attempts to the owners of upstreams, retries failed
attempts and answers the caller.
"""

from typing import Final, final

from briartack.core.body_ids import call_body
from briartack.core.calls import reasons
from briartack.core.calls.attempt_sender import AttemptSender
from briartack.core.calls.call_checks import (
    enter,
    home_headers,
)
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_endings import CallEndings
from briartack.core.calls.call_lines import (
    attempt_failed,
    call_refused,
)
from briartack.core.calls.call_table import Call, CallPhase, CallTable
from briartack.core.calls.choice import Chooser, Chosen, NoChoice
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.owner import OwnerState
from briartack.core.calls.placement import home_regions
from briartack.core.calls.reasons import Reason
from briartack.core.calls.retry import RetryState, backoff_seconds, is_free
from briartack.core.calls.routing import RoutingState
from briartack.core.calls.streams import StreamsState
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
from briartack.core.units import BodyId, CallId, InstanceId
from briartack.core.verdict import Verdict

STREAM_WAIT_SECONDS: Final = 0.5
# The shell ticks at least this often; earlier times need a wake-up.
TICK_SECONDS: Final = 0.1
# After an idle stream or a pause, clock readings of owners are out of date, and
# owners refuse attempts with them. Each refusal carries a fresh reading, so these
# attempts are not counted. The bound is above 1 because the endpoint chosen next
# may have an old reading too.
MAX_STALE: Final = 3


@final
class SenderState:
    """Manage the calls that callers made to this daemon."""

    __slots__ = (
        '_table',
        '_endings',
        '_retry',
        '_routing',
        '_streams',
        '_chooser',
        '_sender',
        '_owner',
    )

    def __init__(
        self,
        *,
        routing: RoutingState,
        endpoints: EndpointsState,
        streams: StreamsState,
        owner: OwnerState,
    ) -> None:
        """Create a sender without calls."""
        self._table = CallTable()
        self._endings = CallEndings(table=self._table)
        self._retry = RetryState()
        self._routing = routing
        self._streams = streams
        self._owner = owner
        self._chooser = Chooser(
            routing=routing,
            endpoints=endpoints,
            upstream=owner.upstream,
        )
        self._sender = AttemptSender(
            table=self._table,
            endpoints=endpoints,
            owner=owner,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether every call has been answered."""
        return not self._table

    @property
    def chooser(self) -> Chooser:
        """Return the chooser of endpoints, which the key issuer shares."""
        return self._chooser

    def arrive(self, context: CallContext, event: CallArrived) -> Effects:
        """Handle the head of a new call: refuse it, send it, or read its body."""
        call = enter(context, event, self._routing)
        if isinstance(call, AnswerCall):
            return [call, call_refused(event, call.reason)]
        self._follow_run(call)
        self._table.add(call)
        self._streams.touch(call.share.service, event.now)
        self._retry.earn_for(context, call)
        effects = _wake(event.now, call.deadline)
        if event.body_bytes == 0:
            effects.extend(self._next_attempt(context, event.now, call))
        else:
            effects.append(ReadBody(call_id=event.call_id))
        return effects

    def body_read(self, context: CallContext, event: CallBodyRead) -> Effects:
        """Handle the complete body of a call and send the first attempt."""
        call = self._table.get(event.call_id)
        if call is None or call.phase is not CallPhase.READING_BODY:
            return [DropBody(body_id=call_body(event.call_id))]
        if event.body_bytes > MAX_BODY_BYTES:
            return self._endings.refuse(
                context,
                event.now,
                call,
                reasons.BODY_TOO_LARGE,
                Verdict.NOT_RUN,
            )
        call.body_bytes = event.body_bytes
        call.body_digest = event.body_digest
        return self._next_attempt(context, event.now, call)

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
        effects = self._sender.withdraw(context, now, call)
        self._table.remove(call)
        effects.append(DropBody(body_id=call.body_id))
        return effects

    def answered(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
        answer: Answer,
        body_id: BodyId | None,
        *,
        is_kept: bool = False,
    ) -> Effects:
        """Handle the answer to an attempt.

        The answer's body is dropped after use, unless the owner keeps it. An
        answer to an attempt that has ended is counted as late.
        """
        spent_body = _drop(None if is_kept else body_id)
        call = self._table.of_attempt(answer.attempt_id)
        if call is None or call.peer != peer:
            return [Count(name='answers_late'), *spent_body]
        self._sender.end(call)
        if answer.verdict is Verdict.RAN:
            return self._endings.answer(now, call, answer, body_id, spent_body)
        reason = reasons.BY_CODE.get(answer.reason, reasons.UPSTREAM_FAILED)
        self._sender.learn(peer, reason, now)
        line = attempt_failed(
            call,
            peer,
            verdict=answer.verdict,
            reason=answer.reason,
        )
        effects: Effects = [*spent_body, line]
        call.tried = (*call.tried, peer)
        effects.extend(
            self._failed(context, now, call, answer.verdict, reason),
        )
        return effects

    def peer_lost(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
    ) -> Effects:
        """Fail the attempts at a peer whose stream is down."""
        effects: Effects = []
        for call in self._table.sent_to(peer):
            self._sender.end(call)
            call.tried = (*call.tried, peer)
            effects.append(
                attempt_failed(
                    call,
                    peer,
                    verdict=Verdict.UNKNOWN,
                    reason=reasons.CONNECTION_LOST.code,
                ),
            )
            effects.extend(
                self._failed(
                    context,
                    now,
                    call,
                    Verdict.UNKNOWN,
                    reasons.CONNECTION_LOST,
                ),
            )
        return effects

    def streams_changed(
        self,
        context: CallContext,
        now: float,
        service: str,
    ) -> Effects:
        """Resume the calls that wait for a stream to a service."""
        return [
            effect
            for call in self._table.connecting(service)
            for effect in self._next_attempt(context, now, call)
        ]

    def tick(self, context: CallContext, now: float) -> Effects:
        """Expire calls at their deadline and resume calls after their wait."""
        effects: Effects = []
        for call in self._table.due(now):
            effects.extend(self._due(context, now, call))
        next_at = self._table.next_at
        if next_at is not None:
            effects.extend(_wake(now, next_at))
        return effects

    def end_all(
        self,
        context: CallContext,
        now: float,
        *,
        sent: Reason,
        unsent: Reason,
    ) -> Effects:
        """End every call, with reason `sent` if an attempt is in flight.

        All other calls end with reason `unsent`.
        """
        effects: Effects = []
        for call in self._table:
            reason = sent if call.phase is CallPhase.SENT else unsent
            effects.extend(self._give_up(context, now, call, reason))
        return effects

    def _follow_run(self, call: Call) -> None:
        """Give a call made by a local request the rank of that request."""
        rank = self._owner.rank_of_run(call.event.parent_id)
        if rank is not None:
            call.rank = rank
            call.is_of_own_run = True

    def _due(self, context: CallContext, now: float, call: Call) -> Effects:
        """Handle an expired timer of a call: its deadline or its wait."""
        if now >= call.deadline:
            self._sender.suspect(call, now)
            return self._give_up(context, now, call, reasons.DEADLINE)
        if now < call.wait_until:
            return []
        if call.phase is CallPhase.CONNECTING:
            return self._endings.refuse(
                context, now, call, reasons.NO_ENDPOINT, Verdict.NOT_RUN
            )
        if call.phase is CallPhase.BACKING_OFF:
            return self._next_attempt(context, now, call)
        return []

    def _next_attempt(
        self,
        context: CallContext,
        now: float,
        call: Call,
    ) -> Effects:
        """Choose an endpoint and send the next attempt, or wait for a stream.

        Refuses the call if no endpoint can be chosen.
        """
        if now >= call.deadline:
            return self._give_up(context, now, call, reasons.DEADLINE)
        choice = self._chooser.choose_for(context, now, call)
        if isinstance(choice, Chosen):
            return self._sender.send(context, now, call, choice)
        if isinstance(choice, NoChoice):
            return self._not_chosen(context, now, call, choice)
        if call.phase is CallPhase.CONNECTING:
            return choice
        until = now + STREAM_WAIT_SECONDS
        self._table.wait(call, CallPhase.CONNECTING, until)
        return choice

    def _not_chosen(
        self,
        context: CallContext,
        now: float,
        call: Call,
        choice: NoChoice,
    ) -> Effects:
        """Refuse a call for which no endpoint can be chosen."""
        if choice is NoChoice.KEY_OWNER_GONE:
            return self._endings.refuse(
                context, now, call, reasons.KEY_OWNER_GONE, Verdict.UNKNOWN
            )
        if choice is NoChoice.NO_ENDPOINT or context.snapshot is None:
            reason = call.refused_for or reasons.NO_ENDPOINT
            return self._endings.refuse(
                context, now, call, reason, Verdict.NOT_RUN
            )
        regions = home_regions(
            context.snapshot,
            call.route,
            call.event.tenant,
        )
        return self._endings.refuse(
            context,
            now,
            call,
            reasons.PLACEMENT,
            Verdict.NOT_RUN,
            home_headers(regions),
        )

    def _failed(
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
        if reason is reasons.STALE_CLOCK and call.stale_clocks < MAX_STALE:
            call.stale_clocks += 1
            call.attempts -= 1
            call.tried = call.tried[:-1]
            return self._next_attempt(context, now, call)
        wait = backoff_seconds(context.random, call.attempts)
        if is_free(context.rules, call, verdict, reason):
            call.free_refusals += 1
            call.refused_for = reason
            call.attempts -= 1
            return self._next_attempt(context, now, call)
        if now + wait < call.deadline and self._retry.may_retry(
            call,
            verdict,
            reason,
        ):
            until = now + wait
            self._table.wait(call, CallPhase.BACKING_OFF, until)
            return [Count(name='retries'), *_wake(now, until)]
        return self._endings.refuse(
            context, now, call, reason, verdict, is_from_owner=True
        )

    def _give_up(
        self,
        context: CallContext,
        now: float,
        call: Call,
        reason: Reason,
    ) -> Effects:
        """Cancel the attempt in flight and refuse the call."""
        effects = self._sender.withdraw(context, now, call)
        effects.extend(
            self._endings.refuse(context, now, call, reason, Verdict.NOT_RUN)
        )
        return effects


def _drop(body_id: BodyId | None) -> Effects:
    return [] if body_id is None else [DropBody(body_id=body_id)]


def _wake(now: float, at: float) -> Effects:
    """Request a wake-up if a time comes before the next regular tick."""
    return [WakeAt(at=at)] if at < now + TICK_SECONDS else []
