"""Generate open-loop load: calls are sent on schedule, despite slow answers.

Latency is measured from the time at which a call was due, so that a slow
answer cannot hide the delay of the calls behind it (coordinated omission).
"""

import sys
import time
import uuid
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final, final

import defopt
import gevent
import msgspec
from gevent.event import Event
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from standins.client import Client

MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_FIGURES: Final = 3
US_PER_SECOND: Final = 1_000_000
US_PER_MS: Final = 1000
MAX_IN_FLIGHT_CALLS: Final = 500
MAX_KEPT_FAILURES: Final = 20
PERCENTILES: Final = (50, 90, 99, 99.9)
NOT_RUN: Final = 'not-run'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class LoadCall:
    """Describe one kind of call and the address that receives the call."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@final
class LoadResult:
    """Collect outcomes, latencies and request ids of calls."""

    __slots__ = ('statuses', 'verdicts', 'failures', 'ran_ids', '_histogram')

    def __init__(self) -> None:
        self.statuses: Counter[int] = Counter()
        self.verdicts: Counter[str] = Counter()
        self.failures: list[str] = []
        self.ran_ids: set[str] = set()
        self._histogram: Any = HdrHistogram(
            1,
            MAX_LATENCY_US,
            SIGNIFICANT_FIGURES,
        )

    @property
    def total(self) -> int:
        """Return the number of completed calls."""
        return sum(self.verdicts.values())

    @property
    def ok(self) -> int:
        """Return the number of calls with a status below 400."""
        return sum(
            count for status, count in self.statuses.items() if status < 400
        )

    @property
    def refused(self) -> int:
        """Return the number of calls with the verdict `not-run`."""
        return self.verdicts[NOT_RUN]

    @property
    def failed(self) -> int:
        """Return the number of calls that were neither ok nor refused."""
        return self.total - self.ok - self.refused

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of all calls, in ms."""
        found = self._histogram.get_value_at_percentile(percentile)
        return float(found) / US_PER_MS

    def record(
        self,
        *,
        request_id: str,
        status: int,
        verdict: str,
        seconds: float,
    ) -> None:
        """Record one completed call; status 0 means no answer."""
        self.statuses[status] += 1
        self.verdicts[verdict] += 1
        if verdict == 'ran':
            self.ran_ids.add(request_id)
        self._histogram.record_value(
            max(1, min(int(seconds * US_PER_SECOND), MAX_LATENCY_US)),
        )

    def record_failure(self, text: str) -> None:
        """Keep the description of a failure, up to MAX_KEPT_FAILURES."""
        if len(self.failures) < MAX_KEPT_FAILURES:
            self.failures.append(text)

    def summary(self) -> dict[str, object]:
        """Return all figures under their JSON names."""
        return {
            'calls': self.total,
            'ok': self.ok,
            'refused': self.refused,
            'failed': self.failed,
            'statuses': {
                str(status): count for status, count in self.statuses.items()
            },
            'verdicts': dict(self.verdicts),
            'latency_ms': {
                f'p{percentile:g}': self.latency_ms(percentile)
                for percentile in PERCENTILES
            },
            'failures': self.failures,
        }


@final
class LoadGenerator:
    """Send calls in rotation at a constant rate from a greenlet."""

    __slots__ = (
        'result',
        '_calls',
        '_interval_seconds',
        '_clients',
        '_pool',
        '_stopped',
        '_sender',
    )

    def __init__(self, *, calls: list[LoadCall], per_second: float) -> None:
        self.result = LoadResult()
        self._calls = calls
        self._interval_seconds = 1 / per_second
        self._clients = {
            one.address: Client(
                address=one.address,
                connections=MAX_IN_FLIGHT_CALLS,
            )
            for one in calls
        }
        self._pool = Pool(MAX_IN_FLIGHT_CALLS)
        self._stopped = Event()
        self._sender: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start sending calls."""
        self._sender = gevent.spawn(self._send)

    def stop(self) -> LoadResult:
        """Stop sending, wait for pending answers and return the result."""
        self._stopped.set()
        if self._sender is not None:
            self._sender.join()
        self._pool.join()
        for client in self._clients.values():
            client.close()
        return self.result

    def _send(self) -> None:
        started = time.monotonic()
        sent = 0
        while not self._stopped.is_set():
            due = started + sent * self._interval_seconds
            delay = due - time.monotonic()
            if delay > 0 and self._stopped.wait(delay):
                return
            one = self._calls[sent % len(self._calls)]
            self._pool.spawn(self._call, one, due)
            sent += 1

    def _call(self, one: LoadCall, due: float) -> None:
        request_id = uuid.uuid4().hex
        headers = {**dict(one.headers), 'X-Request-Id': request_id}
        status = 0
        # Without an answer the caller cannot tell whether the call ran.
        verdict = 'unknown'
        try:
            answer = self._clients[one.address].call(
                one.method,
                one.path,
                headers=headers,
                body=one.body,
            )
        except OSError as error:
            self.result.record_failure(f'{one.method} {one.path}: {error!r}')
        else:
            status = answer.status
            verdict = answer.verdict or 'none'
            if status >= 400 and verdict != NOT_RUN:
                self.result.record_failure(
                    f'{one.path}: {status} {answer.body[:200]!r}'
                )
        self.result.record(
            request_id=request_id,
            status=status,
            verdict=verdict,
            seconds=time.monotonic() - due,
        )


def run_load(
    *,
    calls: list[LoadCall],
    per_second: float,
    seconds: float,
) -> LoadResult:
    """Send calls at a constant rate for a time and return the result."""
    load = LoadGenerator(calls=calls, per_second=per_second)
    load.start()
    gevent.sleep(seconds)
    return load.stop()


def run(
    *,
    address: list[str],
    path: str,
    method: str = 'GET',
    per_second: float = 50,
    seconds: float = 10,
    tenant: str = '',
    body_bytes: int = 0,
) -> None:
    """Send calls to daemons in rotation and print the figures as JSON.

    :param address: IP:PORT of the callers' port of each daemon
    :param path: path and query of each call
    :param method: method of each call
    :param per_second: calls per second in total over all addresses
    :param seconds: duration of the load
    :param tenant: value of X-Tenant
    :param body_bytes: size of each body
    """
    calls = [
        LoadCall(
            address=one,
            method=method,
            path=path,
            headers=(('X-Tenant', tenant),) if tenant else (),
            body=bytes(body_bytes),
        )
        for one in address
    ]
    result = run_load(calls=calls, per_second=per_second, seconds=seconds)
    sys.stdout.write(f'{msgspec.json.encode(result.summary()).decode()}\n')


if __name__ == '__main__':
    defopt.run(run)
