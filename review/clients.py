"""Send requests as consumers of the platform do, one connection each."""

import math
import re
import secrets
from dataclasses import dataclass, field
from typing import Final, final

import gevent
from gevent import socket

RECEIVE_BYTES: Final = 65536
ID_BYTES: Final = 8
MILLISECONDS: Final = 1000.0
_LENGTH: Final = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)
_END_OF_HEAD: Final = b'\r\n\r\n'


@final
@dataclass(slots=True, kw_only=True)
class Reply:
    """Hold what came back; status 0 stands for no answer or a part of one."""

    attempt: str = field(default_factory=lambda: secrets.token_hex(ID_BYTES))
    status: int = 0
    head: bytes = b''
    body: bytes = b''
    problem: str = ''
    received: int = 0  # bytes


def send_request(
    address: str,
    path: str,
    host: str,
    *,
    body: bytes | None = None,
    deadline_ms: int = 1200,
    wait_seconds: float | None = None,
    bytes_per_second: float = math.inf,
) -> Reply:
    """Send one request and wait for its answer, by default to the deadline.

    A consumer behind a slow link has a small window and reads at its rate.
    """
    reply = Reply()
    limit = wait_seconds or deadline_ms / MILLISECONDS
    method = 'GET' if body is None else 'POST'
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'X-Attempt-Id: {reply.attempt}',
        f'X-Deadline-Ms: {deadline_ms}',
    ]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    request = '\r\n'.join(lines).encode() + _END_OF_HEAD + (body or b'')
    try:
        with gevent.Timeout(limit, TimeoutError('no answer in time')):
            _exchange(address, request, reply, bytes_per_second)
    except OSError as error:
        reply.problem = str(error) or type(error).__name__
    return reply


def _exchange(
    address: str, request: bytes, reply: Reply, bytes_per_second: float
) -> None:
    ip, port = address.split(':')
    with socket.socket() as connection:
        if math.isfinite(bytes_per_second):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
            )
        connection.connect((ip, int(port)))
        connection.sendall(request)
        received = bytearray()
        while not _is_complete(received):
            part = connection.recv(RECEIVE_BYTES)
            if not part:
                raise ConnectionError('the connection ended early')
            received += part
            reply.received = len(received)
            gevent.sleep(len(part) / bytes_per_second)
    head_and_body = bytes(received).split(_END_OF_HEAD, 1)
    reply.head = head_and_body[0]
    reply.body = head_and_body[1]
    reply.status = int(reply.head.split(b' ', 2)[1])


def _is_complete(received: bytearray) -> bool:
    end = received.find(_END_OF_HEAD)
    if end < 0:
        return False
    length = _LENGTH.search(received, 0, end + 2)
    body_bytes = int(length.group(1)) if length else 0
    return len(received) - end - len(_END_OF_HEAD) >= body_bytes
