"""Tells plain paths from those that an upstream may read otherwise.

Guards against a request that passes by the route with its home regions.
"""

import unittest

from nose2.tools import params

from briartack.core.calls.call_checks import is_ambiguous_path


class PathTest(unittest.TestCase):
    """Tables of targets."""

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
    def test_ambiguous(self, target: str) -> None:
        self.assertTrue(is_ambiguous_path(target))

    @params(
        '/',
        '/saldo/',
        '/saldo/a.b/c..d/.hidden',
        '/saldo/S%C3%A3o%20Paulo',
        '/saldo/x?next=//other/../y%2e',
        '/saldo/100%25',
    )
    def test_plain(self, target: str) -> None:
        self.assertFalse(is_ambiguous_path(target))
