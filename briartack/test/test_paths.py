"""Tests of the check for ambiguous paths.

An upstream may resolve dot segments, empty segments, escapes and backslashes
in a path. The path that it serves then belongs to another route than the path
that the daemon matched, and the home regions of that route would be evaded.
"""

import unittest

from nose2.tools import params

from briartack.core.calls.call_checks import is_ambiguous_path


class PathTest(unittest.TestCase):
    """Test request targets, a row each."""

    @params(
        '/saldo/../saldo/galapagos/1',
        '/saldo/x/..',
        '/saldo/./galapagos',
        '/saldo//galapagos',
        '/saldo/%2e%2E/galapagos',
        '/saldo/g%61lapagos/1',
        '/saldo%2Fgalapagos',
        r'/saldo\galapagos',
        '/saldo/%67alapagos',
        '/saldo/%30',
    )
    def test_path_with_another_reading_is_ambiguous(self, target: str) -> None:
        """Guard against a path that an upstream may read as another one."""
        self.assertTrue(is_ambiguous_path(target))

    @params(
        '/',
        '/saldo/',
        '/saldo/a.b/c..d/.hidden',
        '/saldo/S%C3%A3o%20Paulo',
        '/saldo/x?next=//other/../y%2e',
        '/saldo/100%25',
    )
    def test_path_with_one_reading_is_not_ambiguous(self, target: str) -> None:
        """Guard against the refusal of harmless paths."""
        self.assertFalse(is_ambiguous_path(target))
