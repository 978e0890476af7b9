"""Test that a large request body exists once at each step of its way.

A second copy of a body halves the largest body that a daemon has room for.
"""

import io
import tracemalloc
import unittest
from collections.abc import Callable

import msgspec
from gevent import socket
from nose2.tools import params

from briartack.arriving_bodies import ArrivingBodies
from briartack.bodies import BodyAssembler
from briartack.caller_headers import RequestHeaders
from briartack.core.messages import MAX_CHUNK_BYTES, Chunk
from briartack.framing import compute_body_digest
from briartack.http_exchange import Exchange, KeepAlivePool
from briartack.inbound_call import InboundCall
from briartack.memory_budget import MemoryBudget
from briartack.native_dialects import create_native_dialects
from briartack.request_body import RequestBody
from briartack.test.fake_reducer import CountingObserver
from briartack.test.test_framing import ANSWER

BODY_BYTES = 16_000_000
BODY = bytes(range(256)) * (BODY_BYTES // 256)
# What one step holds beside the body, such as a part that has just arrived.
MAX_EXTRA_BYTES = 2_000_000
BUDGET_BYTES = 100_000_000


class _OpenConnection:
    """Stand in for a connection whose caller sends without pauses."""

    has_unread_input = True


def read_from_caller(body_bytes: int | None) -> bytes:
    """Read a body as that of a call, in chunks if it states no size."""
    memory = MemoryBudget(max_bytes=BUDGET_BYTES)
    bodies = ArrivingBodies(memory=memory, observer=CountingObserver())
    dialect = create_native_dialects().callers
    head = dialect.decode_head(
        method='POST',
        target='/',
        headers=RequestHeaders(io.BytesIO(b'\r\n')),
        body_bytes=body_bytes,
    )
    call = InboundCall(head=head, connection='', dialect=dialect)
    lease = bodies.admit(body_bytes)
    assert lease is not None
    encoded = BODY
    if body_bytes is None:
        encoded = b'%x\r\n%b\r\n0\r\n\r\n' % (BODY_BYTES, BODY)
    tracemalloc.reset_peak()
    body = bodies.read(
        call,
        lease,
        RequestBody(
            io.BufferedReader(io.BytesIO(encoded)),
            body_bytes,
            is_chunked=body_bytes is None,
        ),
        connection=_OpenConnection(),
        max_bytes=BODY_BYTES,
    )
    return body or b''


def assemble_from_peer() -> bytes:
    """Reassemble a body from the chunks of a peer."""
    head = msgspec.structs.replace(
        ANSWER, body_bytes=BODY_BYTES, body_digest=compute_body_digest(BODY)
    )
    memory = MemoryBudget(max_bytes=BUDGET_BYTES)
    assembler = BodyAssembler(head, memory.lease())
    body = None
    for offset in range(0, BODY_BYTES, MAX_CHUNK_BYTES):
        chunk = Chunk(
            attempt_id=ANSWER.attempt_id,
            is_answer=True,
            offset=offset,
            payload=BODY[offset : offset + MAX_CHUNK_BYTES],
        )
        body = assembler.add(chunk)
    return body or b''


STEPS: dict[str, Callable[[], bytes]] = {
    'stated size': lambda: read_from_caller(BODY_BYTES),
    'chunks of a caller': lambda: read_from_caller(None),
    'chunks of a peer': assemble_from_peer,
}


class SingleCopyTest(unittest.TestCase):
    def setUp(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    # Guards against a copy of a body that has arrived whole.
    @params(*STEPS)
    def test_body_arrives_without_a_copy(self, step: str) -> None:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        body = STEPS[step]()
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual(body, BODY)
        # The source of a chunked body is a copy of the test's own.
        copies = 2 if step == 'chunks of a caller' else 1
        self.assertLess(peak - before, copies * BODY_BYTES + MAX_EXTRA_BYTES)

    # Guards against a copy of a body behind the head of its request.
    def test_body_is_sent_without_a_copy(self) -> None:
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            pool = KeepAlivePool(listener.getsockname(), size=1)
            before, _ = tracemalloc.get_traced_memory()
            exchange = Exchange(
                pool,
                method='POST',
                request=b'POST / HTTP/1.1\r\n\r\n',
                body=BODY,
                max_body_bytes=0,
            )
            exchange.send_without_waiting()
            exchange.abandon()
            _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - before, MAX_EXTRA_BYTES)
