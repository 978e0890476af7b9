"""Pulls that were sent to peers, and the peers that did not answer in time."""

import math
from dataclasses import dataclass
from typing import Final, final

from briartack.core.units import InstanceId, Revision

PULL_TIMEOUT_SECONDS: Final = 0.5
MAX_PULLS: Final = 1
# Several peers may have fallen silent together. Asked one after the other, they
# would hold up a change by a timeout each.
MAX_PULLS_AFTER_TIMEOUT: Final = 2


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Pull:
    """Hold a sent pull and the revision that its answer has to reach."""

    sent_at: float
    target_revision: Revision


@final
class PendingPulls:
    """Hold the pulls in flight, and when unanswered ones were sent."""

    __slots__ = ('_pulls', '_unanswered_at')

    def __init__(self) -> None:
        self._pulls: dict[InstanceId, _Pull] = {}
        self._unanswered_at: dict[InstanceId, float] = {}

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """Return the peers to which the pulls in flight were sent."""
        return tuple(self._pulls)

    @property
    def free_count(self) -> int:
        """Return how many more pulls may be sent now."""
        most = MAX_PULLS_AFTER_TIMEOUT if self._unanswered_at else MAX_PULLS
        return max(0, most - len(self._pulls))

    def add(self, now: float, peer: InstanceId, target: Revision) -> None:
        """Record a pull that is sent."""
        self._pulls[peer] = _Pull(sent_at=now, target_revision=target)

    def record_answer(
        self, now: float, peer: InstanceId, highest: Revision
    ) -> None:
        """Record an answer, which restarts the timeout if it is a part."""
        self._unanswered_at.pop(peer, None)
        pull = self._pulls.pop(peer, None)
        if pull is not None and highest < pull.target_revision:
            self.add(now, peer, pull.target_revision)

    def expire(self, now: float) -> int:
        """Remove the pulls that were not answered in time; count them."""
        expired = {
            peer: pull.sent_at
            for peer, pull in self._pulls.items()
            if now - pull.sent_at >= PULL_TIMEOUT_SECONDS
        }
        for peer in expired:
            self._pulls.pop(peer)
        self._unanswered_at.update(expired)
        return len(expired)

    def find_unanswered_at(self, peer: InstanceId) -> float:
        """Return when a peer was sent a pull that it did not answer in time.

        The result is less than any time if the peer has answered since.
        """
        return self._unanswered_at.get(peer, -math.inf)

    def forget_unanswered(self) -> None:
        """Forget which peers did not answer."""
        self._unanswered_at.clear()

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove a peer whose stream is down."""
        self._pulls.pop(peer, None)
        self._unanswered_at.pop(peer, None)

    def drop(self) -> None:
        """Drop the pulls in flight."""
        self._pulls.clear()
