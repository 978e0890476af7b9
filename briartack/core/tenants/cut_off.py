"""Whether this daemon is cut off from the side of a partition with the store.

Daemons beside the store soon drop the instances that no longer renew their
records, and turn to other holders of caps. The daemons cut off from the store
keep the list of before, so their holders must not go on as if nothing were.
"""

from typing import Final, final

from briartack.core.units import InstanceId

# Daemons that call an absent store do so at least every 11 s and tell their
# peers, so after this time without news the store is back.
NEWS_SECONDS: Final = 12.0


@final
class CutOffDetector:
    """Compare the regions that are listed with those that are connected.

    The store may be away without a partition: then peers of all regions stay
    connected. A region may be lost without the store: then the list drops it.
    """

    __slots__ = (
        '_regions',
        '_seen',
        '_away_at',
        '_listed_at',
        'is_cut_off',
        'ended_at',
    )

    def __init__(self) -> None:
        """Start as not cut off; `ended_at` is when this was last so."""
        self._regions: dict[InstanceId, str] = {}
        self._seen: set[str] = set()
        self._away_at = float('-inf')
        self._listed_at: float | None = None
        self.is_cut_off = False
        self.ended_at = float('-inf')

    def connect(self, peer: InstanceId, region: str) -> None:
        """Record a stream to a peer."""
        self._regions[peer] = region
        self._seen.add(region)

    def disconnect(self, peer: InstanceId) -> None:
        """Record the end of a stream."""
        self._regions.pop(peer, None)

    def update(
        self, now: float, listed: frozenset[str], *, is_store_away: bool
    ) -> bool:
        """Return whether the state has changed.

        `listed` are the other regions. Only those that were connected before
        count, since nobody needs a stream to each region. For a daemon that
        starts while the store is away, or shortly before, all of them count.
        """
        if listed and self._listed_at is None:
            self._listed_at = now
        if is_store_away:
            self._away_at = now
            started_at = now if self._listed_at is None else self._listed_at
            if now - started_at < NEWS_SECONDS:
                self._seen.update(listed)
        before = self.is_cut_off
        self.is_cut_off = (
            now - self._away_at < NEWS_SECONDS and self._has_lost_any(listed)
        )
        if before and not self.is_cut_off:
            self.ended_at = now
        return self.is_cut_off != before

    def _has_lost_any(self, listed: frozenset[str]) -> bool:
        connected = set(self._regions.values())
        return any(
            region in self._seen and region not in connected
            for region in listed
        )
