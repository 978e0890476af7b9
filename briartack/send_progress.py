"""Measure the progress of a connection whose receiver reads slowly."""

from typing import final


@final
class SendProgress:
    """Measure for how long a receiver has taken no byte."""

    __slots__ = ('_taken_bytes', '_progressed_at')

    def __init__(self, *, now: float) -> None:
        """Start at a time, which counts as one of progress."""
        self._taken_bytes = 0
        self._progressed_at = now

    def measure_stall(self, taken_bytes: int, now: float) -> float:
        """Return the seconds since the receiver's last progress.

        `taken_bytes` is the number of bytes that the receiver has taken since
        the connection was opened.
        """
        if taken_bytes > self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._progressed_at = now
        return now - self._progressed_at
