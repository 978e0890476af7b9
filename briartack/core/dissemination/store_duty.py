"""Choice of the daemons that watch the store (daemons on duty).

By default the first root of each region watches the store. With duty by
distance, both roots of the region nearest to the store do, so that each change
arrives even if one of the two has just failed; the roots of other regions take
over when they no longer hear either of the two. Any number of watchers is safe,
because versions only grow.
"""

from typing import Final

from briartack.core.dissemination.dissemination_state import DisseminationState

# Tolerates two late heartbeats, and leaves time to take over the watch, since a
# change must be in force 2 s after it was made.
WATCHER_SILENCE_SECONDS: Final = 1.0
# Regions whose answer times differ by less count as equally near.
DISTANCE_TOLERANCE_SECONDS: Final = 0.005


def is_on_duty(state: DisseminationState, now: float) -> bool:
    """Return whether this daemon should watch the store."""
    if not state.store.rules.is_duty_by_distance:
        return state.tree.is_watcher(now)
    if state.tree.is_watcher(now):
        return not _is_watched_nearer(state, now)
    if not state.tree.neighbours.is_second_root:
        return False
    return not _is_watched_as_near(state, now)


def _is_watched_nearer(state: DisseminationState, now: float) -> bool:
    own = state.store.reachability.min_answer_seconds
    return any(
        own is None or distance + DISTANCE_TOLERANCE_SECONDS < own
        for distance in _remote_watcher_distances(state, now)
    )


def _is_watched_as_near(state: DisseminationState, now: float) -> bool:
    """Return whether another region that watches is nearer or as near.

    The second root does not watch then: if two regions are equally near, one
    watcher in each is enough.
    """
    own = state.store.reachability.min_answer_seconds
    return any(
        own is None or distance < own + DISTANCE_TOLERANCE_SECONDS
        for distance in _remote_watcher_distances(state, now)
    )


def _remote_watcher_distances(
    state: DisseminationState, now: float
) -> list[float]:
    """Return the distances to the store of watchers in other regions."""
    return [
        summary.store_latency_seconds
        for summary in state.sync.remote_summaries_since(
            now - WATCHER_SILENCE_SECONDS
        )
        if summary.watches_store and summary.store_latency_seconds is not None
    ]
