"""Metrics by OpenTelemetry, kept off the path of calls.

An OpenTelemetry counter costs several microseconds for each addition. So
counts are added to a dict that observable counters report on demand, and
durations wait in a list until the next tick.
"""

from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias, final

from opentelemetry.metrics import (
    CallbackOptions,
    Histogram,
    Observation,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    Metric,
    NumberDataPoint,
)

Attributes: TypeAlias = tuple[tuple[str, str], ...]

_PREFIX: Final = 'briartack.'
# Exponential buckets from 50 µs to 13 s.
_BOUNDS_SECONDS: Final = tuple(50e-6 * 2**power for power in range(19))
_MAX_WAITING_DURATIONS: Final = 10_000


@final
class _Counter:
    """Hold the sums of one counter by attributes."""

    __slots__ = ('_sums',)

    def __init__(self) -> None:
        self._sums: dict[Attributes, int] = {}

    def add(self, amount: int, attributes: Attributes) -> None:
        self._sums[attributes] = self._sums.get(attributes, 0) + amount

    def observations(self, options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(total, dict(attributes))
            for attributes, total in self._sums.items()
        ]


@final
class Metrics:
    """Make instruments by name on first use and print them as text."""

    __slots__ = (
        '_reader',
        '_provider',
        '_meter',
        '_counters',
        '_histograms',
        '_durations',
    )

    def __init__(self) -> None:
        """Start without instruments."""
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('briartack')
        self._counters: dict[str, _Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._durations: list[tuple[str, float]] = []

    def add(
        self,
        name: str,
        amount: int = 1,
        attributes: Attributes = (),
    ) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._make_counter(name)
        counter.add(amount, attributes)

    def observe(self, name: str, seconds: float) -> None:
        """Keep a duration for the next flush."""
        if len(self._durations) < _MAX_WAITING_DURATIONS:
            self._durations.append((name, seconds))

    def flush(self) -> None:
        """Move the durations into their histograms."""
        durations, self._durations = self._durations, []
        for name, seconds in durations:
            self._histogram(name).record(seconds)

    def lines(self) -> Iterator[str]:
        """Yield `name{attributes} value` for every data point."""
        self.flush()
        collected = self._reader.get_metrics_data()
        if collected is None:
            return
        for resource in collected.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    yield from _metric_lines(metric)

    def _make_counter(self, name: str) -> _Counter:
        counter = _Counter()
        self._counters[name] = counter
        self._meter.create_observable_counter(
            _PREFIX + name.replace('-', '_'),
            callbacks=[counter.observations],
        )
        return counter

    def _histogram(self, name: str) -> Histogram:
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(
                _PREFIX + name,
                unit='s',
                explicit_bucket_boundaries_advisory=_BOUNDS_SECONDS,
            )
            self._histograms[name] = histogram
        return histogram


def _metric_lines(metric: Metric) -> Iterator[str]:
    name = metric.name.replace('.', '_').replace('-', '_')
    for point in metric.data.data_points:
        attributes = _attribute_text(point.attributes or {})
        if isinstance(point, HistogramDataPoint):
            yield from _histogram_lines(name, attributes, point)
        elif isinstance(point, NumberDataPoint):
            yield f'{name}{attributes} {point.value}'


def _histogram_lines(
    name: str,
    attributes: str,
    point: HistogramDataPoint,
) -> Iterator[str]:
    yield f'{name}_count{attributes} {point.count}'
    yield f'{name}_sum{attributes} {point.sum:.6f}'
    total = 0
    bounds = (*(f'{bound:.6g}' for bound in point.explicit_bounds), '+Inf')
    for bound, number in zip(bounds, point.bucket_counts, strict=True):
        total += number
        yield f'{name}_bucket{{le="{bound}"}} {total}'


def _attribute_text(attributes: object) -> str:
    if not isinstance(attributes, dict) or not attributes:
        return ''
    pairs = ','.join(
        f'{key}="{_escape(str(text))}"'
        for key, text in sorted(attributes.items())
    )
    return f'{{{pairs}}}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')
