"""Computes percentiles and slopes, and defines the control-plane targets."""

import math
from collections.abc import Collection, Iterable, Sequence
from typing import Final

TARGET_CONVERGENCE_SECONDS: Final = 4.0
TARGET_STORE_CALLS_PER_SECOND: Final = 2000
TARGET_BYTES_PER_SECOND: Final = 22_000
TARGET_CORE_SHARE: Final = 0.047
TARGET_RSS_BYTES: Final = 256_000_000
TARGET_DAEMONS: Final = 2600
TARGET_SUBTREES: Final = 210
_SIGNIFICANT_DIGITS: Final = 4


def percentile(numbers: Iterable[float], fraction: float) -> float:
    """Return the smallest number with a fraction of all at or below it."""
    ordered = sorted(numbers)
    if not ordered:
        return math.nan
    position = math.ceil(fraction * len(ordered)) - 1
    return ordered[max(0, position)]


def describe_distribution(numbers: Collection[float]) -> dict[str, float]:
    """Return the mean, median, 99th percentile and maximum of numbers."""
    return {
        'mean': round_sig(sum(numbers) / max(1, len(numbers))),
        'p50': round_sig(percentile(numbers, 0.5)),
        'p99': round_sig(percentile(numbers, 0.99)),
        'max': round_sig(max(numbers, default=math.nan)),
    }


def fit_slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of points; 0 if all sizes are equal."""
    count = max(1, len(points))
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    size_variation = sum((size - mean_size) ** 2 for size, _ in points)
    if not size_variation:
        return 0
    covariation = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    return covariation / size_variation


def round_sig(number: float) -> float:
    """Round a measured number to four significant digits."""
    return float(f'{number:.{_SIGNIFICANT_DIGITS}g}')
