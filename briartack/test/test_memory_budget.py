"""Test the budget of what a daemon holds of requests and responses."""

import unittest

from nose2.tools import params

from briartack.memory_budget import (
    MEGABYTE,
    SMALL_BODY_BYTES,
    MemoryBudget,
    compute_budget_bytes,
)


class MemoryBudgetTest(unittest.TestCase):
    # Guards against a process above the limit that its platform gives it: two
    # copies of all bodies and the daemon itself have to fit.
    @params(128, 150, 300, 552)
    def test_budget_fits_into_the_memory(self, memory_mb: int) -> None:
        budget_bytes = compute_budget_bytes(memory_mb * MEGABYTE)
        self.assertLessEqual(2 * budget_bytes + 64_000_000, memory_mb * 1e6)
        self.assertGreaterEqual(budget_bytes, 30_000_000)

    # Guards against requests that leave no room for the responses to them, and
    # against large bodies that leave none for small ones.
    @params((10_000_000, 1_000_000, 6), (1_000_000, SMALL_BODY_BYTES, 11))
    def test_requests_leave_room(
        self, max_bytes: int, size: int, admitted: int
    ) -> None:
        budget = MemoryBudget(max_bytes=max_bytes)
        leases = [budget.reserve_request(size) for _ in range(100)]
        self.assertEqual(len([one for one in leases if one]), admitted)

    # Guards against a budget that shrinks with each request.
    def test_released_bytes_are_free_again(self) -> None:
        budget = MemoryBudget(max_bytes=1_000_000)
        for _ in range(100):
            lease = budget.reserve_request(600_000)
            assert lease is not None
            response = budget.lease(500_000)
            self.assertIs(budget.is_full, True)
            lease.release()
            lease.release()
            response.resize(100)
            response.release()
        self.assertEqual(budget.held_bytes, 0)
        self.assertIs(budget.is_full, False)

    # Guards against small requests that are all refused because answers have
    # filled the memory to its limit.
    @params((0, 1_400_000, True), (0, 1_600_000, False), (1, 1_100_000, False))
    def test_requests_without_body_may_exceed_the_limit(
        self, size: int, held_bytes: int, is_admitted: bool
    ) -> None:
        budget = MemoryBudget(max_bytes=1_000_000)
        budget.lease(held_bytes)
        lease = budget.reserve_request(size)
        self.assertIs(lease is not None, is_admitted)
