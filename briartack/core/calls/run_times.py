"""How long upstreams take to run a request, to find those that are slow."""

from collections.abc import Iterable
from typing import Final, final

# The mean follows about this many answers, so that one long run of a mixed
# load does not make an upstream look slow.
MEAN_ANSWERS: Final = 16
# An upstream that gets no requests is tried again after this time.
FRESH_SECONDS: Final = 3.0
# Instances of one service differ in speed by less than this.
SLOW_FACTOR: Final = 2.5
# With fewer instances to compare, none of them counts as slow.
MIN_COMPARED: Final = 3
# The typical time of a service is computed again after this time.
REVIEW_SECONDS: Final = 0.2


@final
class RunTime:
    """Own the mean time of one upstream's answers."""

    __slots__ = ('_mean', '_answers', '_at')

    def __init__(self) -> None:
        """Start without answers."""
        self._mean = float(0)
        self._answers = 0
        self._at = float('-inf')

    def note(self, now: float, seconds: float) -> None:
        """Take the time of one answer."""
        self._answers = min(self._answers + 1, MEAN_ANSWERS)
        self._mean += (seconds - self._mean) / self._answers
        self._at = now

    def report(self, now: float, seconds: float) -> None:
        """Take a mean that the owner has reported; 0 says nothing."""
        if seconds > 0:
            self._mean = seconds
            self._at = now

    def recent(self, now: float) -> float | None:
        """Return the mean in seconds, unless it is too old."""
        return self._mean if now - self._at < FRESH_SECONDS else None


@final
class TypicalTimes:
    """Own the typical time of each service."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        """Start without services."""
        self._times: dict[str, tuple[float, float | None]] = {}

    def is_due(self, service: str, now: float) -> bool:
        """Tell whether the time of a service has to be computed."""
        found = self._times.get(service)
        return found is None or now - found[0] >= REVIEW_SECONDS

    def note(
        self,
        service: str,
        now: float,
        means: Iterable[float | None],
    ) -> None:
        """Compute the typical time from the means of the instances."""
        known = sorted(mean for mean in means if mean is not None)
        typical = None
        if len(known) >= MIN_COMPARED:
            # The lower median.
            typical = known[(len(known) - 1) // 2]
        self._times[service] = (now, typical)

    def is_slow(self, service: str, mean: float | None) -> bool:
        """Tell whether an instance is much slower than its service."""
        typical = self._times.get(service, (0, None))[1]
        if mean is None or typical is None:
            return False
        return mean > SLOW_FACTOR * typical
