"""Choice of the daemons that watch the store (daemons on duty).

By default the first root of each region watches the store. With duty by
distance, both roots of the region nearest to the store do, so that each change
arrives even if one of the two has just failed; the roots of other regions take
over when they no longer hear either of the two. If no root knows a watcher, the
daemons below the roots take over. Any number of watchers is safe, because
versions only grow.
"""

from typing import Final

from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.units import NO_INSTANCE, InstanceId

# Tolerates two late heartbeats, and leaves time to take over the watch, since a
# change must be in force 2 s after it was made.
WATCHER_SILENCE_SECONDS: Final = 1.0
# Neighbours in this region send a heartbeat each second. What a neighbour has
# said of a watcher counts for this time after it has fallen silent.
NEIGHBOUR_SILENCE_SECONDS: Final = 1.2
# The roots of other regions take over within this time, and their watch is
# known here.
UNWATCHED_SECONDS: Final = 0.4
# Regions whose answer times differ by less count as equally near.
DISTANCE_TOLERANCE_SECONDS: Final = 0.005


def is_on_duty(state: DisseminationState, now: float) -> bool:
    """Return whether this daemon should watch the store."""
    if not state.store.rules.is_duty_by_distance:
        return state.tree.is_watcher(now)
    if state.tree.is_watcher(now):
        return not _is_watched_nearer(state, now)
    neighbours = state.tree.neighbours
    if neighbours.is_second_root:
        return not _is_watched_as_near(state, now)
    return _is_unwatched(state, now)


def find_watcher(state: DisseminationState, now: float) -> InstanceId:
    """Return a daemon that watches the store, if this daemon knows one.

    A child comes last, so that one that has taken over hears of any other.
    """
    if state.store.is_watch_healthy:
        return state.identity.instance
    watchers = state.sync.list_watchers(
        local_since=now - NEIGHBOUR_SILENCE_SECONDS,
        remote_since=now - WATCHER_SILENCE_SECONDS,
    )
    if not watchers:
        return NO_INSTANCE
    children = {child.instance for child in state.tree.neighbours.children}
    return min(watchers, key=lambda peer: (peer in children, peer))


def record_unwatched(state: DisseminationState, now: float) -> None:
    """Record since when no parent has known a watcher but this daemon."""
    if not state.tree.neighbours.is_below_roots:
        state.unwatched_since = None
        return
    summaries = (
        state.sync.recent_summary(parent, now - NEIGHBOUR_SILENCE_SECONDS)
        for parent in state.links.parents
    )
    told = {summary.watcher for summary in summaries if summary is not None}
    if not told or told.difference((NO_INSTANCE, state.identity.instance)):
        state.unwatched_since = None
    elif state.unwatched_since is None:
        state.unwatched_since = now


def _is_unwatched(state: DisseminationState, now: float) -> bool:
    since = state.unwatched_since
    return since is not None and now - since >= UNWATCHED_SECONDS


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
