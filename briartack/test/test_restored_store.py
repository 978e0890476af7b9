"""Tests of a store that was restored from a copy.

The store loses its latest changes, counts on from the revision of the copy in a
new era, and the operators and the upstreams write again what they wrote. What
is in force must stay so, and later changes must come into force.
"""

import unittest
from typing import Final

from nose2.tools import params

from briartack.core.units import Era, place_in_era
from briartack.test.store_reader import (
    RECORD_KEY,
    SETTLED,
    Daemon,
    Read,
    Watched,
    record,
    subtree,
    version,
    zone,
)

# Revision 23 is in force in era 1; version 12 is what the operators state.
BEFORE: Final = (
    Read(1, 1, 21, (version(21, 1, 9),)),
    Watched(2, 1, 22, (version(22, 2, 11),)),
    Watched(3, 1, 23, (version(23, 3, 12),)),
)
BEFORE_UNSTATED: Final = (
    Read(1, 1, 21, (version(21, 1),)),
    Watched(2, 1, 22, (version(22, 2),)),
    Watched(3, 1, 23, (version(23, 3),)),
)
REWRITTEN: Final = Read(4, 2, 22, (version(22, 3, 12),))


class RestoredConfigurationTest(unittest.TestCase):
    # Guards against a change that is refused or ignored because the store gave
    # its revision, or a higher one, to another value in an earlier era.
    @params(
        (*BEFORE, REWRITTEN, Watched(5, 2, 23, (version(23, 4, 14),))),
        (
            *BEFORE_UNSTATED,
            Read(4, 2, 22, (version(22, 3),)),
            Watched(5, 2, 23, (version(23, 4),)),
        ),
        (
            Read(1, 1, 90, (version(90, 3),)),
            Read(4, 2, 40, (version(40, 3),)),
            Watched(5, 2, 41, (version(41, 4),)),
        ),
        # The first answer of the new era has the change already.
        (*BEFORE, Read(4, 2, 23, (version(23, 4, 14),))),
        (*BEFORE, Read(4, 2, 30, (version(20, 4, 14),))),
        # The watch goes on, since the store has reached its revision again.
        (
            *BEFORE,
            Watched(4, 2, 25, (record(25, 'live', 1),)),
            Read(4.1, 2, 25, (version(24, 4, 14), record(25, 'live', 1))),
        ),
        # The store is restored twice.
        (
            *BEFORE,
            REWRITTEN,
            Read(5, 3, 22, (version(22, 3, 12),)),
            Watched(6, 3, 23, (version(23, 4, 14),)),
        ),
        # The store skips an era that no daemon has seen.
        (
            *BEFORE,
            Read(5, 4, 9, (version(9, 3, 12),)),
            Watched(6, 4, 10, (version(10, 4, 14),)),
        ),
    )
    def test_change_after_a_restore_comes_into_force(
        self, *answers: Read | Watched
    ) -> None:
        daemon = Daemon()
        daemon.deliver(*answers)
        self.assertEqual(daemon.active_value, subtree(4))

    # Guards against a copy that takes the place of what is in force before the
    # operators have written that again, and against late answers.
    @params(
        (*BEFORE, Read(4, 2, 21, (version(21, 1, 9),))),
        (*BEFORE, Read(SETTLED, 2, 21, (version(21, 1, 9),))),
        (
            *BEFORE,
            Read(4, 2, 21, (version(21, 1, 9),)),
            Read(SETTLED, 2, 21, (version(21, 1, 9),)),
        ),
        (
            *BEFORE_UNSTATED,
            Read(4, 2, 21, (version(21, 1),)),
            Read(SETTLED, 2, 21, (version(21, 1),)),
        ),
        # The copy is older than the first configuration.
        (*BEFORE, Read(4, 2, 3, ()), Read(SETTLED, 2, 3, ())),
        (*BEFORE_UNSTATED, Read(4, 2, 3, ()), Read(SETTLED, 2, 3, ())),
        # An answer of era 1 arrives late.
        (*BEFORE, REWRITTEN, Read(5, 1, 22, (version(22, 2, 11),))),
        (*BEFORE, REWRITTEN, Watched(5, 1, 22, (version(22, 2, 11),))),
        # The era falls for good.
        (
            *BEFORE,
            REWRITTEN,
            Read(5, 1, 40, (version(40, 2, 11),)),
            Read(SETTLED, 1, 40, (version(40, 2, 11),)),
        ),
    )
    def test_copy_does_not_replace_what_is_in_force(
        self, *answers: Read | Watched
    ) -> None:
        daemon = Daemon()
        daemon.deliver(*answers)
        self.assertEqual(daemon.active_value, subtree(3))

    # Guards against an older configuration from a daemon that started with the
    # copy, also if its revision is above that of what is in force.
    def test_copy_of_a_fresh_peer_does_not_replace_what_is_in_force(
        self,
    ) -> None:
        fresh = Daemon()
        fresh.deliver(Read(1, 2, 21, (version(21, 1, 9),)))
        daemon = Daemon()
        daemon.deliver(*BEFORE)
        daemon.learn_from(fresh, 4)
        copied = version(place_in_era(Era(2), 21), 1, 9)
        daemon.state.configuration.apply([copied])
        self.assertEqual(daemon.active_value, subtree(3))
        fresh.state.configuration.apply([copied])
        fresh.learn_from(daemon, 4)
        self.assertEqual(fresh.active_value, subtree(3))


