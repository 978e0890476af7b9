"""Tests of the list of instances that a daemon holds.

Records may arrive late, out of order or malformed; daemons that hold the same
records must have the same list and the same digest.
"""

import itertools
import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core.dissemination.membership import MembershipState
from briartack.core.entries import Entry
from briartack.core.units import Incarnation, InstanceId, Revision

INSTANCE: Final = InstanceId('a')
KEY: Final = 'instances/a'


def _entry(
    revision: int,
    state: str | None = 'live',
    key: str = KEY,
    service: str = 's',
    instance: str | None = None,
) -> Entry:
    """Return the record of an instance; `None` as state deletes it."""
    record = {'service': service, 'data_centre': 'd', 'region': 'r'}
    if instance is not None:
        record['instance'] = instance
    record.update(peer_address=f'192.0.2.1:{revision}', state=state or '')
    text = None if state is None else msgspec.json.encode(record).decode()
    return Entry(key=key, revision=Revision(revision), value=text)


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = MembershipState()

    @params(*itertools.permutations((1, 2, 3)))
    def test_order_of_arrival_does_not_change_the_list(
        self, *order: int
    ) -> None:
        """Guard against an older answer that lowers or revives a record."""
        entries = (_entry(1), _entry(2, 'leaving'), _entry(3, None))
        for number in order:
            self.members.apply([entries[number - 1]])
        self.assertIsNone(self.members.get(INSTANCE))
        self.assertEqual(_revisions(self.members), {KEY: 3})
        self.assertEqual(self.members.digest, MembershipState().digest)

    # Guards against a record of another writer, for a service that the
    # configuration doesn't name, that hides a live upstream at its address, and
    # with it all requests for the service (503).
    @params(
        ('live', 'live', ['s']),
        ('live', 'leaving', ['s']),
        # The upstream leaves, whatever the other record says.
        ('leaving', 'live', []),
    )
    def test_record_of_an_unnamed_service_hides_none(
        self, state: str, other_state: str, expected: list[str]
    ) -> None:
        host = '192.0.2.1'
        self.members.name_services(['s', 't'])
        other = _entry(2, other_state, 'instances/b', 'unnamed', host)
        for entries in itertools.permutations(
            [_entry(1, state, KEY, 's', host), other]
        ):
            self.members.apply(entries)
            found = [held.service for held in self.members.live_members()]
            self.assertEqual(found, expected)

    # Guards against the record of an upstream that has ended, which hides its
    # replacement of another service at the same address.
    def test_newer_record_of_a_named_service_counts(self) -> None:
        host = '192.0.2.1'
        self.members.name_services(['s', 't'])
        self.members.apply([_entry(1, 'live', KEY, 's', host)])
        self.members.apply([_entry(2, 'live', 'instances/b', 't', host)])
        found = [held.service for held in self.members.live_members()]
        self.assertEqual(found, ['t'])

    def test_full_read_deletes_missing_records_up_to_its_revision(self) -> None:
        """Guard against an instance whose deletion no watch reported.

        A record above the revision of the read must stay.
        """
        keys = [f'instances/{name}' for name in 'abc']
        self.members.apply(
            [_entry(at, key=key) for at, key in enumerate(keys, 4)],
        )
        changed = self.members.apply_full_read(Revision(5), [])
        self.assertEqual(changed, {keys[0], keys[1]})
        self.assertEqual(
            [member.instance for member in self.members.live_members()],
            ['c'],
        )
        deletions = self.members.entries_after(Revision(4))[:2]
        self.assertEqual([entry.value for entry in deletions], [None, None])

    @params('', '{}', '[]', '{"service": 1}', 'no json')
    def test_malformed_record_is_refused_whole(self, text: str) -> None:
        """Guard against a malformed record that replaces its predecessor."""
        self.members.apply([_entry(1)])
        malformed_entry = Entry(key=KEY, revision=Revision(2), value=text)
        self.assertEqual(self.members.apply([malformed_entry]), frozenset())
        self.members.apply_full_read(Revision(3), [malformed_entry])
        self.assertEqual(_revisions(self.members), {KEY: 1})
        reported = [refusal.key for refusal in self.members.take_refusals()]
        self.assertEqual(reported, [KEY, KEY])
        self.assertEqual(self.members.take_refusals(), ())

    @params(
        ('same', [], True),
        ('other', [], False),
        (None, [_entry(2)], True),
        (None, [_entry(2, 'leaving')], True),
        (None, [_entry(2, 'leaving'), _entry(3)], False),
        (None, [_entry(2, None), _entry(3)], False),
    )
    def test_goodbye_holds_until_the_instance_returns(
        self,
        hello: str | None,
        records: list[Entry],
        is_leaving: bool,
    ) -> None:
        """Guard against a goodbye that a late record ends or a restart keeps.

        Each row states a hello or the records that follow a goodbye, and
        whether the instance still counts as leaving.
        """
        self.members.apply([_entry(1)])
        self.assertEqual(len(self.members.live_members_of('s')), 1)
        self.members.mark_leaving(INSTANCE, Incarnation('same'))
        self.assertEqual(self.members.live_members_of('s'), ())
        if hello is not None:
            self.members.record_incarnation(INSTANCE, Incarnation(hello))
        for record in records:
            self.members.apply([record])
        self.assertEqual(self.members.is_leaving(INSTANCE), is_leaving)
        self.assertEqual(
            bool(self.members.live_members_of('s')), not is_leaving
        )

    def test_digest_depends_on_the_records_and_not_their_order(self) -> None:
        """Guard against equal digests of different lists, which hide a gap."""
        other = MembershipState()
        for members, keys in ((self.members, 'ab'), (other, 'ba')):
            for name in keys:
                entry = _entry(ord(name), key=f'instances/{name}')
                members.apply([entry])
        self.assertEqual(self.members.digest, other.digest)
        other.apply([_entry(ord('c'))])
        self.assertNotEqual(self.members.digest, other.digest)


def _revisions(members: MembershipState) -> dict[str, Revision]:
    return {key: held.revision for key, held in members.versions().items()}
