"""Test that a proper configuration is accepted, whatever its names and numbers.

The platform's pages say nothing of the form of names, and set no limits to the
numbers. The product's own limits must not refuse a version of the operators.
"""

import json
import unittest
from random import Random
from typing import Any, Final

from nose2.tools import params

from briartack.core.configuration.resolved_snapshot import ResolvedRoute
from briartack.core.configuration.snapshot import ConfigurationState
from briartack.core.dissemination.dissemination import (
    ReceivedEntries,
)
from briartack.core.effects import LimitCallers
from briartack.core.merging import merge
from briartack.core.state import State
from briartack.options import Options, read_options
from briartack.platform.names import encode_name, qualify_service
from briartack.test.fake_reducer import make_identity
from briartack.test.test_options import VALID_ENVIRONMENT
from briartack.test.test_platform_store import (
    DIALECT,
    INFO,
    ROUTE,
    SERVER,
    SERVICE,
    decode_single_entry,
    item,
)

NAMES: Final = (
    'tariff',
    'tariff_v2',
    'Tariff',
    '2tariff',
    'tariff.v2',
    'tariff-',
    'x' * 80,
    'x' * 300,
    'x--tariff',
    'preço',
    '料金',
    'a b',
    'a/b',
    '..',
    '-',
    '%2e',
)


