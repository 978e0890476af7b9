"""Read access to configuration and instance records as a single set.

Daemons exchange both kinds of entries in the same messages, so the modules of
dissemination read them through this view only.
"""

from collections.abc import Iterable
from typing import TypeAlias, final

from briartack.core.configuration.snapshot import ConfigurationState
from briartack.core.dissemination.membership import MembershipState
from briartack.core.entries import (
    Entry,
    HighestRevisions,
    KeyVersion,
    is_instance_key,
)
from briartack.core.units import Digest, Revision

_VersionSources: TypeAlias = tuple[dict[str, Digest], dict[str, KeyVersion]]


@final
class CombinedHoldings:
    """Combine the entries of the configuration and the instance list.

    Holds references to the states that own the entries, and a cache of the
    version of each key.
    """

    __slots__ = (
        '_membership',
        '_configuration',
        '_version_sources',
        '_cached_versions',
    )

    def __init__(
        self,
        *,
        configuration: ConfigurationState,
        membership: MembershipState,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._version_sources: _VersionSources | None = None
        self._cached_versions: dict[str, KeyVersion] = {}

    @property
    def highest(self) -> Revision:
        """Return the highest revision of all held entries."""
        return max(self.highest_revisions)

    @property
    def highest_revisions(self) -> HighestRevisions:
        """Return the highest revision of each kind of entries."""
        return HighestRevisions(
            configuration=self._configuration.highest,
            instances=self._membership.highest,
        )

    @property
    def configuration_digest(self) -> Digest:
        """Return the digest of active, waiting and retained versions."""
        return self._configuration.digest

    @property
    def instances_digest(self) -> Digest:
        """Return the digest of the instance list."""
        return self._membership.digest

    @property
    def has_snapshot(self) -> bool:
        """Return whether any configuration has been accepted."""
        return self._configuration.snapshot is not None

    def entries_after(self, revisions: HighestRevisions) -> tuple[Entry, ...]:
        """Return all entries above the given revision of their kind."""
        return (
            *self._configuration.entries_after(revisions.configuration),
            *self._membership.entries_after(revisions.instances),
        )

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Return the held entries of the given keys."""
        wanted = tuple(keys)
        return (
            *self._configuration.entries_for(
                key for key in wanted if not is_instance_key(key)
            ),
            *self._membership.entries_for(
                key for key in wanted if is_instance_key(key)
            ),
        )

    def versions(self) -> dict[str, KeyVersion]:
        """Return the version of each key, deleted keys included.

        The result is cached until either source changes, because many
        children may compare inventories after a single change.
        """
        digests = self._configuration.key_digests()
        instances = self._membership.versions()
        sources = self._version_sources
        if (
            sources is None
            or sources[0] is not digests
            or sources[1] is not instances
        ):
            self._version_sources = (digests, instances)
            versions = self._configuration.versions()
            versions.update(instances)
            self._cached_versions = versions
        return self._cached_versions
