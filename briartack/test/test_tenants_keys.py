"""Tests of the API keys of tenants, from the wire to the upstream."""

import io
import json
import unittest
from typing import Any, Final

import msgspec
from nose2.tools import params

from briartack.caller_headers import RequestHeaders
from briartack.core.configuration.problems import InvalidValueError
from briartack.core.configuration.validation import validate_team
from briartack.core.effects import WriteLog
from briartack.core.explanation import explain
from briartack.credentials import digest_key
from briartack.native_dialects import NativeCallerDialect
from briartack.platform.callers import PlatformCallerDialect
from briartack.platform.configuration import TEAM_KEY, translate_subtree
from briartack.platform.names import format_header_value
from briartack.request_head import RequestHead
from briartack.test.tenant_fleet import ROUTES, TenantFleet, route, tenant

KEY: Final = 'h4jcda9rgy35ieispuxs'
OTHER_KEY: Final = 'r7i427eya6u6sz9frge9'
TWO_TENANTS: Final = (
    tenant('pulo780', KEY, priority=3),
    tenant('Óscar & Co', OTHER_KEY, priority=0, home_regions=['south']),
)


def translate(*resources: dict[str, Any]) -> str:
    """Return the subtree of a configuration."""
    version = {'version': 1, 'resources': resources}
    return translate_subtree(json.dumps(version).encode())[0]


def decode_head(text: str) -> RequestHead:
    """Decode the header lines of a GET request."""
    stream = io.BytesIO(f'{text}\r\n'.encode())
    return PlatformCallerDialect(service='huvo').decode_head(
        method='GET',
        target='/a/1',
        headers=RequestHeaders(stream),
        body_bytes=0,
    )


def find_error(*resources: dict[str, Any]) -> str:
    """Return why a configuration is refused, empty if it is not."""
    try:
        validate_team(TEAM_KEY, translate(*resources))
    except (ValueError, InvalidValueError) as error:
        return str(error)
    return ''


class TranslationTest(unittest.TestCase):
    def test_subtree_holds_digests_only(self) -> None:
        """Guard against keys in clear in what peers and status show."""
        text = translate(*TWO_TENANTS)
        self.assertNotIn(KEY, text)
        self.assertIn(digest_key(KEY.encode()), text)
        validate_team(TEAM_KEY, text)

    def test_without_tenants_the_subtree_is_as_before(self) -> None:
        """Guard against fields that daemons of earlier releases refuse."""
        subtree = json.loads(translate(*ROUTES[:1]))
        self.assertNotIn('tenants', subtree)
        self.assertNotIn('public', subtree['routes'][0])

    @params('Óscar & Co', 'a\r\nb', ' x', '100%', '', '9' * 70, 'op/x')
    def test_any_name_is_sent_in_a_header(self, name: str) -> None:
        """Guard against a refused name, and one that adds header lines."""
        text = translate(tenant(name, KEY))
        validate_team(TEAM_KEY, text)
        header = format_header_value(name)
        self.assertNotIn('\n', header)
        self.assertEqual(header, header.strip())

    def test_same_key_of_two_tenants_is_refused_with_both_names(self) -> None:
        """Guard against a key whose tenant depends on the order."""
        problem = find_error(tenant('Óscar', KEY), tenant('b', 'x', KEY))
        self.assertIn("'Óscar' and 'b'", problem)
        self.assertNotIn(digest_key(KEY.encode()), problem)

    @params(
        ({'rate_per_s': -1}, 'calls_per_second'),
        ({'burst': -2}, 'burst'),
        ({'rate_per_s': 'x'}, "tenant 't'"),
        ({'api_keys': KEY}, "tenant 't'"),
    )
    def test_malformed_tenant_is_refused_by_name(
        self, spec: dict[str, Any], place: str
    ) -> None:
        """Guard against an error that hides its place or shows a key."""
        error = find_error(tenant('t', **spec))
        self.assertIn(place, error)
        self.assertNotIn(KEY, error)

    def test_two_tenants_of_one_name_are_refused(self) -> None:
        """Guard against the keys of one of them that silently count not."""
        with self.assertRaises(ValueError):
            translate(tenant('t', KEY), tenant('t', OTHER_KEY))

    def test_five_thousand_tenants_fit_into_a_subtree(self) -> None:
        """Guard against a version that is too large because of its digests."""
        text = translate(
            *(
                tenant(f't{number}', f'a{number}', f'b{number}', rate_per_s=9.5)
                for number in range(5000)
            )
        )
        self.assertEqual(len(validate_team(TEAM_KEY, text).tenants or ()), 5000)


