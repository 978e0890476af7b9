"""Tests of the translation of the platform's store into entries."""

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
INFO: Final = {
    'service': 'huvo',
    'version': 'v1',
    'zone': 'costa-gye',
    'slots': 18,
}
SERVER: Final[dict[str, Any]] = {
    'address': '10.1.0.8:8301',
    'info': INFO,
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
    """Return an item of the store with a JSON value or with raw bytes."""
    text = value if isinstance(value, bytes) else json.dumps(value).encode()
    encoded = base64.b64encode(text).decode()
    return {'key': key, 'value': encoded, 'rev': rev, 'created': 1, 'lease': 0}


def config(*routes: dict[str, Any]) -> dict[str, Any]:
    """Return the operators' configuration with one service and some routes."""
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


def encode_read_answer(*items: dict[str, Any], **more: Any) -> bytes:
    """Return the body of the answer to a read."""
    return json.dumps({'items': items, 'as_of': 9, **more}).encode()


def decode_single_entry(store_item: dict[str, Any]) -> Entry:
    """Return the entry of an answer that has one valid item."""
    page = DIALECT.decode_read_page(encode_read_answer(store_item))
    return page.entries[0]


def _build_odd_entries(
    part: str, field: str, odd_value: object
) -> tuple[dict[str, Any], ...]:
    """Return changes of an entry: a field is missing, or of another type."""
    fields = SERVER[part]
    lacking = {name: fields[name] for name in fields if name != field}
    return {part: lacking}, {part: {**fields, field: odd_value}}


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
    def test_read_target_states_prefix_consistency_and_page(
        self,
        effect: ReadStore,
        after: str,
        target: str,
    ) -> None:
        """Guard against a read of the wrong keys, page or consistency."""
        self.assertEqual(DIALECT.encode_read_target(effect, after), target)

    def test_watch_target_is_in_milliseconds(self) -> None:
        """Guard against a watch that ends after a thousandth of its time."""
        target = DIALECT.encode_watch_target(Revision(5), 20)
        self.assertEqual(target, '/api/kv-watch?prefix=&after=5&wait_ms=20000')

    def test_next_page_starts_after_the_last_key(self) -> None:
        """Guard against a list that ends with its first page."""
        last_page = DIALECT.decode_read_page(
            encode_read_answer(item('servers/i-1', SERVER))
        )
        first_page = DIALECT.decode_read_page(
            encode_read_answer(item('servers/i-1', SERVER), has_more=True),
        )
        self.assertEqual((last_page.next_after, last_page.revision), ('', 9))
        self.assertEqual(first_page.next_after, 'servers/i-1')

    def test_server_becomes_an_instance_record(self) -> None:
        """Guard against a peer address or region that peers cannot use."""
        entry = decode_single_entry(item('servers/i-1', SERVER))
        self.assertEqual(entry.key, 'instances/i-1')
        record = json.loads(entry.value or '')
        self.assertEqual(record['instance'], '10.1.0.8')
        self.assertEqual(record['peer_address'], '10.1.0.8:8300')
        self.assertEqual(record['region'], 'costa')
        self.assertEqual((record['state'], record['slots']), ('live', 18))

    @params(
        {'status': {'state': 'asleep'}},
        {'status': {}},
        {'info': {**INFO, 'zone': 'nowhere'}},
        {'info': {**INFO, 'slots': 'x'}},
        {'info': {**INFO, 'service': ''}},
        {'address': 'nowhere'},
        *_build_odd_entries('info', 'version', 7),
        *_build_odd_entries('info', 'service', None),
        *_build_odd_entries('info', 'zone', 7),
        *_build_odd_entries('info', 'slots', True),
        *_build_odd_entries('status', 'state', 1),
        *_build_odd_entries('status', 'sequence', True),
        *_build_odd_entries('status', 'sequence', 1.5),
        *_build_odd_entries('status', 'cold_left_ms', True),
        *_build_odd_entries('status', 'cold_left_ms', '7'),
    )
    def test_invalid_server_deletes_its_instance(
        self,
        change: dict[str, Any],
    ) -> None:
        """Guard against an invalid item that names, or hides, an upstream."""
        page = DIALECT.decode_read_page(
            encode_read_answer(item('servers/i-1', {**SERVER, **change})),
        )
        self.assertIsNone(page.entries[0].value)
        self.assertEqual(page.refused[0].key, 'servers/i-1')

    @params(b'\xff\xfe', b'{', b'[]')
    def test_unreadable_configuration_is_refused(
        self,
        value: bytes,
    ) -> None:
        """Guard against a malformed configuration that ends the daemon."""
        page = DIALECT.decode_read_page(
            encode_read_answer(item('op/config', value))
        )
        self.assertEqual(page.entries, ())
        self.assertEqual(page.refused[0].revision, 7)

    def test_value_that_is_not_base64_is_refused(self) -> None:
        """Guard against a malformed value that ends the daemon."""
        broken = {**item('op/config', {}), 'value': '*'}
        page = DIALECT.decode_read_page(encode_read_answer(broken))
        self.assertIn('base64', page.refused[0].reason)

    def test_evacuated_zone_becomes_a_platform_entry(self) -> None:
        """Guard against two evacuated zones that overwrite each other."""
        entry = decode_single_entry(item('op/evacuate/costa-gye', {}))
        self.assertEqual(entry.key, 'platform/costa-gye')
        self.assertEqual(
            json.loads(entry.value or ''),
            {'data_centres_out': ['costa-gye']},
        )

    def test_watch_reports_tombstone_as_deletion(self) -> None:
        """Guard against an evacuation that never ends."""
        deleted_item = {'key': 'op/evacuate/z', 'rev': 8, 'tombstone': True}
        body = json.dumps({'events': [deleted_item], 'as_of': 8}).encode()
        page = DIALECT.decode_watch_page(body)
        self.assertEqual(
            page.entries,
            (Entry(key='platform/z', revision=Revision(8), value=None),),
        )

    @params(
        b'',
        b'{}',
        b'{"items": [], "as_of": "x"}',
        # It would be taken for a number of a later era.
        b'{"items": [], "as_of": 1099511627776}',
        b'{"items": [{"key": "k", "rev": -1}], "as_of": 3}',
    )
    def test_malformed_answer_raises(self, body: bytes) -> None:
        """Guard against a malformed answer that is taken for an empty store."""
        with self.assertRaises(StoreAnswerError):
            DIALECT.decode_read_page(body)


class ConfigurationTest(unittest.TestCase):
    """Test whether the product accepts the translated configuration."""

    def accept(self, *routes: dict[str, Any]) -> ConfigurationState:
        """Return the state after the translated configuration was accepted."""
        snapshots = ConfigurationState()
        entry = decode_single_entry(item('op/config', config(*routes)))
        change = snapshots.apply((entry,))
        self.assertEqual(change.refused, ())
        return snapshots

    def test_route_is_resolved(self) -> None:
        """Guard against a field of the configuration that has no effect."""
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

    @params(
        ('idempotent', True),
        ('download', True),
        ('non_idempotent', False),
        ('upload', False),
    )
    def test_kind_decides_whether_a_request_is_repeatable(
        self,
        kind: str,
        is_repeatable: bool,
    ) -> None:
        """Guard against a retry of a request that is not repeatable."""
        snapshot = self.accept({'kind': kind}).snapshot
        assert snapshot is not None
        self.assertIs(snapshot.routes[0].policy.repeatable, is_repeatable)

    def test_split_keeps_its_weights(self) -> None:
        """Guard against a split that ignores its weights."""
        parts = [{'service': 'huvo', 'weight': 90}]
        snapshot = self.accept({'service': '', 'split': parts}).snapshot
        assert snapshot is not None
        shares = snapshot.routes[0].shares
        self.assertEqual([share.weight for share in shares], [90])

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
        """Guard against a version of which the valid part is applied."""
        page = DIALECT.decode_read_page(
            encode_read_answer(item('op/config', config({}, route)))
        )
        snapshots = ConfigurationState()
        change = snapshots.apply(page.entries)
        self.assertTrue(page.refused or change.refused)
        self.assertIsNone(snapshots.snapshot)
