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
# The size of responses that is expected before any has been seen, and at least
# for a connection with more unanswered requests than a few: the first large
# responses may come after many requests for them have been read.
_INITIAL_EXPECTED_SIZE: Final = 262_144
_FEW_REQUESTS: Final = 4
# The weight of one response in the expected size. Larger ones count more, so
# that a burst of them is noticed while its other requests are yet unread.
_LARGER_WEIGHT: Final = 0.25
_SMALLER_WEIGHT: Final = 0.015625


@final
class ReadAhead:
    """Estimate whether the responses to further requests fit into the memory.

    The responses to the calls in flight are expected to have the size of the
    larger ones among the recent.
    """

    __slots__ = ('_memory', '_expected_size', '_in_flight')

    def __init__(self, *, memory: MemoryBudget) -> None:
        """Start without any call."""
        self._memory = memory
        self._expected_size: float = _INITIAL_EXPECTED_SIZE
        self._in_flight = 0

    def start_call(self) -> None:
        """Count a call that has no response yet."""
        self._in_flight += 1

    def end_call(self) -> None:
        """Stop counting a call that was answered or cancelled."""
        self._in_flight -= 1

    def record_response(self, size: int) -> None:
        """Adapt the expected size to a response."""
        growth = size - self._expected_size
        weight = _LARGER_WEIGHT if growth > 0 else _SMALLER_WEIGHT
        self._expected_size += growth * weight

    def allows(self, *, unanswered: int, held_bytes: int) -> bool:
        """Return whether a request may be read behind those of a connection.

        `unanswered` is the number of its requests without a response, and
        `held_bytes` the size of its responses that its caller has yet to take.
        """
        if unanswered >= MAX_PIPELINED_REQUESTS or held_bytes > MAX_HELD_BYTES:
            return False
        if self._expected_size * unanswered > _MAX_EXPECTED_BYTES:
            return False
        expected_size = self._expected_size
        if unanswered >= _FEW_REQUESTS:
            expected_size = max(expected_size, _INITIAL_EXPECTED_SIZE)
        expected_bytes = expected_size * self._in_flight
        used_bytes = expected_bytes + self._memory.held_bytes
        return used_bytes < _SCARCE_SHARE * self._memory.max_bytes
