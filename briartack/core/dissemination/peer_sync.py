"""Synchronisation of entries with peers by pulls and inventories.

A pull requests the entries above a revision of each kind from a peer that is
ahead. An inventory compares the versions of all keys, to find gaps that pulls
cannot find.
"""

from collections.abc import Callable, Iterable
from typing import Final, final

from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.inventory import (
    bucket_digests,
    build_reply,
    find_difference,
)
from briartack.core.dissemination.overdue_versions import OverdueVersions
from briartack.core.dissemination.peer_views import (
    PeerView,
    has_gap,
    is_ahead,
    revisions_to_pull_after,
)
from briartack.core.dissemination.pending_pulls import PendingPulls
from briartack.core.effects import (
    Count,
    Effects,
    LogLevel,
    SendMessage,
    WriteLog,
)
from briartack.core.entries import Entry
from briartack.core.messages import (
    Entries,
    Inventory,
    InventoryReply,
    Pull,
    Summary,
    request_entries_after,
)
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    NO_REVISION,
    InstanceId,
    Revision,
    format_revision,
)

PULLS_BEFORE_INVENTORY: Final = 2
# The roots of this region usually deliver a change earlier than this, so
# that only one copy of the change crosses each link between regions.
REMOTE_PULL_DELAY_SECONDS: Final = 1.0
# A gap must show in two successive heartbeats, or entries that are still in
# transit would count as a gap. The minimum is slightly less than the time
# between two heartbeats.
MIN_GAP_AGE_SECONDS: Final = 0.8
MAX_ENTRIES_BYTES: Final = 4_000_000
ENTRY_OVERHEAD_BYTES: Final = 64
ENTRIES_DIFFER: Final = 'entries-differ'
CONFIGURATION_LAGS: Final = 'configuration-lags'


