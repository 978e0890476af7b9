"""The accepted configuration as the rest of the core sees it.

`SnapshotState` takes in entries, answers what peers ask, and keeps the
immutable snapshot that follows from what is accepted.
"""

from collections.abc import Iterable
from typing import final

from briartack.core.configuration.accepted import Accepted
from briartack.core.configuration.changes import (
    NOTHING_CHANGED,
    SnapshotChange,
    WaitingVersion,
)
from briartack.core.configuration.exchange import Exchange
from briartack.core.configuration.intake import Intake
from briartack.core.configuration.key_digests import KeyDigests
from briartack.core.configuration.resolution import missing_references
from briartack.core.configuration.resolved import (
    InForce,
    ResolvedRoute,
    Snapshot,
    SnapshotBuilder,
)
from briartack.core.configuration.versions import digest_of
from briartack.core.entries import Entry, is_instance_key
from briartack.core.units import Digest, Revision

# Other modules import the parts of the interface from here.
__all__ = (  # noqa: WPS410 - mypy needs it for the types of other modules
    'ResolvedRoute',
    'Snapshot',
    'SnapshotChange',
    'SnapshotState',
)


@final
class SnapshotState:
    """Own what is accepted; the current snapshot follows from it."""

    __slots__ = (
        '_accepted',
        '_builder',
        '_snapshot',
        '_seen',
        '_digest',
        '_highest',
        '_keys',
    )

    def __init__(self) -> None:
        """Start with nothing accepted."""
        self._accepted = Accepted()
        self._builder = SnapshotBuilder()
        self._snapshot: Snapshot | None = None
        self._seen = Revision(0)
        self._digest = digest_of()
        self._keys = KeyDigests()
        # Compared with each summary of each peer, so it is kept, not searched.
        self._highest = Revision(0)

    @property
    def snapshot(self) -> Snapshot | None:
        """Give what is in force; none until something was accepted."""
        return self._snapshot

    @property
    def digest(self) -> Digest:
        """Give the hash of everything that peers can exchange."""
        return self._digest

    @property
    def highest(self) -> Revision:
        """Give the highest revision that is active or waiting."""
        return self._highest

    @property
    def seen(self) -> Revision:
        """Give the highest revision seen, of refused versions and reads too.

        A watch must start here: after `highest` it would return a refused
        version at once, again and again.
        """
        return self._seen

    @property
    def waiting(self) -> tuple[WaitingVersion, ...]:
        """List the versions that wait, and what they miss."""
        accepted = self._accepted
        return tuple(
            WaitingVersion(
                key=version.key,
                revision=version.revision,
                missing=tuple(
                    str(name)
                    for name in missing_references(version, accepted.is_held)
                ),
            )
            for version in accepted.waiting
        )

    def versions(self) -> dict[str, Revision]:
        """Give the highest revision of each key, active or waiting.

        It is 0 for a key of which only definitions are held.
        """
        return {
            key: self._accepted.slot(key).highest
            for key in Exchange(self._accepted).keys
        }

    def key_digests(self) -> dict[str, Digest]:
        """Give a hash for each key; peers exchange the keys that differ.

        The same object until a change. Equal revisions do not suffice: a
        version can wait here and be active at a peer that holds a definition
        which is missing here.
        """
        return self._keys.digests

    def entries_after(self, revision: Revision) -> tuple[Entry, ...]:
        """Give the versions above a revision, lowest first."""
        return Exchange(self._accepted).entries_after(revision)

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Give what is held of some keys."""
        return Exchange(self._accepted).entries_for(keys)

    def apply(self, entries: Iterable[Entry]) -> SnapshotChange:
        """Take in entries of the store or of a peer, in any order."""
        batch = [entry for entry in entries if not is_instance_key(entry.key)]
        if not batch:
            return NOTHING_CHANGED
        waited = set(self.waiting)
        intake = Intake(slots=self._accepted.slots, pool=self._accepted.pool)
        # Of two values with one revision, all daemons see the same one first
        # as far as they come in one batch.
        for entry in sorted(batch, key=_entry_order):
            self._seen = max(self._seen, entry.revision)
            intake.take(entry)
        activated = self._accepted.resolve(intake)
        self._keys.renew(self._accepted)
        digest = digest_of(*self._keys.digests.items())
        is_changed = digest != self._digest
        self._digest = digest
        self._highest = self._accepted.highest
        before = self._snapshot
        self._renew()
        return SnapshotChange(
            is_changed=is_changed,
            is_snapshot_new=self._snapshot is not before,
            activated=activated,
            waiting=tuple(
                sorted(
                    set(self.waiting) - waited,
                    key=lambda version: version.key,
                )
            ),
            refused=tuple(intake.refused),
            retained=_newly_retained(before, self._snapshot),
            stale=intake.stale,
        )

    def apply_full_read(
        self,
        prefix: str,
        revision: Revision,
        entries: Iterable[Entry],
    ) -> SnapshotChange:
        """Take in all that the store holds under a prefix at a revision.

        A key that is missing was deleted, unless the read is older than what
        was seen before: then it says nothing about deletions.
        """
        present = tuple(entries)
        deletions: tuple[Entry, ...] = ()
        if revision >= self._seen:
            deletions = self._deletions(prefix, revision, present)
        self._seen = max(self._seen, revision)
        return self.apply((*present, *deletions))

    def _deletions(
        self,
        prefix: str,
        revision: Revision,
        present: tuple[Entry, ...],
    ) -> tuple[Entry, ...]:
        listed = {entry.key for entry in present}
        # Definitions of an owner that is not held end with its deletion too.
        return tuple(
            Entry(key=key, revision=revision, value=None)
            for key in Exchange(self._accepted).keys
            if key.startswith(prefix)
            and key not in listed
            and not self._accepted.slot(key).is_deleted
        )

    def _renew(self) -> None:
        active = self._accepted.active
        pool = self._accepted.pool.definitions
        digest = digest_of(
            *(version.digest for version in active.values()),
            *((name, held.order) for name, held in pool),
        )
        is_same = self._snapshot is not None and self._snapshot.digest == digest
        if not active or is_same:
            return
        self._snapshot = self._builder.build(
            InForce(
                active=active,
                resources=self._accepted.in_force(),
                pooled=tuple(name for name, _ in pool),
                digest=digest,
                retained=tuple(str(name) for name in self._accepted.removed()),
            ),
        )


def _entry_order(entry: Entry) -> tuple[str, Revision, str]:
    return (entry.key, entry.revision, entry.value or '')


def _newly_retained(
    before: Snapshot | None,
    after: Snapshot | None,
) -> tuple[str, ...]:
    known = () if before is None else before.retained
    now = () if after is None else after.retained
    return tuple(name for name in now if name not in known)
