"""Measurements with real processes; see `python -m benchmarks --help`."""
