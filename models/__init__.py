"""Specify the core protocol as transition systems that z3 checks.

`python -m models` proves the properties of each system. It also removes each
guard in turn and checks that the search finds the resulting fault.
"""
