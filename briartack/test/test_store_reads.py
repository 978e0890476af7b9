"""Tests of the schedule of store calls and the order of their answers.

Too many calls exceed the store's limit; an answer that arrives late must not
hide a change from the next watch.
"""

import unittest
from random import Random
from typing import Final

from nose2.tools import params

from briartack.core.dissemination.store_reachability import STORE_LOST
from briartack.core.dissemination.store_reads import (
    REVISION_FELL,
    StoreReadsState,
)
from briartack.core.effects import (
    CancelWatch,
    Effect,
    ReadStore,
    WatchStore,
    WriteLog,
)
from briartack.core.events import (
    StoreFailed,
    StoreOperation,
    StoreRead,
    StoreWatched,
)
from briartack.core.units import FIRST_ERA, Era, Revision
from briartack.test.fake_holdings import FakeHoldings


def _read(
    revision: int, prefix: str = '', now: float = 1, era: Era = FIRST_ERA
) -> StoreRead:
    """Return the empty answer to a full read."""
    return StoreRead(
        now=now,
        prefix=prefix,
        revision=Revision(revision),
        entries=(),
        era=era,
    )


def _watched(
    revision: int, now: float = 2, era: Era = FIRST_ERA
) -> StoreWatched:
    """Return the empty answer to a watch."""
    return StoreWatched(
        now=now, revision=Revision(revision), entries=(), era=era
    )


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

    def test_repeated_resumes_stay_within_the_read_budget(self) -> None:
        """Guard against a read at each resume of a process that often pauses.

        The budget is a burst of 2 reads and 1 read per second.
        """
        calls = 0
        for step in range(100):
            calls += len(
                self.reads.start_due_calls(step / 10, needs_full_read=False)
            )
            self.reads.resume()
        self.assertLessEqual(calls, 2 + 10)

    def test_refused_read_waits_as_long_as_the_store_asks(
        self,
    ) -> None:
        """Guard against an immediate retry that keeps the store overloaded."""
        self.reads.start_due_calls(1, needs_full_read=False)
        self.reads.on_failed(FAILURE)
        self.assertEqual(
            self.reads.start_due_calls(5.9, needs_full_read=False), []
        )
        self.assertEqual(
            self.reads.start_due_calls(7, needs_full_read=False),
            [ReadStore(prefix='')],
        )

    def test_repeated_failures_are_retried_with_backoff(self) -> None:
        """Guard against calls at the full rate to a store that is down."""
        calls = 0
        for step in range(1200):
            if self.reads.start_due_calls(step / 10, needs_full_read=False):
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
    def test_next_watch_starts_where_answers_are_complete(
        self,
        answers: tuple[StoreRead | StoreWatched, ...],
        after: int,
    ) -> None:
        """Guard against a watch that misses changes below its revision.

        After a full read at revision 10, each row states further answers, and
        the revision up to which the answers are complete.
        """
        self.reads.on_read(_read(10))
        for answer in answers:
            if isinstance(answer, StoreRead):
                self.reads.on_read(answer)
            else:
                self.reads.on_watched(answer)
        calls = self.reads.start_due_calls(60, needs_full_read=False)
        self.assertEqual(
            calls,
            [WatchStore(after=Revision(after), wait_seconds=20)],
        )

    def test_watch_without_an_answer_in_time_has_failed(self) -> None:
        """Guard against a silent store that counts as healthy.

        The watch waits 20 s, and its answer may take 5 s more.
        """
        self.reads.on_read(_read(10))
        self.reads.start_due_calls(1, needs_full_read=False)
        self.assertEqual(
            self.reads.start_due_calls(25.9, needs_full_read=False), []
        )
        self.assertTrue(self.reads.is_watch_healthy)
        cancel, *reports = self.reads.start_due_calls(26, needs_full_read=False)
        self.assertEqual(cancel, CancelWatch())
        codes = [
            report.code for report in reports if isinstance(report, WriteLog)
        ]
        self.assertEqual(codes, [STORE_LOST])
        self.assertFalse(self.reads.is_watch_healthy)

    def test_lower_revision_of_the_store_is_reported(self) -> None:
        """Guard against a store that is restored from a backup unnoticed."""
        self.assertEqual(self.reads.on_read(_read(10)), [])
        reports = self.reads.on_watched(_watched(7))
        codes = [
            report.code for report in reports if isinstance(report, WriteLog)
        ]
        self.assertEqual(codes, [REVISION_FELL])
        self.assertEqual(self.reads.on_watched(_watched(10)), [])

    def test_watch_from_before_a_pause_confirms_nothing(self) -> None:
        """Guard against an outdated answer that confirms the configuration.

        The answer to a watch may have waited in the socket during the pause.
        """
        self.reads.on_read(_read(10))
        self.reads.start_due_calls(2, needs_full_read=False)
        self.reads.resume()
        self.reads.start_due_calls(9, needs_full_read=False)
        self.reads.on_watched(_watched(11, now=9))
        self.assertFalse(self.reads.is_caught_up)
        self.reads.on_read(_read(12, 'platform', now=9))
        self.assertFalse(self.reads.is_caught_up)
        self.reads.on_watched(_watched(12, now=9))
        self.assertTrue(self.reads.is_caught_up)
        self.reads.resume()
        self.assertFalse(self.reads.is_caught_up)


