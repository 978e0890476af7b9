"""Test that no input from outside ends a task of the daemon.

Other writers to the store, upstreams and peers may send any bytes. An error
that its caller does not expect would end the greenlet that reads them.
"""

import json
import logging
import unittest
from typing import Final
from unittest import mock

import gevent
import msgpack
from nose2.tools import params

from briartack import greenlets, peers
from briartack.core import effects, events
from briartack.core.dissemination.instance_records import InstanceRecords
from briartack.core.entries import Entry, KeyVersion
from briartack.core.messages import (
    Entries,
    InventoryReply,
    PeerMessage,
    Pull,
)
from briartack.core.units import Revision
from briartack.dialects import StoreAnswerError, StorePage
from briartack.framing import FrameReader, MalformedFrameError, encode
from briartack.greenlets import run_forever
from briartack.http_response import CollectedResponse
from briartack.native_dialects import NativeStoreDialect, NativeUpstreamDialect
from briartack.operator_client import OperatorError, fetch
from briartack.peer_inbox import PeerInbox
from briartack.test.fake_reducer import (
    CountingObserver,
    ScriptedServer,
    wait_until,
)
from briartack.test.shell_fixture import ShellFixture
from briartack.test.test_platform_store import (
    DIALECT,
    SERVER,
    config,
    encode_read_answer,
    item,
)
from briartack.test.test_upstream import (
    OK_ANSWER,
    STORE_HEAD,
    dispatch_effect,
)

NESTED: Final = b'[' * 2000 + b']' * 2000
DEEPER: Final = b'[' * 100_000 + b']' * 100_000
LONE_SURROGATE: Final = json.dumps('\ud800').encode().strip(b'"')
VALID: Final = json.dumps(SERVER).encode()
ODD_VALUES: Final = (
    b'true',
    b'false',
    b'null',
    b'-1',
    b'1.5',
    b'1e30',
    b'9223372036854775808',
    b'18446744073709551616',
    b'"7"',
    b'[]',
    b'{}',
)
ENTRY: Final = Entry(key='instances/i-1', revision=Revision(1), value=None)
RECORD: Final = json.dumps(
    {
        'service': 'op/main',
        'data_centre': 'north-1',
        'region': 'north',
        'peer_address': '10.0.0.1:1',
    }
).encode()


def with_field(text: bytes, name: bytes, inner: bytes) -> bytes:
    """Return the JSON object with one more field."""
    return b'%b, "%b": %b}' % (text[:-1], name, inner)


def change(old: bytes, new: bytes) -> bytes:
    """Return the valid registration with one part replaced."""
    return VALID.replace(old, new)


class StoreItemTest(unittest.TestCase):
    # Guards against an entry of another writer that hides all other changes,
    # since the whole answer of the store fails.
    @params(
        NESTED,
        DEEPER,
        with_field(VALID, b'labels', NESTED),
        with_field(VALID, b'labels', DEEPER),
        change(b'"sequence": 4', b'"sequence": %b' % NESTED),
        change(b'"sequence": 4', b'"sequence": 1e400'),
        change(b'"sequence": 4', b'"sequence": %b' % (b'9' * 5000)),
        with_field(VALID, b'born', b'9' * 5000),
        change(b'"slots": 18', b'"slots": %b' % (b'9' * 5000)),
        change(b':8301', b':%b' % (b'9' * 5000)),
        change(b':8301', b':70000'),
        change(b':8301', b':-1'),
        VALID.replace(b'huvo', LONE_SURROGATE),
        b'\xff\xfe',
        b'',
        b'null',
        b'[]',
    )
    def test_unreadable_registration_is_refused_alone(
        self, value: bytes
    ) -> None:
        body = encode_read_answer(
            item('servers/odd', value),
            item('servers/i-1', SERVER),
            item('op/config', config({})),
        )
        for decode in (DIALECT.decode_read_page, DIALECT.decode_watch_page):
            page = decode(body.replace(b'"items"', b'"events"'))
            page = page if page.entries else decode(body)
            held = [entry.key for entry in page.entries if entry.value]
            self.assertEqual(held, ['instances/i-1', 'teams/op'])
            refused = [refusal.key for refusal in page.refused]
            self.assertEqual(refused, ['servers/odd'])

    # Guards against a configuration that hides all other changes.
    @params(NESTED, b'{"version": 3, "resources": %b}' % NESTED)
    def test_unreadable_configuration_is_refused_alone(
        self, value: bytes
    ) -> None:
        spec = b'{"resource_kind": "routes", "spec": %b}' % NESTED
        for text in (value, b'{"version": 3, "resources": [%b]}' % spec):
            page = DIALECT.decode_read_page(
                encode_read_answer(
                    item('op/config', text), item('servers/i-1', SERVER)
                )
            )
            self.assertEqual(page.refused[0].key, 'op/config')
            self.assertEqual(page.entries[0].key, 'instances/i-1')

    # Guards against an answer of the store that fails by another error.
    @params(NESTED, DEEPER, b'{"as_of": 1, "x": %b}' % NESTED)
    def test_nested_answer_of_the_store_is_malformed(self, body: bytes) -> None:
        for dialect in (DIALECT, NativeStoreDialect()):
            with self.assertRaises(StoreAnswerError):
                dialect.decode_read_page(body)
            with self.assertRaises(StoreAnswerError):
                dialect.decode_watch_page(body)

    # Guards against a record from a peer that hides the records beside it.
    def test_nested_record_is_refused_alone(self) -> None:
        records = InstanceRecords()
        texts = with_field(RECORD, b'labels', NESTED), RECORD
        records.apply(
            Entry(
                key=f'instances/i-{number}',
                revision=Revision(number),
                value=text.decode(),
            )
            for number, text in enumerate(texts, start=1)
        )
        held = [record.entry.key for record in records if record.member]
        self.assertEqual(held, ['instances/i-2'])