OUT: Final = ('north-2',)
OUT_BEFORE: Final = (
    Read(1, 1, 21, (version(21, 3, 9),)),
    Watched(2, 1, 22, (zone(22),)),
)
BACK_BEFORE: Final = (*OUT_BEFORE, Watched(3, 1, 23, (zone(23, is_out=False),)))


class RestoredOutOfServiceTest(unittest.TestCase):
    # Guards against a data centre that gets work again, or none, because the
    # store lost that operators took it out or back.
    @params(
        # Taken out in the lost time, and written again later.
        ((*OUT_BEFORE, Read(4, 2, 21, (version(21, 3, 9),))), OUT),
        (
            (
                *OUT_BEFORE,
                Read(4, 2, 21, (version(21, 3, 9),)),
                Watched(5, 2, 22, (zone(22),)),
                Read(SETTLED, 2, 22, (version(21, 3, 9), zone(22))),
            ),
            OUT,
        ),
        # Taken back meanwhile: the store still lacks it after a time.
        (
            (
                *OUT_BEFORE,
                Read(4, 2, 21, (version(21, 3, 9),)),
                Read(SETTLED, 2, 21, (version(21, 3, 9),)),
            ),
            (),
        ),
        # Taken back in the lost time.
        ((*BACK_BEFORE, Read(4, 2, 22, (version(21, 3, 9), zone(22)))), ()),
        (
            (
                *BACK_BEFORE,
                Read(4, 2, 22, (version(21, 3, 9), zone(22))),
                Watched(5, 2, 23, (zone(23, is_out=False),)),
                Read(SETTLED, 2, 23, (version(21, 3, 9),)),
            ),
            (),
        ),
        # Nobody takes it back again.
        (
            (
                *BACK_BEFORE,
                Read(4, 2, 22, (version(21, 3, 9), zone(22))),
                Read(SETTLED, 2, 22, (version(21, 3, 9), zone(22))),
            ),
            OUT,
        ),
    )
    def test_data_centre_stays_out_or_in(
        self, answers: tuple[Read | Watched, ...], out: tuple[str, ...]
    ) -> None:
        daemon = Daemon()
        daemon.deliver(*answers)
        self.assertEqual(daemon.data_centres_out, out)


LISTED: Final = (Read(1, 1, 24, (record(24, 'live', 5),)),)
LEAVING: Final = (*LISTED, Watched(2, 1, 25, (record(25, 'leaving', 8),)))
GONE: Final = (*LISTED, Watched(2, 1, 25, (record(25, None, 0),)))


class RestoredInstancesTest(unittest.TestCase):
    # Guards against calls to an upstream that has left, and against the loss of
    # one that lives, after the store forgot what upstreams had written.
    @params(
        # The copy was taken before the upstream registered.
        ((*LISTED, Read(4, 2, 20, ())), 'live'),
        (
            (
                *LISTED,
                Read(4, 2, 20, ()),
                Watched(5, 2, 21, (record(21, 'live', 9),)),
                Read(SETTLED, 2, 21, (record(21, 'live', 9),)),
            ),
            'live',
        ),
        ((*LISTED, Read(4, 2, 20, ()), Read(SETTLED, 2, 20, ())), None),
        # The copy was taken before the upstream said that it leaves.
        ((*LEAVING, Read(4, 2, 24, (record(24, 'live', 5),))), 'leaving'),
        (
            (
                *LEAVING,
                Read(4, 2, 24, (record(24, 'live', 5),)),
                Read(SETTLED, 2, 24, (record(24, 'live', 5),)),
            ),
            'leaving',
        ),
        # The copy was taken before the upstream left.
        ((*GONE, Read(4, 2, 24, (record(24, 'live', 5),))), None),
        (
            (
                *GONE,
                Read(4, 2, 24, (record(24, 'live', 5),)),
                Read(SETTLED, 2, 24, (record(24, 'live', 5),)),
            ),
            None,
        ),
        # It had only lapsed and writes again.
        (
            (
                *GONE,
                Read(4, 2, 24, (record(24, 'live', 5),)),
                Watched(5, 2, 25, (record(25, 'live', 9),)),
            ),
            'live',
        ),
        # It had left, and another start has its id.
        (
            (
                *GONE,
                Read(4, 2, 24, (record(24, 'live', 5),)),
                Watched(5, 2, 25, (record(25, 'live', 1, born=2000),)),
            ),
            'live',
        ),
        # It says that it leaves while the store returns.
        ((*LISTED, Read(4, 2, 22, (record(22, 'leaving', 8),))), 'leaving'),
    )
    def test_list_has_the_upstreams_that_live(
        self, answers: tuple[Read | Watched, ...], state: str | None
    ) -> None:
        daemon = Daemon()
        daemon.deliver(*answers)
        self.assertEqual(daemon.listed_state, state)

    # Guards against a peer that started with the copy and lists an upstream
    # that has left.
    def test_deletion_wins_over_the_copy_of_a_fresh_peer(self) -> None:
        fresh = Daemon()
        fresh.deliver(Read(1, 2, 24, (record(24, 'live', 5),)))
        daemon = Daemon()
        daemon.deliver(*GONE)
        daemon.state.membership.apply(
            fresh.state.membership.entries_for((RECORD_KEY,))
        )
        self.assertIsNone(daemon.listed_state)
