"""How configuration and the list of instances reach every daemon.

The reducer calls these functions with each event, merges what a `Received`
carries into the holdings, and reports the outcome with `on_merged`.
"""

from dataclasses import dataclass
from typing import Final, TypeAlias, final

from briartack.core.dissemination.announcer import FIRST_SUMMARY_SECONDS
from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.peer_sync import (
    answer_inventory,
    answer_pull,
    answer_reply,
)
from briartack.core.dissemination.periodic_work import (
    holds_same,
    synchronise,
    work,
)
from briartack.core.dissemination.store_reads import WHOLE_TREE
from briartack.core.effects import Effects, SendMessage
from briartack.core.entries import INSTANCE_PREFIX, Entry
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
)
from briartack.core.units import InstanceId, Revision

Source: TypeAlias = InstanceId | None  # None is the store
# A little less than the time between two regular ticks of the shell, 0.1 s.
WORK_SECONDS: Final = 0.08


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """Carry entries to merge; a full read of a prefix implies deletions."""

    entries: tuple[Entry, ...] = ()
    full_read_prefix: str | None = None
    revision: Revision
    source: Source
    effects: Effects


def is_confirmed(state: DisseminationState) -> bool:
    """Tell whether new calls may rely on what is held."""
    return state.confirmation.is_given


def is_after_pause(state: DisseminationState, now: float) -> bool:
    """Tell whether the process was paused since the last observed event."""
    return state.confirmation.is_after_pause(now)


def observe(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
) -> Effects:
    """Note the time of any event; after a pause, ask for confirmation."""
    if not state.confirmation.observe(now):
        return []
    state.confirmation.expect_late_answer(state.sync.pulled_from)
    state.sync.resume()
    state.links.resume(now)
    state.tree.resume(now)
    effects = state.store.resume()
    # Summaries that arrive now may have waited during the pause; only an
    # answer to a question that is asked now tells what is in force.
    pull = Pull(after=holdings.highest)
    effects.extend(
        SendMessage(peer=parent, message=pull) for parent in state.links.parents
    )
    return effects


def on_started(state: DisseminationState, event: Started) -> Effects:
    """Plan the first read."""
    state.confirmation.observe(event.now)
    state.started_at = event.now
    state.store.start(event.now)
    return []


def on_tick(
    state: DisseminationState,
    event: Tick,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Do everything that time makes due.

    Wake-ups for single calls come between the regular ticks.
    """
    effects = observe(state, event.now, holdings)
    if event.now >= state.next_work_at:
        state.next_work_at = event.now + WORK_SECONDS
        effects.extend(work(state, event.now, holdings, membership))
    return effects


def on_store_read(
    state: DisseminationState,
    event: StoreRead,
    holdings: Holdings,
) -> Received:
    """Take the answer to a read; an old one implies no deletions."""
    effects = observe(state, event.now, holdings)
    is_old = state.store.is_behind_seen(event.revision)
    effects.extend(state.store.on_read(event))
    _confirm_by_store(state)
    if event.prefix in {WHOLE_TREE, INSTANCE_PREFIX}:
        state.tree.note_list()
    effects.extend(state.store.due(event.now, needs_tree=False))
    return Received(
        entries=event.entries,
        full_read_prefix=None if is_old else event.prefix,
        revision=event.revision,
        source=None,
        effects=effects,
    )


def on_store_watched(
    state: DisseminationState,
    event: StoreWatched,
    holdings: Holdings,
) -> Received:
    """Take the answer to a watch and begin the next one."""
    effects = observe(state, event.now, holdings)
    effects.extend(state.store.on_watched(event))
    _confirm_by_store(state)
    effects.extend(state.store.due(event.now, needs_tree=False))
    return Received(
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
    """Delay the next call to the store."""
    effects = observe(state, event.now, holdings)
    effects.extend(state.store.on_failed(event))
    return effects


def on_peer_connected(
    state: DisseminationState,
    event: PeerConnected,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Greet a peer with a summary of what is held."""
    effects = observe(state, event.now, holdings)
    state.sync.forget(event.peer)
    state.tree.note_contact(event.now, event.peer)
    state.links.connect(event.peer, event.hello)
    # Every peer is greeted: one that has just started may know nobody, and
    # who dials it need not be a neighbour of it in the tree.
    effects.extend(
        state.announcer.send(
            event.now,
            (event.peer,),
            holdings,
            upward=state.links.upward,
        ),
    )
    effects.extend(work(state, event.now, holdings, membership))
    return effects


def on_peer_disconnected(
    state: DisseminationState,
    event: PeerDisconnected,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Go on without a stream, with another peer if one is ahead."""
    effects = observe(state, event.now, holdings)
    state.links.disconnect(event.now, event.peer)
    state.sync.forget(event.peer)
    state.announcer.forget(event.peer)
    effects.extend(work(state, event.now, holdings, membership))
    return effects


def on_message(
    state: DisseminationState,
    event: PeerMessageReceived,
    holdings: Holdings,
    membership: MembershipState,
) -> Received:
    """Answer a message; only `Entries` brings something to merge."""
    effects = observe(state, event.now, holdings)
    state.tree.note_contact(event.now, event.peer)
    message = event.message
    if isinstance(message, Entries):
        return _take_entries(state, event, message, effects)
    effects.extend(_answer(state, event, holdings))
    _check_parents_of_child(state, event, membership)
    effects.extend(work(state, event.now, holdings, membership))
    return Received(
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
    source: Source,
) -> Effects:
    """Announce a change to those who may lack it, and pull on."""
    effects: Effects = []
    if changed:
        told = state.links.local
        if state.store.rules.is_duty_by_distance:
            told = (*told, *state.links.remote)
        unaware = [
            peer
            for peer in told
            if peer != source and not holds_same(state, peer, holdings)
        ]
        effects.extend(
            state.announcer.send(
                now,
                unaware,
                holdings,
                upward=state.links.upward,
            ),
        )
    effects.extend(synchronise(state, now, holdings))
    return effects


def _take_entries(
    state: DisseminationState,
    event: PeerMessageReceived,
    message: Entries,
    effects: Effects,
) -> Received:
    state.sync.on_entries(event.now, event.peer, message)
    if event.peer in state.links.parents:
        state.confirmation.on_parent_answered(event.peer)
    return Received(
        entries=message.entries,
        revision=message.highest,
        source=event.peer,
        effects=effects,
    )


def _answer(
    state: DisseminationState,
    event: PeerMessageReceived,
    holdings: Holdings,
) -> Effects:
    message = event.message
    if isinstance(message, Summary):
        return _take_summary(state, event, message, holdings)
    if isinstance(message, Pull):
        return answer_pull(event.peer, message, holdings)
    if isinstance(message, Inventory):
        return answer_inventory(event.peer, message, holdings)
    if isinstance(message, InventoryReply):
        return answer_reply(event.peer, message, holdings)
    if isinstance(message, Goodbye):
        state.links.unsubscribe(event.peer)
        state.sync.forget(event.peer)
    return []


def _confirm_by_store(state: DisseminationState) -> None:
    if state.store.is_caught_up:
        state.confirmation.on_store_answered()


def _take_summary(
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
    if not summary.wants_answers:
        return []
    if not state.links.subscribe(event.now, event.peer):
        return []
    return state.announcer.send(
        event.now,
        (event.peer,),
        holdings,
        upward=state.links.upward,
        pause_seconds=FIRST_SUMMARY_SECONDS,
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
