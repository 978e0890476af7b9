"""Hold the versioned entries and call counts of the stand-in store."""

from collections import deque
from typing import Final, TypeAlias, final

import msgspec

MAX_VERSIONS_PER_KEY: Final = 100
WINDOW_SECONDS: Final = 1.0
Version: TypeAlias = tuple[int, str | None]


class StoredEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Represent an entry in the store's protocol; a deletion has no value."""

    key: str
    revision: int
    value: str | None


@final
class StoreState:
    """Hold the recent versions of each key and number the changes."""

    __slots__ = ('_versions', '_revision', '_era')

    def __init__(self) -> None:
        self._era = 1
        self._revision = 0
        self._versions: dict[str, deque[Version]] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def era(self) -> int:
        """Return how many histories the store has had."""
        return self._era

    def restore(self, revision: int) -> dict[str, str | None]:
        """Go back to a revision; return the last values of what is lost."""
        lost = {
            entry.key: entry.value
            for entry in self.list_changes(revision, as_of=self._revision)
        }
        self._era += 1
        self._revision = revision
        for key, versions in self._versions.items():
            self._versions[key] = deque(
                (kept for kept in versions if kept[0] <= revision),
                maxlen=MAX_VERSIONS_PER_KEY,
            )
        return lost

    def put(self, key: str, value: str | None) -> int:
        """Set or delete a key; return the revision.

        Setting the present value again creates no revision.
        """
        versions = self._versions.setdefault(
            key,
            deque(maxlen=MAX_VERSIONS_PER_KEY),
        )
        current = versions[-1][1] if versions else None
        if current != value:
            self._revision += 1
            versions.append((self._revision, value))
        return self._revision

    def read(self, prefix: str, *, as_of: int) -> list[StoredEntry]:
        """Return the entries under a prefix as of a revision."""
        return [
            entry
            for entry in self.list_changes(0, as_of=as_of)
            if entry.value is not None and entry.key.startswith(prefix)
        ]

    def list_changes(self, after: int, *, as_of: int) -> list[StoredEntry]:
        """Return the last change of each key in (after, as_of], in order."""
        found = []
        for key, versions in self._versions.items():
            last = _last_version(versions, as_of)
            if last is not None and last[0] > after:
                found.append(
                    StoredEntry(key=key, revision=last[0], value=last[1]),
                )
        return sorted(found, key=lambda entry: entry.revision)


def _last_version(versions: deque[Version], as_of: int) -> Version | None:
    for version in reversed(versions):
        if version[0] <= as_of:
            return version
    return None


@final
class CallWindow:
    """Count the calls in a sliding window of one second."""

    __slots__ = ('_times', '_peak')

    def __init__(self) -> None:
        self._times: deque[float] = deque()
        self._peak = 0

    @property
    def peak(self) -> int:
        """Return the highest number of calls in any one second so far."""
        return self._peak

    def count(self, now: float) -> int:
        """Return the number of calls in the second before `now`."""
        while self._times and self._times[0] <= now - WINDOW_SECONDS:
            self._times.popleft()
        return len(self._times)

    def add(self, now: float) -> None:
        """Record a call at the given time."""
        self._times.append(now)
        self._peak = max(self._peak, self.count(now))
