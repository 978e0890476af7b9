"""Reads and watches of the store.

This module decides which calls a daemon makes and when, and tracks the revision
up to which the answers cover all keys.
"""

import math
from random import Random
from typing import Final, final

from briartack.core.dissemination.backoff import MAX_BACKOFF_SECONDS, Backoff
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.store_eras import StoreAnswer, StoreEras
from briartack.core.dissemination.store_outages import StoreOutages
from briartack.core.dissemination.store_reachability import StoreReachability
from briartack.core.dissemination.store_reports import (
    report_duty,
    report_era,
    report_gone_history,
    report_watch,
)
from briartack.core.dissemination.store_rules import (
    DEFAULT_STORE_RULES,
    StoreRules,
)
from briartack.core.effects import (
    CancelWatch,
    Effects,
    LogLevel,
    ReadStore,
    WatchStore,
    WriteLog,
)
from briartack.core.entries import INSTANCE_PREFIX, PLATFORM_KEY
from briartack.core.events import (
    StoreFailed,
    StoreOperation,
    StoreRead,
    StoreWatched,
)
from briartack.core.token_bucket import TokenBucket
from briartack.core.units import (
    NO_REVISION,
    Revision,
    format_revision,
    number_of,
)

ALL_KEYS_PREFIX: Final = ''
# A read counts as failed if the shell reports no outcome within this time.
READ_DEADLINE_SECONDS: Final = 10.0
READS_PER_SECOND: Final = 1.0
READS_BURST: Final = 2
# Each edit ends a watch, so a lower rate would delay edits in quick succession.
# At this rate, such edits arrive in batches, one answer per 200 ms.
WATCHES_PER_SECOND: Final = 5.0
WATCHES_BURST: Final = 5
REVISION_FELL: Final = 'store-revision-fell'
NO_ANSWER: Final = 'no answer in time'


