"""Event handlers that distribute configuration and instance records.

The reducer calls these handlers with each event, merges the entries of a
`ReceivedEntries` into the holdings, and reports the outcome to `on_merged`.
"""

from dataclasses import dataclass
from typing import Final, TypeAlias, final

from briartack.core.dissemination.announcer import (
    SUMMARY_REPLY_INTERVAL_SECONDS,
)
from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.peer_sync import (
    answer_inventory,
    answer_inventory_reply,
    answer_pull,
)
from briartack.core.dissemination.periodic_work import (
    has_announced_same_entries,
    run_periodic_work,
    synchronise,
)
from briartack.core.dissemination.store_reads import ALL_KEYS_PREFIX
from briartack.core.dissemination.upstream_notices import (
    record_leaving_upstream,
)
from briartack.core.effects import Effects, SendMessage
from briartack.core.entries import INSTANCE_PREFIX, PLATFORM_KEY, Entry
from briartack.core.events import (
    PeerConnected,
    PeerDisconnected,
    PeerMessageReceived,
    Started,
    StoreFailed,
    StoreRead,
    StoreWatched,
    Tick,
)
from briartack.core.messages import (
    Entries,
    Goodbye,
    Inventory,
    InventoryReply,
    Pull,
    Summary,
    request_entries_after,
)
from briartack.core.units import InstanceId, Revision

EntrySource: TypeAlias = InstanceId | None  # `None`: the store
STORE_SOURCE: Final = 'store'
# Slightly less than the 0.1 s between two regular ticks of the shell, so that
# each regular tick runs the periodic work.
PERIODIC_WORK_INTERVAL_SECONDS: Final = 0.08


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedEntries:
    """Hold entries to merge into the holdings, and the handler's effects.

    If `full_read_prefix` is set, `entries` are all usable entries under that
    prefix, so held keys under the prefix that are neither here nor in
    `unusable_keys` were deleted.
    """

    entries: tuple[Entry, ...] = ()
    full_read_prefix: str | None = None
    unusable_keys: tuple[str, ...] = ()
    revision: Revision
    source: EntrySource
    effects: Effects


def is_confirmed(state: DisseminationState) -> bool:
    """Return whether new calls may rely on the held entries."""
    return state.confirmation.is_confirmed


def is_after_pause(state: DisseminationState, now: float) -> bool:
    """Return whether the process was paused since the last observed event."""
    return state.confirmation.is_after_pause(now)


def detect_pause(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
) -> Effects:
    """Record the time of an event; after a pause, request confirmation."""
    if not state.confirmation.detect_pause(now):
        return []
    state.confirmation.expect_stale_answers(state.sync.pulled_peers)
    state.sync.resume()
    state.links.resume(now)
    state.tree.resume(now)
    effects = state.store.resume()
    # Summaries that arrive now may date from before the pause. Only the answer
    # to a pull that is sent now tells which entries are in force.
    pull = request_entries_after(holdings.highest_revisions)
    effects.extend(
        SendMessage(peer=parent, message=pull) for parent in state.links.parents
    )
    return effects


def on_started(state: DisseminationState, event: Started) -> Effects:
    """Schedule the first read of the store."""
    state.confirmation.detect_pause(event.now)
    state.started_at = event.now
    state.store.start(event.now)
    return []


