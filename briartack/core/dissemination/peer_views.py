"""What peers announced, compared with what this daemon holds."""

from dataclasses import dataclass
from typing import Final, TypeAlias, final

from briartack.core.dissemination.holdings import Holdings
from briartack.core.messages import Summary
from briartack.core.units import Digest, Revision

NO_REVISION: Final = Revision(0)
INITIAL_PAUSE_SECONDS: Final = 2.0
MAX_PAUSE_SECONDS: Final = 30.0

Fingerprint: TypeAlias = tuple[Revision, Digest, Digest]


def fingerprint(holdings: Holdings | Summary) -> Fingerprint:
    """Return what two daemons with the same entries have in common."""
    return (
        holdings.highest,
        holdings.configuration_digest,
        holdings.instances_digest,
    )


def lacks_configuration(summary: Summary, holdings: Holdings) -> bool:
    """Tell whether a peer has configuration where this daemon has none.

    The list of instances may already have come from the store and then has
    raised the highest revision above that of the configuration.
    """
    return (
        not holdings.has_snapshot
        and summary.highest > NO_REVISION
        and summary.configuration_digest != holdings.configuration_digest
    )


def pull_after(summary: Summary, holdings: Holdings) -> Revision:
    """Find the revision above which entries are missing."""
    if lacks_configuration(summary, holdings):
        return NO_REVISION
    return holdings.highest


def is_ahead(summary: Summary, holdings: Holdings) -> bool:
    """Tell whether a pull by revision is likely to bring entries."""
    return summary.highest > holdings.highest or lacks_configuration(
        summary,
        holdings,
    )


def has_gap(summary: Summary, holdings: Holdings) -> bool:
    """Tell whether the entries differ where a pull can't tell."""
    return summary.highest == holdings.highest and not is_same(
        summary,
        holdings,
    )


def is_same(summary: Summary, holdings: Holdings) -> bool:
    """Tell whether a peer holds the same entries."""
    return fingerprint(summary) == fingerprint(holdings)


@final
@dataclass(slots=True, kw_only=True)
class PeerView:
    """Hold the last summary of a peer and what was tried with it."""

    summary: Summary
    last_seen_at: float
    is_remote: bool
    ahead_since: float | None = None
    differs_since: float | None = None
    tried: tuple[Fingerprint, Fingerprint] | None = None
    tries: int = 0
    pause_seconds: float = INITIAL_PAUSE_SECONDS
    paused_until: float = 0

    def compare(self, now: float, holdings: Holdings) -> None:
        """Note since when the peer is ahead and since when it differs."""
        if not is_ahead(self.summary, holdings):
            self.ahead_since = None
        elif self.ahead_since is None:
            self.ahead_since = now
        if is_same(self.summary, holdings):
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now

    def count_try(self, holdings: Holdings) -> int:
        """Count how often the same two states were to be reconciled."""
        states = (fingerprint(self.summary), fingerprint(holdings))
        if self.tried != states:
            self.tried = states
            self.tries = 0
            self.pause_seconds = INITIAL_PAUSE_SECONDS
        self.tries += 1
        return self.tries

    def pause(self, now: float) -> None:
        """Wait, doubled each time, as the last tries changed nothing."""
        self.paused_until = now + self.pause_seconds
        self.pause_seconds = min(self.pause_seconds * 2, MAX_PAUSE_SECONDS)

    def is_paused(self, now: float, holdings: Holdings) -> bool:
        """Tell whether to wait; a change on either side ends the wait."""
        states = (fingerprint(self.summary), fingerprint(holdings))
        return self.tried == states and now < self.paused_until
