"""Test the store of request and response bodies."""

import unittest

from briartack.bodies import BodyStore
from briartack.core.units import BodyId
from briartack.memory_budget import MemoryBudget


class BodyStoreTest(unittest.TestCase):
    # Guards against a budget that fills up with bodies that are gone, or that
    # leaves out bodies which are held.
    def test_bodies_are_counted_until_they_are_dropped(self) -> None:
        memory = MemoryBudget(max_bytes=1000)
        bodies = BodyStore(memory=memory)
        first = BodyId('call:1')
        bodies.put(first, b'a' * 100, memory.reserve_request(200))
        bodies.put(BodyId('answer:1'), b'b' * 50)
        self.assertEqual(memory.held_bytes, 150)
        bodies.put(first, b'c' * 10)
        self.assertEqual(memory.held_bytes, 60)
        for _ in range(2):
            bodies.drop(first)
        bodies.put(BodyId('call:2'), b'', memory.reserve_request(300))
        self.assertEqual(memory.held_bytes, 50)