class PassedOnTest(unittest.TestCase):
    """Test what daemons pass on to their peers."""

    # Guards against an entry that peers refuse with all that is sent beside it,
    # and with the stream, as long as the store holds the entry.
    @params(
        *(
            (field, old, odd)
            for field, old in (
                (b'sequence', b'4'),
                (b'slots', b'18'),
                (b'cold_left_ms', b'1500'),
                (b'born', b'7'),
                (b'address', b'"10.1.0.8:8301"'),
                (b'service', b'"huvo"'),
                (b'state', b'"ready"'),
            )
            for odd in ODD_VALUES
        )
    )
    def test_translated_registration_is_decoded_by_peers(
        self, field: bytes, old: bytes, odd: bytes
    ) -> None:
        registration = with_field(VALID, b'born', b'7')
        value = registration.replace(
            b'"%b": %b' % (field, old), b'"%b": %b' % (field, odd)
        )
        self.assertNotEqual(value, registration)
        page = DIALECT.decode_read_page(
            encode_read_answer(item('servers/i-1', value))
        )
        sent = Entries(highest=Revision(7), entries=page.entries)
        self.assertEqual(list(FrameReader().feed(encode(sent))), [sent])

    # Guards against an entry that is delivered in a form that peers refuse.
    @params((True,), (1 << 64,), (1.5,), ('x',))
    def test_unsendable_entry_of_the_store_is_refused_alone(
        self, *stated: int
    ) -> None:
        odd = Entry(
            key='instances/odd', revision=Revision(1), value='', stated=stated
        )
        page = StorePage(revision=Revision(1), entries=(odd, ENTRY))
        server = ScriptedServer(OK_ANSWER)
        self.addCleanup(server.stop)
        shell = ShellFixture(upstream=server.address)
        self.addCleanup(shell.stop)
        with mock.patch.object(
            NativeStoreDialect, 'decode_read_page', return_value=page
        ):
            shell.store.read(effects.ReadStore(prefix=''))
            read = shell.state.wait_for(events.StoreRead)[0]
        self.assertEqual(read.entries, (ENTRY,))
        self.assertEqual(shell.observer.counts['store.items_refused'], 1)

    # Guards against a malformed entry of a peer that ends the stream, with the
    # requests on it, and hides the entries beside it.
    @params(
        (
            [
                'entries',
                9,
                [['k', 9, None, [], [7, True]], ['k', 9, 'x'], ['k']],
            ],
            Entries(
                highest=Revision(9),
                entries=(Entry(key='k', revision=Revision(9), value='x'),),
            ),
        ),
        (
            ['inventory_reply', [], [['a', [9, b'', [True]]], ['b', [9]]]],
            InventoryReply(
                buckets=(), versions=(('b', KeyVersion(revision=Revision(9))),)
            ),
        ),
    )
    def test_malformed_entry_of_a_peer_is_left_out_alone(
        self, frame: list[object], message: PeerMessage
    ) -> None:
        shells = [ShellFixture('a-1'), ShellFixture('b-1')]
        for shell in shells:
            self.addCleanup(shell.stop)
        shells[0].dial(shells[1])
        for shell in shells:
            shell.state.wait_for(events.PeerConnected)
        with mock.patch.object(
            peers, 'encode', return_value=msgpack.packb(frame)
        ):
            shells[0].send_messages(
                effects.SendMessage(peer=shells[1].name, message=message)
            )
        received = shells[1].state.wait_for(events.PeerMessageReceived)[0]
        self.assertEqual(received.message, message)
        self.assertEqual(shells[1].observer.counts['peers.entries_refused'], 1)
        code, fields = shells[1].observer.logs[0]
        self.assertEqual((code, fields['peer']), ('entry-refused', 'a-1'))
        self.assertEqual(shells[1].state.events_of(events.PeerDisconnected), [])


