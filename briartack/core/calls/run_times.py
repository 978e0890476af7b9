"""Run times of requests at the upstreams, to detect slow instances."""

from collections.abc import Iterable
from typing import Final, final

from briartack.core.units import AttemptId

# The mean averages over about this many answers, so that one long request of a
# mixed load does not make an upstream look slow.
MEAN_WINDOW_ANSWERS: Final = 16
# Older means are ignored, so that an upstream that gets no requests is tried
# again after this time.
MEAN_MAX_AGE_SECONDS: Final = 3.0
# Instances of one service normally differ in speed by less than this factor.
SLOW_FACTOR: Final = 2.5
# No instance counts as slow if fewer instances have a known mean.
MIN_COMPARED_INSTANCES: Final = 3
# With so many answers, one run in a hundred is longer than all known ones.
MIN_BOUND_ANSWERS: Final = 100
# Allows for a run that is longer than all known ones.
BOUND_FACTOR: Final = 2.0
# The typical time of a service is recomputed after this time.
TYPICAL_TIME_MAX_AGE_SECONDS: Final = 0.2


@final
class MeanRunTime:
    """Hold the mean run time of one upstream's answers."""

    __slots__ = ('_mean', '_answers', '_updated_at')

    def __init__(self) -> None:
        self._mean = float(0)
        self._answers = 0
        self._updated_at = float('-inf')

    def update(self, now: float, seconds: float) -> None:
        """Add the run time of one answer to the mean."""
        self._answers = min(self._answers + 1, MEAN_WINDOW_ANSWERS)
        self._mean += (seconds - self._mean) / self._answers
        self._updated_at = now

    def set_reported_mean(self, now: float, seconds: float) -> None:
        """Replace the mean by one that the owner reports; 0 means unknown."""
        if seconds > 0:
            self._mean = seconds
            self._updated_at = now

    def recent_mean(self, now: float) -> float | None:
        """Return the mean in seconds, or `None` if it is too old."""
        return (
            self._mean
            if now - self._updated_at < MEAN_MAX_AGE_SECONDS
            else None
        )


@final
class RunTimeBound:
    """Bound the time of the next run by the longest one known.

    Runs that have not ended count with their time so far. After a start the
    short ones end first, so answers alone would make the bound too low.
    """

    __slots__ = ('_started_at', '_longest_seconds', '_answers')

    def __init__(self) -> None:
        self._started_at: dict[AttemptId, float] = {}  # in order of time
        self._longest_seconds = float(0)
        self._answers = 0

    def begin(self, attempt_id: AttemptId, now: float) -> None:
        """Record the start of a run."""
        self._started_at[attempt_id] = now

    def end(self, attempt_id: AttemptId, now: float) -> None:
        """Record the end of a run, whatever its outcome."""
        started_at = self._started_at.pop(attempt_id, now)
        self._longest_seconds = max(self._longest_seconds, now - started_at)

    def count_answer(self) -> None:
        """Count a run that ended with an answer."""
        self._answers += 1

    def compute_seconds(self, now: float) -> float:
        """Return the bound in seconds, infinite if too few runs are known."""
        if self._answers < MIN_BOUND_ANSWERS:
            return float('inf')
        oldest_start = next(iter(self._started_at.values()), now)
        return BOUND_FACTOR * max(self._longest_seconds, now - oldest_start)


@final
class TypicalTimes:
    """Hold the typical run time of each service."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: dict[str, tuple[float, float | None]] = {}

    def is_due(self, service: str, now: float) -> bool:
        """Return whether the typical time of a service must be recomputed."""
        found = self._times.get(service)
        return found is None or now - found[0] >= TYPICAL_TIME_MAX_AGE_SECONDS

    def update(
        self,
        service: str,
        now: float,
        means: Iterable[float | None],
    ) -> None:
        """Compute a service's typical time from the means of its instances."""
        known = sorted(mean for mean in means if mean is not None)
        typical = None
        if len(known) >= MIN_COMPARED_INSTANCES:
            # The lower median.
            typical = known[(len(known) - 1) // 2]
        self._times[service] = (now, typical)

    def is_slow(self, service: str, mean: float | None) -> bool:
        """Return whether an instance is much slower than is typical."""
        typical = self._times.get(service, (0, None))[1]
        if mean is None or typical is None:
            return False
        return mean > SLOW_FACTOR * typical