def resource(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    """Return one resource of the operators' configuration."""
    return {
        'resource_kind': kind,
        'metadata': {'name': name},
        'spec': spec,
    }


def accept(*resources: dict[str, Any]) -> tuple[ResolvedRoute, ...]:
    """Return the routes in force after a version; fail if it is refused."""
    snapshots = ConfigurationState()
    value = {'version': 7, 'resources': list(resources)}
    change = snapshots.apply((decode_single_entry(item('op/config', value)),))
    assert not change.refused, change.refused
    assert snapshots.snapshot is not None
    return snapshots.snapshot.routes


MIB_16 = 16_777_216


class NameTest(unittest.TestCase):
    # Guards against a version that is refused whole for the form of a name.
    @params(*NAMES)
    def test_name_of_any_form_is_accepted(self, name: str) -> None:
        routes = accept(
            resource('services', name, SERVICE),
            resource(
                'routes',
                name,
                {**ROUTE, 'service': name, 'home_regions': [name, name]},
            ),
        )
        self.assertEqual(routes[0].service, qualify_service(name))
        self.assertEqual(routes[0].home_regions, {encode_name(name)})

    # Guards against requests for one service that another one runs.
    def test_names_stay_apart(self) -> None:
        encoded = {encode_name(name) for name in NAMES}
        self.assertEqual(len(encoded), len(NAMES))
        # Another route may have the name that stands for one of these.
        stand_in = encode_name('Tariff')
        self.assertNotEqual(encode_name(stand_in), stand_in)

    # Guards against a version that is refused for a repeated label.
    def test_routes_of_one_name_are_accepted(self) -> None:
        routes = accept(
            resource('services', 'huvo', SERVICE),
            resource('routes', 'same', ROUTE),
            resource('routes', 'same', {**ROUTE, 'prefix': '/b/'}),
        )
        self.assertEqual(len(routes), 2)

    # Guards against a service whose upstreams are not found by its name.
    @params(*NAMES)
    def test_registration_names_the_same_service(self, name: str) -> None:
        info = {**INFO, 'service': name}
        entry = decode_single_entry(
            item('servers/i-1', {**SERVER, 'info': info})
        )
        record = json.loads(entry.value or '')
        self.assertEqual(record['service'], qualify_service(name))

    # Guards against a daemon that does not start for the form of a name.
    @params('Saldo_1', '2saldo', 'saldo.v2', 'x' * 80, 'preço', 'a/b')
    def test_daemon_starts_with_names_of_any_form(self, name: str) -> None:
        options = self.read(name, 'platform')
        self.assertEqual(options.service, f'op/{name}')
        self.assertEqual((options.data_centre, options.region), (name, name))
        with self.assertRaises(ExceptionGroup):
            self.read(name, 'own')

    def read(self, name: str, dialect: str) -> Options:
        """Return the options of a daemon whose names are all the same."""
        flags = [
            *('--service', f'op/{name}', '--data-centre', name),
            *('--region', name, '--dialect', dialect),
        ]
        return read_options(flags, VALID_ENVIRONMENT)


class CallerLimitsTest(unittest.TestCase):
    # Guards against connections that are closed before callers stop reusing
    # them, since the operators' limits are ignored, and against a version that
    # is refused for its limits.
    @params(
        ({}, 75_000, 75_000),
        ({'idle_timeout_ms': 120_000.0}, 120_000, 75_000),
        (
            {'idle_timeout_ms': 0.1, 'header_timeout_ms': 1e12},
            75_000,
            3_600_000,
        ),
        (
            {'idle_timeout_ms': 15_000, 'header_timeout_ms': 3000},
            75_000,
            75_000,
        ),
        ({'idle_timeout_ms': None, 'max_body_bytes': 1}, 75_000, 75_000),
        ({'idle_timeout_ms': 0, 'header_timeout_ms': -1}, 75_000, 75_000),
    )
    def test_limits_are_in_force(
        self, spec: dict[str, Any], idle_ms: int, header_ms: int
    ) -> None:
        state = State(
            identity=make_identity('a-1'), random=Random(1), drain_seconds=1
        )
        value = {'version': 7, 'resources': [resource('limits', 'all', spec)]}
        entries = (decode_single_entry(item('op/config', value)),)
        received = ReceivedEntries(
            entries=entries,
            revision=entries[0].revision,
            source=None,
            effects=[],
        )
        expected = LimitCallers(
            idle_seconds=idle_ms / 1000, header_seconds=header_ms / 1000
        )
        for limits in ([expected], []):
            merged = merge(state, 1, received)
            found = [one for one in merged if isinstance(one, LimitCallers)]
            self.assertEqual(found, limits)

    # Guards against sizes that operators allow and daemons refuse, and against
    # limits below the product's own, which callers may rely on.
    @params(
        ({}, MIB_16, 65_536, False),
        ({'max_body_bytes': 2 * MIB_16}, 2 * MIB_16, 65_536, True),
        ({'max_body_bytes': 1e12}, 4 * MIB_16, 65_536, True),
        ({'max_body_bytes': MIB_16}, MIB_16, 65_536, False),
        ({'max_body_bytes': 0, 'max_header_bytes': -1}, MIB_16, 65_536, False),
        (
            {'max_body_bytes': None, 'max_header_bytes': 1},
            MIB_16,
            65_536,
            False,
        ),
        ({'max_header_bytes': 100_000.5}, MIB_16, 100_000, True),
        ({'max_header_bytes': 1e9}, MIB_16, 1_048_576, True),
    )
    def test_sizes_are_in_force(
        self,
        spec: dict[str, Any],
        body_bytes: int,
        head_bytes: int,
        is_stated: bool,
    ) -> None:
        value = {'version': 7, 'resources': [resource('limits', 'all', spec)]}
        entry = decode_single_entry(item('op/config', value))
        self.assertIs('_bytes' in (entry.value or ''), is_stated)
        state = State(
            identity=make_identity('a-1'), random=Random(1), drain_seconds=1
        )
        received = ReceivedEntries(
            entries=(entry,), revision=entry.revision, source=None, effects=[]
        )
        limits = [
            (one.max_body_bytes, one.max_head_bytes)
            for one in merge(state, 1, received)
            if isinstance(one, LimitCallers)
        ]
        self.assertEqual(limits, [(body_bytes, head_bytes)])

    # Guards against a version that daemons of the release before refuse for a
    # field that they don't know (CONFIG).
    @params(
        (None, False),
        ({'idle_timeout_ms': 15_000, 'header_timeout_ms': 3000}, False),
        ({'idle_timeout_ms': 120_000}, True),
    )
    def test_usual_limits_are_not_passed_on(
        self, spec: dict[str, Any] | None, is_stated: bool
    ) -> None:
        resources = [] if spec is None else [resource('limits', 'all', spec)]
        value = {'version': 7, 'resources': resources}
        entry = decode_single_entry(item('op/config', value))
        self.assertIs('callers' in (entry.value or ''), is_stated)


class NumberTest(unittest.TestCase):
    # Guards against a version that is refused for a number of a route.
    @params(
        {'timeout_ms': 0.2},
        {'timeout_ms': 10_000_000},
        {'timeout_ms': 1e300},
        {'target_latency_ms': 10_000_000},
        {'target_latency_ms': None},
        {'priority': 5000},
        {'max_attempts': 1000},
        {'split': None},
        {'service': None, 'split': [{'service': 'huvo', 'weight': 1e12}]},
        {'service': '', 'split': [{'service': 'huvo', 'weight': 1e-9}]},
        {'home_regions': None},
    )
    def test_number_of_a_route_is_accepted(
        self, fields: dict[str, Any]
    ) -> None:
        routes = accept(
            resource('services', 'huvo', SERVICE),
            resource('routes', 'r', {**ROUTE, **fields}),
        )
        self.assertEqual(routes[0].service, 'op/huvo')

    # Guards against a version that is refused for a number of a service.
    @params(
        {'max_conns': 1_000_000},
        {'cold_start_s': 100_000},
        {'cold_per_s': 0},
        {'cold_per_s': 1e9},
        {'cold_per_s': None},
    )
    def test_number_of_a_service_is_accepted(
        self, fields: dict[str, Any]
    ) -> None:
        routes = accept(
            resource('services', 'huvo', {**SERVICE, **fields}),
            resource('routes', 'r', ROUTE),
        )
        self.assertEqual(routes[0].service, 'op/huvo')

    # Guards against shares that change when large weights are limited.
    def test_large_weights_keep_their_proportion(self) -> None:
        parts = [{'service': 'huvo', 'weight': weight} for weight in (3e9, 1e9)]
        routes = accept(
            resource('services', 'huvo', SERVICE),
            resource('routes', 'r', {**ROUTE, 'split': parts}),
        )
        weights = [share.weight for share in routes[0].shares]
        self.assertAlmostEqual(weights[0] / weights[1], 3)

    # Guards against an upstream that is left out for its size.
    def test_many_slots_are_accepted(self) -> None:
        info = {**INFO, 'slots': 10_000_000}
        page = DIALECT.decode_read_page(
            json.dumps(
                {
                    'items': [item('servers/i-1', {**SERVER, 'info': info})],
                    'as_of': 9,
                }
            ).encode()
        )
        self.assertEqual(page.refused, ())
