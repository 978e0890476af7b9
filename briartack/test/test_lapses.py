"""Guards the list of instances while the store was away."""

import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core.dissemination.membership import MembershipState
from briartack.core.entries import Entry
from briartack.core.units import InstanceId, Revision

# The platform's bound from the store's word that an upstream leaves.
DRAIN_SECONDS: Final = 2.0
# Upstreams that live are back this long after the store's return.
BACK_SECONDS: Final = 2.0
SIZE: Final = 12


def entry(number: int, revision: int, state: str | None) -> Entry:
    """Make the record of one start of an upstream, or its deletion."""
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


def listed() -> MembershipState:
    """List twelve live instances."""
    members = MembershipState()
    members.apply(
        [entry(number, number, 'live') for number in range(1, SIZE + 1)],
        0,
    )
    return members


class LapsesTest(unittest.TestCase):
    @params(
        (1, 0.5, 12), (1, DRAIN_SECONDS, 11), (6, BACK_SECONDS, 12), (6, 3, 6)
    )
    def test_deleted_without_notice(
        self,
        number: int,
        seconds: float,
        left: int,
    ) -> None:
        """Guards against an empty list, and against work for the gone."""
        members = listed()
        members.apply(
            [entry(one, 100 + one, None) for one in range(1, number + 1)],
            10,
        )
        members.expire(10 + seconds)
        self.assertEqual(members.instance_count, left)

    def test_late_news_after_a_start_count_at_once(self) -> None:
        """Guards against a moment more for what left before the start."""
        members = listed()
        members.apply([entry(1, 100, None)], 0.5)
        self.assertEqual(members.instance_count, SIZE - 1)

    def test_leaving_counts_at_once(self) -> None:
        """Guards against a delay where the upstream itself said so."""
        members = listed()
        members.apply([entry(1, 100, 'leaving')], 10)
        self.assertTrue(members.is_leaving(InstanceId('10.0.0.1')))
        members.apply([entry(1, 101, None)], 10)
        self.assertEqual(members.instance_count, SIZE - 1)

    def test_back_in_time_was_never_gone(self) -> None:
        members = listed()
        gone = range(1, SIZE + 1)
        members.apply([entry(one, 100 + one, None) for one in gone], 10)
        self.assertEqual(members.instance_count, SIZE)
        members.apply([entry(one, 200 + one, 'live') for one in gone], 12)
        members.expire(60)
        self.assertEqual(members.instance_count, SIZE)

    def test_owner_goes_by_the_record_that_counts(self) -> None:
        members = listed()
        members.apply([entry(1, 100, None)], 10)
        held = members.find_record('i-1')
        assert held is not None
        self.assertIsNotNone(held.member)
        members.expire(10 + DRAIN_SECONDS)
        held = members.find_record('i-1')
        assert held is not None
        self.assertIsNone(held.member)

    def test_two_starts_of_one_instance(self) -> None:
        """Guards against a crashed start that hides the one in its place."""
        members = listed()
        successor = msgspec.structs.replace(
            entry(1, 100, 'live'),
            key='instances/i-new',
        )
        members.apply([successor], 10)
        self.assertEqual(members.instance_count, SIZE)
        members.apply([entry(1, 101, None)], 10)
        members.expire(60)
        self.assertEqual(members.instance_count, SIZE)
