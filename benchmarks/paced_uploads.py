"""Sends uploads at the speed of a link, and some that never complete."""

import time
from collections.abc import Mapping
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Any, Final, final

import gevent

from benchmarks.connection_load import Connection, encode_request
from benchmarks.memory_load import (
    HOLD_SECONDS,
    MEGABYTE,
    SENT_BYTES,
    Pressure,
    build_request,
    build_upload,
    connect,
    encode_upload_head,
    run_all,
)
from benchmarks.run_record import SentRequest
from standins.platform_site import Machine

PACED_UPLOADS: Final = 12
PACED_BYTES: Final = 8 * MEGABYTE
PACES: Final = (3.0, 4.0, 6.0)  # MB a second
# Three of them are three fifths of the budget of 150 MB.
STATED_BYTES: Final = 8_590_000
TRICKLING_UPLOADS: Final = (3, 12, 60)
TRICKLE_BYTES: Final = 100
TRICKLE_SECONDS: Final = 0.2
SMALL_UPLOADS: Final = 15
SMALL_UPLOAD_BYTES: Final = 280_000
WRITE_FAILED: Final = 'a write failed'


@final
class PacedUploads:
    """Send uploads over some seconds; requests that end are recorded."""

    __slots__ = ('_requests',)

    def __init__(self, *, requests: list[SentRequest]) -> None:
        self._requests = requests

    @property
    def forms(self) -> Mapping[str, Pressure]:
        """Return all forms of pressure by name."""
        return MappingProxyType({'paced': self.pace, 'trickle': self.trickle})

    def pace(self, machine: Machine, random: Random) -> None:
        """Send uploads whose callers read nothing before the whole is sent.

        There is room for some of them only.
        """
        run_all(random, PACED_UPLOADS, partial(self._pace_one, machine))

    def trickle(self, machine: Machine, random: Random) -> None:
        """State large bodies, of which little is sent, beside small uploads."""
        count = random.choice(TRICKLING_UPLOADS)
        until = time.monotonic() + random.choice(HOLD_SECONDS)
        trickling = gevent.spawn(
            run_all, random, count, partial(_trickle_one, machine, until)
        )
        for _ in range(SMALL_UPLOADS):
            gevent.sleep(TRICKLE_SECONDS)
            run_all(random, 1, partial(self._upload_small, machine))
        trickling.get()

    def _pace_one(self, machine: Machine, random: Random) -> None:
        request = self._build(machine, random, PACED_BYTES)
        with connect(machine) as sock:
            request.started_at = time.monotonic()
            try:
                _send_paced(sock, request, random)
            except OSError as error:
                # Many callers read no answer after that.
                request.problem = f'{WRITE_FAILED}: {error}'
                request.ended_at = time.monotonic()
                return
            request.sent_at = time.monotonic()
            Connection(
                sock=sock, machine=machine, random=random, is_slow=False
            ).receive([request])

    def _upload_small(self, machine: Machine, random: Random) -> None:
        request = self._build(machine, random, SMALL_UPLOAD_BYTES)
        with connect(machine) as sock:
            Connection(
                sock=sock, machine=machine, random=random, is_slow=False
            ).exchange([request])

    def _build(
        self, machine: Machine, random: Random, size: int
    ) -> SentRequest:
        request = build_request(machine, random, 'buys', 'ms=1&bytes=100')
        request.form = 'length'
        request.method = 'POST'
        request.body = build_upload(size, 0)
        self._requests.append(request)
        return request


def _send_paced(sock: Any, request: SentRequest, random: Random) -> None:
    bytes_per_second = random.choice(PACES) * MEGABYTE
    data = memoryview(
        b''.join(part for _, part in encode_request(request, random))
    )
    for at in range(0, len(data), SENT_BYTES):
        sock.sendall(data[at : at + SENT_BYTES])
        due_at = request.started_at + at / bytes_per_second
        gevent.sleep(max(0, due_at - time.monotonic()))


def _trickle_one(machine: Machine, until: float, random: Random) -> None:
    with connect(machine) as sock:
        sock.sendall(encode_upload_head(random, STATED_BYTES))
        while time.monotonic() < until:
            gevent.sleep(TRICKLE_SECONDS)
            sock.sendall(bytes(TRICKLE_BYTES))
