"""Stops, reloads and reconfigures daemons under requests of many forms.

Each request must end with one complete answer, or with a close that says
nothing and that the stop allows.
"""

import hashlib
import shutil
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Final, TypeAlias

import defopt
import gevent

from benchmarks.connection_load import (
    DEFAULT_SHAPE,
    ConnectionLoad,
    create_long_shape,
)
from benchmarks.figures import Figures, run_as_program
from benchmarks.run_record import (
    DEADLINE_SECONDS,
    Run,
    RunRecord,
    SentRequest,
    WrapApplication,
)
from benchmarks.upstream_calls import UpstreamCalls
from standins.platform_site import (
    SMALL_SHAPE,
    Machine,
    PlatformSite,
    build_configuration,
    build_route,
    send_request,
)

Violation: TypeAlias = dict[str, object]
# The machine, and when its stop began and ended.
Stop: TypeAlias = tuple[str, float, float]
GRACE_SECONDS: Final = 6.0
LOSS_SLACK_SECONDS: Final = 0.2
START_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.1
# What was sent so soon after the signal and still runs so late may be cut, by
# the rules.
LATEST_SECONDS: Final = 3.0
END_OF_GRACE_SECONDS: Final = 5.0
_CUT_STATUSES: Final = frozenset((0, 502))
SETTLE_SECONDS: Final = 3.5
MS_PER_SECOND: Final = 1000
ROUTE_TIMEOUT_MS: Final = int(DEADLINE_SECONDS * MS_PER_SECOND)
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    seed: int = 1,
    seconds: float = 15,
    connections: int = 24,
    timeout_ms: int = ROUTE_TIMEOUT_MS,
    max_run_ms: int = 0,
    spread_seconds: float = 0,
    slots: int = SMALL_SHAPE.slots,
) -> Figures:
    """Stop daemons under load and list every violation.

    :param seed: seed of the stops, the changes and the load
    :param seconds: duration of the phase with stops
    :param connections: callers, with one connection each at a time
    :param timeout_ms: time limit of all routes
    :param max_run_ms: longest run of a request, with run times spread evenly
        below it; 0 for mostly short runs
    :param spread_seconds: time within which daemons that stop together get
        their signals
    :param slots: requests that each worker runs at once
    """
    directory = Path(tempfile.mkdtemp(prefix='briartack-stops-'))
    site = PlatformSite(
        directory=directory, shape=replace(SMALL_SHAPE, slots=slots)
    )
    record = RunRecord()
    calls = UpstreamCalls()
    shape = DEFAULT_SHAPE
    if max_run_ms:
        shape = create_long_shape(timeout_ms / MS_PER_SECOND, max_run_ms)
    actions = StopActions(
        site=site,
        random=Random(f'stops {seed}'),
        timeout_ms=timeout_ms,
        spread_seconds=spread_seconds,
    )
    try:
        start_site(site, record, timeout_ms=timeout_ms)
        for machine in site.machines:
            record.attach(machine, calls.wrap_for(machine))
        load = ConnectionLoad(
            machines=site.machines, random=Random(f'load {seed}'), shape=shape
        )
        play_under_load(load, actions, connections, seconds)
    finally:
        site.stop()
    requests = [*load.requests, *calls.requests]
    violations = [*actions.violations, *check(requests, record, actions.stops)]
    if not violations:
        shutil.rmtree(directory)
    return {
        'benchmark': 'stop_run',
        'seed': seed,
        'met': not violations,
        'violations': violations,
        'stops': len(actions.stops),
        'longest_stop_seconds': round(
            max(
                (ended - began for _, began, ended in actions.stops), default=0
            ),
            2,
        ),
        'requests': len(requests),
        'calls_of_runs': len(calls.requests),
        'statuses': Counter(str(sent.status) for sent in requests),
        'unexplained': list_failed(requests),
        'output': str(directory),
    }


def start_site(
    site: PlatformSite,
    record: RunRecord,
    wrap: WrapApplication | None = None,
    *,
    timeout_ms: int = ROUTE_TIMEOUT_MS,
) -> None:
    """Start a site whose upstreams record their runs, and wait for it."""
    site.start()
    site.store.put('op/config', _build_configuration(1, 'buys', timeout_ms))
    for machine in site.machines:
        record.attach(machine, wrap)
        wait_until_ready(machine)
    gevent.sleep(SETTLE_SECONDS)


def play_under_load(
    load: ConnectionLoad,
    actions: 'StopActions',
    connections: int,
    seconds: float,
) -> None:
    """Play the actions while callers send requests."""
    load.start(connections)
    actions.play(seconds)
    load.stop()


