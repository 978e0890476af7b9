"""The call path's one entrance: each event on its way to sender and owner."""

import msgspec

from briartack.core.body_ids import answer_body
from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.calls_state import CallsState, end_calls, settle
from briartack.core.effects import Effects, SendMessage
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


def on_call_arrived(
    state: CallsState,
    context: CallContext,
    event: CallArrived,
) -> Effects:
    """Route a call, or refuse it before its body is read."""
    return settle(
        state,
        context,
        event.now,
        state.sender.arrive(_context_of_new_call(state, context), event),
    )


def on_call_body_read(
    state: CallsState,
    context: CallContext,
    event: CallBodyRead,
) -> Effects:
    """Make the first attempt of a call with a body."""
    return settle(
        state, context, event.now, state.sender.body_read(context, event)
    )


def on_call_cancelled(
    state: CallsState,
    context: CallContext,
    event: CallCancelled,
) -> Effects:
    """Withdraw what was begun for a caller that went away."""
    state.keys.cancel(event.call_id)
    return settle(
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
    return state.keys.request(_context_of_new_call(state, context), event)


def on_attempt(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    attempt: Attempt,
) -> Effects:
    """Take the head of a peer's attempt."""
    return settle(
        state,
        context,
        event.now,
        state.owner.begin(
            context,
            event.now,
            event.peer,
            attempt,
            is_stopping=context.is_stopping or state.drain.is_leaving,
        ),
    )


def on_attempt_body_read(
    state: CallsState,
    context: CallContext,
    event: AttemptBodyRead,
) -> Effects:
    """Ask for a slot for an attempt whose body is complete."""
    return settle(
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
    state.endpoints.report_load(
        peer,
        answer.load,
        answer.run_seconds,
        event.now,
    )
    body_id = None
    if answer.body_bytes:
        body_id = answer_body(answer.attempt_id)
    return settle(
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
    return settle(
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
    if state.drain.is_leaving:
        goodbye = Goodbye(incarnation=context.identity.incarnation)
        effects.append(SendMessage(peer=event.peer, message=goodbye))
    effects.extend(
        state.sender.streams_changed(context, event.now, hello.service),
    )
    effects.extend(state.keys.retry(context, event.now))
    return settle(state, context, event.now, effects)


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
    return settle(state, context, event.now, effects)


def on_upstream_answered(
    state: CallsState,
    context: CallContext,
    event: UpstreamAnswered,
) -> Effects:
    """Pass the local upstream's answer on."""
    return settle(
        state, context, event.now, state.owner.upstream_answered(event)
    )


def on_upstream_failed(
    state: CallsState,
    context: CallContext,
    event: UpstreamFailed,
) -> Effects:
    """Tell the sender whether a request may have run."""
    return settle(state, context, event.now, state.owner.upstream_failed(event))


def on_upstream_probed(
    state: CallsState,
    context: CallContext,
    event: UpstreamProbed,
) -> Effects:
    """Take the health of the local upstream."""
    return state.owner.upstream_probed(event)


def on_tick(state: CallsState, context: CallContext, event: Tick) -> Effects:
    """End what is over and go on with what waited."""
    effects = _follow_stop(state, context, event.now)
    effects.extend(state.sender.tick(context, event.now))
    effects.extend(state.owner.tick(context, event.now))
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
    return settle(state, context, event.now, effects)


def on_stop(
    state: CallsState,
    context: CallContext,
    event: StopRequested,
) -> Effects:
    """Begin the planned stop."""
    if not state.drain.begin(event.now):
        return []
    effects = _follow_stop(state, context, event.now)
    return settle(state, context, event.now, effects)


def on_gap(state: CallsState, context: CallContext, now: float) -> Effects:
    """Drop what is older than a pause of this process."""
    state.endpoints.forget_news(now)
    effects = end_calls(
        state,
        context,
        now,
        sent=reasons.PAUSED,
        unsent=reasons.UNCONFIRMED,
    )
    return settle(state, context, now, effects)


def _follow_stop(
    state: CallsState,
    context: CallContext,
    now: float,
) -> Effects:
    """Say goodbye to the peers once it is time to."""
    if not state.drain.follow(now):
        return []
    goodbye = Goodbye(incarnation=context.identity.incarnation)
    return [SendMessage(peer=peer, message=goodbye) for peer in state.endpoints]


def _context_of_new_call(
    state: CallsState, context: CallContext
) -> CallContext:
    """Refuse new calls as soon as the stop has begun."""
    if not state.drain.is_refusing:
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
    effects = end_calls(
        state,
        context,
        now,
        sent=reasons.CONNECTION_LOST,
        unsent=reasons.STOPPING,
    )
    effects.extend(state.owner.abort_all(now))
    return effects
