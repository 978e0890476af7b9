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

    # Guards against small requests that are all refused because large answers
    # have filled the memory, and against memory without a limit for them.
    @params(
        (0, 850_000, True, True),
        (0, 1_000_000, True, True),
        (0, 1_000_001, False, True),
        (1, 849_999, True, False),
        (1, 1_000_000, False, True),
    )
    def test_large_answers_leave_room_to_small_requests(
        self, size: int, held_bytes: int, is_admitted: bool, is_full: bool
    ) -> None:
        budget = MemoryBudget(max_bytes=1_000_000)
        budget.lease(held_bytes)
        self.assertIs(budget.is_full, is_full)
        lease = budget.reserve_request(size)
        self.assertIs(lease is not None, is_admitted)

    # Guards against connections and calls that are held without a limit since
    # they have no body.
    @params((0, True), (500, True), (999, True), (1001, False))
    def test_objects_share_the_limit_with_bodies(
        self, count: int, is_admitted: bool
    ) -> None:
        budget = MemoryBudget(max_bytes=1_000_000)
        budget.count_objects(lambda: count, 1500)
        budget.count_objects(lambda: count, 500)
        self.assertEqual(budget.held_bytes, count * 1000)
        self.assertIs(budget.reserve_request(0) is not None, is_admitted)
        rest = budget.reserve_request(500_000)
        self.assertIs(rest is not None, count <= 500)

    # Guards against bodies that are admitted into memory which is occupied by
    # what freed objects have left behind.
    @params((40, 43), (64, 43), (80, 35), (140, 16))
    def test_occupied_memory_leaves_less_to_bodies(
        self, occupied_mb: int, budget_mb: int
    ) -> None:
        budget = MemoryBudget(max_bytes=compute_budget_bytes(150 * MEGABYTE))
        budget.count_objects(lambda: 1, 2 * MEGABYTE)
        held = budget.lease(MEGABYTE + 1)
        budget.measure(
            resident_bytes=150 * MEGABYTE, memory_bytes=150 * MEGABYTE
        )
        self.assertEqual(budget.max_bytes, 43 * MEGABYTE)
        held.release()
        budget.measure(
            resident_bytes=(occupied_mb + 2) * MEGABYTE,
            memory_bytes=150 * MEGABYTE,
        )
        self.assertEqual(budget.max_bytes, budget_mb * MEGABYTE)
        # A body that doesn't fit now may fit later: 503 in place of 413.
        self.assertEqual(budget.max_request_bytes, 25_800_000)
        budget.measure(resident_bytes=0, memory_bytes=150 * MEGABYTE)
        self.assertEqual(budget.max_bytes, budget_mb * MEGABYTE)

    # Guards against bodies in the memory of what has yet to be read: 37 MB on
    # connections that were not accepted, beside a process of 72 of 100 MB.
    @params((0, 35), (6, 32), (40, 16))
    def test_unread_bytes_leave_less_to_bodies(
        self, reserved_mb: int, budget_mb: int
    ) -> None:
        budget = MemoryBudget(max_bytes=compute_budget_bytes(150 * MEGABYTE))
        budget.count_objects(lambda: 4, MEGABYTE, unread_bytes=MEGABYTE)
        budget.measure(
            resident_bytes=84 * MEGABYTE,
            memory_bytes=150 * MEGABYTE,
            reserved_bytes=reserved_mb * MEGABYTE,
        )
        self.assertEqual(budget.max_bytes, budget_mb * MEGABYTE)
        self.assertEqual(budget.held_bytes, 4 * MEGABYTE)
