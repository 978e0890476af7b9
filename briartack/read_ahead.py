"""Decide how many requests are read from callers ahead of their responses."""

from typing import Final, final

from briartack.memory_budget import MemoryBudget

# Maximum number of unanswered requests on one connection. At this number, the
# handler reads the next request only after a response.
MAX_PIPELINED_REQUESTS: Final = 32
# A connection with more bytes of responses than this has no further request
# read: its responses would only wait behind these. A reader takes this much in
# the time of one small request.
MAX_HELD_BYTES: Final = 262_144
# No further request is read from a connection whose unanswered requests may get
# more than this: responses that are ready early wait in memory for the first.
_MAX_EXPECTED_BYTES: Final = 2_000_000
# Above this share of the memory, no request is read behind another one.
_SCARCE_SHARE: Final = 0.5
# The mean size of responses that is expected before any has been seen.
_INITIAL_MEAN_BYTES: Final = 262_144
# The weight of one response in the mean size of the recent ones.
_MEAN_WEIGHT: Final = 0.0625


@final
class ReadAhead:
    """Estimate whether the responses to further requests fit into the memory.

    The responses to the calls in flight are expected to have the mean size of
    the recent ones.
    """

    __slots__ = ('_memory', '_mean_bytes', '_in_flight')

    def __init__(self, *, memory: MemoryBudget) -> None:
        """Start without any call."""
        self._memory = memory
        self._mean_bytes: float = _INITIAL_MEAN_BYTES
        self._in_flight = 0

    def start_call(self) -> None:
        """Count a call that has no response yet."""
        self._in_flight += 1

    def end_call(self) -> None:
        """Stop counting a call that was answered or cancelled."""
        self._in_flight -= 1

    def record_response(self, size: int) -> None:
        """Count the size of a response towards the mean."""
        self._mean_bytes += (size - self._mean_bytes) * _MEAN_WEIGHT

    def allows(self, *, unanswered: int, held_bytes: int) -> bool:
        """Return whether a request may be read behind those of a connection.

        `unanswered` is the number of its requests without a response, and
        `held_bytes` the size of its responses that its caller has yet to take.
        """
        if unanswered >= MAX_PIPELINED_REQUESTS or held_bytes > MAX_HELD_BYTES:
            return False
        if self._mean_bytes * unanswered > _MAX_EXPECTED_BYTES:
            return False
        expected_bytes = self._mean_bytes * self._in_flight
        used_bytes = expected_bytes + self._memory.held_bytes
        return used_bytes < _SCARCE_SHARE * self._memory.max_bytes
