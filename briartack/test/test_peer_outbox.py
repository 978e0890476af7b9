"""Test that what waits for a peer counts towards the memory budget."""

import unittest

import gevent
from nose2.tools import params

from briartack.core.messages import MAX_CHUNK_BYTES
from briartack.core.units import AttemptId
from briartack.memory_budget import MemoryBudget
from briartack.peer_outbox import PeerOutbox

HOUR_SECONDS = 3600
BUDGET_BYTES = 1_000_000
BODY_BYTES = 3 * MAX_CHUNK_BYTES
ATTEMPT = AttemptId('a1')


class PeerOutboxTest(unittest.TestCase):
    # Guards against answers that are held whole while they are sent and don't
    # count. The only answer in a queue counted nothing after its first chunk.
    @params(
        (True, (BODY_BYTES, BODY_BYTES, 0)),
        # The body of an attempt counts where it is stored.
        (False, (0, 0, 0)),
    )
    def test_body_counts_until_its_last_chunk(
        self, is_answer: bool, held_bytes: tuple[int, ...]
    ) -> None:
        memory = MemoryBudget(max_bytes=BUDGET_BYTES)
        outbox = PeerOutbox(memory=memory)
        outbox.queue_body(
            attempt_id=ATTEMPT, is_answer=is_answer, body=bytes(BODY_BYTES)
        )
        held = []
        for _ in held_bytes:
            outbox.take_frames_and_chunk()
            held.append(memory.held_bytes)
        self.assertEqual(tuple(held), held_bytes)

    # Guards against room that is lost with an answer that is given up.
    def test_dropped_answer_gives_its_room_back(self) -> None:
        memory = MemoryBudget(max_bytes=BUDGET_BYTES)
        outbox = PeerOutbox(memory=memory)
        outbox.queue_body(
            attempt_id=ATTEMPT, is_answer=True, body=bytes(BODY_BYTES)
        )
        outbox.take_frames_and_chunk()
        outbox.drop_body(ATTEMPT)
        self.assertEqual(memory.held_bytes, 0)

    # Guards against bodies of attempts that are lost as one of two streams
    # ends, or that count twice: the call holds them too.
    def test_held_attempt_moves_to_the_stream_in_use(self) -> None:
        memory = MemoryBudget(max_bytes=BUDGET_BYTES)
        outbox = PeerOutbox(memory=memory)
        kept = PeerOutbox(memory=memory)
        outbox.hold_attempt(ATTEMPT, bytes(BODY_BYTES))
        kept.take_over(outbox)
        self.assertEqual(outbox.grant(ATTEMPT), 0)
        self.assertEqual(kept.grant(ATTEMPT), BODY_BYTES)
        self.assertEqual(kept.queued_bytes, BODY_BYTES)
        self.assertEqual(memory.held_bytes, 0)

    # Guards against timers that outlive the answers whose deadlines they watch.
    @params('grant', 'drop_body', 'clear', 'take_over')
    def test_timer_ends_with_the_wait(self, end: str) -> None:
        memory = MemoryBudget(max_bytes=BUDGET_BYTES)
        outbox = PeerOutbox(memory=memory)
        kept = PeerOutbox(memory=memory)
        timer = gevent.spawn_later(HOUR_SECONDS, gevent.sleep)
        outbox.hold_answer(ATTEMPT, bytes(BODY_BYTES), timer)
        if end == 'take_over':
            kept.take_over(outbox)
            outbox.clear()
            self.assertIs(timer.dead, False)
            self.assertEqual(kept.waiting_bytes, BODY_BYTES)
            kept.clear()
        elif end == 'clear':
            outbox.clear()
        else:
            getattr(outbox, end)(ATTEMPT)
        gevent.sleep(0)
        self.assertIs(timer.dead, True)
        self.assertEqual(outbox.waiting_bytes + kept.waiting_bytes, 0)
