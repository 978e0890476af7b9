"""Outages of the store, seen by this daemon or told by its peers."""

import math
from typing import Final, final

# Live upstreams are listed again within this time after the store is back.
OUTAGE_EFFECT_SECONDS: Final = 2.5
# A daemon that gets no answer calls again this soon. One that no longer
# calls does not know when the store came back.
MAX_RETRY_SECONDS: Final = 11.0
# Two daemons that tell each other of one outage must not prolong the outage by
# the time that their messages take.
MIN_ADVANCE_SECONDS: Final = 1.0


@final
class StoreOutages:
    """Track when the store was last known to be away."""

    __slots__ = ('_away_at', '_is_away')

    def __init__(self) -> None:
        self._away_at = -math.inf
        self._is_away = False

    def record_failure(self, now: float) -> None:
        """Record that a call of this daemon to the store failed."""
        self._away_at = now
        self._is_away = True

    def record_answer(self, now: float) -> None:
        """Record an answer of the store; it ends an outage seen before."""
        if self._is_away and now - self._away_at <= MAX_RETRY_SECONDS:
            self._away_at = now
        self._is_away = False

    def record_told(self, now: float, seconds_ago: float | None) -> None:
        """Record how long ago a peer last knew that the store was away."""
        if seconds_ago is None:
            return
        away_at = now - max(seconds_ago, 0)
        if away_at >= self._away_at + MIN_ADVANCE_SECONDS:
            self._away_at = away_at

    def seconds_since(self, now: float) -> float | None:
        """Return the time since the last outage, or None if it is long ago."""
        seconds = now - self._away_at
        return seconds if seconds <= OUTAGE_EFFECT_SECONDS else None
