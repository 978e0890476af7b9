"""Joins two daemons that hold equal revisions but unequal definitions."""

import json
import unittest
from random import Random
from typing import TypeAlias

from briartack.core import events, messages
from briartack.core.dissemination.inventory import bucket_digests
from briartack.core.effects import SendMessage
from briartack.core.entries import Entry
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import Incarnation, InstanceId, Revision

SERVICE = {'slots': 4, 'connections': 8}
DEFINES = json.dumps({'services': {'main': SERVICE}})
REFERS = json.dumps(
    {
        'policies': {'p': {}},
        'routes': [
            {
                'name': 'r',
                'path_prefix': '/',
                'service': 'a/main',
                'policy': 'p',
            },
        ],
    },
)
HISTORY = (
    Entry(key='teams/a', revision=Revision(1), value=DEFINES),
    Entry(key='teams/b', revision=Revision(2), value=REFERS),
    Entry(key='teams/a', revision=Revision(3), value='{}'),
)

_ANSWERS = (messages.InventoryReply, messages.Entries)


class Daemon:
    """Hold a reducer and the entries that a test feeds it."""

    def __init__(self, name: str) -> None:
        self.name = InstanceId(name)
        self.state = State(
            identity=Identity(
                instance=self.name,
                incarnation=Incarnation(name),
                service='a/main',
                data_centre='north-1',
                region='north',
            ),
            random=Random(1),
            drain_seconds=1,
        )

    def watch(self, *entries: Entry) -> None:
        """Feed what the store shows this daemon."""
        for entry in entries:
            event = events.StoreWatched(
                now=1,
                revision=entry.revision,
                entries=(entry,),
            )
            reduce(self.state, event)

    def receive(
        self,
        peer: 'Daemon',
        message: messages.PeerMessage,
    ) -> list[messages.PeerMessage]:
        """Feed a message and return the messages to its sender."""
        event = events.PeerMessageReceived(
            now=1,
            peer=peer.name,
            message=message,
        )
        return [
            effect.message
            for effect in reduce(self.state, event)
            if isinstance(effect, SendMessage)
            and effect.peer == peer.name
            and isinstance(effect.message, _ANSWERS)
        ]


# Receiver, sender and message.
Delivery: TypeAlias = tuple[Daemon, Daemon, messages.PeerMessage]


class EqualRevisionsTest(unittest.TestCase):
    """Guards against a version that waits for ever at one daemon."""

    def test_waiting_version_gets_its_definition(self) -> None:
        left = Daemon('x')
        right = Daemon('y')
        left.watch(*HISTORY)
        right.watch(HISTORY[2], HISTORY[1])
        self.assertEqual(len(right.state.snapshots.waiting), 1)
        self.assertEqual(self.exchange(left, right), 0)
        self.assertEqual(right.state.snapshots.waiting, ())
        self.assertEqual(
            left.state.snapshots.digest,
            right.state.snapshots.digest,
        )

    def exchange(self, left: Daemon, right: Daemon) -> int:
        """Carry an inventory and all answers; return what is left over."""
        inventory = messages.Inventory(
            buckets=bucket_digests(left.state.holdings.versions()),
        )
        pending: list[Delivery] = [(right, left, inventory)]
        for _ in range(8):
            taker, sender, message = pending.pop(0)
            replies = taker.receive(sender, message)
            pending.extend((sender, taker, reply) for reply in replies)
            if not pending:
                break
        return len(pending)
