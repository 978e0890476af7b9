"""Specifications of the core protocol, checked with z3.

Each module is a small transition system. `python -m models` checks all of them
and shows that each finds the fault when one of its guards is taken out.
"""
