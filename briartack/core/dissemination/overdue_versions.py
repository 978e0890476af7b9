"""Detection of versions that peers announce and do not deliver.

A daemon may hear its peers although nothing that it sends reaches them, or
wait for answers that come too late. Its peers seem healthy then, and only the
lack of progress shows that it must read the store itself.
"""

from typing import Final, final

from briartack.core.units import Revision

MAX_DELAY_FACTOR: Final = 32


@final
class OverdueVersions:
    """Track since when a newer configuration is announced without progress.

    Holds the revision that was held then, and the factor by which the wait for
    the next read is longer than for the first.
    """

    __slots__ = ('_waits_since', '_held', '_delay_factor')

    def __init__(self) -> None:
        self._waits_since: float | None = None
        self._held: Revision | None = None
        self._delay_factor = 1

    def record(self, now: float, held: Revision, announced: Revision) -> None:
        """Record the highest revisions that are held and announced."""
        if announced <= held:
            self._waits_since = None
        elif self._waits_since is None or held != self._held:
            self._waits_since = now
            self._delay_factor = 1
        self._held = held

    def resume(self) -> None:
        """Restart the wait after a pause of this process."""
        self._waits_since = None

    def take_overdue(self, now: float, delay_seconds: float) -> bool:
        """Return whether to read the store now; the next wait is longer."""
        since = self._waits_since
        if since is None or now - since < delay_seconds * self._delay_factor:
            return False
        self._waits_since = now
        self._delay_factor = min(self._delay_factor * 2, MAX_DELAY_FACTOR)
        return True
