"""Collect the figures of a stand-in upstream, such as runs by request id."""

from collections import Counter, deque
from typing import Final, final

MAX_SAMPLES: Final = 600
SAMPLE_SECONDS: Final = 0.1


@final
class UpstreamStats:
    """Count runs by request id, concurrency and broken transfers."""

    __slots__ = (
        'counts',
        'runs',
        'in_system',
        'in_service',
        'peak_concurrency',
        'peak_cold_concurrency',
        'peak_over_ramp',
        'last_run_at',
        'first_runs',
        '_loads',
    )

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.in_system = 0
        self.in_service = 0
        self.peak_concurrency = 0
        self.peak_cold_concurrency = 0
        self.peak_over_ramp: float = 0
        self.last_run_at: float = 0  # wall-clock seconds
        self.first_runs: dict[str, float] = {}  # wall-clock seconds
        self._loads: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record_arrival(self, *, is_cold: bool, ramp_limit: float) -> None:
        """Record the arrival of a completely read request."""
        self.in_system += 1
        self.peak_concurrency = max(self.peak_concurrency, self.in_system)
        if is_cold:
            self.peak_cold_concurrency = max(
                self.peak_cold_concurrency,
                self.in_system,
            )
        excess = self.in_system - ramp_limit
        if excess > 0:
            self.counts['over_ramp'] += 1
            self.peak_over_ramp = max(self.peak_over_ramp, excess)

    def record_run(self, request_id: str, wall_time: float) -> None:
        """Record the start of a run of a request."""
        self.counts['runs'] += 1
        self.runs[request_id] += 1
        self.last_run_at = wall_time
        self.first_runs.setdefault(request_id, wall_time)

    def record_load(self, load: float) -> None:
        """Record a sample of the load for delayed health reports."""
        self._loads.append(load)

    def find_past_load(self, seconds: float) -> float:
        """Return the load some seconds ago, at most a minute."""
        position = int(seconds / SAMPLE_SECONDS) + 1
        if not self._loads:
            return 0
        return self._loads[-min(position, len(self._loads))]

    def reset_peaks(self) -> None:
        """Reset the peaks of concurrency to the present state."""
        self.peak_concurrency = self.in_system
        self.peak_cold_concurrency = 0
        self.peak_over_ramp = 0
        self.counts['over_ramp'] = 0

    def summary(self) -> dict[str, object]:
        """Return all figures except the runs of single requests."""
        doubled = {name: runs for name, runs in self.runs.items() if runs > 1}
        doubled.pop('', None)
        return {
            **self.counts,
            'runs': self.counts['runs'],
            'doubled': doubled,
            'in_system': self.in_system,
            'in_service': self.in_service,
            'peak_concurrency': self.peak_concurrency,
            'peak_cold_concurrency': self.peak_cold_concurrency,
            'peak_over_ramp': self.peak_over_ramp,
            'over_ramp': self.counts['over_ramp'],
            'last_run_at': self.last_run_at,
            'uploads_completed': self.counts['uploads_completed'],
            'uploads_broken': self.counts['uploads_broken'],
            'collapsed': self.counts['collapsed'],
        }
