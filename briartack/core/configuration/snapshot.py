"""Interface of the accepted configuration for the rest of the core.

`ConfigurationState` applies entries, provides the entries and digests that
peers request, and keeps the immutable snapshot of the effective configuration.
"""

from collections.abc import Container, Iterable
from typing import final

from briartack.core.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from briartack.core.configuration.batch_decoder import BatchDecoder
from briartack.core.configuration.change_reports import (
    NOTHING_CHANGED,
    SnapshotChange,
    WaitingVersion,
)
from briartack.core.configuration.entry_exporter import EntryExporter
from briartack.core.configuration.key_digests import KeyDigests
from briartack.core.configuration.resolution import missing_references
from briartack.core.configuration.resolved_snapshot import (
    EffectiveConfiguration,
    ResolvedRoute,
    Snapshot,
    SnapshotBuilder,
)
from briartack.core.configuration.versions import compute_digest
from briartack.core.entries import (
    Entry,
    KeyVersion,
    is_instance_key,
    is_team_key,
)
from briartack.core.units import Digest, Revision, era_of

# Other modules import these names from here.
__all__ = (  # noqa: WPS410 - mypy needs it for the types of other modules
    'ResolvedRoute',
    'Snapshot',
    'SnapshotChange',
    'ConfigurationState',
)


