"""What a daemon holds, configuration and instances together.

Dissemination exchanges both by the same messages and sees only this view.
"""

from collections.abc import Iterable, Mapping
from typing import TypeAlias, final

from briartack.core.configuration.snapshot import SnapshotState
from briartack.core.dissemination.membership import MembershipState
from briartack.core.entries import Entry, KeyVersion, is_instance_key
from briartack.core.units import Digest, Revision

_Sources: TypeAlias = tuple[dict[str, Digest], dict[str, Revision]]


@final
class CombinedHoldings:
    """Join the entries of the snapshot and of the instance list."""

    __slots__ = ('_membership', '_snapshots', '_sources', '_versions')

    def __init__(
        self,
        *,
        snapshots: SnapshotState,
        membership: MembershipState,
    ) -> None:
        """Refer to both slices without owning them."""
        self._snapshots = snapshots
        self._membership = membership
        self._sources: _Sources | None = None
        self._versions: dict[str, KeyVersion] = {}

    @property
    def highest(self) -> Revision:
        """Return the highest revision held."""
        return max(self._snapshots.highest, self._membership.highest)

    @property
    def configuration_digest(self) -> Digest:
        """Return the digest over active, waiting and retained versions."""
        return self._snapshots.digest

    @property
    def instances_digest(self) -> Digest:
        """Return the digest over the instance list."""
        return self._membership.digest

    @property
    def has_snapshot(self) -> bool:
        """Tell whether any configuration has been accepted."""
        return self._snapshots.snapshot is not None

    def entries_after(self, revision: Revision) -> tuple[Entry, ...]:
        """Return all entries above a revision."""
        return (
            *self._snapshots.entries_after(revision),
            *self._membership.entries_after(revision),
        )

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Return the entries of some keys."""
        wanted = tuple(keys)
        return (
            *self._snapshots.entries_for(
                key for key in wanted if not is_instance_key(key)
            ),
            *self._membership.entries_for(
                key for key in wanted if is_instance_key(key)
            ),
        )

    def versions(self) -> dict[str, KeyVersion]:
        """Return the version of each key, deletions included."""
        digests = self._snapshots.key_digests()
        instances = self._membership.versions()
        sources = self._sources
        # Many children may compare inventories after one change.
        if (
            sources is None
            or sources[0] is not digests
            or sources[1] is not instances
        ):
            self._sources = (digests, instances)
            self._versions = self._join(digests, instances)
        return self._versions

    def _join(
        self,
        digests: Mapping[str, Digest],
        instances: Mapping[str, Revision],
    ) -> dict[str, KeyVersion]:
        versions = {
            key: KeyVersion(revision=revision, digest=digests[key])
            for key, revision in self._snapshots.versions().items()
        }
        for key, revision in instances.items():
            versions[key] = KeyVersion(revision=revision)
        return versions