class HeadTest(unittest.TestCase):
    @params(
        (f'X-Api-Key: {KEY}\r\n', KEY),
        (f'x-api-key:  {KEY} \r\n', KEY),
        ('X-Api-Key:\r\n', ''),
        ('', ''),
        (f'X_Api_Key: {KEY}\r\n', ''),
        (
            f'X-Api-Key: {KEY}\r\nX-Api-Key: {OTHER_KEY}\r\n',
            f'{KEY}, {OTHER_KEY}',
        ),
    )
    def test_key_becomes_a_digest(self, lines: str, key: str) -> None:
        """Guard against a key that is passed on, and an ambiguous one."""
        head = decode_head(lines)
        expected = digest_key(key.encode()) if key else ''
        self.assertEqual(head.key_digest, expected)
        self.assertNotIn(KEY, repr(msgspec.structs.asdict(head)))

    def test_own_dialect_has_a_header_for_keys(self) -> None:
        """Guard against a key that the product's own dialect passes on."""
        stream = io.BytesIO(f'Briartack-Api-Key: {KEY}\r\n\r\n'.encode())
        head = NativeCallerDialect().decode_head(
            method='GET',
            target='/a/1',
            headers=RequestHeaders(stream),
            body_bytes=0,
        )
        self.assertEqual(head.key_digest, digest_key(KEY.encode()))
        self.assertEqual(head.headers, ())

    def test_configuration_and_request_agree_on_any_key(self) -> None:
        """Guard against a key outside ASCII that never matches."""
        head = decode_head('X-Api-Key: clé\r\n')
        self.assertIn(head.key_digest, translate(tenant('t', 'clé')))


