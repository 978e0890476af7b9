"""Tests of the tree through which daemons pass on configuration.

The daemons of a region form a tree below a first and a second root. Without
the properties below, daemons would be cut off from changes, or too many of
them would read the store.
"""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from nose2.tools import params

from briartack.core.dissemination.overlay import (
    Member,
    find_neighbours,
    parent_positions,
    sort_by_rank,
)
from briartack.core.units import InstanceId


def _member(number: int, regions: int = 2, centres: int = 2) -> Member:
    """Return a member; its number decides region and data centre."""
    region = f'r{number % regions}'
    return Member(
        instance=InstanceId(f'i{number}'),
        service='s',
        data_centre=f'{region}-{number // regions % centres}',
        region=region,
        peer_address='192.0.2.1:7000',
    )


FLEET: Final = tuple(_member(number) for number in range(700))


def _depth(member: Member, fleet: Sequence[Member]) -> int:
    """Return the number of daemons on the longest path from a root."""
    parents = find_neighbours(member, fleet).parents
    return 1 + max((_depth(parent, fleet) for parent in parents), default=0)


class OverlayTest(unittest.TestCase):
    @params(
        (2, (0, 1)),
        (10, (1, 0)),
        (17, (1, 0)),
        (18, (2, 3)),
        (145, (17, 2)),
        (146, (18, 19)),
    )
    def test_parents_of_each_position(
        self,
        position: int,
        expected: tuple[int, int],
    ) -> None:
        """Guard against a cycle or a tree that is too deep."""
        self.assertEqual(parent_positions(position), expected)

    def test_every_daemon_is_below_the_first_root(self) -> None:
        """Guard against a daemon without a path from a reader of the store.

        Parents and children must agree, since each side computes its own place.
        """
        places = {member: find_neighbours(member, FLEET) for member in FLEET}
        firsts = [own for own, at in places.items() if at.is_first_root]
        seconds = [own for own, at in places.items() if at.is_second_root]
        self.assertEqual((len(firsts), len(seconds)), (2, 2))
        for own, place in places.items():
            self.assertNotIn(own, place.parents)
            self.assertEqual(bool(place.parents), own not in firsts)
            for parent in place.parents:
                self.assertIn(own, places[parent].children)
            self.assertEqual(bool(place.remote_roots), place.is_root)
        # The 175 daemons of a data centre take four levels, and the roots of
        # the region two levels above them.
        self.assertLessEqual(_depth(FLEET[-1], FLEET), 6)

    @params(0, 1, 2, 5)
    def test_unlisted_daemon_is_no_root_beside_listed_ones(
        self,
        size: int,
    ) -> None:
        """Guard against a second reader of the store.

        A daemon that starts is not in the list yet, and a listed daemon reads
        the store already.
        """
        # 40 candidates, of which some would be a root if they were listed.
        for number in range(800, 840):
            own = _member(number, regions=1, centres=1)
            others = [
                _member(other, regions=1, centres=1) for other in range(size)
            ]
            place = find_neighbours(own, others)
            self.assertEqual(place.is_root, size == 0)
            self.assertEqual(len(place.parents), min(size, 2))

    def test_place_follows_the_daemons_listed_record(self) -> None:
        """Guard against a failure when settings differ from the record."""
        for listed in FLEET[:40]:
            own = replace(listed, region='elsewhere', data_centre='nowhere')
            self.assertEqual(
                find_neighbours(own, FLEET), find_neighbours(listed, FLEET)
            )

    def test_order_depends_on_the_scope_and_not_on_the_list(self) -> None:
        """Guard against daemons that compute different trees from one list.

        Another scope must have another order, so that the roots differ.
        """
        self.assertEqual(
            sort_by_rank('r0', FLEET), sort_by_rank('r0', reversed(FLEET))
        )
        first, second = sort_by_rank('r0', FLEET), sort_by_rank('r1', FLEET)
        self.assertNotEqual(first, second)
