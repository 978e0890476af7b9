"""Eras of the store: the histories in which it numbers its changes.

A store that was restored from a copy has lost its latest changes. It counts on
from the revision of the copy, so numbers are given out again, in a new era. The
store states the era of an answer, but not the one in which an entry was
written.
"""

from typing import Final, TypeVar, final

import msgspec

from briartack.core.dissemination.holdings import Holdings
from briartack.core.entries import Entry, have_same_writer, is_team_key
from briartack.core.events import StoreRead, StoreWatched
from briartack.core.units import (
    FIRST_ERA,
    NO_REVISION,
    Era,
    era_of,
    number_of,
    place_in_era,
)

# Operators and upstreams have written again what a restored store has lost.
SETTLE_SECONDS: Final = 2.5

StoreAnswer = TypeVar('StoreAnswer', StoreRead, StoreWatched)


@final
class StoreEras:
    """Place the entries of the store in the order of versions.

    Holds the era of the store, the era before it, the lowest number that the
    store has answered in its era, and when the era counts as settled. Entries
    up to that number may have been written before the restore.
    """

    __slots__ = ('_era', '_previous', '_lowest', '_settled_at')

    def __init__(self) -> None:
        self._era: Era | None = None
        self._previous = FIRST_ERA
        self._lowest = 0
        self._settled_at: float | None = None

    @property
    def era(self) -> Era | None:
        """Return the era of the store; `None` before its first answer."""
        return self._era

    def is_settled(self, now: float) -> bool:
        """Return whether a key that the store lacks counts as deleted."""
        return self._settled_at is None or now >= self._settled_at

    def is_former(self, era: Era) -> bool:
        """Return whether the store has answered in a later era."""
        return self._era is not None and era < self._era

    def record_answer(self, event: StoreAnswer, holdings: Holdings) -> bool:
        """Record the era of an answer; return whether a restore precedes it.

        The first answer of a later era than the first may follow a restore
        that this daemon has not seen.
        """
        if event.era == self._era:
            self._lowest = min(self._lowest, event.revision)
        if event.era == self._era or self.is_former(event.era):
            return False
        known = self._era
        self._era = event.era
        self._lowest = event.revision
        if event.era == FIRST_ERA:
            return False
        self._previous = known or _find_previous(event.era, holdings)
        self._settled_at = event.now + SETTLE_SECONDS
        return True

    def place(self, event: StoreAnswer, holdings: Holdings) -> StoreAnswer:
        """Return an answer with revisions that order across eras."""
        if event.era <= FIRST_ERA:
            return event
        keys = [entry.key for entry in event.entries]
        held = {entry.key: entry for entry in holdings.entries_for(keys)}
        entries = tuple(
            msgspec.structs.replace(
                entry,
                revision=place_in_era(
                    self._find_era(event, entry, held.get(entry.key)),
                    entry.revision,
                ),
            )
            for entry in event.entries
        )
        revision = place_in_era(event.era, event.revision)
        return msgspec.structs.replace(
            event, revision=revision, entries=entries
        )

    def _find_era(
        self,
        event: StoreRead | StoreWatched,
        entry: Entry,
        held: Entry | None,
    ) -> Era:
        """Return the era in which an entry was written."""
        is_new = entry.revision > self._lowest
        if is_new or event.era != self._era or self._settled_at is None:
            return event.era
        if held is not None and era_of(held.revision) == event.era:
            # All numbers of the key from here on are of this era.
            return event.era
        if held is None:
            is_rewritten = self.is_settled(event.now)
        elif _is_same(entry, held):
            return era_of(held.revision)
        elif have_same_writer(entry.stated, held.stated):
            is_rewritten = _is_stated_later(entry, held)
        else:
            # What a proxy runs never goes back to the copy.
            is_settled = self.is_settled(event.now)
            is_rewritten = is_settled and not is_team_key(entry.key)
        return event.era if is_rewritten else self._previous


def _find_previous(era: Era, holdings: Holdings) -> Era:
    """Return an era before the given one that what peers sent may be of."""
    previous = Era(era - 1)
    if holdings.highest == NO_REVISION:
        return previous
    return min(era_of(holdings.highest), previous)


def _is_same(entry: Entry, held: Entry) -> bool:
    is_same_number = entry.revision == number_of(held.revision)
    return is_same_number and entry.value == held.value


def _is_stated_later(entry: Entry, held: Entry) -> bool:
    """Return whether a version repeats the held one or comes after it.

    A record that states no more than a deleted one is the deleted record.
    """
    if held.value is None:
        return entry.stated > held.stated
    return entry.stated >= held.stated
