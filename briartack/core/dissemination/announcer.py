"""Summaries that a daemon sends to its neighbours.

A summary states the versions that its sender holds. Daemons send one after
each change and, as a heartbeat, at regular intervals.
"""

import math
from collections.abc import Collection, Container, Iterable
from typing import Final, final

from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.leaving_upstreams import UpstreamStart
from briartack.core.dissemination.store_outages import StoreOutages
from briartack.core.effects import Effects, LogLevel, SendMessage, WriteLog
from briartack.core.messages import CrashEvidence, Summary
from briartack.core.units import (
    NO_INSTANCE,
    Digest,
    Incarnation,
    InstanceId,
    format_revision,
)

HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
REMOTE_HEARTBEAT_INTERVAL_SECONDS: Final = 2.0
# For daemons that watch the store on behalf of other regions. The roots of
# those regions take over after a short silence (see WATCHER_SILENCE_SECONDS in
# store_duty).
WATCHER_HEARTBEAT_INTERVAL_SECONDS: Final = 0.4
SUSPECT_PROBE_INTERVAL_SECONDS: Final = 10.0
CHECK_PROBE_INTERVAL_SECONDS: Final = 1.0
# Both ends of a new stream send a summary at once, so a reply to the first
# summary of a peer would only repeat it.
SUMMARY_REPLY_INTERVAL_SECONDS: Final = 0.5
CONFIGURATION_ANNOUNCED: Final = 'configuration-announced'


@final
class Announcer:
    """Send summaries and decide which peers are due for one.

    Holds the times at which each peer was last sent a summary and a liveness
    probe, and the status of the store and of the local upstream that summaries
    report.
    """

    __slots__ = (
        '_incarnation',
        '_last_summary_at',
        '_last_probe_at',
        '_watches_store',
        '_watcher',
        '_store_answer_seconds',
        '_leaving_upstream',
        '_crash_evidence',
        '_announced_digest',
        '_outages',
    )

    def __init__(
        self, *, incarnation: Incarnation, outages: StoreOutages
    ) -> None:
        self._outages = outages
        self._incarnation = incarnation
        self._last_summary_at: dict[InstanceId, float] = {}
        self._last_probe_at: dict[InstanceId, float] = {}
        self._watches_store = False
        self._watcher = NO_INSTANCE
        self._store_answer_seconds: float | None = None
        self._leaving_upstream: UpstreamStart | None = None
        self._crash_evidence: tuple[CrashEvidence, ...] = ()
        self._announced_digest = Digest(b'')

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove the send times of a peer whose stream is down."""
        self._last_summary_at.pop(peer, None)
        self._last_probe_at.pop(peer, None)

    def set_store_status(
        self,
        *,
        watches: bool,
        watcher: InstanceId,
        min_answer_seconds: float | None,
    ) -> bool:
        """Set the store status that summaries report.

        Return whether this daemon started or stopped watching the store, or
        whether it knows another watcher than before.
        """
        has_changed = (watches, watcher) != (self._watches_store, self._watcher)
        self._watches_store = watches
        self._watcher = watcher
        self._store_answer_seconds = min_answer_seconds
        return has_changed

    def announce_leaving(self, upstream: UpstreamStart) -> None:
        """Report in all later summaries that the local upstream leaves."""
        self._leaving_upstream = upstream

    def announce_crashes(self, evidence: tuple[CrashEvidence, ...]) -> None:
        """Report evidence on crashes in all later summaries."""
        self._crash_evidence = evidence

    def report_announcement(
        self, peers: Collection[InstanceId], holdings: Holdings, source: str
    ) -> Effects:
        """Log to which peers a changed configuration is announced."""
        digest = holdings.configuration_digest
        if digest == self._announced_digest:
            return []
        self._announced_digest = digest
        held = holdings.highest_revisions.configuration
        fields = (
            ('configuration', format_revision(held)),
            ('source', source),
            ('peers', ' '.join(peers)),
        )
        return [
            WriteLog(
                level=LogLevel.INFO,
                code=CONFIGURATION_ANNOUNCED,
                fields=fields,
            ),
        ]

    def send_summaries(
        self,
        now: float,
        peers: Iterable[InstanceId],
        holdings: Holdings,
        *,
        sync_sources: Container[InstanceId],
        min_interval_seconds: float = 0,
    ) -> Effects:
        """Send a summary to each peer that got none during the interval."""
        effects: Effects = []
        for peer in peers:
            sent_at = self._last_summary_at.get(peer)
            if sent_at is not None and now - sent_at < min_interval_seconds:
                continue
            self._last_summary_at[peer] = now
            message = self._build_summary(
                now,
                holdings,
                wants_answers=peer in sync_sources,
            )
            effects.append(SendMessage(peer=peer, message=message))
        return effects

    def select_due_probes(
        self,
        now: float,
        peers: Iterable[InstanceId],
        min_interval_seconds: float,
    ) -> tuple[InstanceId, ...]:
        """Select the peers to probe now and record the time of the probes."""
        due = tuple(
            peer
            for peer in peers
            if now - self._last_probe_at.get(peer, -math.inf)
            >= min_interval_seconds
        )
        self._last_probe_at.update(dict.fromkeys(due, now))
        return due

    def _build_summary(
        self,
        now: float,
        holdings: Holdings,
        *,
        wants_answers: bool,
    ) -> Summary:
        held = holdings.highest_revisions
        leaving = self._leaving_upstream
        return Summary(
            incarnation=self._incarnation,
            highest=holdings.highest,
            configuration_digest=holdings.configuration_digest,
            instances_digest=holdings.instances_digest,
            clock=now,
            wants_answers=wants_answers,
            watches_store=self._watches_store,
            watcher=self._watcher,
            store_latency_seconds=self._store_answer_seconds,
            configuration_highest=held.configuration,
            instances_highest=held.instances,
            leaving_upstream='' if leaving is None else leaving.record_id,
            leaving_upstream_started_ms=None
            if leaving is None
            else leaving.started_ms,
            crash_evidence=self._crash_evidence,
            store_away_seconds_ago=self._outages.seconds_since(now),
        )
