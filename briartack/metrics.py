"""Collect metrics, which `briartack.metric_exporter` exports on demand.

Adding to an OpenTelemetry counter or histogram takes several microseconds,
which is too slow for the handling of calls. So sums are kept in dicts and read
on demand by observable counters, and a histogram is a counter whose attribute
`le` is the upper bound of a bucket.
"""

import bisect
import itertools
from collections.abc import Callable, Iterable, Iterator
from importlib import import_module
from typing import TYPE_CHECKING, Final, final

from briartack.shell_interfaces import Attributes

if TYPE_CHECKING:
    from briartack.metric_exporter import MetricExporter

_FIRST_BOUND_SECONDS: Final = 0.00005
_BUCKET_COUNT: Final = 18  # the largest bound is 6.6 s
_BOUNDS_SECONDS: Final = tuple(
    _FIRST_BOUND_SECONDS * 2**power for power in range(_BUCKET_COUNT)
)
_BOUND_TEXTS: Final = (*(f'{bound:.6g}' for bound in _BOUNDS_SECONDS), '+Inf')


@final
class _Counter:
    """Hold the totals of one counter by attributes."""

    __slots__ = ('_sums',)

    def __init__(self) -> None:
        self._sums: dict[Attributes, int] = {}

    def add(self, amount: int, attributes: Attributes) -> None:
        self._sums[attributes] = self._sums.get(attributes, 0) + amount

    def collect_totals(self) -> Iterable[tuple[int, Attributes]]:
        return [(total, attributes) for attributes, total in self._sums.items()]


@final
class _Histogram:
    """Count the measurements in each bucket and hold their sum."""

    __slots__ = ('_bucket_counts', '_total_seconds')

    def __init__(self) -> None:
        self._bucket_counts = [0 for _ in _BOUND_TEXTS]
        self._total_seconds: float = 0

    def add(self, seconds: float) -> None:
        self._bucket_counts[bisect.bisect_left(_BOUNDS_SECONDS, seconds)] += 1
        self._total_seconds += seconds

    def collect_buckets(self) -> Iterable[tuple[int, Attributes]]:
        totals = itertools.accumulate(self._bucket_counts)
        return [
            (total, (('le', text),))
            for text, total in zip(_BOUND_TEXTS, totals, strict=True)
        ]

    def collect_sum(self) -> Iterable[tuple[float, Attributes]]:
        return [(self._total_seconds, ())]


@final
class MetricRegistry:
    """Create instruments by name on first use and format them as text."""

    __slots__ = ('_exporter', '_counters', '_histograms', '_gauges')

    def __init__(self) -> None:
        self._exporter: MetricExporter | None = None
        self._counters: dict[str, _Counter] = {}
        self._histograms: dict[str, _Histogram] = {}
        self._gauges: dict[str, Callable[[], int]] = {}

    def add(
        self,
        name: str,
        amount: int = 1,
        attributes: Attributes = (),
    ) -> None:
        """Add an amount to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = _Counter()
            self._counters[name] = counter
        counter.add(amount, attributes)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = _Histogram()
            self._histograms[name] = histogram
        histogram.add(seconds)

    def register_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Add an instrument whose value is read when metrics are exported."""
        self._gauges[name] = read

    def format_lines(self) -> Iterator[str]:
        """Yield `name{attributes} value` for every data point."""
        exporter = self._exporter
        if exporter is None:
            exporter = _create_exporter()
            self._exporter = exporter
        for counter_name, counter in self._counters.items():
            exporter.register(counter_name, counter.collect_totals)
        for name, histogram in self._histograms.items():
            exporter.register(f'{name}_bucket', histogram.collect_buckets)
            exporter.register(f'{name}_sum', histogram.collect_sum, unit='s')
        for gauge_name, read in self._gauges.items():
            exporter.register_gauge(gauge_name, read)
        return exporter.format_lines()


def _create_exporter() -> 'MetricExporter':
    module = import_module('briartack.metric_exporter')
    exporter: MetricExporter = module.MetricExporter()
    return exporter
