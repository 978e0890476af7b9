"""Event handlers of the call path, called by the reducer.

Each handler passes its event to the sender, which holds the calls of local
callers, or to the owner, which holds the attempts at the local upstream.
"""

import msgspec

from briartack.core.body_ids import answer_body_id
from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.calls_state import CallsState, end_calls, finish_event
from briartack.core.calls.fingerprint import Fingerprint
from briartack.core.effects import Effects, SendMessage
from briartack.core.events import (
    AttemptBodyRead,
    BodyRoomMissing,
    CallArrived,
    CallBodyRead,
    CallCancelled,
    KeyRequested,
    PeerConnected,
    PeerDisconnected,
    PeerMessageReceived,
    StopRequested,
    SuspectClearRequested,
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
    """Route a new call, or refuse it before its body is read."""
    return finish_event(
        state,
        context,
        event.now,
        state.sender.handle_call_arrived(
            _make_new_call_context(state, context), event
        ),
    )


def on_call_body_read(
    state: CallsState,
    context: CallContext,
    event: CallBodyRead,
) -> Effects:
    """Send the first attempt of a call whose body has been read."""
    return finish_event(
        state, context, event.now, state.sender.handle_body_read(context, event)
    )


def on_call_cancelled(
    state: CallsState,
    context: CallContext,
    event: CallCancelled,
) -> Effects:
    """Cancel the call or key request of a caller that disconnected."""
    state.keys.cancel(event.call_id)
    return finish_event(
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
    """Issue an idempotency key, or refuse the request for one."""
    return state.keys.request(_make_new_call_context(state, context), event)


def on_attempt(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    attempt: Attempt,
) -> Effects:
    """Handle an attempt from a peer; a longer body follows in chunks."""
    return finish_event(
        state,
        context,
        event.now,
        state.owner.begin(
            context,
            event.now,
            event.peer,
            attempt,
            is_stopping=context.is_stopping or state.drain.is_leaving,
            has_room=event.has_room,
        ),
    )


def on_attempt_body_read(
    state: CallsState,
    context: CallContext,
    event: AttemptBodyRead,
) -> Effects:
    """Request an upstream slot for an attempt whose body is complete."""
    return finish_event(
        state,
        context,
        event.now,
        state.owner.handle_body_read(context, event.now, event.attempt_id),
    )


def on_body_room_missing(
    state: CallsState,
    context: CallContext,
    event: BodyRoomMissing,
) -> Effects:
    """Let an attempt wait again for whose granted body there is no memory."""
    return finish_event(
        state,
        context,
        event.now,
        state.owner.bodies.handle_missing_room(
            event.now, event.peer, event.attempt_id
        ),
    )


def on_answer(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    answer: Answer,
) -> Effects:
    """Handle a peer's answer to an attempt; the answer's body is complete."""
    peer = event.peer
    state.endpoints.record_clock_reading(
        peer, None, answer.owner_clock, event.now
    )
    state.endpoints.record_load(
        peer,
        answer.load,
        answer.run_seconds,
        event.now,
    )
    body_id = None
    if answer.body_bytes:
        body_id = answer_body_id(answer.attempt_id)
    return finish_event(
        state,
        context,
        event.now,
        state.sender.handle_answer(
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
    """Cancel an attempt that a peer has withdrawn."""
    return finish_event(
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
    """Stop sending new attempts to a peer that is about to stop."""
    endpoint = state.endpoints.get(event.peer)
    if endpoint is not None and endpoint.incarnation == goodbye.incarnation:
        state.endpoints.mark_draining(event.peer)
    return []


def on_summary(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    summary: Summary,
) -> Effects:
    """Record the clock reading and the evidence in a peer's summary."""
    state.endpoints.record_clock_reading(
        event.peer,
        summary.incarnation,
        summary.clock,
        event.now,
    )
    if not summary.crash_evidence:
        return []
    return finish_event(
        state,
        context,
        event.now,
        state.owner.suspects.merge(event.now, summary.crash_evidence),
    )


def on_peer_connected(
    state: CallsState,
    context: CallContext,
    event: PeerConnected,
) -> Effects:
    """Register a stream to a peer and resume calls that wait for one.

    A changed incarnation means that the peer restarted, so the attempts at its
    previous process are lost. During a planned stop the peer is sent a
    goodbye.
    """
    effects: Effects = []
    hello = event.hello
    endpoint = state.endpoints.get(event.peer)
    if endpoint is not None and endpoint.incarnation != hello.incarnation:
        effects = _handle_peer_loss(state, context, event.now, event.peer)
    # The hello of a peer that dialled says nothing about a dial in progress.
    dial_seconds = (
        state.endpoints.get_dial_seconds(event.peer, event.now)
        if event.is_outgoing
        else None
    )
    state.sender.chooser.expected_times.record_hello(hello, dial_seconds)
    state.endpoints.connect(
        event.peer,
        hello.incarnation,
        hello.clock,
        event.now,
        ungranted_body_bytes=hello.ungranted_body_bytes,
        max_body_bytes=hello.max_body_bytes,
    )
    if state.drain.is_leaving:
        goodbye = Goodbye(incarnation=context.identity.incarnation)
        effects.append(SendMessage(peer=event.peer, message=goodbye))
    effects.extend(
        state.sender.tokens.connect(context, event.now, event.peer, hello)
    )
    effects.extend(
        state.sender.resume_connecting_calls(context, event.now, hello.service),
    )
    effects.extend(state.keys.retry(context, event.now))
    return finish_event(state, context, event.now, effects)


def on_peer_disconnected(
    state: CallsState,
    context: CallContext,
    event: PeerDisconnected,
) -> Effects:
    """Handle a lost stream or a failed dial to a peer.

    Ends the attempts sent to the peer or received from it. Calls and key
    requests that wait for a stream choose again.
    """
    effects = _handle_peer_loss(state, context, event.now, event.peer)
    member = context.members.get(event.peer)
    if member is not None:
        effects.extend(
            state.sender.resume_connecting_calls(
                context, event.now, member.service
            ),
        )
    effects.extend(state.keys.retry(context, event.now))
    return finish_event(state, context, event.now, effects)


def on_upstream_answered(
    state: CallsState,
    context: CallContext,
    event: UpstreamAnswered,
) -> Effects:
    """Forward the local upstream's answer to the sender of the attempt."""
    return finish_event(
        state, context, event.now, state.owner.handle_upstream_answer(event)
    )


def on_upstream_failed(
    state: CallsState,
    context: CallContext,
    event: UpstreamFailed,
) -> Effects:
    """Report a failed upstream request, and whether it may have run."""
    return finish_event(
        state,
        context,
        event.now,
        state.owner.handle_upstream_failure(context, event),
    )


def on_upstream_probed(
    state: CallsState,
    context: CallContext,
    event: UpstreamProbed,
) -> Effects:
    """Record the result of a health probe of the local upstream."""
    return finish_event(
        state,
        context,
        event.now,
        state.owner.handle_upstream_probe(context, event),
    )


def on_tick(state: CallsState, context: CallContext, event: Tick) -> Effects:
    """Expire calls and attempts, resume those that wait, and dial peers.

    All calls and attempts are ended once the time limit of a planned stop is
    reached.
    """
    effects = _advance_stop(state, context, event.now)
    effects.extend(state.sender.tokens.tick(context, event.now))
    effects.extend(state.sender.tick(context, event.now))
    effects.extend(state.owner.tick(context, event.now))
    effects.extend(state.keys.tick(event.now))
    if not state.drain.is_draining:
        effects.extend(
            state.streams.dial_missing(
                context,
                event.now,
                state.routing,
                state.endpoints,
            ),
        )
    if state.drain.has_deadline_passed(event.now):
        effects.extend(_end_all_requests(state, context, event.now))
    return finish_event(state, context, event.now, effects)


def on_stop_requested(
    state: CallsState,
    context: CallContext,
    event: StopRequested,
) -> Effects:
    """Begin a planned stop; a repeated request has no effect."""
    if not state.drain.begin(event.now):
        return []
    effects = _advance_stop(state, context, event.now)
    effects.extend(state.owner.begin_stop(event.now))
    return finish_event(state, context, event.now, effects)


def on_suspect_clear_requested(
    state: CallsState, context: CallContext, event: SuspectClearRequested
) -> Effects:
    """Discount the evidence against a request, here and at all peers."""
    return finish_event(
        state,
        context,
        event.now,
        state.owner.suspects.clear(Fingerprint(event.fingerprint), 'operator'),
    )


def on_pause(state: CallsState, context: CallContext, now: float) -> Effects:
    """Discard peer state and end outdated calls after a pause of this process.

    Loads and clock readings from before the pause are out of date. Attempts
    that wait for a slot are refused before any call ends; otherwise they would
    start in the slots that the ended calls free.
    """
    state.endpoints.reset_readings(now)
    waiting = state.owner.expire_all(now, reasons.UNCONFIRMED)
    effects = finish_event(state, context, now, waiting)
    effects.extend(state.sender.endings.end_after_pause(context, now))
    return finish_event(state, context, now, effects)


def _advance_stop(
    state: CallsState,
    context: CallContext,
    now: float,
) -> Effects:
    """Update the stop phase; send goodbyes to all peers when they are due."""
    if not state.drain.advance(now):
        return []
    goodbye = Goodbye(incarnation=context.identity.incarnation)
    return [SendMessage(peer=peer, message=goodbye) for peer in state.endpoints]


def _make_new_call_context(
    state: CallsState, context: CallContext
) -> CallContext:
    """Return the context with `is_stopping` set once callers are refused."""
    if not state.drain.is_refusing:
        return context
    return msgspec.structs.replace(context, is_stopping=True)


def _handle_peer_loss(
    state: CallsState,
    context: CallContext,
    now: float,
    peer: InstanceId,
) -> Effects:
    """Remove a peer and end the attempts sent to it or received from it."""
    state.endpoints.disconnect(peer)
    effects = state.sender.continue_all(
        context, now, state.sender.tokens.disconnect(context, now, peer)
    )
    effects.extend(state.sender.handle_peer_loss(context, now, peer))
    effects.extend(state.owner.handle_peer_loss(now, peer))
    return effects


def _end_all_requests(
    state: CallsState, context: CallContext, now: float
) -> Effects:
    """End all calls and attempts at the time limit of the planned stop."""
    effects = end_calls(
        state,
        context,
        now,
        sent_reason=reasons.CONNECTION_LOST,
        unsent_reason=reasons.STOPPING,
    )
    effects.extend(state.owner.abort_all(now))
    return effects