class StopActions:
    """Play stops, reloads and changes, one after another and overlapping."""

    def __init__(
        self,
        *,
        site: PlatformSite,
        random: Random,
        timeout_ms: int = ROUTE_TIMEOUT_MS,
        spread_seconds: float = 0,
    ) -> None:
        self.stops: list[Stop] = []
        self.violations: list[Violation] = []
        self._site = site
        self._random = random
        self._timeout_ms = timeout_ms
        self._spread_seconds = spread_seconds
        self._version = 1
        self._stopping: set[str] = set()

    @property
    def choices(self) -> tuple[Callable[[Random], None], ...]:
        """Return the actions to choose from; a repeated one comes oftener."""
        return (self._stop_some, self._stop_some, self._reload, self._change)

    def play(self, seconds: float) -> None:
        """Play actions for a time and wait until all daemons run again."""
        until = time.monotonic() + seconds
        running: list[gevent.Greenlet] = []
        while time.monotonic() < until:
            gevent.sleep(self._random.uniform(0.1, 1.2))
            action = self._random.choice(self.choices)
            running.append(gevent.spawn(action, Random(self._random.random())))
        gevent.joinall(running, raise_error=True)

    def _stop_some(self, random: Random) -> None:
        free = self._list_running()
        count = min(random.choice((1, 1, 2, 3)), len(free) - 2)
        if count <= 0:
            return
        chosen = random.sample(free, count)
        self._stopping |= {one.ip for one in chosen}
        gevent.joinall(
            [
                gevent.spawn(self._stop, one, Random(random.random()))
                for one in chosen
            ],
            raise_error=True,
        )

    def _stop(self, machine: Machine, random: Random) -> None:
        if self._spread_seconds:
            gevent.sleep(random.uniform(0, self._spread_seconds))
        self._end(machine, random)
        gevent.sleep(random.choice((0, 0, 0.5, 2)))
        self._start_again(machine)

    def _end(self, machine: Machine, random: Random) -> None:
        began_at = time.monotonic()
        machine.daemon.send_signal(signal.SIGTERM)
        for _ in range(random.choice((0, 0, 1, 3))):
            gevent.sleep(random.choice((0, 0.01, 0.3, 1)))
            machine.daemon.send_signal(
                random.choice((signal.SIGTERM, signal.SIGHUP))
            )
        left = began_at + GRACE_SECONDS - time.monotonic()
        code = machine.daemon.wait(left)
        ended_at = time.monotonic()
        self.stops.append((machine.ip, began_at, ended_at))
        if code != 0:
            self.violations.append(
                {
                    'rule': 'a planned stop did not end with 0 in time',
                    'machine': machine.ip,
                    'code': code,
                }
            )
            machine.daemon.kill()

    def _start_again(self, machine: Machine) -> None:
        machine.daemon.start()
        wait_until_ready(machine)
        self._stopping.discard(machine.ip)

    def _reload(self, random: Random) -> None:
        # A process that has just started has no handlers of signals yet.
        for machine in self._list_running():
            for _ in range(random.choice((1, 1, 5))):
                machine.daemon.send_signal(signal.SIGHUP)
                gevent.sleep(random.choice((0, 0.02)))

    def _list_running(self) -> list[Machine]:
        return [
            one for one in self._site.machines if one.ip not in self._stopping
        ]

    def _change(self, random: Random) -> None:
        self._version += random.randint(1, 3)
        service = random.choice(('reads', 'buys', ''))
        self._site.store.put(
            'op/config',
            _build_configuration(self._version, service, self._timeout_ms),
        )


def _build_configuration(
    version: int, moved: str, timeout_ms: int
) -> dict[str, object]:
    timing = {'timeout_ms': timeout_ms, 'target_latency_ms': 2000}
    routes = [
        build_route('reads', '/reads/', 'reads', **timing),
        build_route('buys', '/buys/', 'buys', kind='non_idempotent', **timing),
    ]
    if moved:
        routes.append(
            build_route(
                'moved', '/moved/', moved, kind='non_idempotent', **timing
            )
        )
    return build_configuration(*routes, version=version)


def wait_until_ready(machine: Machine) -> None:
    """Wait for a daemon; raise TimeoutError if it never becomes ready."""
    until = time.monotonic() + START_SECONDS
    url = f'http://{machine.operator_address}/readyz'
    while send_request(url).status != HTTPStatus.OK:
        if time.monotonic() > until:
            raise TimeoutError(f'{machine.ip} is not ready')
        gevent.sleep(POLL_SECONDS)


