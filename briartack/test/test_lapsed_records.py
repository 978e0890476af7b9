"""Tests of the list of instances across deletions without notice.

A record may be deleted although its instance never announced its departure.
Where many records go at once after an outage of the store, the instances still
live; elsewhere, the instances have stopped.
"""

import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core.dissemination.membership import MembershipState
from briartack.core.entries import Entry
from briartack.core.units import InstanceId, Revision

# The platform requires that requests to an instance have stopped this long
# after the store accepted its departure.
DRAIN_SECONDS: Final = 2.0
# Live upstreams have registered again this long after the store's return.
REGISTER_SECONDS: Final = 2.0
INSTANCE_COUNT: Final = 12


def entry(number: int, revision: int, state: str | None) -> Entry:
    """Return the record of one start of an instance; `None` deletes it."""
    record = {
        'service': 's',
        'data_centre': 'd',
        'region': 'r',
        'peer_address': '10.0.0.1:1',
        'instance': f'10.0.0.{number}',
        'state': state,
    }
    text = None if state is None else msgspec.json.encode(record).decode()
    return Entry(
        key=f'instances/i-{number}',
        revision=Revision(revision),
        value=text,
    )


def live_members() -> MembershipState:
    """Return a list of twelve live instances."""
    members = MembershipState()
    members.apply(
        [
            entry(number, number, 'live')
            for number in range(1, INSTANCE_COUNT + 1)
        ],
        0,
    )
    return members


class LapsesTest(unittest.TestCase):
    # Guards against requests to an upstream that left while others lapsed.
    def test_deletions_one_by_one_are_no_mass_lapse(self) -> None:
        """Guard against a departure that counts as an outage of the store.

        One instance leaves without notice; then the records of instances that
        were cut off run out, one each 0.25 s.
        """
        members = live_members()
        members.apply([entry(1, 100, None)], 10)
        for number in range(2, 7):
            now = 10 + 0.25 * (number - 1)
            members.expire(now)
            members.apply(
                [entry(number, 100 + number, None)], now, is_after_outage=True
            )
        members.expire(10 + DRAIN_SECONDS)
        live = {member.instance for member in members.live_members()}
        self.assertNotIn('10.0.0.1', live)

    @params(
        (1, True, 0.5, 12),
        (1, True, DRAIN_SECONDS, 11),
        (6, True, REGISTER_SECONDS, 12),
        (6, True, 3, 6),
        (6, False, 0.5, 12),
        (6, False, DRAIN_SECONDS, 6),
    )
    def test_few_deletions_count_soon_and_mass_deletions_later(
        self,
        count: int,
        is_after_outage: bool,
        seconds: float,
        expected_count: int,
    ) -> None:
        """Guard against an emptied list, and requests to stopped instances.

        Each row deletes a number of records, after an outage of the store or
        not, waits some seconds and states how many instances must be listed.
        """
        members = live_members()
        members.apply(
            [
                entry(number, 100 + number, None)
                for number in range(1, count + 1)
            ],
            10,
            is_after_outage=is_after_outage,
        )
        members.expire(10 + seconds)
        self.assertEqual(members.instance_count, expected_count)

    def test_deletion_before_the_start_counts_at_once(self) -> None:
        """Guard against a delay for an instance deleted before the start."""
        members = live_members()
        members.apply([entry(1, 100, None)], 0.5)
        self.assertEqual(members.instance_count, INSTANCE_COUNT - 1)

    def test_announced_departure_counts_at_once(self) -> None:
        """Guard against a delay where the instance announced its departure."""
        members = live_members()
        members.apply([entry(1, 100, 'leaving')], 10)
        self.assertTrue(members.is_leaving(InstanceId('10.0.0.1')))
        members.apply([entry(1, 101, None)], 10)
        self.assertEqual(members.instance_count, INSTANCE_COUNT - 1)

    def test_instance_that_registers_again_stays_listed(self) -> None:
        """Guard against an emptied list while instances register again."""
        members = live_members()
        numbers = range(1, INSTANCE_COUNT + 1)
        members.apply(
            [entry(number, 100 + number, None) for number in numbers],
            10,
            is_after_outage=True,
        )
        self.assertEqual(members.instance_count, INSTANCE_COUNT)
        members.apply(
            [entry(number, 200 + number, 'live') for number in numbers], 12
        )
        members.expire(60)
        self.assertEqual(members.instance_count, INSTANCE_COUNT)

    def test_owner_goes_by_the_record_that_counts(self) -> None:
        """Guard against an owner that stops before its senders do.

        Both go by the deleted record for as long as the record counts.
        """
        members = live_members()
        members.apply([entry(1, 100, None)], 10)
        held = members.find_record('i-1')
        assert held is not None
        self.assertIsNotNone(held.member)
        members.expire(10 + DRAIN_SECONDS)
        held = members.find_record('i-1')
        assert held is not None
        self.assertIsNone(held.member)

    def test_deleted_record_of_an_earlier_start_changes_nothing(self) -> None:
        """Guard against a crashed start that hides its successor.

        Each start has a record of its own; the records of both starts state
        the same instance, and the one of the crashed start is deleted later.
        """
        members = live_members()
        successor = msgspec.structs.replace(
            entry(1, 100, 'live'),
            key='instances/i-new',
        )
        members.apply([successor], 10)
        self.assertEqual(members.instance_count, INSTANCE_COUNT)
        members.apply([entry(1, 101, None)], 10)
        members.expire(60)
        self.assertEqual(members.instance_count, INSTANCE_COUNT)
