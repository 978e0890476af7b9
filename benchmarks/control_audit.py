"""Follows the audit trails of all daemons of a deployment."""

import datetime
import time
from pathlib import Path
from typing import Final, final

import gevent
import msgspec

from standins.deployment import Deployment

POLL_SECONDS: Final = 0.03


class AuditLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the measures need of one line."""

    time: datetime.datetime
    kind: str
    highest: int = 0

    @property
    def at(self) -> float:
        """Return the wall-clock time in seconds."""
        return self.time.timestamp()


@final
class Trail:
    """Read the lines that one daemon writes from now on."""

    __slots__ = ('_path', '_offset', 'lines')

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = path.stat().st_size
        self.lines: list[AuditLine] = []

    def poll(self) -> None:
        """Read what is there as whole lines."""
        with self._path.open('rb') as trail:
            trail.seek(self._offset)
            *whole, _ = trail.read().split(b'\n')
        self._offset += sum(len(text) + 1 for text in whole)
        decoded = map(_decode, whole)
        self.lines.extend(line for line in decoded if line is not None)

    def in_force_at(self, revision: int) -> float | None:
        """Return when a revision came into force, if it did."""
        changes = (line for line in self.lines if line.kind == 'configuration')
        return next(
            (line.at for line in changes if line.highest >= revision),
            None,
        )


def _decode(text: bytes) -> AuditLine | None:
    try:
        return msgspec.json.decode(text, type=AuditLine)
    except msgspec.DecodeError:
        # A kill may cut a line; a change that this hides counts as missing.
        return None


@final
class AuditFollower:
    """Read the lines that all daemons write from now on."""

    __slots__ = ('_trails',)

    def __init__(self, deployment: Deployment) -> None:
        self._trails = {
            name: Trail(deployment.child(name).stdout)
            for name in deployment.site.wirings
        }

    def wait_for(self, revision: int, seconds: float) -> dict[str, float]:
        """Return when a revision came into force at each daemon, if it did."""
        until = time.monotonic() + seconds
        while True:
            self._poll()
            reached = {
                name: at
                for name, trail in self._trails.items()
                if (at := trail.in_force_at(revision)) is not None
            }
            is_late = time.monotonic() > until
            if is_late or len(reached) == len(self._trails):
                return reached
            gevent.sleep(POLL_SECONDS)

    def boot_seconds(self) -> list[float]:
        """Return the time of each start until a configuration was in force."""
        self._poll()
        found = []
        for trail in self._trails.values():
            begun = [line.at for line in trail.lines if line.kind == 'started']
            ready = trail.in_force_at(0)
            if begun and ready is not None:
                found.append(ready - begun[0])
        return found

    def _poll(self) -> None:
        for trail in self._trails.values():
            trail.poll()
