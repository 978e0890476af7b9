"""Fake a daemon's configuration and the store for tests of dissemination."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from briartack.core.dissemination.membership import MembershipState
from briartack.core.entries import (
    Entry,
    HighestRevisions,
    KeyVersion,
    StatedOrder,
    is_instance_key,
    is_later_version,
)
from briartack.core.units import FIRST_ERA, NO_REVISION, Digest, Era, Revision


class StoreCopy(NamedTuple):
    """Hold the edits of a store up to a revision."""

    revision: Revision
    edits: dict[str, Entry]


class FakeHoldings:
    """Fake the configuration and the instance list that a daemon holds.

    The higher revision of a key replaces the lower one; values are neither
    validated nor checked for references.
    """

    def __init__(self) -> None:
        self.membership = MembershipState()
        self.configuration: dict[str, Entry] = {}
        self._update_digest()

    @property
    def highest(self) -> Revision:
        return max(self.membership.highest, self._highest)

    @property
    def highest_revisions(self) -> HighestRevisions:
        return HighestRevisions(
            configuration=self._highest,
            instances=self.membership.highest,
        )

    @property
    def configuration_digest(self) -> Digest:
        return self._digest

    @property
    def instances_digest(self) -> Digest:
        return self.membership.digest

    @property
    def has_snapshot(self) -> bool:
        return bool(self.configuration)

    def entries_after(self, revisions: HighestRevisions) -> list[Entry]:
        newer = [
            entry
            for entry in self.configuration.values()
            if entry.revision > revisions.configuration
        ]
        members = self.membership
        return [*newer, *members.entries_after(revisions.instances)]

    def entries_for(self, keys: Iterable[str]) -> list[Entry]:
        keys = tuple(keys)
        held = [
            self.configuration[key] for key in keys if key in self.configuration
        ]
        return [*held, *self.membership.entries_for(keys)]

    def versions(self) -> dict[str, KeyVersion]:
        held = {
            key: KeyVersion(revision=held.revision, stated=held.stated)
            for key, held in self.configuration.items()
        }
        return held | self.membership.versions()

    def merge(
        self,
        entries: Iterable[Entry],
        prefix: str | None = None,
        revision: Revision = NO_REVISION,
    ) -> set[str]:
        """Merge entries and return the changed keys.

        A `prefix` that covers the instance list makes this a full read: the
        instances that are missing from the entries are removed.
        """
        entries = tuple(entries)
        if prefix is not None and 'instances/'.startswith(prefix):
            changed = set(self.membership.apply_full_read(revision, entries))
        else:
            changed = set(self.membership.apply(entries))
        for entry in entries:
            held = self.configuration.get(entry.key)
            is_older = held is not None and not is_later_version(entry, held)
            if not is_instance_key(entry.key) and not is_older:
                self.configuration[entry.key] = entry
                changed.add(entry.key)
        self._update_digest()
        return changed

    def remove_entry(self, key: str) -> None:
        """Forget an entry, which leaves a gap below the highest revision."""
        self.configuration.pop(key)
        self._update_digest()

    def _update_digest(self) -> None:
        held = self.configuration.values()
        revisions = (entry.revision for entry in held)
        self._highest = max(revisions, default=NO_REVISION)
        live = sorted(
            (entry.key, entry.revision)
            for entry in held
            if entry.value is not None
        )
        digest = blake2b(repr(live).encode(), digest_size=16).digest()
        self._digest = Digest(digest)


class FakeStore:
    """Fake the store: keep the last edit of each key and log the calls."""

    def __init__(self) -> None:
        self.era = FIRST_ERA
        self.revision = Revision(0)
        self.edits: dict[str, Entry] = {}
        self.calls: list[tuple[float, str]] = []
        self.is_down = False

    def count(self, kind: str) -> int:
        return sum(1 for _at, called in self.calls if called == kind)

    def put(
        self, key: str, value: str | None, stated: StatedOrder = ()
    ) -> Entry:
        """Store a value at the next revision; `None` deletes the key."""
        self.revision = Revision(self.revision + 1)
        self.edits[key] = Entry(
            key=key, revision=self.revision, value=value, stated=stated
        )
        return self.edits[key]

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(self.revision, dict(self.edits))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, in a new era."""
        self.era = Era(self.era + 1)
        self.revision = copy.revision
        self.edits = dict(copy.edits)

    def read(self, prefix: str) -> tuple[Entry, ...]:
        return tuple(
            edit
            for key, edit in self.edits.items()
            if key.startswith(prefix) and edit.value is not None
        )

    def edits_after(self, after: Revision) -> tuple[Entry, ...]:
        """Return the last edit of each key above a revision, with deletions."""
        return tuple(
            edit for edit in self.edits.values() if edit.revision > after
        )
