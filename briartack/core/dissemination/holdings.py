"""What dissemination may ask about held entries, whoever owns them.

It spans configuration and instances, which travel in the same messages.
"""

from collections.abc import Iterable
from typing import Protocol

from briartack.core.entries import Entry, KeyVersion
from briartack.core.units import Digest, Revision


class Holdings(Protocol):
    """Give read access to everything that peers exchange."""

    @property
    def highest(self) -> Revision:
        """Return the highest revision held."""

    @property
    def configuration_digest(self) -> Digest:
        """Return the digest of the held configuration."""

    @property
    def instances_digest(self) -> Digest:
        """Return the digest of the held list of instances."""

    @property
    def has_snapshot(self) -> bool:
        """Tell whether there is a configuration to serve with."""

    def entries_after(self, revision: Revision) -> Iterable[Entry]:
        """Return the entries above a revision."""

    def entries_for(self, keys: Iterable[str]) -> Iterable[Entry]:
        """Return the entries of the given keys, as far as they are held."""

    def versions(self) -> dict[str, KeyVersion]:
        """Return the version of each key, deletions included."""
