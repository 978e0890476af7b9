"""Tests of the host that selects a route."""

import unittest
from dataclasses import replace

from nose2.tools import params

from briartack.core.calls.routing import RoutingState
from briartack.test.call_path_bench import CallPathBench, FakeSnapshot


class TestRouteHosts(unittest.TestCase):
    # Guards against a route in force that is refused with 404, because the
    # caller writes the host with other capitals than the operator.
    @params(
        ('shop.example', 'shop.example', True),
        ('shop.example', 'Shop.EXAMPLE', True),
        ('Shop.Example', 'shop.example', True),
        ('', 'Shop.example', True),
        ('shop.example', 'shop.example.org', False),
        ('shop.example', '', False),
    )
    def test_hosts_match_without_regard_to_case(
        self, route_host: str, host: str, is_matched: bool
    ) -> None:
        """Guard against hosts that are compared letter by letter."""
        snapshot = CallPathBench(setup={}).context.snapshot
        assert isinstance(snapshot, FakeSnapshot)
        route = replace(snapshot.routes[0], host=route_host)
        found = RoutingState().match_route(
            replace(snapshot, routes=(route,)), 'GET', route.path_prefix, host
        )
        self.assertEqual(found is not None, is_matched)
