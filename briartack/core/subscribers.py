"""Peers that keep this daemon as a parent, known from their summaries.

Who counts on this daemon is told by those who do: views of the list differ
for a while after each change, and a child must not go without answers then.
"""

from collections.abc import Iterable
from typing import Final, final

from briartack.core.units import InstanceId

SUBSCRIPTION_SECONDS: Final = 5.0  # more than two periods between regions
# A former parent still sends heartbeats until its subscription ends. Taking
# these for a subscription would keep both sides sending for ever.
DISMISSAL_SECONDS: Final = 6.0


@final
class Subscribers:
    """Own the times of the last summaries of those who count on us."""

    __slots__ = ('_heard_at', '_dismissed_until')

    def __init__(self) -> None:
        """Start without subscribers."""
        self._heard_at: dict[InstanceId, float] = {}
        self._dismissed_until: dict[InstanceId, float] = {}

    def current(self) -> tuple[InstanceId, ...]:
        """Return the subscribers."""
        return tuple(self._heard_at)

    def renew(self, now: float, peer: InstanceId, *, is_child: bool) -> bool:
        """Note a summary and tell whether it began a subscription."""
        is_dismissed = now < self._dismissed_until.get(peer, now)
        if is_dismissed and not is_child:
            return False
        is_new = peer not in self._heard_at
        self._heard_at[peer] = now
        return is_new

    def remove(self, peer: InstanceId) -> None:
        """End a subscription."""
        self._heard_at.pop(peer, None)

    def dismiss(self, now: float, peers: Iterable[InstanceId]) -> None:
        """Ignore former parents until they have forgotten this daemon."""
        for peer in peers:
            self._dismissed_until[peer] = now + DISMISSAL_SECONDS

    def extend(self, now: float) -> None:
        """Renew all, since nobody could be heard during a pause."""
        self._heard_at = dict.fromkeys(self._heard_at, now)

    def expire(self, now: float) -> None:
        """Drop what is over."""
        self._heard_at = {
            peer: heard_at
            for peer, heard_at in self._heard_at.items()
            if now - heard_at < SUBSCRIPTION_SECONDS
        }
        self._dismissed_until = {
            peer: until
            for peer, until in self._dismissed_until.items()
            if now < until
        }
