"""Runs one measurement by name: `python -m benchmarks NAME [OPTIONS]`."""

import importlib
import sys
from types import MappingProxyType
from typing import Final

import msgspec

EXIT_USAGE: Final = 2
BASELINE: Final = '--baseline'
# Runs the chosen design and then the simpler one, in one call.
WITH_BASELINE: Final = '--with-baseline'
WITH_BASELINES: Final = frozenset(('convergence', 'storm', 'cold_start'))
# Each module offers `run(arguments) -> dict[str, object]`.
MODULES: Final = MappingProxyType(
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
    },
)


def main(arguments: list[str]) -> int:
    """Run a measurement and print its figures as the last line."""
    name = arguments[0] if arguments else ''
    if name not in MODULES:
        sys.stderr.write(
            'usage: python -m benchmarks NAME [OPTIONS]\n'
            f'NAME is one of {", ".join(MODULES)};'
            ' NAME --help lists its options\n'
            f'{WITH_BASELINE} adds the simpler design to'
            f' {", ".join(sorted(WITH_BASELINES))}\n',
        )
        return EXIT_USAGE
    figures = _figures(name, arguments[1:])
    sys.stdout.write(f'{msgspec.json.encode(figures).decode()}\n')
    return 0


def _figures(name: str, options: list[str]) -> dict[str, object]:
    run = importlib.import_module(MODULES[name]).run
    if WITH_BASELINE not in options or name not in WITH_BASELINES:
        figures: dict[str, object] = run(options)
        return figures
    kept = [option for option in options if option != WITH_BASELINE]
    return {'chosen': run(kept), 'baseline': run([*kept, BASELINE])}


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
