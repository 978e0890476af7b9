"""Who watches the store: the first root of a region, or the nearest roots.

Any number of watchers is safe, since versions only grow. Two at the region
nearest to the store bring each change although one of them was just lost; the
roots of other regions take over once none of them is heard any more.
"""

from typing import Final

from briartack.core.dissemination.dissemination_state import DisseminationState

# Two heartbeats may be late; a change has to be in force 2 s after it.
DUTY_SILENCE_SECONDS: Final = 1.0
# Answer times within this of each other tell no two regions apart.
NEARER_SECONDS: Final = 0.005


def is_on_duty(state: DisseminationState, now: float) -> bool:
    """Tell whether this daemon is to watch the store."""
    if not state.store.rules.is_duty_by_distance:
        return state.tree.is_watcher(now)
    if state.tree.is_watcher(now):
        return not _is_watched_nearer(state, now)
    if not state.tree.place.is_second_root:
        return False
    return not _is_watched_elsewhere(state, now)


def _is_watched_nearer(state: DisseminationState, now: float) -> bool:
    own = state.store.contact.distance_seconds
    return any(
        own is None or distance + NEARER_SECONDS < own
        for distance in _watching(state, now)
    )


def _is_watched_elsewhere(state: DisseminationState, now: float) -> bool:
    """Tell whether another region is as near; one watcher each is enough."""
    own = state.store.contact.distance_seconds
    return any(
        own is None or distance < own + NEARER_SECONDS
        for distance in _watching(state, now)
    )


def _watching(state: DisseminationState, now: float) -> list[float]:
    """List the distances of other regions' daemons that watch the store."""
    return [
        summary.store_seconds
        for summary in state.sync.heard_since(now - DUTY_SILENCE_SECONDS)
        if summary.watches_store and summary.store_seconds is not None
    ]
