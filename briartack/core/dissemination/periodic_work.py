"""What each event and tick makes due, in the order of its decisions."""

from typing import Final

from briartack.core.dissemination.announcer import (
    CHECK_QUESTION_SECONDS,
    DUTY_HEARTBEAT_SECONDS,
    HEARTBEAT_SECONDS,
    QUESTION_SECONDS,
    REMOTE_HEARTBEAT_SECONDS,
)
from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.peer_sync import REMOTE_PULL_DELAY_SECONDS
from briartack.core.dissemination.peer_views import is_same
from briartack.core.dissemination.store_duty import is_on_duty
from briartack.core.effects import Effects, SendMessage
from briartack.core.messages import Pull
from briartack.core.units import InstanceId

# The first root of the region has usually fetched a change by then.
DUTY_PULL_DELAY_SECONDS: Final = 0.3


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
    effects.extend(state.store.set_duty(is_on_duty=is_on_duty(state, now)))
    needs_tree = state.needs_tree(now, holdings)
    effects.extend(state.store.due(now, needs_tree=needs_tree))
    effects.extend(synchronise(state, now, holdings))
    has_changed = state.announcer.note_store(
        watches=state.store.watches_well,
        distance_seconds=state.store.contact.distance_seconds,
    )
    effects.extend(_heartbeats(state, now, holdings, is_due=has_changed))
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
        remote_delay_seconds=_remote_delay_seconds(state),
    )


def _remote_delay_seconds(state: DisseminationState) -> float:
    """Return how long the own region's watchers are waited for.

    Where another region watches, the first root fetches changes from there
    at once, and the others wait for it.
    """
    if not state.store.rules.is_duty_by_distance:
        return REMOTE_PULL_DELAY_SECONDS
    is_first = state.tree.place.is_first_root
    if is_first and not state.store.is_on_duty:
        return 0
    return DUTY_PULL_DELAY_SECONDS


def _heartbeats(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
    *,
    is_due: bool,
) -> Effects:
    remote_seconds = REMOTE_HEARTBEAT_SECONDS
    if state.store.rules.is_duty_by_distance and is_due:
        remote_seconds = 0
    elif state.store.rules.is_duty_by_distance and state.store.watches_well:
        remote_seconds = DUTY_HEARTBEAT_SECONDS
    groups = (
        (state.links.local, HEARTBEAT_SECONDS),
        (state.links.remote, remote_seconds),
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
