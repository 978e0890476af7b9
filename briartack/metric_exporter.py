"""Export collected metrics through OpenTelemetry.

Imported when metrics are first read: the SDK takes about a sixth of the
processor time of a start, and a daemon may never be asked for its metrics.
"""

from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Final, TypeAlias, final

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    Metric,
    NumberDataPoint,
)

from briartack.shell_interfaces import Attributes

_PREFIX: Final = 'briartack.'

CollectPoints: TypeAlias = Callable[
    [], Iterable[tuple[int | float, Attributes]]
]


@final
class MetricExporter:
    """Register instruments with OpenTelemetry and format their values."""

    __slots__ = ('_reader', '_provider', '_meter', '_names')

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('briartack')
        self._names: set[str] = set()

    def register(
        self,
        name: str,
        collect_points: CollectPoints,
        unit: str = '',
    ) -> None:
        """Register an instrument unless one with this name exists."""
        if name in self._names:
            return
        self._names.add(name)
        self._meter.create_observable_counter(
            _PREFIX + name.replace('-', '_'),
            callbacks=[partial(_observe, collect_points)],
            unit=unit,
        )

    def register_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Register a gauge unless an instrument with this name exists."""
        if name in self._names:
            return
        self._names.add(name)
        self._meter.create_observable_gauge(
            _PREFIX + name,
            callbacks=[partial(_observe, lambda: [(read(), ())])],
        )

    def format_lines(self) -> Iterator[str]:
        """Yield `name{attributes} value` for every data point."""
        collected = self._reader.get_metrics_data()
        if collected is None:
            return
        for resource in collected.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    yield from _format_metric(metric)


def _observe(
    collect_points: CollectPoints, options: CallbackOptions
) -> Iterable[Observation]:
    return [
        Observation(amount, dict(attributes))
        for amount, attributes in collect_points()
    ]


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
