"""Collect metrics and export them through OpenTelemetry.

Adding to an OpenTelemetry counter or histogram takes several microseconds,
which is too slow for the handling of calls. So sums are kept in dicts and read
on demand by observable counters, and a histogram is a counter whose attribute
`le` is the upper bound of a bucket.
"""

import bisect
import itertools
from collections.abc import Iterable, Iterator
from typing import Final, final

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    Metric,
    NumberDataPoint,
)

from briartack.shell_interfaces import Attributes

_PREFIX: Final = 'briartack.'
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

    def collect_totals(self, options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(total, dict(attributes))
            for attributes, total in self._sums.items()
        ]


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

    def collect_buckets(
        self, options: CallbackOptions
    ) -> Iterable[Observation]:
        totals = itertools.accumulate(self._bucket_counts)
        return [
            Observation(total, {'le': text})
            for text, total in zip(_BOUND_TEXTS, totals, strict=True)
        ]

    def collect_sum(self, options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(self._total_seconds)]


@final
class MetricRegistry:
    """Create instruments by name on first use and format them as text."""

    __slots__ = ('_reader', '_provider', '_meter', '_counters', '_histograms')

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('briartack')
        self._counters: dict[str, _Counter] = {}
        self._histograms: dict[str, _Histogram] = {}

    def add(
        self,
        name: str,
        amount: int = 1,
        attributes: Attributes = (),
    ) -> None:
        """Add an amount to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._create_counter(name)
        counter.add(amount, attributes)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._create_histogram(name)
        histogram.add(seconds)

    def format_lines(self) -> Iterator[str]:
        """Yield `name{attributes} value` for every data point."""
        collected = self._reader.get_metrics_data()
        if collected is None:
            return
        for resource in collected.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    yield from _format_metric(metric)

    def _create_counter(self, name: str) -> _Counter:
        counter = _Counter()
        self._counters[name] = counter
        self._meter.create_observable_counter(
            _PREFIX + name.replace('-', '_'),
            callbacks=[counter.collect_totals],
        )
        return counter

    def _create_histogram(self, name: str) -> _Histogram:
        histogram = _Histogram()
        self._histograms[name] = histogram
        self._meter.create_observable_counter(
            f'{_PREFIX}{name}_bucket',
            callbacks=[histogram.collect_buckets],
        )
        self._meter.create_observable_counter(
            f'{_PREFIX}{name}_sum',
            callbacks=[histogram.collect_sum],
            unit='s',
        )
        return histogram


def _format_metric(metric: Metric) -> Iterator[str]:
    name = metric.name.replace('.', '_').replace('-', '_')
    for point in metric.data.data_points:
        attributes = _format_attributes(point.attributes or {})
        if isinstance(point, NumberDataPoint):
            yield f'{name}{attributes} {point.value}'


def _format_attributes(attributes: object) -> str:
    if not isinstance(attributes, dict) or not attributes:
        return ''
    pairs = ','.join(
        f'{key}="{_escape_label(str(text))}"'
        for key, text in sorted(attributes.items())
    )
    return f'{{{pairs}}}'


def _escape_label(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