def on_tick(
    state: DisseminationState,
    event: Tick,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Run the periodic work if its interval has passed.

    Ticks also occur between the regular ones, as wake-ups for single calls;
    these run no periodic work.
    """
    effects = detect_pause(state, event.now, holdings)
    if event.now >= state.next_work_at:
        state.next_work_at = event.now + PERIODIC_WORK_INTERVAL_SECONDS
        effects.extend(
            run_periodic_work(state, event.now, holdings, membership)
        )
    return effects


def on_store_read(
    state: DisseminationState,
    event: StoreRead,
    holdings: Holdings,
) -> ReceivedEntries:
    """Handle the answer to a read of the store.

    Missing keys count as deleted, unless the answer is older than an answer
    seen before, or the store was restored a moment ago.
    """
    effects = detect_pause(state, event.now, holdings)
    event, era_effects = state.store.place_answer(event, holdings)
    effects.extend(era_effects)
    may_infer_deletions = state.store.may_infer_deletions(event)
    effects.extend(state.store.on_read(event))
    _confirm_if_caught_up(state)
    if event.prefix in {ALL_KEYS_PREFIX, INSTANCE_PREFIX}:
        state.tree.record_list_read()
    effects.extend(
        state.store.start_due_calls(event.now, needs_full_read=False)
    )
    # The read of one key only tells the revision of the store. Its entries
    # would raise the highest revision above changes that the watch has yet to
    # return, and peers would not ask for those.
    is_list = event.prefix != PLATFORM_KEY
    return ReceivedEntries(
        entries=event.entries if is_list else (),
        full_read_prefix=(
            event.prefix if is_list and may_infer_deletions else None
        ),
        unusable_keys=event.unusable_keys,
        revision=event.revision,
        source=None,
        effects=effects,
    )


def on_store_watched(
    state: DisseminationState,
    event: StoreWatched,
    holdings: Holdings,
) -> ReceivedEntries:
    """Handle the answer to a watch and start the next watch."""
    effects = detect_pause(state, event.now, holdings)
    event, era_effects = state.store.place_answer(event, holdings)
    effects.extend(era_effects)
    effects.extend(state.store.on_watched(event))
    _confirm_if_caught_up(state)
    effects.extend(
        state.store.start_due_calls(event.now, needs_full_read=False)
    )
    return ReceivedEntries(
        entries=event.entries,
        revision=event.revision,
        source=None,
        effects=effects,
    )


def on_store_failed(
    state: DisseminationState,
    event: StoreFailed,
    holdings: Holdings,
) -> Effects:
    """Handle a failed call to the store: delay the next call."""
    effects = detect_pause(state, event.now, holdings)
    effects.extend(state.store.on_failed(event))
    return effects


def on_peer_connected(
    state: DisseminationState,
    event: PeerConnected,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Register a new stream and send the peer a first summary."""
    effects = detect_pause(state, event.now, holdings)
    state.sync.remove_peer(event.peer)
    state.tree.record_contact(event.now, event.peer)
    state.links.add_stream(event.peer, event.hello)
    # Every peer gets a summary, not only the neighbours in the tree: a peer
    # that has just started may know no other daemon, and the daemons that dial
    # it need not be its neighbours.
    effects.extend(
        state.announcer.send_summaries(
            event.now,
            (event.peer,),
            holdings,
            sync_sources=state.links.sync_sources,
        ),
    )
    effects.extend(run_periodic_work(state, event.now, holdings, membership))
    return effects


def on_peer_disconnected(
    state: DisseminationState,
    event: PeerDisconnected,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Remove a stream, and pull from another peer if one is ahead."""
    effects = detect_pause(state, event.now, holdings)
    state.links.remove_stream(event.now, event.peer)
    state.sync.remove_peer(event.peer)
    state.announcer.remove_peer(event.peer)
    effects.extend(run_periodic_work(state, event.now, holdings, membership))
    return effects


def on_message(
    state: DisseminationState,
    event: PeerMessageReceived,
    holdings: Holdings,
    membership: MembershipState,
) -> ReceivedEntries:
    """Handle a message; only `Entries` results in entries to merge."""
    effects = detect_pause(state, event.now, holdings)
    state.tree.record_contact(event.now, event.peer)
    message = event.message
    if isinstance(message, Entries):
        return _handle_entries(state, event, message, effects)
    effects.extend(record_leaving_upstream(event, membership))
    effects.extend(_handle_message(state, event, holdings))
    _check_parents_of_child(state, event, membership)
    effects.extend(run_periodic_work(state, event.now, holdings, membership))
    return ReceivedEntries(
        revision=holdings.highest,
        source=event.peer,
        effects=effects,
    )


def on_merged(
    state: DisseminationState,
    now: float,
    *,
    changed: bool,
    holdings: Holdings,
    source: EntrySource,
) -> Effects:
    """Announce changes to peers that may lack them; pull newer entries."""
    effects: Effects = []
    if changed:
        recipients = state.links.local_neighbours
        if state.store.rules.is_duty_by_distance:
            recipients = (*recipients, *state.links.remote_neighbours)
        outdated = [
            peer
            for peer in recipients
            if peer != source
            and not has_announced_same_entries(state, peer, holdings)
        ]
        effects.extend(
            state.announcer.report_announcement(
                outdated, holdings, source or STORE_SOURCE
            ),
        )
        effects.extend(
            state.announcer.send_summaries(
                now,
                outdated,
                holdings,
                sync_sources=state.links.sync_sources,
            ),
        )
    effects.extend(synchronise(state, now, holdings))
    return effects


def _handle_entries(
    state: DisseminationState,
    event: PeerMessageReceived,
    message: Entries,
    effects: Effects,
) -> ReceivedEntries:
    state.sync.on_entries(event.now, event.peer, message)
    if event.peer in state.links.parents:
        state.confirmation.confirm_by_parent(event.peer)
    return ReceivedEntries(
        entries=message.entries,
        revision=message.highest,
        source=event.peer,
        effects=effects,
    )


def _handle_message(
    state: DisseminationState,
    event: PeerMessageReceived,
    holdings: Holdings,
) -> Effects:
    message = event.message
    if isinstance(message, Summary):
        return _handle_summary(state, event, message, holdings)
    if isinstance(message, Pull):
        return answer_pull(event.peer, message, holdings)
    if isinstance(message, Inventory):
        return answer_inventory(event.peer, message, holdings)
    if isinstance(message, InventoryReply):
        return answer_inventory_reply(event.peer, message, holdings)
    if isinstance(message, Goodbye):
        state.links.remove_subscriber(event.peer)
        state.sync.remove_peer(event.peer)
    return []


def _confirm_if_caught_up(state: DisseminationState) -> None:
    if state.store.is_caught_up:
        state.confirmation.confirm_by_store()


def _handle_summary(
    state: DisseminationState,
    event: PeerMessageReceived,
    summary: Summary,
    holdings: Holdings,
) -> Effects:
    state.sync.on_summary(
        event.now,
        event.peer,
        summary,
        is_remote=state.links.is_remote(event.peer),
    )
    state.store.outages.record_told(event.now, summary.store_away_seconds_ago)
    if not summary.wants_answers:
        return []
    if not state.links.renew_subscriber(event.now, event.peer):
        return []
    return state.announcer.send_summaries(
        event.now,
        (event.peer,),
        holdings,
        sync_sources=state.links.sync_sources,
        min_interval_seconds=SUMMARY_REPLY_INTERVAL_SECONDS,
    )


def _check_parents_of_child(
    state: DisseminationState,
    event: PeerMessageReceived,
    membership: MembershipState,
) -> None:
    message = event.message
    child = membership.get(event.peer)
    if child and isinstance(message, Summary) and message.wants_answers:
        state.tree.check_parents_of(event.now, child)
