"""Reports of what one batch of entries changed in the configuration."""

from dataclasses import dataclass
from typing import Final, final

from briartack.core.configuration.problems import Problem
from briartack.core.units import Revision


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingVersion:
    """Identify a waiting version and its unresolved references."""

    key: str
    revision: Revision
    missing: tuple[str, ...]  # KIND/TEAM/NAME


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedVersion:
    """Identify a version that was refused as a whole, with the reasons."""

    key: str
    revision: Revision
    problems: tuple[Problem, ...]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class OutdatedVersion:
    """Identify a version that lost to another value with a later version."""

    key: str
    revision: Revision
    active_revision: Revision


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChange:
    """Report the effect of a batch for the audit trail, log and metrics."""

    is_changed: bool  # the digest of the accepted state changed
    is_snapshot_new: bool  # the effective configuration changed
    activated: tuple[tuple[str, Revision], ...]
    waiting: tuple[WaitingVersion, ...]  # started to wait with this batch
    refused: tuple[RefusedVersion, ...]
    retained: tuple[str, ...]  # KIND/TEAM/NAME, new with this batch
    stale_count: int  # entries already held, refused before or outdated
    outdated: tuple[OutdatedVersion, ...] = ()


NOTHING_CHANGED: Final = SnapshotChange(
    is_changed=False,
    is_snapshot_new=False,
    activated=(),
    waiting=(),
    refused=(),
    retained=(),
    stale_count=0,
)