@final
class ConfigurationState:
    """Hold the accepted configuration and the snapshot derived from it."""

    __slots__ = (
        '_accepted',
        '_builder',
        '_snapshot',
        '_highest_seen',
        '_digest',
        '_highest',
        '_key_digests',
    )

    def __init__(self) -> None:
        self._accepted = AcceptedConfiguration()
        self._builder = SnapshotBuilder()
        self._snapshot: Snapshot | None = None
        self._highest_seen = Revision(0)
        self._digest = compute_digest()
        self._key_digests = KeyDigests()
        # Cached, because the summaries of all peers are compared with it.
        self._highest = Revision(0)

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the effective configuration, `None` before any activation."""
        return self._snapshot

    @property
    def digest(self) -> Digest:
        """Return the digest of all state that peers can exchange."""
        return self._digest

    @property
    def highest(self) -> Revision:
        """Return the highest revision that is active or waiting."""
        return self._highest

    @property
    def highest_seen(self) -> Revision:
        """Return the highest revision seen in any entry or full read.

        Unlike `highest`, this counts refused versions. A watch must start
        after this revision: a watch after `highest` would return a refused
        version at once, again and again.
        """
        return self._highest_seen

    @property
    def waiting(self) -> tuple[WaitingVersion, ...]:
        """Return the waiting versions with their unresolved references."""
        accepted = self._accepted
        return tuple(
            WaitingVersion(
                key=version.key,
                revision=version.revision,
                missing=tuple(
                    str(name)
                    for name in missing_references(version, accepted.is_defined)
                ),
            )
            for version in accepted.waiting
        )

    def versions(self) -> dict[str, KeyVersion]:
        """Return the latest active or waiting version of each key.

        The revision is 0 for a key of which only definitions are held.
        """
        digests = self._key_digests.digests
        found: dict[str, KeyVersion] = {}
        for key in EntryExporter(self._accepted).keys:
            slot = self._accepted.get_slot(key)
            found[key] = KeyVersion(
                revision=slot.highest,
                digest=digests[key],
                stated=slot.versions[-1].stated if slot.versions else (),
            )
        return found

    def key_digests(self) -> dict[str, Digest]:
        """Return the digest of each key; peers exchange the keys that differ.

        The same dict object is returned until a change. Comparing revisions
        would not suffice: a version can wait on this daemon and be active on
        a peer that holds a definition which is missing here.
        """
        return self._key_digests.digests

    def entries_after(self, revision: Revision) -> tuple[Entry, ...]:
        """Return the entries of all versions above a revision, lowest first."""
        return EntryExporter(self._accepted).entries_after(revision)

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Return the entries of the active and waiting versions of keys."""
        return EntryExporter(self._accepted).entries_for(keys)

    def apply(self, entries: Iterable[Entry]) -> SnapshotChange:
        """Apply entries of the store or of a peer, in any order."""
        batch = [entry for entry in entries if not is_instance_key(entry.key)]
        if not batch:
            return NOTHING_CHANGED
        waiting_before = set(self.waiting)
        decoder = BatchDecoder(
            slots=self._accepted.slots, pool=self._accepted.pool
        )
        # Of two different values with the same key and revision the first
        # wins. The sort makes all daemons choose the same value, provided
        # that both arrive in the same batch.
        for entry in sorted(batch, key=_entry_sort_key):
            self._highest_seen = max(self._highest_seen, entry.revision)
            decoder.add(entry)
        activated = self._accepted.resolve(decoder)
        self._key_digests.update(self._accepted)
        digest = compute_digest(*self._key_digests.digests.items())
        is_changed = digest != self._digest
        self._digest = digest
        self._highest = self._accepted.highest
        before = self._snapshot
        self._rebuild_snapshot()
        return SnapshotChange(
            is_changed=is_changed,
            is_snapshot_new=self._snapshot is not before,
            activated=activated,
            waiting=tuple(
                sorted(
                    set(self.waiting) - waiting_before,
                    key=lambda version: version.key,
                )
            ),
            refused=tuple(decoder.refused_versions),
            retained=_list_newly_retained(before, self._snapshot),
            stale_count=decoder.stale_count,
            outdated=tuple(decoder.outdated_versions),
        )

    def apply_full_read(
        self,
        prefix: str,
        revision: Revision,
        entries: Iterable[Entry],
        unusable_keys: Iterable[str] = (),
    ) -> SnapshotChange:
        """Apply all entries of the store under a prefix at a revision.

        A held key that the read lacks was deleted; a key whose value was
        refused is in the store. No deletion is inferred if the read is older
        than the highest revision seen before.
        """
        present = tuple(entries)
        deletions: tuple[Entry, ...] = ()
        if revision >= self._highest_seen:
            listed = {*unusable_keys, *(entry.key for entry in present)}
            deletions = self._infer_deletions(prefix, revision, listed)
        self._highest_seen = max(self._highest_seen, revision)
        return self.apply((*present, *deletions))

    def _infer_deletions(
        self,
        prefix: str,
        revision: Revision,
        listed: Container[str],
    ) -> tuple[Entry, ...]:
        # A key of which only definitions are held is deleted too, so that
        # these definitions are dropped.
        return tuple(
            Entry(key=key, revision=revision, value=None)
            for key in EntryExporter(self._accepted).keys
            if key.startswith(prefix)
            and key not in listed
            and not self._accepted.get_slot(key).is_deleted
            and not self._may_be_lost(key, revision)
        )

    def _may_be_lost(self, key: str, revision: Revision) -> bool:
        """Return whether a missing subtree may be lost rather than deleted.

        A store that was restored lacks what was written after its copy was
        taken, until the operators write it again.
        """
        held = self._accepted.get_slot(key).highest
        return is_team_key(key) and era_of(held) < era_of(revision)

    def _rebuild_snapshot(self) -> None:
        active = self._accepted.active
        pool = self._accepted.pool.definitions
        digest = compute_digest(
            *(version.digest for version in active.values()),
            *((name, definition.sort_key) for name, definition in pool),
        )
        is_same = self._snapshot is not None and self._snapshot.digest == digest
        if not active or is_same:
            return
        self._snapshot = self._builder.build(
            EffectiveConfiguration(
                active=active,
                resources=self._accepted.collect_effective_resources(),
                pooled_ids=tuple(name for name, _ in pool),
                digest=digest,
                retained=tuple(
                    str(name) for name in self._accepted.list_retained()
                ),
            ),
        )


def _entry_sort_key(entry: Entry) -> tuple[str, Revision, str]:
    return (entry.key, entry.revision, entry.value or '')


def _list_newly_retained(
    before: Snapshot | None,
    after: Snapshot | None,
) -> tuple[str, ...]:
    known = () if before is None else before.retained
    now = () if after is None else after.retained
    return tuple(name for name in now if name not in known)
