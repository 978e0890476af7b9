"""Comparison of the summaries of peers with the held entries."""

from dataclasses import dataclass
from typing import Final, TypeAlias, final

from briartack.core.dissemination.holdings import Holdings
from briartack.core.entries import HighestRevisions
from briartack.core.messages import Summary
from briartack.core.units import NO_REVISION, Digest

INITIAL_RETRY_DELAY_SECONDS: Final = 2.0
MAX_RETRY_DELAY_SECONDS: Final = 30.0
# Longer than a pull from another region takes, delay included.
CONFIGURATION_LAG_SECONDS: Final = 1.5

Fingerprint: TypeAlias = tuple[HighestRevisions, Digest, Digest]


def fingerprint(holdings: Holdings | Summary) -> Fingerprint:
    """Return a value that is equal for daemons with the same entries."""
    return (
        holdings.highest_revisions,
        holdings.configuration_digest,
        holdings.instances_digest,
    )


def lacks_configuration(summary: Summary, holdings: Holdings) -> bool:
    """Return whether a peer has configuration and this daemon has none.

    The highest revisions alone do not show this: a version that this daemon
    holds may wait for another of a lower revision.
    """
    return (
        not holdings.has_snapshot
        and summary.highest > NO_REVISION
        and summary.configuration_digest != holdings.configuration_digest
    )


def revisions_to_pull_after(
    summary: Summary, holdings: Holdings
) -> HighestRevisions:
    """Return the revisions above which to request entries from a peer."""
    held = holdings.highest_revisions
    if lacks_configuration(summary, holdings):
        return held._replace(configuration=NO_REVISION)
    return held


def is_ahead(summary: Summary, holdings: Holdings) -> bool:
    """Return whether a pull from the peer is likely to return entries."""
    theirs = summary.highest_revisions
    held = holdings.highest_revisions
    return theirs.instances > held.instances or has_newer_configuration(
        summary, holdings
    )


def has_newer_configuration(summary: Summary, holdings: Holdings) -> bool:
    """Return whether a peer holds a configuration that is missing here."""
    theirs = summary.highest_revisions.configuration
    return (
        theirs > holdings.highest_revisions.configuration
        or lacks_configuration(summary, holdings)
    )


def has_gap(summary: Summary, holdings: Holdings) -> bool:
    """Return whether entries differ although the highest revisions are equal.

    A pull by revision cannot find such a difference.
    """
    return (
        summary.highest_revisions == holdings.highest_revisions
        and not has_same_entries(summary, holdings)
    )


def has_same_entries(summary: Summary, holdings: Holdings) -> bool:
    """Return whether a peer holds the same entries."""
    return fingerprint(summary) == fingerprint(holdings)


@final
@dataclass(slots=True, kw_only=True)
class PeerView:
    """Hold a peer's last summary and the tries to reconcile entries with it.

    A try is a pull or an inventory. `tried_states` are the fingerprints of the
    peer and of this daemon at the last try, `try_count` is the number of tries
    with these states. `outdated_since` is the time since which the peer has
    held a newer configuration than this daemon.
    """

    summary: Summary
    last_seen_at: float
    is_remote: bool
    ahead_since: float | None = None
    outdated_since: float | None = None
    is_lag_reported: bool = False
    differs_since: float | None = None
    tried_states: tuple[Fingerprint, Fingerprint] | None = None
    try_count: int = 0
    retry_delay_seconds: float = INITIAL_RETRY_DELAY_SECONDS
    retry_at: float = 0

    def record_differences(self, now: float, holdings: Holdings) -> None:
        """Record since when the peer is ahead and since when entries differ."""
        if not is_ahead(self.summary, holdings):
            self.ahead_since = None
        elif self.ahead_since is None:
            self.ahead_since = now
        if not has_newer_configuration(self.summary, holdings):
            self.outdated_since = None
            self.is_lag_reported = False
        elif self.outdated_since is None:
            self.outdated_since = now
        if has_same_entries(self.summary, holdings):
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now

    def detect_lag(self, now: float) -> bool:
        """Return whether the configuration has just become overdue here."""
        since = self.outdated_since
        if self.is_lag_reported or since is None:
            return False
        self.is_lag_reported = now - since >= CONFIGURATION_LAG_SECONDS
        return self.is_lag_reported

    def record_try(self, holdings: Holdings) -> int:
        """Record a try and return the number of tries with the same states."""
        states = (fingerprint(self.summary), fingerprint(holdings))
        if self.tried_states != states:
            self.tried_states = states
            self.try_count = 0
            self.retry_delay_seconds = INITIAL_RETRY_DELAY_SECONDS
        self.try_count += 1
        return self.try_count

    def delay_retry(self, now: float) -> None:
        """Delay the next try after tries without effect; double the delay."""
        self.retry_at = now + self.retry_delay_seconds
        self.retry_delay_seconds = min(
            self.retry_delay_seconds * 2, MAX_RETRY_DELAY_SECONDS
        )

    def is_retry_delayed(self, now: float, holdings: Holdings) -> bool:
        """Return whether the next try is delayed.

        A change of the entries on either side ends the delay.
        """
        states = (fingerprint(self.summary), fingerprint(holdings))
        return self.tried_states == states and now < self.retry_at