@final
class PeerSyncState:
    """Decide when to pull from which peer and when to send an inventory.

    Holds the last summary of each peer, the pulls, and the wait for announced
    versions.
    """

    __slots__ = (
        'overdue',
        '_views',
        '_pulls',
        '_remote_delay_seconds',
        '_reported_lags',
    )

    def __init__(self) -> None:
        self.overdue: Final = OverdueVersions()
        self._views: dict[InstanceId, PeerView] = {}
        self._pulls = PendingPulls()
        self._reported_lags: set[Revision] = set()
        self._remote_delay_seconds = REMOTE_PULL_DELAY_SECONDS

    @property
    def pulled_peers(self) -> tuple[InstanceId, ...]:
        """Return the peers to which the pulls in flight were sent."""
        return self._pulls.peers

    def summary_of(self, peer: InstanceId) -> Summary | None:
        """Return the last summary of a peer, if any."""
        view = self._views.get(peer)
        return None if view is None else view.summary

    def remote_summaries_since(self, since: float) -> list[Summary]:
        """Return the summaries received from other regions since a time."""
        return [
            view.summary
            for view in self._views.values()
            if view.is_remote and view.last_seen_at >= since
        ]

    def recent_summary(self, peer: InstanceId, since: float) -> Summary | None:
        """Return the last summary of a peer if it came since a time."""
        view = self._views.get(peer)
        if view is None or view.last_seen_at < since:
            return None
        return view.summary

    def list_watchers(
        self, *, local_since: float, remote_since: float
    ) -> list[InstanceId]:
        """Return the peers that have said since a time that they watch."""
        since = {True: remote_since, False: local_since}  # by remoteness
        return [
            peer
            for peer, view in self._views.items()
            if view.summary.watches_store
            and view.last_seen_at >= since[view.is_remote]
        ]

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove a peer whose stream is down."""
        self._views.pop(peer, None)
        self._pulls.remove_peer(peer)

    def resume(self) -> None:
        """Drop the pulls in flight after a pause of this process."""
        self._pulls.drop()
        self.overdue.resume()

    def on_summary(
        self,
        now: float,
        peer: InstanceId,
        summary: Summary,
        *,
        is_remote: bool,
    ) -> None:
        """Record the summary of a peer."""
        view = self._views.get(peer)
        if view is None:
            view = PeerView(
                summary=summary,
                last_seen_at=now,
                is_remote=is_remote,
            )
            self._views[peer] = view
        view.summary = summary
        view.last_seen_at = now

    def on_entries(
        self, now: float, peer: InstanceId, entries: Entries
    ) -> None:
        """Record an answer to a pull, which may be a part of one."""
        self._pulls.record_answer(now, peer, entries.highest)

    def send_due_requests(
        self,
        now: float,
        holdings: Holdings,
        *,
        starts_inventories_with: Callable[[InstanceId], bool],
        remote_delay_seconds: float = REMOTE_PULL_DELAY_SECONDS,
    ) -> Effects:
        """Pull from a peer that is ahead, and send inventories to find gaps."""
        self._remote_delay_seconds = remote_delay_seconds
        effects: Effects = [
            Count(name='pull_timeouts') for _ in range(self._pulls.expire(now))
        ]
        for name, view in self._views.items():
            view.record_differences(now, holdings)
            if view.detect_lag(now):
                effects.extend(self._report_lag(now, name, holdings))
        announced = self._announced_configuration()
        if announced == NO_REVISION:
            self._reported_lags.clear()
        self.overdue.record(
            now, holdings.highest_revisions.configuration, announced
        )
        for _ in range(self._pulls.free_count):
            effects.extend(self._pull_next(now, holdings))
        for peer in self._views:
            if starts_inventories_with(peer):
                effects.extend(self._check_gap(now, peer, holdings))
        return effects

    def _announced_configuration(self) -> Revision:
        """Return the highest revision of the peers that are ahead."""
        return max(
            (
                view.summary.highest_revisions.configuration
                for view in self._views.values()
                if view.outdated_since is not None
            ),
            default=NO_REVISION,
        )

    def _report_lag(
        self, now: float, peer: InstanceId, holdings: Holdings
    ) -> Effects:
        """Report the first of the peers that offer the same version."""
        view = self._views[peer]
        held = holdings.highest_revisions.configuration
        offered = view.summary.highest_revisions.configuration
        if offered in self._reported_lags:
            return []
        self._reported_lags.add(offered)
        fields = (
            ('peer', peer),
            ('offered', format_revision(offered)),
            ('configuration', format_revision(held)),
            ('tries', str(view.try_count)),
            ('pulls_from', ' '.join(self.pulled_peers)),
            ('delayed', str(view.is_retry_delayed(now, holdings))),
        )
        return [
            WriteLog(
                level=LogLevel.WARNING, code=CONFIGURATION_LAGS, fields=fields
            ),
        ]

    def _pull_next(self, now: float, holdings: Holdings) -> Effects:
        ready = [
            peer
            for peer, view in self._views.items()
            if self._may_pull(now, view, holdings)
        ]
        if not ready:
            self._pulls.forget_unanswered()
        waiting = set(ready).difference(self.pulled_peers)
        if not waiting:
            return []
        # Peers that did not answer in time are asked again only if no other
        # peer is ready, and then in turn. Otherwise two of them would be asked
        # alternately, and never a third one that answers.
        peer = min(
            (name for name in ready if name in waiting),
            key=lambda name: (
                self._pulls.find_unanswered_at(name),
                self._views[name].is_remote,
                self._views[name].ahead_since,
            ),
        )
        return self._request_entries(now, peer, holdings)

    def _may_pull(
        self,
        now: float,
        view: PeerView,
        holdings: Holdings,
    ) -> bool:
        if view.ahead_since is None or view.is_retry_delayed(now, holdings):
            return False
        if not is_ahead(view.summary, holdings):
            return False
        delay_seconds = self._remote_delay_seconds if view.is_remote else 0
        return now - view.ahead_since >= delay_seconds

    def _request_entries(
        self,
        now: float,
        peer: InstanceId,
        holdings: Holdings,
    ) -> Effects:
        view = self._views[peer]
        if view.record_try(holdings) > PULLS_BEFORE_INVENTORY:
            view.delay_retry(now)
            return [_inventory_message(peer, holdings)]
        self._pulls.add(now, peer, view.summary.highest)
        after = revisions_to_pull_after(view.summary, holdings)
        return [
            Count(name='pulls'),
            SendMessage(peer=peer, message=request_entries_after(after)),
        ]

    def _check_gap(
        self,
        now: float,
        peer: InstanceId,
        holdings: Holdings,
    ) -> Effects:
        view = self._views[peer]
        if not has_gap(view.summary, holdings) or self.pulled_peers:
            return []
        since = view.differs_since
        if since is None or view.last_seen_at - since < MIN_GAP_AGE_SECONDS:
            return []
        if view.is_retry_delayed(now, holdings):
            return []
        view.record_try(holdings)
        view.delay_retry(now)
        fields = (
            ('peer', peer),
            ('age_ms', f'{(now - since) * MILLISECONDS_PER_SECOND:.0f}'),
            ('highest', format_revision(holdings.highest)),
        )
        return [
            Count(name='gaps'),
            WriteLog(level=LogLevel.INFO, code=ENTRIES_DIFFER, fields=fields),
            _inventory_message(peer, holdings),
        ]


def answer_pull(peer: InstanceId, pull: Pull, holdings: Holdings) -> Effects:
    """Send all requested entries, lowest revision first, in parts if large."""
    entries = sorted(
        holdings.entries_after(pull.after_revisions),
        key=lambda entry: entry.revision,
    )
    return _send_entries(peer, entries, holdings.highest)


def answer_inventory(
    peer: InstanceId,
    inventory: Inventory,
    holdings: Holdings,
) -> Effects:
    """Send the versions in the buckets that differ, if any do."""
    reply = build_reply(inventory, holdings.versions())
    return [] if reply is None else [SendMessage(peer=peer, message=reply)]


def answer_inventory_reply(
    peer: InstanceId,
    reply: InventoryReply,
    holdings: Holdings,
) -> Effects:
    """Send the entries that the peer lacks and request missing entries."""
    difference = find_difference(reply, holdings.versions())
    effects: Effects = []
    if difference.to_request:
        request = InventoryReply(buckets=(), versions=difference.to_request)
        effects.append(SendMessage(peer=peer, message=request))
    if difference.to_send:
        entries = holdings.entries_for(difference.to_send)
        effects.extend(_send_entries(peer, entries, holdings.highest))
    return effects


def _inventory_message(peer: InstanceId, holdings: Holdings) -> SendMessage:
    buckets = bucket_digests(holdings.versions())
    return SendMessage(peer=peer, message=Inventory(buckets=buckets))


def _estimate_bytes(entry: Entry) -> int:
    values = (entry.value or '', *(used.value for used in entry.definitions))
    return len(entry.key) + sum(
        len(value) + ENTRY_OVERHEAD_BYTES for value in values
    )


def _split_entries(entries: Iterable[Entry]) -> list[list[Entry]]:
    parts: list[list[Entry]] = [[]]
    size_bytes = 0
    for entry in entries:
        size_bytes += _estimate_bytes(entry)
        if parts[-1] and size_bytes > MAX_ENTRIES_BYTES:
            parts.append([])
            size_bytes = _estimate_bytes(entry)
        parts[-1].append(entry)
    return parts


def _send_entries(
    peer: InstanceId,
    entries: Iterable[Entry],
    highest: Revision,
) -> Effects:
    """Send entries in one or more parts.

    The last part states `highest`; every other part states the revision of its
    own last entry, so that the peer knows that more parts follow.
    """
    *parts, last = _split_entries(entries)
    messages = [
        Entries(highest=part[-1].revision, entries=tuple(part))
        for part in parts
    ]
    messages.append(Entries(highest=highest, entries=tuple(last)))
    return [SendMessage(peer=peer, message=message) for message in messages]
