"""Benchmarks of daemons; see `python -m benchmarks --help`."""