class ResolutionTest(unittest.TestCase):
    def start(self, *resources: dict[str, Any]) -> TenantFleet:
        """Start one daemon with a configuration."""
        return TenantFleet(resources=resources or TWO_TENANTS)

    @params(
        ({'key': KEY}, 200),
        ({'key': 'unknown'}, 401),
        ({}, 401),
        ({'request_id': 'r9.1'}, 503),
        ({'key': 'unknown', 'request_id': 'r9.1'}, 401),
        ({'path': '/public/x'}, 200),
        ({'path': '/public/x', 'key': 'unknown'}, 200),
        ({'path': '/none/'}, 404),
    )
    def test_key_decides_whether_a_call_runs(
        self, request: dict[str, Any], status: int
    ) -> None:
        """Guard against runs without a key, and against wrong refusals."""
        fleet = self.start()
        fleet.call('m0', 'c1', **request)
        fleet.run_until(fleet.now + 0.1)
        self.assertEqual(fleet.answers['c1'].status, status)
        self.assertEqual(len(fleet.runs), int(status == 200))

    @params(
        ({'key': KEY}, 'pulo780'),
        ({'key': KEY, 'path': '/public/x'}, 'pulo780'),
        ({'path': '/public/x'}, None),
    )
    def test_upstream_gets_the_tenant_from_the_daemon_alone(
        self, request: dict[str, Any], header: str | None
    ) -> None:
        """Guard against a caller that names another tenant."""
        fleet = self.start()
        forged = (('x-tenant', 'forged'), ('X_Tenant', 'forged'))
        fleet.call('m0', 'c1', headers=forged, **request)
        headers = fleet.runs[0][2]
        self.assertEqual(headers.get('X-Tenant'), header)
        self.assertNotIn('forged', headers.values())

    def test_name_of_any_form_reaches_the_upstream(self) -> None:
        """Guard against the product's own name for a tenant in the header."""
        fleet = TenantFleet(size=2, resources=TWO_TENANTS)
        fleet.call('m1', 'c1', key=OTHER_KEY)
        fleet.run_until(fleet.now + 0.5)
        header = fleet.runs[0][2]['X-Tenant']
        self.assertEqual(header.encode('latin-1').decode(), 'Óscar & Co')

    def test_call_of_a_run_needs_no_key(self) -> None:
        """Guard against refused calls of upstreams, and a tenant in them."""
        fleet = self.start()
        fleet.run_seconds = 1
        fleet.call('m0', 'c1', key=KEY, request_id='r1')
        fleet.call('m0', 'c2', request_id='r1.1', headers=(('X-Tenant', 'f'),))
        self.assertEqual(len(fleet.runs), 2)
        self.assertNotIn('X-Tenant', fleet.runs[1][2])

    def test_tenants_rank_precedes_that_of_the_route(self) -> None:
        """Guard against an urgent route that helps a less urgent tenant."""
        fleet = TenantFleet(
            size=2,
            resources=(
                *TWO_TENANTS,
                route('low', '/low/', priority=900),
                route('high', '/high/', priority=1),
            ),
        )
        self.assertLess(
            rank_of(fleet, key=OTHER_KEY, path='/low/'),
            rank_of(fleet, key=KEY, path='/high/'),
        )
        self.assertLess(
            rank_of(fleet, key=KEY, path='/high/'),
            rank_of(fleet, key=KEY, path='/low/'),
        )

    def test_home_regions_of_tenant_and_route_both_bind(self) -> None:
        """Guard against a run outside the home regions of the tenant."""
        fleet = TenantFleet(
            size=2,
            resources=(
                *TWO_TENANTS,
                route('north', '/north/', home_regions=['north']),
            ),
        )
        fleet.call('m0', 'c1', key=OTHER_KEY)
        fleet.call('m1', 'c2', key=OTHER_KEY, path='/north/x')
        fleet.run_until(fleet.now + 0.5)
        self.assertEqual(fleet.answers['c1'].reason, 'placement')
        self.assertEqual(fleet.answers['c2'].reason, 'placement')
        self.assertEqual(fleet.runs, [])

    def test_explanation_knows_the_regions_of_a_tenant(self) -> None:
        """Guard against an explanation that ignores a tenant's regions."""
        fleet = self.start()
        explained = explain(fleet.states['m0'], 'GET', '/main/', 'Óscar & Co')
        self.assertEqual(explained['home_regions'], ['south'])

    def test_withdrawn_key_is_refused_with_its_version(self) -> None:
        """Guard against a key that outlives its version, or moves late."""
        fleet = self.start()
        moved = tenant('Óscar & Co', OTHER_KEY, KEY)
        fleet.publish(moved)
        fleet.call('m0', 'c1', key=KEY)
        self.assertNotEqual(fleet.runs[0][2]['X-Tenant'], 'pulo780')
        fleet.publish(tenant('Óscar & Co', OTHER_KEY))
        fleet.call('m0', 'c2', key=KEY)
        self.assertEqual(fleet.answers['c2'].status, 401)
        fleet.start('m0')
        fleet.call('m0', 'c3', key=KEY)
        self.assertEqual(fleet.answers['c3'].status, 401)

    def test_daemon_without_a_configuration_never_says_401(self) -> None:
        """Guard against a final refusal by a daemon that knows no keys."""
        fleet = TenantFleet()
        fleet.call('m0', 'c1', key=KEY)
        self.assertEqual(fleet.answers['c1'].status, 503)

    def test_without_tenants_calls_are_served_as_before(self) -> None:
        """Guard against keys that are asked for without need."""
        fleet = self.start(ROUTES[0])
        fleet.call('m0', 'c1', headers=(('X-Tenant', 'own'),))
        self.assertEqual(fleet.runs[0][2]['X-Tenant'], 'own')

    def test_version_with_a_shared_key_is_refused_whole(self) -> None:
        """Guard against a version of which a part is in force."""
        fleet = self.start()
        fleet.publish(tenant('a', KEY, OTHER_KEY), tenant('b', KEY))
        fleet.call('m0', 'c1', key=KEY)
        self.assertEqual(fleet.runs[0][2]['X-Tenant'], 'pulo780')

    def test_no_key_or_digest_is_logged_or_recorded(self) -> None:
        """Guard against keys and digests in the log and the audit trail."""
        fleet = self.start()
        fleet.call('m0', 'c1', key=KEY)
        fleet.call('m0', 'c2', key='unknown')
        fleet.publish(tenant('a', KEY), tenant('b', KEY))
        lines = ' '.join(map(repr, fleet.written))
        self.assertIn('unknown-api-key', lines)
        self.assertIn('have the same API key', lines)
        for secret in (KEY, digest_key(KEY.encode())):
            self.assertNotIn(secret, lines)


def rank_of(fleet: TenantFleet, **request: Any) -> int:
    """Return the rank that the log states for the attempt of a call."""
    fleet.call('m1', f'rank{len(fleet.written)}', **request)
    line = next(
        line
        for line in reversed(fleet.written)
        if isinstance(line, WriteLog) and line.code == 'attempt-sent'
    )
    return int(dict(line.fields)['rank'])
