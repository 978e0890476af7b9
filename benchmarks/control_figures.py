"""Figures of measured numbers: percentiles, slopes and targets."""

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
_DIGITS: Final = 4


def percentile(numbers: Iterable[float], share: float) -> float:
    """Return the smallest number with a share of all at or below it."""
    ordered = sorted(numbers)
    if not ordered:
        return math.nan
    position = math.ceil(share * len(ordered)) - 1
    return ordered[max(0, position)]


def spread(numbers: Collection[float]) -> dict[str, float]:
    """Describe numbers by their mean, median, 99th percentile and maximum."""
    return {
        'mean': rounded(sum(numbers) / max(1, len(numbers))),
        'p50': rounded(percentile(numbers, 0.5)),
        'p99': rounded(percentile(numbers, 0.99)),
        'max': rounded(max(numbers, default=math.nan)),
    }


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Fit a line through points by least squares; 0 if it stands upright."""
    count = max(1, len(points))
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    width = sum((size - mean_size) ** 2 for size, _ in points)
    if not width:
        return 0
    height = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    return height / width


def rounded(number: float) -> float:
    """Round to significant digits that a measurement can carry."""
    return float(f'{number:.{_DIGITS}g}')
