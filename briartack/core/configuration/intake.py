"""Sorting of arriving entries, before references are resolved."""

from typing import Final, final

import msgspec

from briartack.core.configuration.changes import RefusedVersion
from briartack.core.configuration.problems import (
    Code,
    InvalidValueError,
    Problem,
    problem,
)
from briartack.core.configuration.resolution import DefinitionPool
from briartack.core.configuration.shape import ROOT
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    decode_definition,
    decode_version,
)
from briartack.core.entries import Definition, Entry
from briartack.core.units import Revision

NO_REVISION: Final = Revision(0)  # the store counts from 1


@final
class Slot:
    """Hold the accepted versions of one key."""

    __slots__ = ('active', 'waiting', 'refused')

    def __init__(self) -> None:
        """Start with no version."""
        self.active: Version | None = None
        self.waiting: Version | None = None
        # Refused revisions above the active one, so that a malformed version
        # is decoded and reported once.
        self.refused: set[Revision] = set()

    @property
    def versions(self) -> tuple[Version, ...]:
        """Give the active and the waiting version, as far as there are."""
        # All slots are asked with each change, so this takes no loop.
        if self.waiting is None:
            return () if self.active is None else (self.active,)
        if self.active is None:
            return (self.waiting,)
        return (self.active, self.waiting)

    @property
    def highest(self) -> Revision:
        """Give the highest accepted revision, or 0."""
        versions = self.versions
        # A version waits only above the active one.
        return versions[-1].revision if versions else NO_REVISION

    @property
    def is_deleted(self) -> bool:
        """Tell whether the highest version is a deletion."""
        return bool(self.versions) and self.versions[-1].text is None

    def is_below_active(self, revision: Revision) -> bool:
        """Tell whether a revision is older than the active one."""
        return self.active is not None and revision < self.active.revision

    def settle(self, active: Version | None, waiting: Version | None) -> None:
        """Put the versions that resolution has chosen in place."""
        self.active = active
        self.waiting = waiting
        if active is not None:
            floor = active.revision
            self.refused = {seen for seen in self.refused if seen > floor}


@final
class Intake:
    """Decode the entries of one batch that may change something."""

    __slots__ = ('candidates', 'late', 'refused', 'stale', '_slots', '_pool')

    def __init__(
        self,
        *,
        slots: dict[str, Slot],
        pool: DefinitionPool,
    ) -> None:
        """Read and fill the slots and the pool of the state."""
        self.candidates: list[Version] = []
        self.late: list[Entry] = []  # older than the active version
        self.refused: list[RefusedVersion] = []
        self.stale = 0
        self._slots = slots
        self._pool = pool

    def take(self, entry: Entry) -> None:
        """Sort one entry; use its definitions unless it is refused."""
        if self._is_usable(entry):
            for definition in entry.definitions:
                self._offer(entry, definition)

    def take_late(self) -> None:
        """Decode older versions too, for what they define.

        When versions arrive out of order, a version that waits may need a
        resource that its owner has removed since, and a retained definition
        may not be the owner's last.
        """
        for entry in self.late:
            version = _decoded_late(entry)
            if version is not None:
                self.candidates.append(version)

    def _is_usable(self, entry: Entry) -> bool:
        if entry.revision == NO_REVISION:
            return True  # it carries definitions only
        slot = self._slots.get(entry.key, Slot())
        if slot.is_below_active(entry.revision):
            self.stale += 1
            self.late.append(entry)
            # The store's entries carry no definitions and need no decoding.
            return bool(entry.definitions) and _decoded_late(entry) is not None
        if entry.revision in slot.refused:
            self.stale += 1
            return False
        for version in slot.versions:
            if version.revision == entry.revision:
                return self._is_same(version, entry)
        return self._decode(entry)

    def _is_same(self, version: Version, entry: Entry) -> bool:
        self.stale += 1
        if version.text == entry.value:
            return True
        self._refuse(entry, Code.REVISION_REUSED, entry.revision)
        return False

    def _decode(self, entry: Entry) -> bool:
        try:
            version = decode_version(entry.key, entry.revision, entry.value)
        except InvalidValueError as error:
            self._remember(entry)
            self._report(entry, error.problems)
            return False
        self.candidates.append(version)
        return True

    def _remember(self, entry: Entry) -> None:
        slot = self._slots.setdefault(entry.key, Slot())
        slot.refused.add(entry.revision)

    def _offer(self, entry: Entry, definition: Definition) -> None:
        resource_id = ResourceId(
            definition.kind,
            definition.team,
            definition.name,
        )
        try:
            held = decode_definition(definition)
        except (msgspec.DecodeError, UnicodeEncodeError, RecursionError):
            self._refuse(entry, Code.DEFINITION, resource_id)
        else:
            self._pool.offer(resource_id, held)

    def _refuse(self, entry: Entry, code: Code, detail: object) -> None:
        self._report(entry, (problem(entry.key, ROOT, code, detail),))

    def _report(self, entry: Entry, problems: tuple[Problem, ...]) -> None:
        self.refused.append(
            RefusedVersion(
                key=entry.key,
                revision=entry.revision,
                problems=problems,
            ),
        )


def _decoded_late(entry: Entry) -> Version | None:
    """Decode an older version; a malformed one gives none."""
    try:
        return decode_version(entry.key, entry.revision, entry.value)
    except InvalidValueError:
        return None