def check(
    requests: list[SentRequest], record: RunRecord, stops: list[Stop]
) -> list[Violation]:
    """Compare what the callers saw with the runs at the upstreams."""
    violations = []
    for sent in requests:
        runs = record.runs.get(sent.attempt, [])
        own_stops = [
            (began, ended)
            for ip, began, ended in stops
            if ip == sent.machine
            and began <= sent.ended_at
            and sent.started_at <= ended
        ]
        may_be_cut = sent.status in _CUT_STATUSES and any(
            sent.ended_at - began > END_OF_GRACE_SECONDS
            and sent.started_at - began <= LATEST_SECONDS
            for began, _ in own_stops
        )
        # A process that has ended has closed its connections. A busy machine
        # may let the caller notice that later.
        closed_at = min((sent.ended_at, *(ended for _, ended in own_stops)))
        rule = _find_violation(
            sent, runs, is_stop=bool(own_stops), closed_at=closed_at
        )
        if rule and not (may_be_cut and rule.startswith('LOST')):
            violations.append(_describe(rule, sent, runs, own_stops))
    return violations


def _find_violation(
    sent: SentRequest, runs: list[Run], *, is_stop: bool, closed_at: float
) -> str:
    if not sent.is_repeatable and len(runs) > 1:
        return 'TWICE: a request that may not be repeated ran again'
    digest = hashlib.sha256(sent.body).hexdigest()
    if any(run.digest not in {'', digest} for run in runs):
        return 'UNASKED: an upstream got another body'
    if not sent.status:
        return _find_loss(sent, runs, closed_at)
    if sent.status in _NOT_RUN_STATUSES and runs:
        return f'REFUSED: status {sent.status} and the request ran'
    if sent.status < 300:
        return _find_mixed(sent, runs)
    has_time = sent.ended_at - sent.started_at < sent.limit_seconds
    if sent.status in {502, 504} and has_time and runs and is_stop:
        return f'LOST: status {sent.status} in place of an answer'
    if sent.status in {400, 404, 413} and sent.kind != 'moved':
        return f'DENIED: status {sent.status}'
    return ''


def list_failed(requests: list[SentRequest]) -> list[str]:
    """List the requests that failed in time, though no upstream failed."""
    return [
        f'{sent.attempt}: {sent.status}'
        for sent in requests
        if sent.status in {502, 504}
        and sent.ended_at - sent.started_at < sent.limit_seconds
    ]


def _find_loss(sent: SentRequest, runs: list[Run], closed_at: float) -> str:
    if sent.ended_at - sent.started_at >= sent.deadline_seconds:
        return 'LOST: no answer at the deadline'
    if sent.head:
        return 'LOST: an answer ended early'
    if runs:
        return 'LOST: no answer to a request that ran'
    is_late = closed_at - sent.sent_at > LOSS_SLACK_SECONDS
    if is_late and not sent.is_behind:
        return 'LOST: no answer to a request that was sent in time'
    return ''


def _find_mixed(sent: SentRequest, runs: list[Run]) -> str:
    seal = f'X-Server-Seal: s-{sent.attempt}'.encode()
    if seal not in sent.head:
        return 'MIXED: a success without the seal of its request'
    if sent.method == 'HEAD':
        return ''
    if not any(
        (run.status, run.body) == (sent.status, sent.answer) for run in runs
    ):
        return 'MIXED: an answer that no upstream gave'
    return ''


def _describe(
    rule: str,
    sent: SentRequest,
    runs: list[Run],
    stops: list[tuple[float, float]],
) -> Violation:
    start = sent.started_at
    return {
        'rule': rule,
        'id': sent.attempt,
        'machine': sent.machine,
        'request': f'{sent.form} {sent.method} {sent.path}',
        'body_bytes': len(sent.body),
        'status': sent.status,
        'sent': round(sent.sent_at - start, 3),
        'ended': round(sent.ended_at - start, 3),
        'stops': [
            (round(began - start, 3), round(ended - start, 3))
            for began, ended in stops
        ],
        'runs': [
            (
                run.machine,
                round(run.started_at - start, 3),
                round(run.ended_at - start, 3) if run.ended_at else None,
            )
            for run in runs
        ],
        'problem': sent.problem,
        'head': repr(sent.head[:80]),
        'answer': repr(sent.answer[:160]),
    }


if __name__ == '__main__':
    run_as_program(run)
