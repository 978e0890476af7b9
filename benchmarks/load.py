"""Open-loop load: calls at planned times, whatever became of earlier ones."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, final

import gevent
from gevent.pool import Pool

from standins.client import Answer, Client

CONNECTIONS_PER_ADDRESS: Final = 256
MAX_IN_FLIGHT: Final = 2000
END_SECONDS: Final = 15.0
FIRST_SUCCESS: Final = 200
FIRST_REDIRECT: Final = 300
SHOWN_BYTES: Final = 160
REQUEST_ID: Final = 'X-Request-Id'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """Describe one call; the next address is for a refused connection."""

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
    """Hold what came of a call; without an answer the status is 0."""

    job: Job
    planned_at: float  # monotonic seconds
    sent_at: float  # monotonic seconds
    seconds: float
    status: int
    verdict: str
    request_id: str  # that of the request which the upstream answered
    error: str = ''

    @property
    def is_success(self) -> bool:
        """Tell whether the upstream answered with success."""
        return FIRST_SUCCESS <= self.status < FIRST_REDIRECT

    @property
    def is_crossed(self) -> bool:
        """Tell whether it is the answer to another request."""
        own = self.job.headers.get(REQUEST_ID, '')
        return self.is_success and self.request_id != own


@final
class Load:
    """Make calls at a rate from `start` until `stop`."""

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
        """Begin to call."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the calls and wait for what is in flight."""
        self._is_stopping = True
        gevent.joinall([self._greenlet] if self._greenlet else [])
        self._pool.join(timeout=END_SECONDS)
        for client in self._clients.values():
            client.close()

    def _run(self) -> None:
        planned_at = time.monotonic()
        while not self._is_stopping:
            # The plan does not move when the load falls behind.
            planned_at += self._period_seconds
            gevent.sleep(max(0, planned_at - time.monotonic()))
            self._pool.spawn(self._call, next(self._jobs), planned_at)

    def _call(self, job: Job, planned_at: float) -> None:
        sent_at = time.monotonic()
        answer, error = self._answer(job)
        outcome = Outcome(
            job=job,
            planned_at=planned_at,
            sent_at=sent_at,
            seconds=time.monotonic() - sent_at,
            status=answer.status if answer else 0,
            verdict=answer.verdict if answer else '',
            request_id=_request_id(answer),
            error=error or _refusal(answer),
        )
        self.outcomes.append(outcome)

    def _answer(self, job: Job) -> tuple[Answer | None, str]:
        error = ''
        for address in job.addresses:
            try:
                return self._answer_of(address, job), ''
            except ConnectionRefusedError as refused:
                # Nothing was sent, so the caller goes to the next daemon.
                error = str(refused)
            except OSError as failed:
                return None, f'{type(failed).__name__}: {failed}'
        return None, error

    def _answer_of(self, address: str, job: Job) -> Answer:
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


def _request_id(answer: Answer | None) -> str:
    return answer.headers.get(REQUEST_ID.lower(), '') if answer else ''


def _refusal(answer: Answer | None) -> str:
    if answer is None or answer.status < FIRST_REDIRECT:
        return ''
    return answer.body[:SHOWN_BYTES].decode(errors='replace')
