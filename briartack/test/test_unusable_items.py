"""Test that an item which cannot be used does not count as deleted.

A full read of the store infers deletions from missing keys. The key of an item
whose value was refused is in the store, so what is in force under it stays.
"""

import unittest
from typing import Any, Final

import msgspec
from nose2.tools import params

from briartack.core import effects, events
from briartack.core.reducer import reduce
from briartack.test.fake_reducer import ScriptedServer
from briartack.test.shell_fixture import ShellFixture
from briartack.test.store_reader import Daemon
from briartack.test.test_platform_store import (
    DIALECT,
    config,
    encode_read_answer,
    item,
)

VALID: Final = item('op/config', config({}))
OUT: Final = item('op/evacuate/costa-gye', b'')
HEAD: Final = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'


def raw_item(key: str, text: str) -> dict[str, Any]:
    """Return a later item whose value is not encoded."""
    return {'key': key, 'value': text, 'rev': 8, 'created': 1, 'lease': 0}


def read(now: float, *items: dict[str, Any]) -> events.StoreRead:
    """Return the read of all keys that the client of the store delivers."""
    body = encode_read_answer(*items)
    server = ScriptedServer(HEAD % len(body) + body)
    shell = ShellFixture(upstream=server.address, store_dialect=DIALECT)
    try:
        shell.store.read(effects.ReadStore(prefix=''))
        answer: events.StoreRead = shell.state.wait_for(events.StoreRead)[0]
    finally:
        shell.stop()
        server.stop()
    return msgspec.structs.replace(answer, now=now)


class UnusableItemsTest(unittest.TestCase):
    # Guards against 404 for every route at all daemons, because a version that
    # is refused counts as the deletion of the one before in a full read.
    @params(
        item('op/config', b'\xff\xfe', 8),
        item('op/config', b'{}', 8),
        item('op/config', config({'prefix': '/a%20b/'}), 8),
        raw_item('op/config', 'no base64'),
    )
    def test_refused_version_leaves_the_active_one_in_force(
        self, odd: dict[str, Any]
    ) -> None:
        daemon = Daemon()
        reduce(daemon.state, read(1, VALID, OUT))
        reduce(daemon.state, read(2, odd, OUT))
        snapshot = daemon.state.configuration.snapshot
        assert snapshot is not None
        self.assertEqual(len(snapshot.routes), 1)
        self.assertEqual(daemon.data_centres_out, ('costa-gye',))

    # Guards against keys that are never deleted any more.
    def test_missing_key_counts_as_deleted(self) -> None:
        daemon = Daemon()
        reduce(daemon.state, read(1, VALID, OUT))
        reduce(daemon.state, read(2, VALID))
        self.assertEqual(daemon.data_centres_out, ())
