"""Computes percentiles of call benchmarks and prints their figures."""

import math
import sys
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

import msgspec

Figures: TypeAlias = dict[str, object]
PERCENT: Final = 100
MS_PER_SECOND: Final = 1000
EXIT_TARGET_MISSED: Final = 1


def percentile(samples: Sequence[float], percent: float) -> float:
    """Return the smallest sample with `percent` % of all at or below it."""
    ordered = sorted(samples)
    position = math.ceil(len(ordered) * percent / PERCENT) - 1
    return ordered[max(position, 0)]


def round_milliseconds(seconds: float) -> float:
    """Convert seconds to milliseconds, rounded to a microsecond."""
    return round(seconds * MS_PER_SECOND, 3)


def run_as_program(run: Callable[[list[str]], Figures]) -> None:
    """Run one benchmark as a program; exit 1 if a target was missed."""
    figures = run(sys.argv[1:])
    text = msgspec.json.format(msgspec.json.encode(figures), indent=2)
    sys.stdout.write(f'{text.decode()}\n')
    sys.exit(0 if figures['met'] else EXIT_TARGET_MISSED)
