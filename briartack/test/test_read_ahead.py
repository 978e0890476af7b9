"""Test how many requests are read ahead of their responses."""

import unittest

from nose2.tools import params

from briartack.memory_budget import MemoryBudget
from briartack.read_ahead import ReadAhead

MAX_BYTES = 40_000_000


class ReadAheadTest(unittest.TestCase):
    # Guards against responses that do not fit into the memory because too many
    # requests for them have been read, and against small ones that wait.
    @params(
        # (size and number of responses, calls, unanswered, held, is allowed)
        (1000, 1000, 1000, 3, 0, True),
        (1000, 1000, 70, 31, 0, True),
        (1000, 1000, 70, 32, 0, False),
        (1000, 1000, 1000, 4, 0, False),
        (1000, 1000, 70, 31, 300_000, False),
        (1_000_000, 20, 15, 1, 0, True),
        (1_000_000, 20, 25, 1, 0, False),
        (1_000_000, 20, 4, 4, 0, False),
        (0, 0, 70, 7, 0, True),
        (0, 0, 80, 7, 0, False),
    )
    def test_requests_are_read_while_their_responses_fit(
        self,
        size: int,
        count: int,
        calls: int,
        unanswered: int,
        held_bytes: int,
        is_allowed: bool,
    ) -> None:
        read_ahead = ReadAhead(memory=MemoryBudget(max_bytes=MAX_BYTES))
        for _ in range(count):
            read_ahead.record_response(size)
        for _ in range(calls + 1):
            read_ahead.start_call()
        read_ahead.end_call()
        self.assertIs(
            read_ahead.allows(unanswered=unanswered, held_bytes=held_bytes),
            is_allowed,
        )

    # Guards against a full memory that takes further responses.
    @params((19_000_000, True), (20_000_000, False))
    def test_no_request_is_read_behind_others_in_a_full_memory(
        self, held_bytes: int, is_allowed: bool
    ) -> None:
        memory = MemoryBudget(max_bytes=MAX_BYTES)
        memory.lease(held_bytes)
        read_ahead = ReadAhead(memory=memory)
        self.assertIs(read_ahead.allows(unanswered=1, held_bytes=0), is_allowed)
