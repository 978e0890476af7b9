"""Pulls and inventories: which peer is asked for what, and when."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, final

from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.inventory import (
    bucket_digests,
    compare,
    reply_to,
)
from briartack.core.dissemination.peer_views import (
    PeerView,
    has_gap,
    is_ahead,
    pull_after,
)
from briartack.core.effects import Count, Effects, SendMessage
from briartack.core.entries import Entry
from briartack.core.messages import (
    Entries,
    Inventory,
    InventoryReply,
    Pull,
    Summary,
)
from briartack.core.units import InstanceId, Revision

PULL_TIMEOUT_SECONDS: Final = 0.5
PULLS_BEFORE_INVENTORY: Final = 2
# The own region's roots usually bring a change earlier than this, so that
# one copy of it crosses each link between regions.
REMOTE_PULL_DELAY_SECONDS: Final = 1.0
# Two heartbeats in a row must differ, or entries that are still on their way
# would count as a gap. This is a little less than the time between the two.
GAP_DELAY_SECONDS: Final = 0.8
MAX_ENTRIES_BYTES: Final = 4_000_000
ENTRY_OVERHEAD_BYTES: Final = 64


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingPull:
    peer: InstanceId
    at: float
    target: Revision


@final
class PeerSyncState:
    """Own what peers announced and the pull in flight."""

    __slots__ = ('_views', '_pull', '_unanswered', '_remote_delay_seconds')

    def __init__(self) -> None:
        """Start without peers."""
        self._views: dict[InstanceId, PeerView] = {}
        self._pull: _PendingPull | None = None
        self._unanswered: InstanceId | None = None
        self._remote_delay_seconds = REMOTE_PULL_DELAY_SECONDS

    @property
    def pulled_from(self) -> InstanceId | None:
        """Return the peer whose answer is awaited."""
        return None if self._pull is None else self._pull.peer

    def summary_of(self, peer: InstanceId) -> Summary | None:
        """Return the last summary of a peer."""
        view = self._views.get(peer)
        return None if view is None else view.summary

    def heard_since(self, since: float) -> list[Summary]:
        """Return what peers of other regions announced lately."""
        return [
            view.summary
            for view in self._views.values()
            if view.is_remote and view.last_seen_at >= since
        ]

    def forget(self, peer: InstanceId) -> None:
        """Drop a peer whose stream is down."""
        self._views.pop(peer, None)
        if self.pulled_from == peer:
            self._pull = None

    def resume(self) -> None:
        """Drop the pull from before a pause."""
        self._pull = None

    def on_summary(
        self,
        now: float,
        peer: InstanceId,
        summary: Summary,
        *,
        is_remote: bool,
    ) -> None:
        """Note an announcement."""
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
        """Note an answer; a part of one only extends the wait."""
        pull = self._pull
        if pull is None or pull.peer != peer:
            return
        self._pull = None
        if entries.highest < pull.target:
            self._pull = _PendingPull(peer=peer, at=now, target=pull.target)

    def due(
        self,
        now: float,
        holdings: Holdings,
        *,
        starts_inventories_with: Callable[[InstanceId], bool],
        remote_delay_seconds: float = REMOTE_PULL_DELAY_SECONDS,
    ) -> Effects:
        """Pull from a peer that is ahead, and look for gaps."""
        self._remote_delay_seconds = remote_delay_seconds
        for view in self._views.values():
            view.compare(now, holdings)
        effects = self._expire(now)
        if self._pull is None:
            effects.extend(self._pull_next(now, holdings))
        for peer in self._views:
            if starts_inventories_with(peer):
                effects.extend(self._check_gap(now, peer, holdings))
        return effects

    def _expire(self, now: float) -> Effects:
        pull = self._pull
        if pull is None or now - pull.at < PULL_TIMEOUT_SECONDS:
            return []
        self._unanswered = pull.peer
        self._pull = None
        return [Count(name='pull_timeouts')]

    def _pull_next(self, now: float, holdings: Holdings) -> Effects:
        ready = [
            peer
            for peer, view in self._views.items()
            if self._may_pull(now, view, holdings)
        ]
        if not ready:
            self._unanswered = None
            return []
        # The peer that did not answer is asked again only after the others.
        peer = min(
            ready,
            key=lambda name: (
                name == self._unanswered,
                self._views[name].is_remote,
                self._views[name].ahead_since,
            ),
        )
        return self._ask(now, peer, holdings)

    def _may_pull(
        self,
        now: float,
        view: PeerView,
        holdings: Holdings,
    ) -> bool:
        if view.ahead_since is None or view.is_paused(now, holdings):
            return False
        if not is_ahead(view.summary, holdings):
            return False
        delay_seconds = self._remote_delay_seconds if view.is_remote else 0
        return now - view.ahead_since >= delay_seconds

    def _ask(
        self,
        now: float,
        peer: InstanceId,
        holdings: Holdings,
    ) -> Effects:
        view = self._views[peer]
        if view.count_try(holdings) > PULLS_BEFORE_INVENTORY:
            view.pause(now)
            return [_inventory(peer, holdings)]
        self._pull = _PendingPull(
            peer=peer,
            at=now,
            target=view.summary.highest,
        )
        after = pull_after(view.summary, holdings)
        return [SendMessage(peer=peer, message=Pull(after=after))]

    def _check_gap(
        self,
        now: float,
        peer: InstanceId,
        holdings: Holdings,
    ) -> Effects:
        view = self._views[peer]
        if not has_gap(view.summary, holdings) or self._pull is not None:
            return []
        since = view.differs_since
        if since is None or view.last_seen_at - since < GAP_DELAY_SECONDS:
            return []
        if view.is_paused(now, holdings):
            return []
        view.count_try(holdings)
        view.pause(now)
        return [_inventory(peer, holdings)]


def answer_pull(peer: InstanceId, pull: Pull, holdings: Holdings) -> Effects:
    """Send all entries above a revision, lowest first, maybe in parts."""
    entries = sorted(
        holdings.entries_after(pull.after),
        key=lambda entry: entry.revision,
    )
    return _send_entries(peer, entries, holdings.highest)


def answer_inventory(
    peer: InstanceId,
    inventory: Inventory,
    holdings: Holdings,
) -> Effects:
    """Send the versions in the buckets that differ."""
    reply = reply_to(inventory, holdings.versions())
    return [] if reply is None else [SendMessage(peer=peer, message=reply)]


def answer_reply(
    peer: InstanceId,
    reply: InventoryReply,
    holdings: Holdings,
) -> Effects:
    """Send what the peer lacks and ask for what this daemon lacks."""
    difference = compare(reply, holdings.versions())
    effects: Effects = []
    if difference.wanted:
        request = InventoryReply(buckets=(), versions=difference.wanted)
        effects.append(SendMessage(peer=peer, message=request))
    if difference.to_send:
        entries = holdings.entries_for(difference.to_send)
        effects.extend(_send_entries(peer, entries, holdings.highest))
    return effects


def _inventory(peer: InstanceId, holdings: Holdings) -> SendMessage:
    buckets = bucket_digests(holdings.versions())
    return SendMessage(peer=peer, message=Inventory(buckets=buckets))


def _size_bytes(entry: Entry) -> int:
    values = (entry.value or '', *(used.value for used in entry.definitions))
    return len(entry.key) + sum(
        len(value) + ENTRY_OVERHEAD_BYTES for value in values
    )


def _parts(entries: Iterable[Entry]) -> list[list[Entry]]:
    parts: list[list[Entry]] = [[]]
    size_bytes = 0
    for entry in entries:
        size_bytes += _size_bytes(entry)
        if parts[-1] and size_bytes > MAX_ENTRIES_BYTES:
            parts.append([])
            size_bytes = _size_bytes(entry)
        parts[-1].append(entry)
    return parts


def _send_entries(
    peer: InstanceId,
    entries: Iterable[Entry],
    highest: Revision,
) -> Effects:
    """Send entries; a part that is not the last names its own highest."""
    *parts, last = _parts(entries)
    messages = [
        Entries(highest=part[-1].revision, entries=tuple(part))
        for part in parts
    ]
    messages.append(Entries(highest=highest, entries=tuple(last)))
    return [SendMessage(peer=peer, message=message) for message in messages]
