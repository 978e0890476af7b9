"""Answers of the platform's store as the product's entries."""

import base64
import json
import unittest
from typing import Any, Final

from nose2.tools import params

from briartack.core.configuration.snapshot import ConfigurationState
from briartack.core.effects import ReadStore
from briartack.core.entries import Entry
from briartack.core.units import Revision
from briartack.dialects import StoreAnswerError
from briartack.platform.registry import RegistrationDecoder
from briartack.platform.store import PlatformStoreDialect

DIALECT: Final = PlatformStoreDialect(
    registry=RegistrationDecoder(
        regions={'costa-gye': 'costa'}, peer_port=8300
    ),
)
SERVER: Final = {
    'address': '10.1.0.8:8301',
    'info': {'service': 'huvo', 'zone': 'costa-gye', 'slots': 18},
    'status': {'state': 'ready', 'sequence': 4, 'cold_left_ms': 1500},
}
ROUTE: Final = {
    'host': 'h.example',
    'prefix': '/a/',
    'kind': 'idempotent',
    'timeout_ms': 1200,
    'target_latency_ms': 500,
    'priority': 2,
    'service': 'huvo',
    'max_attempts': 2,
    'home_regions': [],
}
SERVICE: Final = {
    'health_path': '/health',
    'max_conns': 130,
    'cold_start_s': 3.0,
    'cold_per_s': 18.0,
}


def item(key: str, value: Any, rev: int = 7) -> dict[str, Any]:
    """Make an item whose value is JSON."""
    text = value if isinstance(value, bytes) else json.dumps(value).encode()
    encoded = base64.b64encode(text).decode()
    return {'key': key, 'value': encoded, 'rev': rev, 'created': 1, 'lease': 0}


def config(*routes: dict[str, Any]) -> dict[str, Any]:
    """Make an operators' configuration with one service."""
    resources = [
        {
            'resource_kind': 'routes',
            'metadata': {'name': f'r-{number}'},
            'spec': {**ROUTE, **route},
        }
        for number, route in enumerate(routes)
    ]
    service = {
        'resource_kind': 'services',
        'metadata': {'name': 'huvo'},
        'spec': SERVICE,
    }
    limits = {'resource_kind': 'limits', 'metadata': {}, 'spec': {}}
    return {'version': 7, 'resources': [*resources, service, limits]}


def read(*items: dict[str, Any], **more: Any) -> bytes:
    """Make the answer to a read."""
    return json.dumps({'items': items, 'as_of': 9, **more}).encode()


def only_entry(one: dict[str, Any]) -> Entry:
    """Decode an answer with one item that can be used."""
    page = DIALECT.decode_read_page(read(one))
    return page.entries[0]