@final
class StoreReadsState:
    """Schedule the calls to the store and track their answers.

    Holds the calls in flight with their deadlines, the rate limits, the
    backoff, the revision up to which answers cover all keys, the highest
    revision seen in any answer, and whether to read all keys once although
    another daemon may watch.
    """

    __slots__ = (
        'is_read_requested',
        '_random',
        '_rules',
        '_reads',
        '_watches',
        '_backoff',
        '_read_deadlines',
        '_instance_read_at',
        '_watch_deadline',
        '_watch_started_at',
        '_is_on_duty',
        '_must_read_revision',
        '_must_read_all',
        '_must_read_settled',
        '_catch_up_revision',
        '_complete_revision',
        '_highest_seen',
        '_reachability',
        '_eras',
        'outages',
    )

    def __init__(
        self,
        *,
        random: Random,
        rules: StoreRules = DEFAULT_STORE_RULES,
    ) -> None:
        self.is_read_requested = False
        self._random = random
        self._rules = rules
        self._reads = TokenBucket(
            rate_per_second=READS_PER_SECOND,
            burst=READS_BURST,
        )
        self._watches = TokenBucket(
            rate_per_second=WATCHES_PER_SECOND,
            burst=WATCHES_BURST,
        )
        self._backoff = Backoff(random=random)
        self._read_deadlines: dict[str, float] = {}  # deadlines by prefix
        self._instance_read_at = math.inf
        self._watch_deadline: float | None = None
        self._watch_started_at: float | None = None
        self._is_on_duty = False
        self._must_read_revision = False
        self._must_read_all = False
        # All keys are read again once the era of the store has settled.
        self._must_read_settled = False
        self._catch_up_revision: Revision | None = None
        self._complete_revision: Revision | None = None
        self._highest_seen = NO_REVISION
        self._reachability = StoreReachability()
        self._eras = StoreEras()
        self.outages: Final = StoreOutages()

    @property
    def rules(self) -> StoreRules:
        """Return the rules for the load on the store."""
        return self._rules

    @property
    def is_on_duty(self) -> bool:
        """Return whether this daemon should watch the store."""
        return self._is_on_duty

    @property
    def is_watch_healthy(self) -> bool:
        """Return whether this daemon watches a store that answers."""
        is_covered = self._is_on_duty and self._complete_revision is not None
        return is_covered and self._reachability.is_answered

    @property
    def reachability(self) -> StoreReachability:
        """Return the record of whether and how fast the store answers."""
        return self._reachability

    def may_infer_deletions(self, event: StoreRead) -> bool:
        """Return whether a key that a read lacks counts as deleted."""
        is_current = not self.is_behind_seen(event.revision)
        return is_current and self._eras.is_settled(event.now)

    @property
    def is_caught_up(self) -> bool:
        """Return whether the daemon has caught up with the store after a pause.

        The answers have to cover the revision that a read after the pause
        returned.
        """
        return (
            self._catch_up_revision is not None
            and self._complete_revision is not None
            and self._complete_revision >= self._catch_up_revision
        )

    def start(self, now: float) -> None:
        """Schedule the read of the list of instances."""
        jitter = self._random.uniform(0, self._rules.start_jitter_seconds)
        self._instance_read_at = now + jitter

    def set_duty(self, *, is_on_duty: bool) -> Effects:
        """Set whether this daemon watches the store; cancel a watch if not."""
        effects: Effects = []
        if is_on_duty != self._is_on_duty:
            effects = report_duty(
                self._complete_revision, is_on_duty=is_on_duty
            )
            # The watch before may have been silent, and so may the next. An
            # answer from before does not show that the store answers now.
            self._must_read_all = is_on_duty
            self._reachability.forget_answer()
        self._is_on_duty = is_on_duty
        self._must_read_revision = self._must_read_revision and is_on_duty
        if is_on_duty or self._watch_deadline is None:
            return effects
        self._watch_deadline = None
        return [*effects, CancelWatch()]

    def resume(self) -> Effects:
        """Drop the calls in flight after a pause of this process.

        A daemon on duty cancels its watch and reads a key to learn the current
        revision.
        """
        self._read_deadlines.clear()
        if not self._is_on_duty:
            return []
        had_watch = self._watch_deadline is not None
        self._watch_deadline = None
        # An answer to the old watch may date from before the pause, so it
        # confirms nothing. A read of a single key returns the revision up to
        # which to catch up.
        self._must_read_revision = True
        self._catch_up_revision = None
        return [CancelWatch()] if had_watch else []

    def start_due_calls(self, now: float, *, needs_full_read: bool) -> Effects:
        """Start the calls that are due and within the rate limits."""
        effects = self._expire_calls(now)
        if self._must_read_settled and self._eras.is_settled(now):
            self._must_read_settled = False
            self._must_read_all = True
        if not self._backoff.is_over(now):
            return effects
        if self._must_read_revision and self._is_on_duty:
            effects.extend(self._start_read(now, PLATFORM_KEY))
        if now >= self._instance_read_at:
            effects.extend(self._start_read(now, INSTANCE_PREFIX))
        complete = self._complete_revision
        needs_all_keys = complete is None or self._must_read_all
        may_read = needs_full_read or self._is_on_duty
        if self.is_read_requested or (needs_all_keys and may_read):
            started = self._start_read(now, ALL_KEYS_PREFIX)
            # A read in flight may have missed what is requested.
            self.is_read_requested = self.is_read_requested and not started
            effects.extend(started)
        if self._is_on_duty and complete is not None:
            effects.extend(self._start_watch(now, complete))
        return effects

    def place_answer(
        self, event: StoreAnswer, holdings: Holdings
    ) -> tuple[StoreAnswer, Effects]:
        """Return an answer with revisions in the order of versions.

        In a new era of the store, all keys are read again and a new watch is
        started: the pending one continues from a number of another era.
        """
        before = self._eras.era
        effects: Effects = []
        if self._eras.record_answer(event, holdings):
            effects = report_era(event, before)
            self._complete_revision = None
            self._must_read_all = True
            self._must_read_settled = True
            if self._watch_deadline is not None and isinstance(
                event, StoreRead
            ):
                self._watch_deadline = None
                effects.append(CancelWatch())
        return self._eras.place(event, holdings), effects

    def on_read(self, event: StoreRead) -> Effects:
        """Handle the answer to a read."""
        effects = self._reachability.record_answer(event.revision)
        self.outages.record_answer(event.now)
        self._reachability.record_answer_time(event.elapsed_seconds)
        self._read_deadlines.pop(event.prefix, None)
        self._backoff.record_success()
        if self._eras.is_former(event.era):
            # The store was restored while the answer was on its way.
            effects.extend(self._record_revision(event.revision))
            return effects
        if event.prefix == PLATFORM_KEY:
            self._must_read_revision = False
            self._catch_up_revision = event.revision
        if event.prefix in {ALL_KEYS_PREFIX, INSTANCE_PREFIX}:
            self._instance_read_at = math.inf
        if event.prefix == ALL_KEYS_PREFIX:
            self._must_read_all = False
            self._advance_complete(event.revision)
        effects.extend(self._record_revision(event.revision))
        return effects

    def on_watched(self, event: StoreWatched) -> Effects:
        """Handle the answer to a watch.

        The next watch starts at the revision of the answer and not at a
        revision that peers announced, so no peer can make this daemon skip an
        edit.
        """
        self._watch_deadline = None
        effects = self._reachability.record_answer(event.revision)
        self.outages.record_answer(event.now)
        effects.extend(
            report_watch(event, self._complete_revision, self._watch_started_at)
        )
        self._backoff.record_success()
        if self._complete_revision is not None:
            self._advance_complete(event.revision)
        fallen = self._record_revision(event.revision)
        effects.extend(fallen)
        if fallen:
            # A store whose revision fell may answer each watch at once, so
            # the next call is delayed.
            self._record_failure(event.now)
        return effects

    def on_failed(self, event: StoreFailed) -> Effects:
        """Handle a failed call: log the failure and delay the next call."""
        complete = self._complete_revision
        self._handle_failure(event)
        if event.is_history_gone:
            return report_gone_history(complete)
        return self._reachability.report_failure(event, self._highest_seen)

    def is_behind_seen(self, revision: Revision) -> bool:
        """Return whether a revision is lower than one of an earlier answer."""
        return revision < self._highest_seen

    def _record_failure(
        self, now: float, min_delay_seconds: float | None = None
    ) -> None:
        self._reachability.record_failure()
        self.outages.record_failure(now)
        bound = MAX_BACKOFF_SECONDS
        if self._is_on_duty:
            bound = min(bound, self._rules.duty_backoff_seconds)
        self._backoff.record_failure(now, min_delay_seconds, bound)

    def _advance_complete(self, revision: Revision) -> None:
        self._complete_revision = max(
            self._complete_revision or NO_REVISION, revision
        )

    def _handle_failure(self, event: StoreFailed) -> None:
        if event.operation is StoreOperation.READ:
            self._read_deadlines.pop(event.prefix, None)
        elif self._watch_deadline is None:
            return  # The failure of a cancelled watch shows nothing.
        else:
            self._watch_deadline = None
        if event.is_history_gone:
            # The store works, so all keys are read again without a delay.
            self._complete_revision = None
            return
        self._record_failure(event.now, event.retry_after_seconds)

    def _record_revision(self, revision: Revision) -> Effects:
        if self.is_behind_seen(revision):
            fields = (
                ('seen', format_revision(self._highest_seen)),
                ('answered', format_revision(revision)),
            )
            return [
                WriteLog(
                    level=LogLevel.WARNING,
                    code=REVISION_FELL,
                    fields=fields,
                ),
            ]
        self._highest_seen = revision
        return []

    def _expire_calls(self, now: float) -> Effects:
        """Handle calls without an answer in time as failed calls."""
        expired = [
            (StoreOperation.READ, prefix)
            for prefix, deadline in self._read_deadlines.items()
            if now >= deadline
        ]
        effects: Effects = []
        if self._watch_deadline is not None and now >= self._watch_deadline:
            expired.append((StoreOperation.WATCH, ''))
            self._must_read_all = True
            effects.append(CancelWatch())
        for operation, prefix in expired:
            effects.extend(
                self.on_failed(
                    StoreFailed(
                        now=now,
                        operation=operation,
                        prefix=prefix,
                        reason=NO_ANSWER,
                    ),
                ),
            )
        return effects

    def _start_read(self, now: float, prefix: str) -> Effects:
        if prefix in self._read_deadlines or not self._reads.take(now):
            return []
        self._read_deadlines[prefix] = now + READ_DEADLINE_SECONDS
        is_list = prefix == INSTANCE_PREFIX
        return [
            ReadStore(
                prefix=prefix,
                may_lag=is_list and self._rules.reads_stale_list,
            ),
        ]

    def _start_watch(self, now: float, after: Revision) -> Effects:
        if self._watch_deadline is not None or not self._watches.take(now):
            return []
        wait_seconds = self._rules.watch_wait_seconds
        self._watch_deadline = (
            now + wait_seconds + self._rules.watch_grace_seconds
        )
        self._watch_started_at = now
        return [
            WatchStore(
                after=Revision(number_of(after)), wait_seconds=wait_seconds
            ),
        ]
