"""Test anti-entropy between daemons with equal revisions, unequal definitions.

One daemon may have skipped the revision of team `a` that defines a service to
which team `b` still refers.
"""

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
DEFINING_SUBTREE = json.dumps({'services': {'main': SERVICE}})
REFERRING_SUBTREE = json.dumps(
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
    Entry(key='teams/a', revision=Revision(1), value=DEFINING_SUBTREE),
    Entry(key='teams/b', revision=Revision(2), value=REFERRING_SUBTREE),
    Entry(key='teams/a', revision=Revision(3), value='{}'),
)

_REPLY_CLASSES = (messages.InventoryReply, messages.Entries)


class Daemon:
    """Run the reducer of one daemon in this process."""

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

    def deliver_entries(self, *entries: Entry) -> None:
        """Deliver entries from the watch of the store, one event for each."""
        for entry in entries:
            event = events.StoreWatched(
                now=1,
                revision=entry.revision,
                entries=(entry,),
            )
            reduce(self.state, event)

    def deliver_message(
        self,
        peer: 'Daemon',
        message: messages.PeerMessage,
    ) -> list[messages.PeerMessage]:
        """Deliver a message; return inventory replies and entries to `peer`."""
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
            and isinstance(effect.message, _REPLY_CLASSES)
        ]


# Receiver, sender and message.
Delivery: TypeAlias = tuple[Daemon, Daemon, messages.PeerMessage]


class EqualRevisionsTest(unittest.TestCase):
    """Check that daemons with equal revisions exchange missing definitions.

    A daemon that saw team `a` only after the deletion of a service cannot
    resolve the reference of team `b`. Its revisions equal those of its peer, so
    only the digests of the inventory reveal the difference; otherwise the
    version of team `b` would wait for ever.
    """

    def test_waiting_version_receives_missing_definition(self) -> None:
        left = Daemon('x')
        right = Daemon('y')
        left.deliver_entries(*HISTORY)
        right.deliver_entries(HISTORY[2], HISTORY[1])
        self.assertEqual(len(right.state.configuration.waiting), 1)
        self.assertEqual(self.exchange_inventory(left, right), 0)
        self.assertEqual(right.state.configuration.waiting, ())
        self.assertEqual(
            left.state.configuration.digest,
            right.state.configuration.digest,
        )

    def exchange_inventory(self, left: Daemon, right: Daemon) -> int:
        """Deliver an inventory and the replies, at most 8 messages in all.

        Return the number of messages that are still undelivered.
        """
        inventory = messages.Inventory(
            buckets=bucket_digests(left.state.holdings.versions()),
        )
        pending: list[Delivery] = [(right, left, inventory)]
        for _ in range(8):
            receiver, sender, message = pending.pop(0)
            replies = receiver.deliver_message(sender, message)
            pending.extend((sender, receiver, reply) for reply in replies)
            if not pending:
                break
        return len(pending)
