"""Generates open-loop load: call times do not depend on earlier answers."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, final

import gevent
from gevent.pool import Pool

from standins.client import Answer, Client

CONNECTIONS_PER_ADDRESS: Final = 256
MAX_IN_FLIGHT: Final = 2000
DRAIN_TIMEOUT_SECONDS: Final = 15.0
MIN_SUCCESS_STATUS: Final = 200
MIN_REDIRECT_STATUS: Final = 300
MAX_ERROR_BYTES: Final = 160
REQUEST_ID: Final = 'X-Request-Id'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """Describe one call.

    A later address is tried if the connection to the one before it is refused.
    """

    kind: str
    addresses: tuple[str, ...]
    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''
    region: str = ''


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Hold the outcome of a call; status 0 means that no answer arrived."""

    job: Job
    planned_at: float  # monotonic seconds
    sent_at: float  # monotonic seconds
    seconds: float
    status: int
    verdict: str
    request_id: str  # id of the request that the upstream answered
    error: str = ''

    @property
    def is_success(self) -> bool:
        """Return whether the upstream answered with a 2xx status."""
        return MIN_SUCCESS_STATUS <= self.status < MIN_REDIRECT_STATUS

    @property
    def is_foreign_answer(self) -> bool:
        """Return whether the caller received the answer to another request."""
        sent_id = self.job.headers.get(REQUEST_ID, '')
        return self.is_success and self.request_id != sent_id


@final
class LoadGenerator:
    """Make calls at a fixed rate from `start` until `stop`."""

    __slots__ = (
        'outcomes',
        '_jobs',
        '_period_seconds',
        '_clients',
        '_pool',
        '_greenlet',
        '_is_stopping',
    )

    def __init__(self, *, jobs: Iterator[Job], calls_per_second: float) -> None:
        self.outcomes: list[Outcome] = []
        self._jobs = jobs
        self._period_seconds = 1 / calls_per_second
        self._clients: dict[str, Client] = {}
        self._pool = Pool(MAX_IN_FLIGHT)
        self._greenlet: gevent.Greenlet | None = None
        self._is_stopping = False

    def start(self) -> None:
        """Start the calls."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop new calls and wait for the calls in flight."""
        self._is_stopping = True
        gevent.joinall([self._greenlet] if self._greenlet else [])
        self._pool.join(timeout=DRAIN_TIMEOUT_SECONDS)
        for client in self._clients.values():
            client.close()

    def _run(self) -> None:
        planned_at = time.monotonic()
        while not self._is_stopping:
            # The schedule does not shift when the load falls behind.
            planned_at += self._period_seconds
            gevent.sleep(max(0, planned_at - time.monotonic()))
            self._pool.spawn(self._call, next(self._jobs), planned_at)

    def _call(self, job: Job, planned_at: float) -> None:
        sent_at = time.monotonic()
        answer, error = self._try_addresses(job)
        outcome = Outcome(
            job=job,
            planned_at=planned_at,
            sent_at=sent_at,
            seconds=time.monotonic() - sent_at,
            status=answer.status if answer else 0,
            verdict=answer.verdict if answer else '',
            request_id=_get_request_id(answer),
            error=error or _get_error_text(answer),
        )
        self.outcomes.append(outcome)

    def _try_addresses(self, job: Job) -> tuple[Answer | None, str]:
        error = ''
        for address in job.addresses:
            try:
                return self._call_address(address, job), ''
            except ConnectionRefusedError as refused:
                # No request was sent, so the caller may try the next daemon.
                error = str(refused)
            except OSError as failed:
                return None, f'{type(failed).__name__}: {failed}'
        return None, error

    def _call_address(self, address: str, job: Job) -> Answer:
        client = self._clients.get(address)
        if client is None:
            client = Client(
                address=address,
                connections=CONNECTIONS_PER_ADDRESS,
            )
            self._clients[address] = client
        return client.call(
            job.method,
            job.target,
            headers=job.headers,
            body=job.body,
        )


def _get_request_id(answer: Answer | None) -> str:
    return answer.headers.get(REQUEST_ID.lower(), '') if answer else ''


def _get_error_text(answer: Answer | None) -> str:
    if answer is None or answer.status < MIN_REDIRECT_STATUS:
        return ''
    return answer.body[:MAX_ERROR_BYTES].decode(errors='replace')