SECOND_ERA: Final = Era(2)
KEYS_READ: Final = ReadStore(prefix='')


class RestoredStoreReadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reads = StoreReadsState(random=Random(1))
        self.reads.set_duty(is_on_duty=True)
        self.reads.start_due_calls(0, needs_full_read=True)
        self.deliver(_read(7, now=1))
        self.reads.start_due_calls(3, needs_full_read=False)

    def deliver(self, event: StoreRead | StoreWatched) -> list[Effect]:
        """Deliver an answer as dissemination does; return the effects."""
        if isinstance(event, StoreRead):
            read, effects = self.reads.place_answer(event, FakeHoldings())
            return [*effects, *self.reads.on_read(read)]
        watched, effects = self.reads.place_answer(event, FakeHoldings())
        return [*effects, *self.reads.on_watched(watched)]

    # Guards against a watch that goes on after a number of the era before,
    # which the restored store reaches again, and so misses changes.
    @params(
        _read(5, prefix='instances/', now=4, era=SECOND_ERA),
        _watched(9, now=4, era=SECOND_ERA),
    )
    def test_all_keys_are_read_again_before_the_next_watch(
        self, answer: StoreRead | StoreWatched
    ) -> None:
        effects = self.deliver(answer)
        is_watch_pending = isinstance(answer, StoreRead)
        self.assertEqual(CancelWatch() in effects, is_watch_pending)
        due = self.reads.start_due_calls(5, needs_full_read=False)
        self.assertEqual(due, [KEYS_READ])
        self.deliver(_read(9, now=5.1, era=SECOND_ERA))
        due = self.reads.start_due_calls(5.2, needs_full_read=False)
        self.assertEqual([type(effect) for effect in due], [WatchStore])

    # Guards against keys that count as there for good although the copy lacks
    # them, and against more reads than the two of a restore.
    def test_all_keys_are_read_again_once_the_era_has_settled(self) -> None:
        self.deliver(_read(5, now=4, era=SECOND_ERA))
        self.reads.start_due_calls(5, needs_full_read=False)
        self.deliver(_read(5, now=5, era=SECOND_ERA))
        reads = []
        for step in range(60):
            now = 5 + step / 10
            due = self.reads.start_due_calls(now, needs_full_read=False)
            if KEYS_READ in due:
                reads.append(now)
                self.deliver(_read(5, now=now, era=SECOND_ERA))
        self.assertEqual(reads, [6.5])
