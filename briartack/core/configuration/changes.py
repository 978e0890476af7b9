"""What one batch of entries changed in the accepted configuration."""

from dataclasses import dataclass
from typing import Final, final

from briartack.core.configuration.problems import Problem
from briartack.core.units import Revision


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingVersion:
    """Name a version that waits, and the references that are missing."""

    key: str
    revision: Revision
    missing: tuple[str, ...]  # KIND/TEAM/NAME


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedVersion:
    """Name a version that was refused as a whole, and why."""

    key: str
    revision: Revision
    problems: tuple[Problem, ...]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChange:
    """Report what a batch of entries did, for trail, log and metrics."""

    is_changed: bool  # the digest of the state is another
    is_snapshot_new: bool  # something else is in force
    activated: tuple[tuple[str, Revision], ...]
    waiting: tuple[WaitingVersion, ...]  # that wait since this batch
    refused: tuple[RefusedVersion, ...]
    retained: tuple[str, ...]  # KIND/TEAM/NAME, retained since this batch
    stale: int  # entries that are held already or older than what is held


NOTHING_CHANGED: Final = SnapshotChange(
    is_changed=False,
    is_snapshot_new=False,
    activated=(),
    waiting=(),
    refused=(),
    retained=(),
    stale=0,
)
