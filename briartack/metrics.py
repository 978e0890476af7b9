"""Metrics by OpenTelemetry, kept off the path of calls.

An addition to an OpenTelemetry counter or histogram costs several
microseconds. So sums are kept in dicts that observable counters report on
demand, and a histogram is a counter with its upper bounds as attributes.
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

from briartack.ports import Attributes

_PREFIX: Final = 'briartack.'
_FIRST_BOUND_SECONDS: Final = 0.00005
_BUCKETS: Final = 18  # the last bound is 6.6 s
_BOUNDS_SECONDS: Final = tuple(
    _FIRST_BOUND_SECONDS * 2**power for power in range(_BUCKETS)
)
_BOUND_TEXTS: Final = (*(f'{bound:.6g}' for bound in _BOUNDS_SECONDS), '+Inf')


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
class _Durations:
    """Hold how many durations fell below each bound."""

    __slots__ = ('_buckets', '_total_seconds')

    def __init__(self) -> None:
        self._buckets = [0 for _ in _BOUND_TEXTS]
        self._total_seconds: float = 0

    def add(self, seconds: float) -> None:
        self._buckets[bisect.bisect_left(_BOUNDS_SECONDS, seconds)] += 1
        self._total_seconds += seconds

    def buckets(self, options: CallbackOptions) -> Iterable[Observation]:
        totals = itertools.accumulate(self._buckets)
        return [
            Observation(total, {'le': text})
            for text, total in zip(_BOUND_TEXTS, totals, strict=True)
        ]

    def sums(self, options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(self._total_seconds)]


@final
class Metrics:
    """Make instruments by name on first use and print them as text."""

    __slots__ = ('_reader', '_provider', '_meter', '_counters', '_durations')

    def __init__(self) -> None:
        """Start without instruments."""
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('briartack')
        self._counters: dict[str, _Counter] = {}
        self._durations: dict[str, _Durations] = {}

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
        """Add a duration to a histogram."""
        durations = self._durations.get(name)
        if durations is None:
            durations = self._make_durations(name)
        durations.add(seconds)

    def lines(self) -> Iterator[str]:
        """Yield `name{attributes} value` for every data point."""
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

    def _make_durations(self, name: str) -> _Durations:
        durations = _Durations()
        self._durations[name] = durations
        self._meter.create_observable_counter(
            f'{_PREFIX}{name}_bucket',
            callbacks=[durations.buckets],
        )
        self._meter.create_observable_counter(
            f'{_PREFIX}{name}_sum',
            callbacks=[durations.sums],
            unit='s',
        )
        return durations


def _metric_lines(metric: Metric) -> Iterator[str]:
    name = metric.name.replace('.', '_').replace('-', '_')
    for point in metric.data.data_points:
        attributes = _attribute_text(point.attributes or {})
        if isinstance(point, NumberDataPoint):
            yield f'{name}{attributes} {point.value}'


def _attribute_text(attributes: object) -> str:
    if not isinstance(attributes, dict) or not attributes:
        return ''
    pairs = ','.join(
        f'{key}="{_escape(str(text))}"'
        for key, text in sorted(attributes.items())
    )
    return f'{{{pairs}}}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
