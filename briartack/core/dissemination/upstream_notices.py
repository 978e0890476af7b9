"""News of upstreams between daemons: of those that leave, and of crashes.

Summaries carry the news.
"""

from collections.abc import Iterable

from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.leaving_upstreams import UpstreamStart
from briartack.core.dissemination.membership import MembershipState
from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.events import PeerMessageReceived
from briartack.core.messages import CrashEvidence, Summary
from briartack.core.units import InstanceId


def on_upstream_leaving(
    state: DisseminationState,
    now: float,
    record_id: str,
    holdings: Holdings,
    membership: MembershipState,
) -> Effects:
    """Tell all connected peers that the local upstream says that it leaves.

    The store may say so later, or never.
    """
    start = membership.mark_upstream_leaving(UpstreamStart(record_id))
    if start is None:
        return []
    state.announcer.announce_leaving(start)
    effects: Effects = [_build_leaving_line(record_id, state.identity.instance)]
    effects.extend(
        state.announcer.send_summaries(
            now,
            state.links.connected_peers,
            holdings,
            sync_sources=state.links.sync_sources,
        ),
    )
    return effects


def record_leaving_upstream(
    event: PeerMessageReceived, membership: MembershipState
) -> Effects:
    """Remember the leaving upstream that the summary of a peer names."""
    message = event.message
    if not isinstance(message, Summary) or not message.leaving_upstream:
        return []
    start = UpstreamStart(
        message.leaving_upstream, message.leaving_upstream_started_ms
    )
    if membership.mark_upstream_leaving(start) is None:
        return []
    return [_build_leaving_line(start.record_id, event.peer)]


def announce_crash_evidence(
    state: DisseminationState,
    now: float,
    changes: tuple[CrashEvidence, ...],
    peers: Iterable[InstanceId],
    holdings: Holdings,
) -> Effects:
    """Send changed evidence to peers at once, if there is any."""
    if not changes:
        return []
    state.announcer.announce_crashes(changes)
    return state.announcer.send_summaries(
        now, peers, holdings, sync_sources=state.links.sync_sources
    )


def _build_leaving_line(record_id: str, instance: InstanceId) -> WriteLog:
    fields = (('upstream', record_id), ('instance', instance))
    return WriteLog(level=LogLevel.INFO, code='upstream-leaving', fields=fields)
