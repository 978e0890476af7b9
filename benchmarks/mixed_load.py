"""Send the kinds of requests of a whole site to its daemons at given rates.

Requests go out at random times whether earlier ones were answered or not. Idle
connections are kept. The runs of some kinds make calls of their own through
the daemon of their machine.
"""

import time
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Final, final

import gevent
from gevent import socket

from benchmarks.connection_load import Connection
from benchmarks.run_record import SentRequest
from standins.platform_site import Machine

MS_PER_SECOND: Final = 1000
STOP_SECONDS: Final = 30.0
MAX_PIPELINED: Final = 4
ANSWER_BYTES: Final = 1500
TAIL_SHARE: Final = 0.01
LAG_SECONDS: Final = 0.05
_SPREAD: Final = 0.5
_TAIL_FACTOR: Final = 5


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """Describe one kind of requests; `per_second` is for the whole site."""

    name: str
    service: str
    per_second: float
    work_ms: float
    max_work_ms: float
    deadline_seconds: float
    timeout_ms: int
    is_repeatable: bool = True
    body_bytes: int = 0  # mean
    max_body_bytes: int = 0
    calls: tuple[str, ...] = ()
    is_pipelined: bool = False


@final
class MixedLoad:
    """Send requests of all kinds to the daemons of a site."""

    __slots__ = (
        'requests',
        '_machines',
        '_kinds',
        '_share',
        '_shortest_timeout_share',
        '_slow_upload_share',
        '_random',
        '_idle',
        '_runs',
        '_greenlets',
        '_running',
        '_stopping',
        '_longest_lag',
    )

    def __init__(
        self,
        *,
        kinds: tuple[RequestKind, ...],
        share: float,
        shortest_timeout_share: float,
        slow_upload_share: float,
        random: Random,
    ) -> None:
        """Prepare a load at a share of the rates of all kinds.

        Changes of the configuration keep at least `shortest_timeout_share` of
        the timeout of a route. Slow uploads may take longer than their time.
        """
        self.requests: list[SentRequest] = []
        self._machines: Mapping[str, Machine] = {}
        self._kinds = {kind.name: kind for kind in kinds}
        self._share = share
        self._shortest_timeout_share = shortest_timeout_share
        self._slow_upload_share = slow_upload_share
        self._random = random
        self._idle: dict[str, list[tuple[Any, Connection]]] = defaultdict(list)
        self._runs: Counter[str] = Counter()
        self._greenlets: list[gevent.Greenlet] = []
        self._running: set[gevent.Greenlet] = set()
        self._stopping = False
        self._longest_lag = float(0)

    @property
    def longest_lag(self) -> float:
        """Return for how long this process once stood still, in seconds."""
        return self._longest_lag

    def start(self, machines: list[Machine]) -> None:
        """Start to send requests of all kinds that have a rate."""
        self._machines = {one.ip: one for one in machines}
        self._greenlets = [
            gevent.spawn(self._run, kind)
            for kind in self._kinds.values()
            if kind.per_second
        ]
        self._greenlets.append(gevent.spawn(self._measure_lag))

    def stop(self) -> None:
        """Stop sending and wait for the answers."""
        self._stopping = True
        gevent.joinall(self._greenlets, raise_error=True)
        gevent.joinall(
            tuple(self._running), timeout=STOP_SECONDS, raise_error=True
        )
        for connections in self._idle.values():
            for sock, _ in connections:
                sock.close()

    def count_open(self, machine: Machine) -> int:
        """Return the number of requests in flight at a daemon."""
        return sum(
            one.machine == machine.ip and not one.ended_at
            for one in self.requests[-MS_PER_SECOND:]
        )

    def make_calls(self, machine: str, attempt: str, names: str) -> None:
        """Make the calls of a run at a machine, all at once.

        A request that runs again makes its calls again, under ids of their own.
        """
        self._runs[attempt] += 1
        run_number = self._runs[attempt]
        gevent.joinall(
            [
                gevent.spawn(
                    self._send_all,
                    machine,
                    [
                        self._build(
                            machine, kind, f'{attempt}.{run_number}-{number}'
                        )
                    ],
                )
                for number, kind in enumerate(self._find_kinds(names))
            ],
            raise_error=True,
        )

    def _find_kinds(self, names: str) -> list[RequestKind]:
        return [self._kinds[name] for name in names.split('.')]

    def _run(self, kind: RequestKind) -> None:
        while not self._stopping:
            gevent.sleep(self._random.expovariate(self._rate_of(kind)))
            machine = self._random.choice(tuple(self._machines))
            count = 1
            if kind.is_pipelined:
                count = self._random.randint(1, MAX_PIPELINED)
            batch = [
                self._build(machine, kind, self._random.randbytes(8).hex())
                for _ in range(count)
            ]
            for behind in batch[1:]:
                behind.is_behind = True
            greenlet = gevent.spawn(self._send_all, machine, batch)
            self._running.add(greenlet)
            greenlet.rawlink(self._running.discard)

    def _rate_of(self, kind: RequestKind) -> float:
        mean_batch = (1 + MAX_PIPELINED) / 2 if kind.is_pipelined else 1
        return kind.per_second * self._share / mean_batch

    def _build(
        self, machine: str, kind: RequestKind, attempt: str
    ) -> SentRequest:
        work_ms = kind.work_ms * self._random.lognormvariate(0, _SPREAD)
        if self._random.random() < TAIL_SHARE:
            work_ms *= _TAIL_FACTOR
        work_ms = min(work_ms, kind.max_work_ms)
        body_bytes = kind.body_bytes * self._random.lognormvariate(0, _SPREAD)
        body_bytes = min(body_bytes, kind.max_body_bytes)
        query = f'ms={work_ms:.0f}&bytes={ANSWER_BYTES}'
        if kind.calls:
            query = f'{query}&calls={".".join(kind.calls)}'
        timeout_seconds = kind.timeout_ms / MS_PER_SECOND
        return SentRequest(
            attempt=attempt,
            machine=machine,
            form=self._choose_form(kind),
            path=f'/{kind.name}/x?{query}',
            kind=kind.name,
            method='POST' if kind.body_bytes else 'GET',
            body=self._random.randbytes(int(body_bytes)),
            is_repeatable=kind.is_repeatable,
            deadline_seconds=kind.deadline_seconds,
            route_seconds=timeout_seconds * self._shortest_timeout_share,
        )

    def _choose_form(self, kind: RequestKind) -> str:
        if not kind.body_bytes:
            return 'plain'
        is_slow = self._random.random() < self._slow_upload_share
        return 'upload' if is_slow else 'length'

    def _send_all(self, machine: str, batch: list[SentRequest]) -> None:
        try:
            sock, connection = self._take_connection(machine)
        except OSError:
            # The daemon is being restarted, so nothing was sent.
            return
        self.requests.extend(batch)
        connection.exchange(batch)
        if connection.is_open and not self._stopping:
            self._idle[machine].append((sock, connection))
        else:
            sock.close()

    def _take_connection(self, machine: str) -> tuple[Any, Connection]:
        if self._idle[machine]:
            return self._idle[machine].pop()
        host, _, port = self._machines[machine].caller_address.partition(':')
        sock = socket.create_connection((host, int(port)))
        return sock, Connection(
            sock=sock,
            machine=self._machines[machine],
            random=Random(self._random.random()),
            is_slow=False,
        )

    def _measure_lag(self) -> None:
        while not self._stopping:
            before = time.monotonic()
            gevent.sleep(LAG_SECONDS)
            lag = time.monotonic() - before - LAG_SECONDS
            self._longest_lag = max(self._longest_lag, lag)