class AnswerTest(unittest.TestCase):
    # Guards against a health answer that ends all later probes.
    def test_nested_health_answer_counts_as_plain(self) -> None:
        answer = CollectedResponse(method='GET', max_body_bytes=10_000)
        answer.feed(STORE_HEAD % (b'200 OK', b'', len(NESTED), NESTED))
        probed = NativeUpstreamDialect().decode_probe(1, answer)
        self.assertTrue(probed.is_healthy)

    # Guards against a traceback of the command line.
    def test_nested_operator_answer_is_reported(self) -> None:
        body = b'{"x": %b}' % NESTED
        server = ScriptedServer(
            STORE_HEAD % (b'200 OK', b'', len(body), body),
            waits_for_client=True,
        )
        self.addCleanup(server.stop)
        host, port = server.address
        with self.assertRaises(OperatorError):
            fetch(f'{host}:{port}', '/status')

    # Guards against a refusal that is printed as the status of a daemon.
    def test_refusal_of_the_operator_port_is_reported(self) -> None:
        body = b'{"error": "unknown-path"}'
        server = ScriptedServer(
            STORE_HEAD % (b'404 Not Found', b'', len(body), body),
            waits_for_client=True,
        )
        self.addCleanup(server.stop)
        host, port = server.address
        with self.assertRaisesRegex(OperatorError, 'status 404'):
            fetch(f'{host}:{port}', '/status')

    # Guards against a frame of a peer whose error text cannot be formed.
    @params(b'\x91' * 1000, b'\x91' * 1020, b'\x91' * 5000)
    def test_nested_frame_is_malformed(self, opening: bytes) -> None:
        with self.assertRaises(MalformedFrameError):
            list(FrameReader().feed(b'%b\xc0' % opening))


class FailedTaskTest(unittest.TestCase):
    """Test what follows an error that no code expects."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def start_shell(self, server: ScriptedServer) -> ShellFixture:
        """Return a shell that uses a server as upstream and as store."""
        self.addCleanup(server.stop)
        shell = ShellFixture(upstream=server.address)
        self.addCleanup(shell.stop)
        return shell

    def break_method(self, dialect: type, method: str) -> None:
        """Let a method of a dialect fail by an unexpected error."""
        patch = mock.patch.object(dialect, method, side_effect=KeyError('x'))
        patch.start()
        self.addCleanup(patch.stop)

    # Guards against a call to the store that ends without an event, after
    # which the reducer makes no other.
    @params(
        ('decode_read_page', effects.ReadStore(prefix='teams/')),
        (
            'decode_watch_page',
            effects.WatchStore(after=Revision(1), wait_seconds=1),
        ),
    )
    def test_failed_store_call_is_an_event(
        self, method: str, effect: effects.ReadStore | effects.WatchStore
    ) -> None:
        self.break_method(NativeStoreDialect, method)
        shell = self.start_shell(ScriptedServer(OK_ANSWER))
        if isinstance(effect, effects.ReadStore):
            shell.store.read(effect)
        else:
            shell.store.watch(effect)
        failed = shell.state.wait_for(events.StoreFailed)[0]
        self.assertIn('unexpected error', failed.reason)
        self.assertEqual(shell.observer.counts['tasks.failed'], 1)

    # Guards against an attempt that holds its slot for good, and against a
    # retry of a request that may have run.
    def test_failed_attempt_is_an_event(self) -> None:
        self.break_method(NativeUpstreamDialect, 'decode_result')
        shell = self.start_shell(ScriptedServer(OK_ANSWER))
        shell.upstream.dispatch(dispatch_effect(1))
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertTrue(failed.may_have_run)
        self.assertEqual(shell.observer.counts['tasks.failed'], 1)

    # Guards against a peer that counts as connected after its stream ended.
    def test_failed_stream_disconnects_the_peer(self) -> None:
        shells = [ShellFixture('a-1'), ShellFixture('b-1')]
        for shell in shells:
            self.addCleanup(shell.stop)
        patch = mock.patch.object(
            PeerInbox, 'handle_message', side_effect=KeyError('x')
        )
        patch.start()
        self.addCleanup(patch.stop)
        shells[0].dial(shells[1])
        for shell in shells:
            shell.state.wait_for(events.PeerConnected)
        shells[0].send_messages(
            effects.SendMessage(
                peer=shells[1].name, message=Pull(after=Revision(1))
            )
        )
        for shell in shells:
            shell.state.wait_for(events.PeerDisconnected)
        self.assertEqual(shells[1].observer.counts['tasks.failed'], 1)

    # Guards against a daemon that goes on without its ticks or probes.
    def test_background_task_runs_again(self) -> None:
        run = mock.Mock(side_effect=KeyError('x'))
        observer = CountingObserver()
        with mock.patch.object(greenlets, 'RESTART_SECONDS', 0):
            greenlet = gevent.spawn(
                run_forever, run, task='tick', observer=observer
            )
            wait_until(lambda: run.call_count > 2)
            greenlet.kill()
        self.assertGreater(observer.counts['tasks.failed'], 2)
