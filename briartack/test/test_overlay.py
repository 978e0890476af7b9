"""Guards the shape of the distribution tree."""

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
    parents = find_neighbours(member, fleet).parents
    return 1 + max((_depth(parent, fleet) for parent in parents), default=0)


class OverlayTest(unittest.TestCase):
    """Without these, daemons would be cut off or the store be flooded."""

    @params(
        (2, (0, 1)),
        (10, (1, 0)),
        (17, (1, 0)),
        (18, (2, 3)),
        (145, (17, 2)),
        (146, (18, 19)),
    )
    def test_parent_positions(
        self,
        position: int,
        expected: tuple[int, int],
    ) -> None:
        self.assertEqual(parent_positions(position), expected)

    def test_every_daemon_hangs_below_the_first_root(self) -> None:
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
        # 175 daemons in a data centre: four levels, and two roots above.
        self.assertLessEqual(_depth(FLEET[-1], FLEET), 6)

    @params(0, 1, 2, 5)
    def test_unlisted_daemon_is_no_root_beside_listed_ones(
        self,
        size: int,
    ) -> None:
        # Candidates of every rank, so that some would be first if listed.
        for number in range(800, 840):
            own = _member(number, regions=1, centres=1)
            others = [
                _member(other, regions=1, centres=1) for other in range(size)
            ]
            place = find_neighbours(own, others)
            self.assertEqual(place.is_root, size == 0)
            self.assertEqual(len(place.parents), min(size, 2))

    def test_place_follows_the_own_record(self) -> None:
        """Guards against a daemon that fails when its settings differ."""
        for listed in FLEET[:40]:
            own = replace(listed, region='elsewhere', data_centre='nowhere')
            self.assertEqual(
                find_neighbours(own, FLEET), find_neighbours(listed, FLEET)
            )

    def test_order_does_not_depend_on_the_list(self) -> None:
        self.assertEqual(
            sort_by_rank('r0', FLEET), sort_by_rank('r0', reversed(FLEET))
        )
        one, other = sort_by_rank('r0', FLEET), sort_by_rank('r1', FLEET)
        self.assertNotEqual(one, other)
