"""Runs one benchmark by name: `python -m benchmarks NAME [OPTIONS]`."""

import importlib
import sys
from types import MappingProxyType
from typing import Final

import msgspec

EXIT_USAGE: Final = 2
BASELINE_FLAG: Final = '--baseline'
# Runs the product's design and then the simpler baseline design.
WITH_BASELINE_FLAG: Final = '--with-baseline'
BASELINE_BENCHMARKS: Final = frozenset(('convergence', 'storm', 'cold_start'))
# Each module defines `run(arguments) -> dict[str, object]`.
BENCHMARK_MODULES: Final = MappingProxyType(
    {
        'convergence': 'benchmarks.convergence',
        'latency': 'benchmarks.latency',
        'data_centre': 'benchmarks.data_centre',
        'cold_start': 'benchmarks.cold_start',
        'storm': 'benchmarks.storm',
        'idle': 'benchmarks.idle',
        'reducer': 'benchmarks.reducer',
        'lazy_correction': 'benchmarks.lazy_correction',
        'fault_run': 'benchmarks.fault_run',
        'stop_run': 'benchmarks.stop_run',
        'upstream_run': 'benchmarks.upstream_run',
        'memory_run': 'benchmarks.memory_run',
        'object_memory': 'benchmarks.object_memory',
        'choice': 'benchmarks.choice',
        'mixed_stop_run': 'benchmarks.mixed_stop_run',
    },
)


def main(arguments: list[str]) -> int:
    """Run a benchmark and print its figures as the last line, in JSON."""
    name = arguments[0] if arguments else ''
    if name not in BENCHMARK_MODULES:
        sys.stderr.write(
            'usage: python -m benchmarks NAME [OPTIONS]\n'
            f'NAME is one of {", ".join(BENCHMARK_MODULES)};'
            ' NAME --help lists its options\n'
            f'{WITH_BASELINE_FLAG} also runs the simpler baseline design of'
            f' {", ".join(sorted(BASELINE_BENCHMARKS))}\n',
        )
        return EXIT_USAGE
    figures = _run_benchmark(name, arguments[1:])
    sys.stdout.write(f'{msgspec.json.encode(figures).decode()}\n')
    return 0


def _run_benchmark(name: str, options: list[str]) -> dict[str, object]:
    run = importlib.import_module(BENCHMARK_MODULES[name]).run
    if WITH_BASELINE_FLAG not in options or name not in BASELINE_BENCHMARKS:
        figures: dict[str, object] = run(options)
        return figures
    remaining = [option for option in options if option != WITH_BASELINE_FLAG]
    return {
        'chosen': run(remaining),
        'baseline': run([*remaining, BASELINE_FLAG]),
    }


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
