"""Peers that expect changes from this daemon, known from their summaries.

A peer becomes a subscriber by its own summaries and not by the position in the
tree that this daemon computes: after each change, the lists of two daemons
differ for a while, and a child must get answers during that time too.
"""

from typing import Final, final

from briartack.core.units import InstanceId

# More than two heartbeat intervals between regions.
SUBSCRIPTION_TIMEOUT_SECONDS: Final = 5.0


@final
class Subscribers:
    """Track this daemon's subscribers by the time of their last summary."""

    __slots__ = ('_last_seen_at',)

    def __init__(self) -> None:
        self._last_seen_at: dict[InstanceId, float] = {}

    def peers(self) -> tuple[InstanceId, ...]:
        """Return the current subscribers."""
        return tuple(self._last_seen_at)

    def renew(self, now: float, peer: InstanceId) -> bool:
        """Record a summary; return whether its sender is a new subscriber."""
        is_new = peer not in self._last_seen_at
        self._last_seen_at[peer] = now
        return is_new

    def remove(self, peer: InstanceId) -> None:
        """Remove a subscriber."""
        self._last_seen_at.pop(peer, None)

    def renew_all(self, now: float) -> None:
        """Renew all subscribers, which were not heard during a pause."""
        self._last_seen_at = dict.fromkeys(self._last_seen_at, now)

    def expire(self, now: float) -> None:
        """Remove the subscribers whose last summary is too long ago."""
        self._last_seen_at = {
            peer: last_seen_at
            for peer, last_seen_at in self._last_seen_at.items()
            if now - last_seen_at < SUBSCRIPTION_TIMEOUT_SECONDS
        }
