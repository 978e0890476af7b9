"""Estimates of the time that runs take at the local upstream.

They combine the run times that the owner observes with the slowdown that the
upstream states. Without a stated slowdown there is no estimate.
"""

import math
from typing import Final, final

from briartack.core.calls.run_times import MeanRunTime
from briartack.core.events import LoadReport

# Bounds the memory; a deployment has fewer routes to one service.
MAX_ROUTES: Final = 256
# Until so many runs are known, one unusual run would decide the estimate.
MIN_RUNS: Final = 10
# The work of a route averages over about this many of its runs.
MEAN_WINDOW_RUNS: Final = 64
# About nine runs in ten take less than the mean and this many mean deviations.
LIKELY_DEVIATIONS: Final = 2.0
# Slow spells of a shared host last about 0.6 s.
SLOWDOWN_HALF_LIFE_SECONDS: Final = 0.6
# Several spells fit into this time, so an older report says nothing.
REPORT_MAX_AGE_SECONDS: Final = 2.0
# The long-run mean covers about 50 slow spells, which come every 4 s.
LONG_RUN_SECONDS: Final = 200.0


@final
class ReportedSlowdown:
    """Hold the latest slowdown that the upstream states, and its mean."""

    __slots__ = ('_latest', '_reported_at', '_mean', '_observed_seconds')

    def __init__(self) -> None:
        self._latest = float(0)
        self._reported_at = float('-inf')
        self._mean = float(0)
        self._observed_seconds = float(0)

    def update(self, now: float, slowdown: float) -> None:
        """Record a report; a slowdown counts until the next report.

        The mean is weighted by time: answers come less often while the host
        is slow, so a mean of reports would be too low.
        """
        seconds = min(max(now - self._reported_at, 0), REPORT_MAX_AGE_SECONDS)
        if math.isinf(self._reported_at):
            self._mean = slowdown
            seconds = 0
        self._observed_seconds = min(
            self._observed_seconds + seconds, LONG_RUN_SECONDS
        )
        if seconds:
            share = seconds / self._observed_seconds
            self._mean += (self._latest - self._mean) * share
        self._latest = slowdown
        self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the expected slowdown at present, 0 if unknown."""
        age = now - self._reported_at
        if age > REPORT_MAX_AGE_SECONDS:
            return 0
        left_share = math.exp2(-max(age, 0) / SLOWDOWN_HALF_LIFE_SECONDS)
        return self._mean + (self._latest - self._mean) * left_share


@final
class RouteWork:
    """Hold the work of a route: its run time at the usual speed."""

    __slots__ = ('_mean', '_deviation', '_runs')

    def __init__(self) -> None:
        self._mean = float(0)
        self._deviation = float(0)
        self._runs = 0

    @property
    def mean_seconds(self) -> float:
        """Return the mean seconds of a run at the usual speed."""
        return self._mean

    @property
    def likely_seconds(self) -> float:
        """Return the seconds within which most runs at the usual speed end."""
        return self._mean + LIKELY_DEVIATIONS * self._deviation

    def update(self, seconds: float) -> None:
        """Add the work of one run to the mean and the mean deviation."""
        self._runs = min(self._runs + 1, MEAN_WINDOW_RUNS)
        self._mean += (seconds - self._mean) / self._runs
        deviation = abs(seconds - self._mean)
        self._deviation += (deviation - self._deviation) / self._runs


@final
class ServiceTimes:
    """Hold the work of each route and the slowdown of the upstream's host."""

    __slots__ = (
        'recent',
        '_slowdown',
        '_routes',
        '_longest_seconds',
        '_runs',
        '_has_load_report',
    )

    def __init__(self) -> None:
        """Know nothing, as after a restart of the daemon."""
        self.recent: Final = MeanRunTime()
        self._slowdown = ReportedSlowdown()
        # In order of use, the least recently used route first.
        self._routes: dict[str, RouteWork] = {}
        self._longest_seconds = float(0)
        self._runs = 0
        self._has_load_report = False

    @property
    def has_enough_runs(self) -> bool:
        """Return whether enough runs for an estimate are known."""
        return self._runs >= MIN_RUNS

    @property
    def has_load_report(self) -> bool:
        """Return whether the upstream has ever stated its load."""
        return self._has_load_report

    def record_report(self, now: float, report: LoadReport | None) -> None:
        """Record the load that the upstream states, if any."""
        if report is None:
            return
        self._has_load_report = True
        # A factor of 0 is none: work takes some time on every host.
        if report.slowdown:
            self._slowdown.update(now, report.slowdown)

    def record_run(
        self,
        now: float,
        route: str,
        seconds: float,
        report: LoadReport | None,
    ) -> None:
        """Record a successful run, with the report at its end."""
        self.recent.update(now, seconds)
        self._runs += 1
        self._longest_seconds = max(self._longest_seconds, seconds)
        if report is None or not report.slowdown:
            return
        work = self._routes.pop(route, None) or RouteWork()
        if len(self._routes) >= MAX_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        self._routes[route] = work
        work.update(seconds / report.slowdown)

    def slowdown(self, now: float) -> float:
        """Return the factor by which work takes longer now, 0 if unknown."""
        return self._slowdown.estimate(now)

    def is_usable(self, now: float) -> bool:
        """Return whether a slowdown and enough runs are known."""
        return self.has_enough_runs and self.slowdown(now) > 0

    def mean_seconds(self, now: float, long_run_mean: float) -> float:
        """Return the mean seconds of the runs of all routes at present.

        Recent runs follow the slowdown. The long-run mean counts if too
        little is known.
        """
        if not self.is_usable(now):
            return long_run_mean
        return self.recent.recent_mean(now) or long_run_mean

    def run_seconds(
        self, now: float, route: str, long_run_mean: float
    ) -> float:
        """Estimate the seconds of a run of a route that starts now.

        The long-run mean counts if too little is known. The wait for nested
        calls does not grow with the slowdown of this host, so the estimate is
        bounded by the longest run known.
        """
        work = self._routes.get(route)
        if work is None:
            return long_run_mean
        return self._apply_slowdown(now, work.mean_seconds, long_run_mean)

    def likely_run_seconds(
        self, now: float, route: str, long_run_mean: float
    ) -> float:
        """Estimate within which time most runs of a route end.

        A queue that is bounded by the mean makes half of the attempts miss
        their target. The long-run mean counts if too little is known.
        """
        work = self._routes.get(route)
        if work is None:
            return long_run_mean
        return self._apply_slowdown(now, work.likely_seconds, long_run_mean)

    def _apply_slowdown(
        self, now: float, work_seconds: float, long_run_mean: float
    ) -> float:
        slowdown = self.slowdown(now)
        if not self.has_enough_runs or slowdown <= 0:
            return long_run_mean
        return min(work_seconds * slowdown, self._longest_seconds)