class StoreDialectTest(unittest.TestCase):
    @params(
        (ReadStore(prefix=''), '', '/api/kv-range?prefix='),
        (
            ReadStore(prefix='instances/', may_lag=True),
            'servers/a',
            '/api/kv-range?prefix=servers%2F&serializable=1&after=servers%2Fa',
        ),
        (
            ReadStore(prefix='platform'),
            '',
            '/api/kv-range?prefix=op%2Fevacuate%2F',
        ),
    )
    def test_read_target(
        self,
        effect: ReadStore,
        after: str,
        target: str,
    ) -> None:
        self.assertEqual(DIALECT.encode_read_target(effect, after), target)

    def test_watch_target_is_in_milliseconds(self) -> None:
        target = DIALECT.encode_watch_target(Revision(5), 20)
        self.assertEqual(target, '/api/kv-watch?prefix=&after=5&wait_ms=20000')

    def test_pages_go_on_behind_the_last_key(self) -> None:
        """Guards against a list that is cut after its first page."""
        whole = DIALECT.decode_read_page(read(item('servers/i-1', SERVER)))
        part = DIALECT.decode_read_page(
            read(item('servers/i-1', SERVER), has_more=True),
        )
        self.assertEqual((whole.next_after, whole.revision), ('', 9))
        self.assertEqual(part.next_after, 'servers/i-1')

    def test_server_names_its_daemon(self) -> None:
        entry = only_entry(item('servers/i-1', SERVER))
        self.assertEqual(entry.key, 'instances/i-1')
        record = json.loads(entry.value or '')
        self.assertEqual(record['instance'], '10.1.0.8')
        self.assertEqual(record['peer_address'], '10.1.0.8:8300')
        self.assertEqual(record['region'], 'costa')
        self.assertEqual((record['state'], record['slots']), ('live', 18))

    @params(
        {'status': {'state': 'asleep'}},
        {'status': {}},
        {'info': {'service': 'huvo', 'zone': 'nowhere', 'slots': 18}},
        {'info': {'service': 'huvo', 'zone': 'costa-gye', 'slots': 'x'}},
        {'info': {'service': '', 'zone': 'costa-gye', 'slots': 1}},
        {'address': 'nowhere'},
    )
    def test_foreign_server_names_no_upstream(
        self,
        change: dict[str, Any],
    ) -> None:
        """Guards against a bad item that leaves the one before in place."""
        page = DIALECT.decode_read_page(
            read(item('servers/i-1', {**SERVER, **change})),
        )
        self.assertIsNone(page.entries[0].value)
        self.assertEqual(page.refused[0].key, 'servers/i-1')

    @params(b'\xff\xfe', b'{', b'[]')
    def test_unreadable_configuration_is_passed_over(
        self,
        value: bytes,
    ) -> None:
        page = DIALECT.decode_read_page(read(item('op/config', value)))
        self.assertEqual(page.entries, ())
        self.assertEqual(page.refused[0].revision, 7)

    def test_value_that_is_not_base64(self) -> None:
        broken = {**item('op/config', {}), 'value': '*'}
        page = DIALECT.decode_read_page(read(broken))
        self.assertIn('base64', page.refused[0].reason)

    def test_evacuated_zone_is_a_key_of_its_own(self) -> None:
        entry = only_entry(item('op/evacuate/costa-gye', {}))
        self.assertEqual(entry.key, 'platform/costa-gye')
        self.assertEqual(
            json.loads(entry.value or ''),
            {'data_centres_out': ['costa-gye']},
        )

    def test_watch_reports_deletions(self) -> None:
        gone = {'key': 'op/evacuate/z', 'rev': 8, 'tombstone': True}
        body = json.dumps({'events': [gone], 'as_of': 8}).encode()
        page = DIALECT.decode_watch_page(body)
        self.assertEqual(
            page.entries,
            (Entry(key='platform/z', revision=Revision(8), value=None),),
        )

    @params(b'', b'{}', b'{"items": [], "as_of": "x"}')
    def test_malformed_answer(self, body: bytes) -> None:
        with self.assertRaises(StoreAnswerError):
            DIALECT.decode_read_page(body)


class ConfigurationTest(unittest.TestCase):
    """The translated subtree, as the product accepts it."""

    def accept(self, *routes: dict[str, Any]) -> ConfigurationState:
        snapshots = ConfigurationState()
        entry = only_entry(item('op/config', config(*routes)))
        change = snapshots.apply((entry,))
        self.assertEqual(change.refused, ())
        return snapshots

    def test_route_is_resolved(self) -> None:
        snapshot = self.accept({'home_regions': ['costa', 'sierra']}).snapshot
        assert snapshot is not None
        route = snapshot.routes[0]
        self.assertEqual(route.service, 'op/huvo')
        self.assertEqual((route.host, route.path_prefix), ('h.example', '/a/'))
        self.assertEqual(route.home_regions, {'costa', 'sierra'})
        policy = route.policy
        self.assertEqual((policy.timeout_ms, policy.target_ms), (1200, 500))
        self.assertEqual((policy.rank, policy.repeatable), (2, True))
        limits = route.limits
        self.assertEqual((limits.connections, limits.slots), (130, 130))
        self.assertEqual(limits.cold_per_second, 18)

    @params(('idempotent', True), ('non_idempotent', False), ('upload', False))
    def test_kind_says_what_may_be_repeated(
        self,
        kind: str,
        is_repeatable: bool,
    ) -> None:
        snapshot = self.accept({'kind': kind}).snapshot
        assert snapshot is not None
        self.assertIs(snapshot.routes[0].policy.repeatable, is_repeatable)

    def test_split_keeps_its_weights(self) -> None:
        parts = [{'service': 'huvo', 'weight': 90}]
        snapshot = self.accept({'service': '', 'split': parts}).snapshot
        assert snapshot is not None
        shares = snapshot.routes[0].shares
        self.assertEqual([one.weight for one in shares], [90])

    @params(
        {'service': 'unknown'},
        {'service': '', 'split': [{'service': 'huvo', 'weight': 0}]},
        {'timeout_ms': -1},
        {'timeout_ms': None},
        {'service': '', 'split': []},
    )
    def test_invalid_version_is_refused_whole(
        self,
        route: dict[str, Any],
    ) -> None:
        """Guards against a version that is applied in part."""
        page = DIALECT.decode_read_page(
            read(item('op/config', config({}, route)))
        )
        snapshots = ConfigurationState()
        change = snapshots.apply(page.entries)
        self.assertTrue(page.refused or change.refused)
        self.assertIsNone(snapshots.snapshot)
