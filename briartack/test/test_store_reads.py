"""Guards the number of store calls and the order of their answers."""

import unittest
from random import Random
from typing import Final

from nose2.tools import params

from briartack.core.dissemination.store_reads import (
    REVISION_FELL,
    StoreReadsState,
)
from briartack.core.effects import ReadStore, WatchStore, WriteLog
from briartack.core.events import (
    StoreFailed,
    StoreOperation,
    StoreRead,
    StoreWatched,
)
from briartack.core.units import Revision


def _read(revision: int, prefix: str = '', now: float = 1) -> StoreRead:
    return StoreRead(
        now=now,
        prefix=prefix,
        revision=Revision(revision),
        entries=(),
    )


def _watched(revision: int, now: float = 2) -> StoreWatched:
    return StoreWatched(now=now, revision=Revision(revision), entries=())


FAILURE: Final = StoreFailed(
    now=1,
    operation=StoreOperation.READ,
    prefix='',
    reason='429',
    retry_after_seconds=5,
)


class StoreReadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reads = StoreReadsState(random=Random(1))
        self.reads.set_duty(is_on_duty=True)

    def test_reads_stay_within_the_budget(self) -> None:
        """A process paused again and again must not read at each resume."""
        calls = 0
        for step in range(100):
            calls += len(self.reads.due(step / 10, needs_full_read=False))
            self.reads.resume()
        self.assertLessEqual(calls, 2 + 10)

    def test_refusal_is_followed_by_the_wait_that_the_store_asks_for(
        self,
    ) -> None:
        """A retry at once would keep the store above its limit."""
        self.reads.due(1, needs_full_read=False)
        self.reads.on_failed(FAILURE)
        self.assertEqual(self.reads.due(5.9, needs_full_read=False), [])
        self.assertEqual(
            self.reads.due(7, needs_full_read=False),
            [ReadStore(prefix='')],
        )

    def test_failures_in_a_row_are_spaced_out(self) -> None:
        """A store that is down must not be asked at the full rate."""
        calls = 0
        for step in range(1200):
            if self.reads.due(step / 10, needs_full_read=False):
                calls += 1
                self.reads.on_failed(
                    StoreFailed(
                        now=step / 10,
                        operation=StoreOperation.READ,
                        prefix='',
                        reason='down',
                    ),
                )
        self.assertIn(calls, range(4, 25))

    @params(
        ((), 10),
        ((_watched(12),), 12),
        ((_watched(9),), 10),
        ((_watched(12), _watched(11)), 12),
        ((_read(9),), 10),
        ((_read(30, 'instances/'),), 10),
    )
    def test_next_watch_begins_where_answers_are_complete(
        self,
        answers: tuple[StoreRead | StoreWatched, ...],
        after: int,
    ) -> None:
        """A watch from a higher revision would miss edits below it."""
        self.reads.on_read(_read(10))
        for answer in answers:
            if isinstance(answer, StoreRead):
                self.reads.on_read(answer)
            else:
                self.reads.on_watched(answer)
        calls = self.reads.due(60, needs_full_read=False)
        self.assertEqual(
            calls,
            [WatchStore(after=Revision(after), wait_seconds=20)],
        )

    def test_fallen_revision_is_reported(self) -> None:
        """Operators must learn that the store was restored from a backup."""
        self.assertEqual(self.reads.on_read(_read(10)), [])
        reports = self.reads.on_watched(_watched(7))
        codes = [
            report.code for report in reports if isinstance(report, WriteLog)
        ]
        self.assertEqual(codes, [REVISION_FELL])
        self.assertEqual(self.reads.on_watched(_watched(10)), [])

    def test_old_watch_confirms_nothing_after_a_pause(self) -> None:
        """Its answer may have waited in the socket during the pause."""
        self.reads.on_read(_read(10))
        self.reads.due(2, needs_full_read=False)
        self.reads.resume()
        self.reads.due(9, needs_full_read=False)
        self.reads.on_watched(_watched(11, now=9))
        self.assertFalse(self.reads.is_caught_up)
        self.reads.on_read(_read(12, 'platform', now=9))
        self.assertFalse(self.reads.is_caught_up)
        self.reads.on_watched(_watched(12, now=9))
        self.assertTrue(self.reads.is_caught_up)
        self.reads.resume()
        self.assertFalse(self.reads.is_caught_up)
