"""Periodic work of dissemination, from the tree position to heartbeats."""

from typing import Final

from briartack.core.dissemination.announcer import (
    CHECK_PROBE_INTERVAL_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    REMOTE_HEARTBEAT_INTERVAL_SECONDS,
    SUSPECT_PROBE_INTERVAL_SECONDS,
    WATCHER_HEARTBEAT_INTERVAL_SECONDS,
)
from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.peer_sync import REMOTE_PULL_DELAY_SECONDS
from briartack.core.dissemination.peer_views import has_same_entries
from briartack.core.dissemination.store_duty import (
    find_watcher,
    is_on_duty,
    record_unwatched,
)
from briartack.core.effects import (
    Effects,
    LogLevel,
    SendMessage,
    WriteLog,
)
from briartack.core.messages import request_entries_after
from briartack.core.units import InstanceId, format_revision

# The first root of this region usually has a change after this time.
DUTY_REMOTE_PULL_DELAY_SECONDS: Final = 0.3
BELOW_ROOTS_OVERDUE_SECONDS: Final = 0.3
CONFIGURATION_OVERDUE: Final = 'configuration-overdue'


def run_periodic_work(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Run all work that is due.

    The order matters: the position in the tree decides which streams are
    needed and whether this daemon watches the store.
    """
    state.tree.update(now, membership)
    effects = state.tree.suspect_silent_peers(now)
    state.tree.update(now, membership)
    effects.extend(state.links.dial_missing_peers(now, membership))
    effects.extend(_update_duty(state, now, holdings))
    needs_full_read = state.needs_full_read(now, holdings)
    effects.extend(
        state.store.start_due_calls(now, needs_full_read=needs_full_read)
    )
    effects.extend(synchronise(state, now, holdings))
    has_changed = state.announcer.set_store_status(
        watches=state.store.is_watch_healthy,
        watcher=find_watcher(state, now),
        min_answer_seconds=state.store.reachability.min_answer_seconds,
    )
    effects.extend(_send_heartbeats(state, now, holdings, is_due=has_changed))
    effects.extend(_probe_silent_peers(state, now, holdings))
    return effects


def _update_duty(
    state: DisseminationState, now: float, holdings: Holdings
) -> Effects:
    record_unwatched(state, now)
    effects = state.store.set_duty(is_on_duty=is_on_duty(state, now))
    if _is_overdue(state, now, holdings):
        state.store.is_read_requested = True
        effects.append(_report_overdue(holdings))
    return effects


def _is_overdue(
    state: DisseminationState, now: float, holdings: Holdings
) -> bool:
    """Return whether to read what peers announce and do not deliver.

    Daemons below the roots wait longer, as the read of a root may serve them.
    """
    if not holdings.has_snapshot:
        return False
    delay_seconds = state.store.rules.overdue_seconds
    if not state.tree.neighbours.is_root:
        delay_seconds += BELOW_ROOTS_OVERDUE_SECONDS
    return state.sync.overdue.take_overdue(now, delay_seconds)


def _report_overdue(holdings: Holdings) -> WriteLog:
    held = holdings.highest_revisions.configuration
    fields = (('configuration', format_revision(held)),)
    return WriteLog(
        level=LogLevel.WARNING, code=CONFIGURATION_OVERDUE, fields=fields
    )


def synchronise(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
) -> Effects:
    """Pull from peers that are ahead and send inventories to find gaps."""
    return state.sync.send_due_requests(
        now,
        holdings,
        starts_inventories_with=state.starts_inventories_with,
        remote_delay_seconds=_select_remote_delay(state),
    )


def _select_remote_delay(state: DisseminationState) -> float:
    """Return the delay before a pull from another region.

    During the delay the roots of this region may deliver the change. If
    another region watches the store, the first root pulls changes from that
    region at once, and all other daemons wait for the first root.
    """
    if not state.store.rules.is_duty_by_distance:
        return REMOTE_PULL_DELAY_SECONDS
    is_first = state.tree.neighbours.is_first_root
    if is_first and not state.store.is_on_duty:
        return 0
    return DUTY_REMOTE_PULL_DELAY_SECONDS


def _send_heartbeats(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
    *,
    is_due: bool,
) -> Effects:
    local_seconds = HEARTBEAT_INTERVAL_SECONDS
    remote_seconds = REMOTE_HEARTBEAT_INTERVAL_SECONDS
    if state.store.rules.is_duty_by_distance and is_due:
        local_seconds = 0
        remote_seconds = 0
    elif state.store.rules.is_duty_by_distance and state.store.is_watch_healthy:
        remote_seconds = WATCHER_HEARTBEAT_INTERVAL_SECONDS
    groups = (
        (state.links.local_neighbours, local_seconds),
        (state.links.remote_neighbours, remote_seconds),
    )
    effects: Effects = []
    for peers, min_interval_seconds in groups:
        effects.extend(
            state.announcer.send_summaries(
                now,
                peers,
                holdings,
                sync_sources=state.links.sync_sources,
                min_interval_seconds=min_interval_seconds,
            ),
        )
    return effects


def _probe_silent_peers(
    state: DisseminationState,
    now: float,
    holdings: Holdings,
) -> Effects:
    """Probe connected peers that may be frozen.

    Silent peers without a stream are dialled instead (see `links`). The probe
    is a pull, because a pull is always answered and, unlike a summary, starts
    no subscription.
    """
    groups = (
        (sorted(state.tree.suspects), SUSPECT_PROBE_INTERVAL_SECONDS),
        (state.tree.checked_peers, CHECK_PROBE_INTERVAL_SECONDS),
    )
    asked: list[InstanceId] = []
    for peers, min_interval_seconds in groups:
        linked = filter(state.links.is_linked, peers)
        asked.extend(
            state.announcer.select_due_probes(now, linked, min_interval_seconds)
        )
    pull = request_entries_after(holdings.highest_revisions)
    return [SendMessage(peer=peer, message=pull) for peer in asked]


def has_announced_same_entries(
    state: DisseminationState,
    peer: InstanceId,
    holdings: Holdings,
) -> bool:
    """Return whether a peer has announced the same entries."""
    summary = state.sync.summary_of(peer)
    return summary is not None and has_same_entries(summary, holdings)
