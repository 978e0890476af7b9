"""The reducer: applies an event to the state and returns effects.

The reducer calls the decision modules in turn and passes results from one
module to the next. It makes no decisions itself.
"""

from collections.abc import Callable
from typing import Any, Final, TypeAlias

from briartack.core.calls import call_handlers, cap_handlers
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.calls_state import CallsState
from briartack.core.calls.service_change import on_service_changed
from briartack.core.dissemination import dissemination
from briartack.core.dissemination.upstream_notices import (
    announce_crash_evidence,
    on_upstream_leaving,
)
from briartack.core.effects import Effects, LogLevel, WriteAudit, WriteLog
from briartack.core.events import (
    AttemptBodyRead,
    BodyRoomMissing,
    CallArrived,
    CallBodyRead,
    CallCancelled,
    Event,
    KeyRequested,
    PeerConnected,
    PeerDisconnected,
    PeerMessageReceived,
    SettingsReloaded,
    Started,
    StopRequested,
    StoreFailed,
    StoreRead,
    StoreWatched,
    SuspectClearRequested,
    Tick,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.merging import merge, snapshot_fields
from briartack.core.messages import (
    Answer,
    Attempt,
    Cancel,
    CapGrant,
    CapRequest,
    Entries,
    Goodbye,
    Inventory,
    InventoryReply,
    PeerMessage,
    Pull,
    Summary,
)
from briartack.core.state import State

# The `held` record is repeated at this interval, so that a lost audit line is
# noticed after at most this time.
AUDIT_REPEAT_SECONDS: Final = 10.0
PEER_LOST: Final = 'peer-lost'
PEER_UNREACHABLE: Final = 'peer-unreachable'

_Handler: TypeAlias = Callable[[State, Any], Effects]
_UpstreamEvent: TypeAlias = UpstreamAnswered | UpstreamFailed | UpstreamProbed


def reduce(state: State, event: Event) -> Effects:
    """Apply one event and return the effects for the shell to perform."""
    state.last_event_at = event.now
    effects = _advance_clock(state, event.now)
    effects.extend(_HANDLERS[type(event)](state, event))
    effects.extend(_spread_crash_evidence(state, event))
    return effects


def make_call_context(state: State) -> CallContext:
    """Collect the parts of other slices that the call path may read."""
    outages = state.dissemination.store.outages
    return CallContext(
        identity=state.identity,
        snapshot=state.configuration.snapshot,
        members=state.membership,
        random=state.random,
        is_stopping=state.calls.drain.is_refusing,
        is_confirmed=dissemination.is_confirmed(state.dissemination),
        rules=state.rules,
        is_store_away=outages.seconds_since(state.last_event_at) is not None,
    )


def _advance_clock(state: State, now: float) -> Effects:
    was_paused = dissemination.is_after_pause(state.dissemination, now)
    effects = dissemination.detect_pause(
        state.dissemination, now, state.holdings
    )
    if was_paused:
        effects.extend(
            call_handlers.on_pause(state.calls, make_call_context(state), now)
        )
    return effects


def _spread_crash_evidence(state: State, event: Event) -> Effects:
    suspects = state.calls.owner.suspects
    is_tick = isinstance(event, Tick)
    changes = suspects.take_changes(event.now, is_tick=is_tick)
    if not (changes or is_tick):
        return []
    links = state.dissemination.links
    effects = announce_crash_evidence(
        state.dissemination,
        event.now,
        changes,
        links.connected_peers,
        state.holdings,
    )
    if is_tick:
        effects.extend(
            announce_crash_evidence(
                state.dissemination,
                event.now,
                suspects.take_learned(event.now),
                (*links.local_neighbours, *links.remote_neighbours),
                state.holdings,
            ),
        )
    # Later summaries carry the standing suspects, for daemons that start later
    # or missed a message.
    state.dissemination.announcer.announce_crashes(
        suspects.list_standing(event.now)
    )
    return effects


def _on_started(state: State, event: Started) -> Effects:
    record = state.audit_trail.record(
        'started',
        {
            'service': state.identity.service,
            'data_centre': state.identity.data_centre,
            'region': state.identity.region,
        },
    )
    return [
        WriteAudit(record=record),
        *dissemination.on_started(state.dissemination, event),
    ]


def _on_tick(state: State, event: Tick) -> Effects:
    state.membership.expire(event.now)
    effects = dissemination.on_tick(
        state.dissemination,
        event,
        state.holdings,
        state.membership,
    )
    effects.extend(
        call_handlers.on_tick(state.calls, make_call_context(state), event)
    )
    effects.extend(_repeat_held_record(state, event.now))
    return effects


def _repeat_held_record(state: State, now: float) -> Effects:
    snapshot = state.configuration.snapshot
    if (
        snapshot is None
        or now < state.last_audit_repeat_at + AUDIT_REPEAT_SECONDS
    ):
        return []
    state.last_audit_repeat_at = now
    # An earlier `configuration` record lists the versions of this digest.
    record = state.audit_trail.record('held', snapshot_fields(snapshot))
    return [WriteAudit(record=record)]


def _on_store_read(state: State, event: StoreRead) -> Effects:
    received = dissemination.on_store_read(
        state.dissemination,
        event,
        state.holdings,
    )
    return merge(state, event.now, received)


def _on_store_watched(state: State, event: StoreWatched) -> Effects:
    received = dissemination.on_store_watched(
        state.dissemination,
        event,
        state.holdings,
    )
    return merge(state, event.now, received)


def _on_store_failed(state: State, event: StoreFailed) -> Effects:
    return dissemination.on_store_failed(
        state.dissemination,
        event,
        state.holdings,
    )


def _on_peer_connected(state: State, event: PeerConnected) -> Effects:
    state.membership.record_incarnation(event.peer, event.hello.incarnation)
    fields = (('peer', event.peer), ('incarnation', event.hello.incarnation))
    return [
        WriteLog(level=LogLevel.INFO, code='peer-back', fields=fields),
        *dissemination.on_peer_connected(
            state.dissemination,
            event,
            state.holdings,
            state.membership,
        ),
        *call_handlers.on_peer_connected(
            state.calls, make_call_context(state), event
        ),
    ]


def _on_peer_disconnected(state: State, event: PeerDisconnected) -> Effects:
    fields = (('reason', event.reason), ('peer', event.peer))
    was_linked = state.dissemination.links.is_linked(event.peer)
    code = PEER_LOST if was_linked else PEER_UNREACHABLE
    return [
        WriteLog(level=LogLevel.INFO, code=code, fields=fields),
        *dissemination.on_peer_disconnected(
            state.dissemination,
            event,
            state.holdings,
            state.membership,
        ),
        *call_handlers.on_peer_disconnected(
            state.calls, make_call_context(state), event
        ),
    ]


def _on_peer_message(state: State, event: PeerMessageReceived) -> Effects:
    return _MESSAGE_HANDLERS[type(event.message)](state, event)


def _on_synchronisation_message(
    state: State, event: PeerMessageReceived
) -> Effects:
    received = dissemination.on_message(
        state.dissemination,
        event,
        state.holdings,
        state.membership,
    )
    return merge(state, event.now, received)


def _on_summary(state: State, event: PeerMessageReceived) -> Effects:
    assert isinstance(event.message, Summary)
    effects = call_handlers.on_summary(
        state.calls,
        make_call_context(state),
        event,
        event.message,
    )
    effects.extend(_on_synchronisation_message(state, event))
    return effects


def _on_goodbye(state: State, event: PeerMessageReceived) -> Effects:
    message = event.message
    assert isinstance(message, Goodbye)
    state.membership.mark_leaving(event.peer, message.incarnation)
    effects = call_handlers.on_goodbye(
        state.calls,
        make_call_context(state),
        event,
        message,
    )
    effects.extend(_on_synchronisation_message(state, event))
    return effects


def _on_attempt(state: State, event: PeerMessageReceived) -> Effects:
    message = event.message
    assert isinstance(message, Attempt)
    return call_handlers.on_attempt(
        state.calls, make_call_context(state), event, message
    )


def _on_answer(state: State, event: PeerMessageReceived) -> Effects:
    message = event.message
    assert isinstance(message, Answer)
    return call_handlers.on_answer(
        state.calls, make_call_context(state), event, message
    )


def _on_cancel(state: State, event: PeerMessageReceived) -> Effects:
    message = event.message
    assert isinstance(message, Cancel)
    return call_handlers.on_cancel(
        state.calls, make_call_context(state), event, message
    )


def _on_cap_request(state: State, event: PeerMessageReceived) -> Effects:
    message = event.message
    assert isinstance(message, CapRequest)
    return cap_handlers.on_cap_request(
        state.calls, make_call_context(state), event, message
    )


def _on_cap_grant(state: State, event: PeerMessageReceived) -> Effects:
    message = event.message
    assert isinstance(message, CapGrant)
    return cap_handlers.on_cap_grant(
        state.calls, make_call_context(state), event, message
    )


def _on_attempt_body_read(state: State, event: AttemptBodyRead) -> Effects:
    return call_handlers.on_attempt_body_read(
        state.calls, make_call_context(state), event
    )


def _on_body_room_missing(state: State, event: BodyRoomMissing) -> Effects:
    return call_handlers.on_body_room_missing(
        state.calls, make_call_context(state), event
    )


def _on_call_arrived(state: State, event: CallArrived) -> Effects:
    return call_handlers.on_call_arrived(
        state.calls, make_call_context(state), event
    )


def _on_call_body_read(state: State, event: CallBodyRead) -> Effects:
    return call_handlers.on_call_body_read(
        state.calls, make_call_context(state), event
    )


def _on_call_cancelled(state: State, event: CallCancelled) -> Effects:
    return call_handlers.on_call_cancelled(
        state.calls, make_call_context(state), event
    )


def _on_key_requested(state: State, event: KeyRequested) -> Effects:
    return call_handlers.on_key_requested(
        state.calls, make_call_context(state), event
    )


def _on_upstream_answered(state: State, event: UpstreamAnswered) -> Effects:
    return _record_ramp_restart(
        state, event, call_handlers.on_upstream_answered
    )


def _on_upstream_failed(state: State, event: UpstreamFailed) -> Effects:
    return _record_ramp_restart(state, event, call_handlers.on_upstream_failed)


def _on_upstream_probed(state: State, event: UpstreamProbed) -> Effects:
    return _record_ramp_restart(state, event, call_handlers.on_upstream_probed)


def _record_ramp_restart(
    state: State,
    event: _UpstreamEvent,
    handle: Callable[[CallsState, CallContext, Any], Effects],
) -> Effects:
    """Handle an upstream event; audit a restart of the slow start.

    Peers hear that the upstream leaves before they get its answer.
    """
    upstream = state.calls.owner.upstream
    before = upstream.generation
    effects = _report_leaving(state, event)
    effects.extend(handle(state.calls, make_call_context(state), event))
    if upstream.generation != before:
        fields = {'cause': type(event).__name__, 'limit': upstream.limit}
        record = state.audit_trail.record('ramp_restarted', dict(fields))
        effects.append(WriteAudit(record=record))
    return effects


def _report_leaving(state: State, event: _UpstreamEvent) -> Effects:
    if not event.leaving_identity:
        return []
    return on_upstream_leaving(
        state.dissemination,
        event.now,
        event.leaving_identity,
        state.holdings,
        state.membership,
    )


def _on_stop_requested(state: State, event: StopRequested) -> Effects:
    state.is_stopping = True
    record = state.audit_trail.record('stopping', {})
    return [
        WriteAudit(record=record),
        *call_handlers.on_stop_requested(
            state.calls, make_call_context(state), event
        ),
    ]


def _on_suspect_clear_requested(
    state: State, event: SuspectClearRequested
) -> Effects:
    return call_handlers.on_suspect_clear_requested(
        state.calls, make_call_context(state), event
    )


def _on_settings_reloaded(state: State, event: SettingsReloaded) -> Effects:
    state.replace_rules(event.rules, event.drain_seconds)
    previous = state.identity.service
    if event.service in {'', previous}:
        return []
    state.replace_service(event.service)
    fields = (('service', event.service), ('previous', previous))
    return [
        WriteLog(level=LogLevel.WARNING, code='service-changed', fields=fields),
        WriteAudit(
            record=state.audit_trail.record('service_changed', dict(fields))
        ),
        *on_service_changed(state.calls, make_call_context(state), event.now),
    ]


_MESSAGE_HANDLERS: Final[dict[type[PeerMessage], _Handler]] = {
    Summary: _on_summary,
    Pull: _on_synchronisation_message,
    Entries: _on_synchronisation_message,
    Inventory: _on_synchronisation_message,
    InventoryReply: _on_synchronisation_message,
    Goodbye: _on_goodbye,
    Attempt: _on_attempt,
    Answer: _on_answer,
    Cancel: _on_cancel,
    CapRequest: _on_cap_request,
    CapGrant: _on_cap_grant,
}

_HANDLERS: Final[dict[type[Event], _Handler]] = {
    Started: _on_started,
    Tick: _on_tick,
    StoreRead: _on_store_read,
    StoreWatched: _on_store_watched,
    StoreFailed: _on_store_failed,
    PeerConnected: _on_peer_connected,
    PeerDisconnected: _on_peer_disconnected,
    PeerMessageReceived: _on_peer_message,
    AttemptBodyRead: _on_attempt_body_read,
    BodyRoomMissing: _on_body_room_missing,
    CallArrived: _on_call_arrived,
    CallBodyRead: _on_call_body_read,
    CallCancelled: _on_call_cancelled,
    KeyRequested: _on_key_requested,
    UpstreamAnswered: _on_upstream_answered,
    UpstreamFailed: _on_upstream_failed,
    UpstreamProbed: _on_upstream_probed,
    StopRequested: _on_stop_requested,
    SuspectClearRequested: _on_suspect_clear_requested,
    SettingsReloaded: _on_settings_reloaded,
}
