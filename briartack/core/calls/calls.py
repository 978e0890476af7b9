"""The call path's one entrance: each event on its way to sender and owner."""

from typing import final

import msgspec

from briartack.core.body_ids import answer_body
from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.drain import DrainState
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.key_issuer import KeyIssuerState
from briartack.core.calls.owner import OwnerState
from briartack.core.calls.reasons import Reason
from briartack.core.calls.routing import RoutingState
from briartack.core.calls.sender import SenderState
from briartack.core.calls.streams import StreamsState
from briartack.core.effects import Effects, Exit, SendMessage
from briartack.core.events import (
    AttemptBodyRead,
    CallArrived,
    CallBodyRead,
    CallCancelled,
    KeyRequested,
    PeerConnected,
    PeerDisconnected,
    PeerMessageReceived,
    StopRequested,
    Tick,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.messages import Answer, Attempt, Cancel, Goodbye, Summary
from briartack.core.units import InstanceId


@final
class CallsState:
    """Own the states of the call path."""

    __slots__ = (
        'endpoints',
        'routing',
        'streams',
        'owner',
        'sender',
        'keys',
        'drain',
    )

    def __init__(self, *, drain_seconds: float) -> None:
        """Start without calls and with a cold upstream."""
        self.endpoints = EndpointsState()
        self.routing = RoutingState()
        self.streams = StreamsState()
        self.owner = OwnerState()
        self.sender = SenderState(
            routing=self.routing,
            endpoints=self.endpoints,
            streams=self.streams,
            owner=self.owner,
        )
        self.keys = KeyIssuerState(chooser=self.sender.chooser)
        self.drain = DrainState(drain_seconds=drain_seconds)


def on_call_arrived(
    state: CallsState,
    context: CallContext,
    event: CallArrived,
) -> Effects:
    """Route a call, or refuse it before its body is read."""
    return _settle(
        state,
        context,
        event.now,
        state.sender.arrive(_at_door(state, context), event),
    )


def on_call_body_read(
    state: CallsState,
    context: CallContext,
    event: CallBodyRead,
) -> Effects:
    """Make the first attempt of a call with a body."""
    return _settle(
        state, context, event.now, state.sender.body_read(context, event)
    )


def on_call_cancelled(
    state: CallsState,
    context: CallContext,
    event: CallCancelled,
) -> Effects:
    """Withdraw what was begun for a caller that went away."""
    state.keys.cancel(event.call_id)
    return _settle(
        state,
        context,
        event.now,
        state.sender.cancel(context, event.now, event.call_id),
    )


def on_key_requested(
    state: CallsState,
    context: CallContext,
    event: KeyRequested,
) -> Effects:
    """Issue an idempotency key."""
    return state.keys.request(_at_door(state, context), event)


def on_attempt(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    attempt: Attempt,
) -> Effects:
    """Take the head of a peer's attempt."""
    return _settle(
        state,
        context,
        event.now,
        state.owner.begin(
            context,
            event.now,
            event.peer,
            attempt,
            is_stopping=context.is_stopping or state.drain.is_draining,
        ),
    )


def on_attempt_body_read(
    state: CallsState,
    context: CallContext,
    event: AttemptBodyRead,
) -> Effects:
    """Ask for a slot for an attempt whose body is complete."""
    return _settle(
        state,
        context,
        event.now,
        state.owner.body_read(context, event.now, event.attempt_id),
    )


def on_answer(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    answer: Answer,
) -> Effects:
    """Take the answer of an attempt, whose body is complete."""
    peer = event.peer
    state.endpoints.note_news(peer, None, answer.owner_clock, event.now)
    state.endpoints.report_load(peer, answer.load, event.now)
    body_id = None
    if answer.body_bytes:
        body_id = answer_body(answer.attempt_id)
    return _settle(
        state,
        context,
        event.now,
        state.sender.answered(
            context,
            event.now,
            peer,
            answer,
            body_id,
        ),
    )


def on_cancel(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    cancel: Cancel,
) -> Effects:
    """Give up a peer's attempt."""
    return _settle(
        state,
        context,
        event.now,
        state.owner.cancel(event.now, event.peer, cancel.attempt_id),
    )


def on_goodbye(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    goodbye: Goodbye,
) -> Effects:
    """Send nothing new to a peer that will stop."""
    view = state.endpoints.get(event.peer)
    if view is not None and view.incarnation == goodbye.incarnation:
        state.endpoints.drain(event.peer)
    return []


def on_summary(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    summary: Summary,
) -> Effects:
    """Take a reading of a peer's clock."""
    state.endpoints.note_news(
        event.peer,
        summary.incarnation,
        summary.clock,
        event.now,
    )
    return []


def on_peer_connected(
    state: CallsState,
    context: CallContext,
    event: PeerConnected,
) -> Effects:
    """Begin to use a stream."""
    effects: Effects = []
    hello = event.hello
    view = state.endpoints.get(event.peer)
    if view is not None and view.incarnation != hello.incarnation:
        effects = _peer_lost(state, context, event.now, event.peer)
    state.endpoints.connect(
        event.peer,
        hello.incarnation,
        hello.clock,
        event.now,
    )
    if state.drain.is_draining:
        goodbye = Goodbye(incarnation=context.identity.incarnation)
        effects.append(SendMessage(peer=event.peer, message=goodbye))
    effects.extend(
        state.sender.streams_changed(context, event.now, hello.service),
    )
    effects.extend(state.keys.retry(context, event.now))
    return _settle(state, context, event.now, effects)


def on_peer_disconnected(
    state: CallsState,
    context: CallContext,
    event: PeerDisconnected,
) -> Effects:
    """End what was under way with a peer, or dial others."""
    effects = _peer_lost(state, context, event.now, event.peer)
    member = context.members.get(event.peer)
    if member is not None:
        effects.extend(
            state.sender.streams_changed(context, event.now, member.service),
        )
    effects.extend(state.keys.retry(context, event.now))
    return _settle(state, context, event.now, effects)


def on_upstream_answered(
    state: CallsState,
    context: CallContext,
    event: UpstreamAnswered,
) -> Effects:
    """Pass the local upstream's answer on."""
    return _settle(
        state, context, event.now, state.owner.upstream_answered(event)
    )


def on_upstream_failed(
    state: CallsState,
    context: CallContext,
    event: UpstreamFailed,
) -> Effects:
    """Tell the sender whether a request may have run."""
    return _settle(
        state, context, event.now, state.owner.upstream_failed(event)
    )


def on_upstream_probed(
    state: CallsState,
    context: CallContext,
    event: UpstreamProbed,
) -> Effects:
    """Take the health of the local upstream."""
    return state.owner.upstream_probed(event)


def on_tick(state: CallsState, context: CallContext, event: Tick) -> Effects:
    """End what is over and go on with what waited."""
    effects = state.sender.tick(context, event.now)
    effects.extend(state.owner.tick(event.now))
    effects.extend(state.keys.tick(event.now))
    if not state.drain.is_draining:
        effects.extend(
            state.streams.review(
                context,
                event.now,
                state.routing,
                state.endpoints,
            ),
        )
    if state.drain.is_bound_over(event.now):
        effects.extend(_end_all(state, context, event.now))
    return _settle(state, context, event.now, effects)


def on_stop(
    state: CallsState,
    context: CallContext,
    event: StopRequested,
) -> Effects:
    """Begin the planned stop."""
    if not state.drain.begin(event.now):
        return []
    goodbye = Goodbye(incarnation=context.identity.incarnation)
    effects: Effects = [
        SendMessage(peer=peer, message=goodbye) for peer in state.endpoints
    ]
    return _settle(state, context, event.now, effects)


def on_gap(state: CallsState, context: CallContext, now: float) -> Effects:
    """Drop what is older than a pause of this process."""
    state.endpoints.forget_news(now)
    effects = _end_calls(
        state,
        context,
        now,
        sent=reasons.PAUSED,
        unsent=reasons.UNCONFIRMED,
    )
    return _settle(state, context, now, effects)


def _at_door(state: CallsState, context: CallContext) -> CallContext:
    """Close the door to new calls as soon as the stop has begun."""
    if not state.drain.is_draining:
        return context
    return msgspec.structs.replace(context, is_stopping=True)


def _peer_lost(
    state: CallsState,
    context: CallContext,
    now: float,
    peer: InstanceId,
) -> Effects:
    state.endpoints.disconnect(peer)
    effects = state.sender.peer_lost(context, now, peer)
    effects.extend(state.owner.peer_lost(now, peer))
    return effects


def _end_all(state: CallsState, context: CallContext, now: float) -> Effects:
    """End everything at the bound of the planned stop."""
    effects = _end_calls(
        state,
        context,
        now,
        sent=reasons.CONNECTION_LOST,
        unsent=reasons.STOPPING,
    )
    effects.extend(state.owner.abort_all(now))
    return effects


def _end_calls(
    state: CallsState,
    context: CallContext,
    now: float,
    *,
    sent: Reason,
    unsent: Reason,
) -> Effects:
    """End every call.

    What waits for a slot is refused first, because the slots of ended calls
    would start it.
    """
    waiting = state.owner.expire_all(now, unsent)
    effects = _settle(state, context, now, waiting)
    ended = state.sender.end_all(context, now, sent=sent, unsent=unsent)
    return [*effects, *ended]


def _settle(
    state: CallsState,
    context: CallContext,
    now: float,
    effects: Effects,
) -> Effects:
    """Hand the owner's local answers to the sender, then end a stop."""
    own = context.identity.instance
    for outcome in iter(state.owner.next_outcome, None):
        effects.extend(
            state.sender.answered(
                context,
                now,
                own,
                outcome.answer,
                outcome.body_id,
                is_kept=outcome.is_kept,
            ),
        )
    if not state.drain.is_draining:
        return effects
    is_idle = (
        state.sender.is_idle and state.owner.is_idle and state.keys.is_idle
    )
    if is_idle and state.drain.finish():
        effects.append(Exit(code=0))
    return effects
