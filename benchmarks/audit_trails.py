"""Reads the audit trails of a deployment's daemons while they are written."""

import datetime
import time
from pathlib import Path
from typing import Final, final

import gevent
import msgspec

from standins.deployment import Deployment

POLL_SECONDS: Final = 0.03


class AuditLine(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the fields of an audit line that the benchmarks use."""

    time: datetime.datetime
    kind: str
    highest: int = 0

    @property
    def timestamp_seconds(self) -> float:
        """Return the wall-clock time of the line in seconds since the epoch."""
        return self.time.timestamp()


@final
class AuditTrailReader:
    """Read the audit lines that one daemon writes after construction."""

    __slots__ = ('_path', '_offset', 'lines')

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = path.stat().st_size
        self.lines: list[AuditLine] = []

    def poll(self) -> None:
        """Read all complete lines that were written since the last poll."""
        with self._path.open('rb') as trail:
            trail.seek(self._offset)
            *complete_lines, _ = trail.read().split(b'\n')
        self._offset += sum(len(text) + 1 for text in complete_lines)
        audit_lines = map(_decode, complete_lines)
        self.lines.extend(line for line in audit_lines if line is not None)

    def find_activation_time(self, revision: int) -> float | None:
        """Return when a revision took effect, or None."""
        changes = (line for line in self.lines if line.kind == 'configuration')
        return next(
            (
                line.timestamp_seconds
                for line in changes
                if line.highest >= revision
            ),
            None,
        )


def _decode(text: bytes) -> AuditLine | None:
    try:
        return msgspec.json.decode(text, type=AuditLine)
    except msgspec.DecodeError:
        # A killed daemon may leave a truncated line. A configuration change on
        # that line counts as missing.
        return None


@final
class AuditFollower:
    """Read the audit lines that all daemons write after construction."""

    __slots__ = ('_trails',)

    def __init__(self, deployment: Deployment) -> None:
        self._trails = {
            instance: AuditTrailReader(
                deployment.get_daemon_process(instance).stdout
            )
            for instance in deployment.site.instance_sites
        }

    def wait_for_revision(
        self, revision: int, seconds: float
    ) -> dict[str, float]:
        """Return when a revision took effect at each daemon that applied it.

        Wait until all daemons applied the revision or `seconds` elapsed.
        """
        deadline = time.monotonic() + seconds
        while True:
            self._poll()
            activation_times = {
                instance: at
                for instance, trail in self._trails.items()
                if (at := trail.find_activation_time(revision)) is not None
            }
            is_timed_out = time.monotonic() > deadline
            if is_timed_out or len(activation_times) == len(self._trails):
                return activation_times
            gevent.sleep(POLL_SECONDS)

    def boot_seconds(self) -> list[float]:
        """Return the seconds from each start until a configuration applied."""
        self._poll()
        durations = []
        for trail in self._trails.values():
            start_times = [
                line.timestamp_seconds
                for line in trail.lines
                if line.kind == 'started'
            ]
            configured_at = trail.find_activation_time(0)
            if start_times and configured_at is not None:
                durations.append(configured_at - start_times[0])
        return durations

    def _poll(self) -> None:
        for trail in self._trails.values():
            trail.poll()
