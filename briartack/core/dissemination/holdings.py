"""Interface through which dissemination reads the held entries.

The interface covers both configuration and instance records, because daemons
exchange both in the same messages.
"""

from collections.abc import Iterable
from typing import Protocol

from briartack.core.entries import Entry, HighestRevisions, KeyVersion
from briartack.core.units import Digest, Revision


class Holdings(Protocol):
    """Give read access to all entries that daemons exchange."""

    @property
    def highest(self) -> Revision:
        """Return the highest revision of all held entries."""

    @property
    def highest_revisions(self) -> HighestRevisions:
        """Return the highest revision of each kind of entries."""

    @property
    def configuration_digest(self) -> Digest:
        """Return the digest of the held configuration."""

    @property
    def instances_digest(self) -> Digest:
        """Return the digest of the held list of instances."""

    @property
    def has_snapshot(self) -> bool:
        """Return whether there is a configuration to handle calls with."""

    def entries_after(self, revisions: HighestRevisions) -> Iterable[Entry]:
        """Return the entries above the given revision of their kind."""

    def entries_for(self, keys: Iterable[str]) -> Iterable[Entry]:
        """Return the held entries of the given keys."""

    def versions(self) -> dict[str, KeyVersion]:
        """Return the version of each key, deleted keys included."""
