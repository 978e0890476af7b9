"""Implement the dialects of the users' platform: names, formats and requests.

The modules make no decisions and keep no state between two calls. Names of the
platform occur nowhere else in the program: these modules translate them to and
from the product's own types.
"""
