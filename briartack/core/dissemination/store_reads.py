"""The calls to the store: which, when, and up to where they are complete."""

from random import Random
from typing import Final, final

from briartack.core.dissemination.budget import (
    MAX_BACKOFF_SECONDS,
    Backoff,
    TokenBudget,
)
from briartack.core.dissemination.store_contact import StoreContact
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
from briartack.core.units import Revision

WHOLE_TREE: Final = ''
WATCH_WAIT_SECONDS: Final = 20.0
# A call that the shell never reports on counts as failed after this time.
CALL_DEADLINE_SECONDS: Final = 10.0
READS_PER_SECOND: Final = 1.0
READS_BURST: Final = 2
# One watch ends with each edit, so a lower rate would delay edits that follow
# each other closely; at this one they are batched to one answer per 200 ms.
WATCHES_PER_SECOND: Final = 5.0
WATCHES_BURST: Final = 5
REVISION_FELL: Final = 'store-revision-fell'
NO_REVISION: Final = Revision(0)


@final
class StoreReadsState:
    """Own the calls in flight, their budget and what they covered."""

    __slots__ = (
        '_random',
        '_rules',
        '_reads',
        '_watches',
        '_backoff',
        '_reading',
        '_instances_at',
        '_watch_deadline',
        '_is_on_duty',
        '_must_probe',
        '_confirms_at',
        '_complete',
        '_seen',
        '_contact',
    )

    def __init__(
        self,
        *,
        random: Random,
        rules: StoreRules = DEFAULT_STORE_RULES,
    ) -> None:
        """Start without calls and without duty."""
        self._random = random
        self._rules = rules
        self._reads = TokenBudget(
            rate_per_second=READS_PER_SECOND,
            burst=READS_BURST,
        )
        self._watches = TokenBudget(
            rate_per_second=WATCHES_PER_SECOND,
            burst=WATCHES_BURST,
        )
        self._backoff = Backoff(random=random)
        self._reading: dict[str, float] = {}  # deadlines by prefix
        self._instances_at: float | None = None
        self._watch_deadline: float | None = None
        self._is_on_duty = False
        self._must_probe = False
        self._confirms_at: Revision | None = None
        self._complete: Revision | None = None
        self._seen = NO_REVISION
        self._contact = StoreContact()

    @property
    def rules(self) -> StoreRules:
        """Return how hard the store may be pressed."""
        return self._rules

    @property
    def complete(self) -> Revision | None:
        """Return the revision up to which answers covered the whole tree."""
        return self._complete

    @property
    def is_on_duty(self) -> bool:
        """Tell whether this daemon is to watch the store."""
        return self._is_on_duty

    @property
    def watches_well(self) -> bool:
        """Tell whether a watch is kept up and the store answers."""
        is_covered = self._is_on_duty and self._complete is not None
        return is_covered and self._contact.is_answered

    @property
    def contact(self) -> StoreContact:
        """Return whether the store answers, and how far away it is."""
        return self._contact

    @property
    def is_caught_up(self) -> bool:
        """Tell whether answers cover what a read after a pause has shown."""
        return (
            self._confirms_at is not None
            and self._complete is not None
            and self._complete >= self._confirms_at
        )

    def start(self, now: float) -> None:
        """Plan the read of the list of instances."""
        jitter = self._random.uniform(0, self._rules.start_jitter_seconds)
        self._instances_at = now + jitter

    def set_duty(self, *, is_on_duty: bool) -> Effects:
        """Begin or end the watch."""
        self._is_on_duty = is_on_duty
        self._must_probe = self._must_probe and is_on_duty
        if is_on_duty or self._watch_deadline is None:
            return []
        self._watch_deadline = None
        return [CancelWatch()]

    def resume(self) -> Effects:
        """Drop the calls from before a pause and ask the store anew."""
        self._reading.clear()
        if not self._is_on_duty:
            return []
        had_watch = self._watch_deadline is not None
        self._watch_deadline = None
        # An answer of the old watch may have waited during the pause, so it
        # confirms nothing; a read of another prefix tells how far to catch up.
        self._must_probe = True
        self._confirms_at = None
        return [CancelWatch()] if had_watch else []

    def due(self, now: float, *, needs_tree: bool) -> Effects:
        """Make the calls that are due and allowed."""
        self._expire(now)
        if not self._backoff.is_over(now):
            return []
        effects: Effects = []
        if self._must_probe and self._is_on_duty:
            effects.extend(self._read(now, PLATFORM_KEY))
        if self._needs_instances(now):
            effects.extend(self._read(now, INSTANCE_PREFIX))
        if self._complete is None:
            if needs_tree or self._is_on_duty:
                effects.extend(self._read(now, WHOLE_TREE))
        elif self._is_on_duty:
            effects.extend(self._watch(now, self._complete))
        return effects

    def on_read(self, event: StoreRead) -> Effects:
        """Note an answer to a read."""
        effects = self._contact.answer(event.revision)
        self._contact.measure(event.elapsed_seconds)
        self._reading.pop(event.prefix, None)
        self._backoff.succeed()
        if event.prefix == PLATFORM_KEY:
            self._must_probe = False
            self._confirms_at = event.revision
        if event.prefix in {WHOLE_TREE, INSTANCE_PREFIX}:
            self._instances_at = None
        if event.prefix == WHOLE_TREE:
            self._advance(event.revision)
        effects.extend(self._see(event.revision))
        return effects

    def on_watched(self, event: StoreWatched) -> Effects:
        """Note an answer to a watch.

        The next watch starts at the answer's revision and not at what peers
        announced, so a peer can't make this daemon skip an edit.
        """
        self._watch_deadline = None
        effects = self._contact.answer(event.revision)
        self._backoff.succeed()
        if self._complete is not None:
            self._advance(event.revision)
        fallen = self._see(event.revision)
        effects.extend(fallen)
        if fallen:
            # A store that fell behind may answer each watch at once.
            self._fail(event.now)
        return effects

    def on_failed(self, event: StoreFailed) -> Effects:
        """Delay the next call."""
        self._note_failure(event)
        return self._contact.lose(event, self._seen)

    def is_behind_seen(self, revision: Revision) -> bool:
        """Tell whether an answer is older than one seen before."""
        return revision < self._seen

    def _fail(self, now: float, least_seconds: float | None = None) -> None:
        self._contact.fail()
        bound = MAX_BACKOFF_SECONDS
        if self._is_on_duty:
            bound = min(bound, self._rules.duty_backoff_seconds)
        self._backoff.fail(now, least_seconds, bound)

    def _advance(self, revision: Revision) -> None:
        self._complete = max(self._complete or NO_REVISION, revision)

    def _note_failure(self, event: StoreFailed) -> None:
        if event.operation is StoreOperation.READ:
            self._reading.pop(event.prefix, None)
        elif self._watch_deadline is None:
            return  # The failure of a cancelled watch says nothing.
        else:
            self._watch_deadline = None
        if event.is_history_gone:
            # The store works, so the whole tree is read at once.
            self._complete = None
            return
        self._fail(event.now, event.retry_after_seconds)

    def _see(self, revision: Revision) -> Effects:
        if self.is_behind_seen(revision):
            fields = (('seen', str(self._seen)), ('answered', str(revision)))
            return [
                WriteLog(
                    level=LogLevel.WARNING,
                    code=REVISION_FELL,
                    fields=fields,
                ),
            ]
        self._seen = revision
        return []

    def _needs_instances(self, now: float) -> bool:
        return self._instances_at is not None and now >= self._instances_at

    def _expire(self, now: float) -> None:
        expired = [
            prefix
            for prefix, deadline in self._reading.items()
            if now >= deadline
        ]
        for prefix in expired:
            self._reading.pop(prefix)
        is_watch_lost = (
            self._watch_deadline is not None and now >= self._watch_deadline
        )
        if is_watch_lost:
            self._watch_deadline = None
        if expired or is_watch_lost:
            self._fail(now)

    def _read(self, now: float, prefix: str) -> Effects:
        if prefix in self._reading or not self._reads.take(now):
            return []
        self._reading[prefix] = now + CALL_DEADLINE_SECONDS
        is_list = prefix == INSTANCE_PREFIX
        return [
            ReadStore(
                prefix=prefix,
                may_lag=is_list and self._rules.reads_stale_list,
            ),
        ]

    def _watch(self, now: float, after: Revision) -> Effects:
        if self._watch_deadline is not None or not self._watches.take(now):
            return []
        self._watch_deadline = now + WATCH_WAIT_SECONDS + CALL_DEADLINE_SECONDS
        return [WatchStore(after=after, wait_seconds=WATCH_WAIT_SECONDS)]
