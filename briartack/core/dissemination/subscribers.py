"""Peers that keep this daemon as a parent, known from their summaries.

Who counts on this daemon is told by those who do: views of the list differ
for a while after each change, and a child must not go without answers then.
"""

from typing import Final, final

from briartack.core.units import InstanceId

SUBSCRIPTION_SECONDS: Final = 5.0  # more than two periods between regions


@final
class Subscribers:
    """Own the times of the last summaries of those who count on us."""

    __slots__ = ('_last_seen_at',)

    def __init__(self) -> None:
        """Start without subscribers."""
        self._last_seen_at: dict[InstanceId, float] = {}

    def current(self) -> tuple[InstanceId, ...]:
        """Return the subscribers."""
        return tuple(self._last_seen_at)

    def renew(self, now: float, peer: InstanceId) -> bool:
        """Note a summary and tell whether it began a subscription."""
        is_new = peer not in self._last_seen_at
        self._last_seen_at[peer] = now
        return is_new

    def remove(self, peer: InstanceId) -> None:
        """End a subscription."""
        self._last_seen_at.pop(peer, None)

    def extend(self, now: float) -> None:
        """Renew all, since nobody could be heard during a pause."""
        self._last_seen_at = dict.fromkeys(self._last_seen_at, now)

    def expire(self, now: float) -> None:
        """Drop what is over."""
        self._last_seen_at = {
            peer: last_seen_at
            for peer, last_seen_at in self._last_seen_at.items()
            if now - last_seen_at < SUBSCRIPTION_SECONDS
        }
