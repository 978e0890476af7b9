"""Let one request body take what the memory leaves beside all else.

Bodies that share the memory count twice each, and are small enough for several.
A larger one exists once, is the only one of its kind, and bounds all else by
what it leaves.
"""

from typing import Final, final

# An exclusive body leaves so much to the process and to all that is held beside
# the body.
_BESIDE_BYTES: Final = 60_000_000
# What others may need at least while an exclusive body is held.
_MIN_REST_BYTES: Final = 4_000_000


@final
class ExclusiveBody:
    """Bound the body that may take all memory that is free."""

    __slots__ = ('_shared_bytes', '_memory_bytes', '_base_bytes', '_held_bytes')

    def __init__(
        self, *, shared_bytes: int, memory_bytes: int, base_bytes: int
    ) -> None:
        """Allow bodies above `shared_bytes` in a process of `memory_bytes`.

        `base_bytes` is what the process is assumed to occupy until it is known.
        """
        self._shared_bytes = shared_bytes
        self._memory_bytes = memory_bytes
        self._base_bytes = base_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the size of the body that is held, or 0."""
        return self._held_bytes

    @property
    def max_bytes(self) -> int:
        """Return the size of the largest body that ever fits, shared or not."""
        return max(self._shared_bytes, self._memory_bytes - _BESIDE_BYTES)

    @property
    def rest_bytes(self) -> int:
        """Return the memory that the body leaves to all else."""
        return self._compute_rest(self._held_bytes)

    def applies_to(self, size: int) -> bool:
        """Return whether a body of a size is too large to share the memory."""
        return size > self._shared_bytes

    def fits(self, size: int, other_bytes: int) -> bool:
        """Return whether a body leaves enough to others, as they are now."""
        return other_bytes + _MIN_REST_BYTES <= self._compute_rest(size)

    def measure(self, base_bytes: int) -> None:
        """Set what the process occupies besides all that is held."""
        self._base_bytes = base_bytes

    def record_change(self, change: int) -> None:
        """Count a body that has grown, shrunk or ended."""
        self._held_bytes += change

    def _compute_rest(self, size: int) -> int:
        return max(0, self._memory_bytes - self._base_bytes - size)
