"""What each event and tick makes due, in the order of its decisions."""

from briartack.core.dissemination.announcer import (
    CHECK_QUESTION_SECONDS,
    HEARTBEAT_SECONDS,
    QUESTION_SECONDS,
    REMOTE_HEARTBEAT_SECONDS,
)
from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.peer_views import is_same
from briartack.core.effects import Effects, SendMessage
from briartack.core.messages import Pull
from briartack.core.units import InstanceId


def work(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Keep the place, the streams, the store calls and the entries up."""
    state.tree.follow(now, membership)
    effects = state.tree.suspect(now)
    state.tree.follow(now, membership)
    effects.extend(state.links.due(now, membership))
    is_watcher = state.tree.is_watcher(now)
    effects.extend(state.store.set_duty(is_on_duty=is_watcher))
    needs_tree = state.needs_tree(now, holdings)
    effects.extend(state.store.due(now, needs_tree=needs_tree))
    effects.extend(synchronise(state, now, holdings))
    effects.extend(_heartbeats(state, now, holdings))
    effects.extend(_questions(state, now, holdings))
    return effects


def synchronise(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
) -> Effects:
    """Pull what peers are ahead with and look for gaps."""
    return state.sync.due(
        now,
        holdings,
        starts_inventories_with=state.starts_inventories_with,
    )


def _heartbeats(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
) -> Effects:
    groups = (
        (state.links.local, HEARTBEAT_SECONDS),
        (state.links.remote, REMOTE_HEARTBEAT_SECONDS),
    )
    effects: Effects = []
    for peers, pause_seconds in groups:
        effects.extend(
            state.announcer.send(
                now,
                peers,
                holdings,
                upward=state.links.upward,
                pause_seconds=pause_seconds,
            ),
        )
    return effects


def _questions(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
) -> Effects:
    """Ask linked peers that may be frozen; the others are dialled.

    A pull is always answered and, unlike a summary, makes no subscription.
    """
    groups = (
        (sorted(state.tree.suspects), QUESTION_SECONDS),
        (state.tree.checked, CHECK_QUESTION_SECONDS),
    )
    asked: list[InstanceId] = []
    for peers, pause_seconds in groups:
        linked = filter(state.links.is_linked, peers)
        asked.extend(state.announcer.questions(now, linked, pause_seconds))
    pull = Pull(after=holdings.highest)
    return [SendMessage(peer=peer, message=pull) for peer in asked]


def holds_same(
    state: DisseminationState,
    peer: InstanceId,
    holdings: Holdings,
) -> bool:
    """Tell whether a peer has announced the same entries."""
    summary = state.sync.summary_of(peer)
    return summary is not None and is_same(summary, holdings)
