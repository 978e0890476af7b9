"""Runs one measurement by name: `python -m benchmarks NAME [OPTIONS]`."""

import importlib
import sys
from types import MappingProxyType
from typing import Final

import msgspec

EXIT_USAGE: Final = 2
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
            ' NAME --help lists its options\n',
        )
        return EXIT_USAGE
    module = importlib.import_module(MODULES[name])
    figures = module.run(arguments[1:])
    sys.stdout.write(f'{msgspec.json.encode(figures).decode()}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
