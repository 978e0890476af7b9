"""Decoding and classification of the entries of one batch.

Before references are resolved, each entry becomes a candidate version, is
refused, or is recognised as stale.
"""

from typing import final

import msgspec

from briartack.core.configuration.change_reports import (
    OutdatedVersion,
    RefusedVersion,
)
from briartack.core.configuration.problems import (
    Code,
    InvalidValueError,
    Problem,
    make_problem,
)
from briartack.core.configuration.resolution import DefinitionPool
from briartack.core.configuration.schema_problems import ROOT
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    compute_digest,
    decode_definition,
    decode_version,
)
from briartack.core.entries import Definition, Entry, is_later_version
from briartack.core.units import (
    NO_REVISION,
    Digest,
    Revision,
    format_revision,
)


@final
class KeySlot:
    """Hold the active, the waiting and the refused versions of one key."""

    __slots__ = ('active', 'waiting', 'refused')

    def __init__(self) -> None:
        self.active: Version | None = None
        self.waiting: Version | None = None
        # Revisions and digests of the refused versions above the active one.
        # They are kept so that a malformed version is decoded and reported only
        # once. After a restore, one number may stand for a valid value too.
        self.refused: set[tuple[Revision, Digest]] = set()

    @property
    def versions(self) -> tuple[Version, ...]:
        """Return the active and the waiting version, without missing ones."""
        # Every change reads this property of every slot; explicit cases are
        # faster than a loop.
        if self.waiting is None:
            return () if self.active is None else (self.active,)
        if self.active is None:
            return (self.waiting,)
        return (self.active, self.waiting)

    @property
    def highest(self) -> Revision:
        """Return the highest active or waiting revision, 0 if there is none."""
        versions = self.versions
        # The waiting version is always higher than the active version.
        return versions[-1].revision if versions else NO_REVISION

    @property
    def is_deleted(self) -> bool:
        """Return whether the highest version is a deletion."""
        return bool(self.versions) and self.versions[-1].text is None

    def is_before_active(self, entry: Entry) -> bool:
        """Return whether the active version comes after an entry."""
        return self.active is not None and is_later_version(self.active, entry)

    def replace_versions(
        self, active: Version | None, waiting: Version | None
    ) -> None:
        """Replace the active and the waiting version.

        Refused revisions up to the active revision are forgotten.
        """
        self.active = active
        self.waiting = waiting
        if active is not None:
            floor = active.revision
            self.refused = {seen for seen in self.refused if seen[0] > floor}


@final
class BatchDecoder:
    """Decode the entries of one batch and classify them.

    `candidates` are new valid versions, `late_entries` are older than the
    active version of their key, `outdated_versions` report those with another
    value, and `refused_versions` carry their problems.
    `stale_count` counts entries already held, refused before or late.
    """

    __slots__ = (
        'candidates',
        'late_entries',
        'refused_versions',
        'outdated_versions',
        'stale_count',
        '_slots',
        '_pool',
    )

    def __init__(
        self,
        *,
        slots: dict[str, KeySlot],
        pool: DefinitionPool,
    ) -> None:
        """Use the slots and the pool of the configuration, and update both."""
        self.candidates: list[Version] = []
        self.late_entries: list[Entry] = []  # older than the active version
        self.refused_versions: list[RefusedVersion] = []
        self.outdated_versions: list[OutdatedVersion] = []
        self.stale_count = 0
        self._slots = slots
        self._pool = pool

    def add(self, entry: Entry) -> None:
        """Classify one entry; pool its definitions unless it is refused."""
        if self._process_version(entry):
            for definition in entry.definitions:
                self._pool_definition(entry, definition)

    def decode_late_entries(self) -> None:
        """Add the versions below the active ones to the candidates.

        Their definitions matter when versions arrive out of order: a waiting
        version may need a resource that its owner has since removed, and a
        retained definition may not be the last one of its owner.
        """
        for entry in self.late_entries:
            version = _decode_late(entry)
            if version is not None:
                self.candidates.append(version)

    def _process_version(self, entry: Entry) -> bool:
        """Return whether the definitions of an entry may be pooled."""
        if entry.revision == NO_REVISION:
            return True  # the entry only carries definitions
        slot = self._slots.get(entry.key, KeySlot())
        if slot.is_before_active(entry):
            self.stale_count += 1
            self.late_entries.append(entry)
            self._report_outdated(slot, entry)
            # Entries of the store carry no definitions, so late ones need no
            # decoding.
            return bool(entry.definitions) and _decode_late(entry) is not None
        if slot.refused and _identify(entry) in slot.refused:
            self.stale_count += 1
            return False
        for version in slot.versions:
            is_same_revision = version.revision == entry.revision
            if is_same_revision and not is_later_version(entry, version):
                return self._check_same_value(version, entry)
        return self._decode(entry)

    def _check_same_value(self, version: Version, entry: Entry) -> bool:
        """Report a reused revision; return whether both values are equal."""
        self.stale_count += 1
        if version.text == entry.value:
            return True
        shown = format_revision(entry.revision)
        self._report_problem(entry, Code.REVISION_REUSED, shown)
        return False

    def _decode(self, entry: Entry) -> bool:
        try:
            version = _decode_entry(entry)
        except InvalidValueError as error:
            self._remember_refused(entry)
            self._report_refused(entry, error.problems)
            return False
        self.candidates.append(version)
        return True

    def _remember_refused(self, entry: Entry) -> None:
        slot = self._slots.setdefault(entry.key, KeySlot())
        slot.refused.add(_identify(entry))

    def _pool_definition(self, entry: Entry, definition: Definition) -> None:
        resource_id = ResourceId(
            definition.kind,
            definition.team,
            definition.name,
        )
        try:
            decoded = decode_definition(definition)
        except (msgspec.DecodeError, UnicodeEncodeError, RecursionError):
            self._report_problem(entry, Code.DEFINITION, resource_id)
        else:
            self._pool.add_if_newer(resource_id, decoded)

    def _report_outdated(self, slot: KeySlot, entry: Entry) -> None:
        active = slot.active
        if active is None or active.text == entry.value:
            return
        self.outdated_versions.append(
            OutdatedVersion(
                key=entry.key,
                revision=entry.revision,
                active_revision=active.revision,
            ),
        )

    def _report_problem(self, entry: Entry, code: Code, detail: object) -> None:
        self._report_refused(
            entry, (make_problem(entry.key, ROOT, code, detail),)
        )

    def _report_refused(
        self, entry: Entry, problems: tuple[Problem, ...]
    ) -> None:
        self.refused_versions.append(
            RefusedVersion(
                key=entry.key,
                revision=entry.revision,
                problems=problems,
            ),
        )


def _identify(entry: Entry) -> tuple[Revision, Digest]:
    # A malformed text may not be encodable as it is.
    text = (entry.value or '').encode(errors='surrogatepass')
    return entry.revision, compute_digest(text)


def _decode_late(entry: Entry) -> Version | None:
    """Decode a version below the active one; return `None` if malformed."""
    try:
        return _decode_entry(entry)
    except InvalidValueError:
        return None


def _decode_entry(entry: Entry) -> Version:
    """Decode and validate an entry.

    Raises InvalidValueError.
    """
    return decode_version(entry.key, entry.revision, entry.value, entry.stated)
