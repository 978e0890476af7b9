"""Plays trouble with the connections of upstreams beside stops of daemons.

Upstreams close idle connections, reset those above a limit, break off answers,
leave in a planned way and are replaced at their address.
"""

import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Final, final

import defopt
import gevent

from benchmarks.connection_load import ConnectionLoad
from benchmarks.figures import Figures, run_as_program
from benchmarks.run_record import Run, RunRecord, SentRequest
from benchmarks.stop_run import (
    StopActions,
    check,
    play_under_load,
    start_site,
)
from standins.http_server import (
    Application,
    BrokenResponse,
    ConnectionLimits,
    Request,
    Response,
)
from standins.platform_site import SLOTS, Machine, PlatformSite
from standins.platform_worker import HEALTH_PATH

DRAIN_SECONDS: Final = 2.0
BROKEN_SHARE: Final = 0.05
# Connections of requests and of probes, and a few that are being closed.
MAX_CONNECTIONS: Final = SLOTS + 4
IDLE_SECONDS: Final = (0.2, 0.5, 1.0, 2.0)
_LEAVING_SHARE: Final = 0.5  # those that say so before they leave
_BROKEN_ANSWERS: Final = (
    BrokenResponse(sent=b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n'),
    BrokenResponse(sent=b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc'),
    BrokenResponse(sent=b'SMTP ready\r\n\r\n'),
    BrokenResponse(is_reset=True),
)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Options:
    """Hold the options of a run, as `measure` describes them."""

    seed: int
    seconds: float
    connections: int
    moves: bool
    idle_seconds: float


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    seed: int = 1,
    seconds: float = 15,
    connections: int = 24,
    broken_share: float = BROKEN_SHARE,
    moves: bool = True,
    idle_seconds: float = 0,
) -> Figures:
    """Play trouble of upstreams beside stops and list every violation.

    :param seed: seed of the actions and the load
    :param seconds: duration of the phase with actions
    :param connections: callers, with one connection each at a time
    :param broken_share: share of the answers that an upstream breaks off
    :param moves: whether upstreams leave and are replaced
    :param idle_seconds: idle time of connections to upstreams, 0 for one that
        is drawn for each
    """
    directory = Path(tempfile.mkdtemp(prefix='briartack-upstreams-'))
    options = _Options(
        seed=seed,
        seconds=seconds,
        connections=connections,
        moves=moves,
        idle_seconds=idle_seconds,
    )
    site = PlatformSite(directory=directory)
    record = RunRecord()
    faults = _AnswerFaults(
        record=record, random=Random(f'answers {seed}'), share=broken_share
    )
    try:
        load, actions = _play(site, record, faults, options)
    finally:
        site.stop()
    violations = [
        *actions.violations,
        *(
            found
            for found in check(load.requests, record, actions.stops)
            if not _is_excused(found, record)
        ),
        *_find_late_runs(record, actions.departures),
    ]
    failed = _list_failed(load.requests, record)
    if not violations and not failed:
        shutil.rmtree(directory)
    return {
        'benchmark': 'upstream_run',
        'seed': seed,
        'met': not violations,
        'violations': violations,
        'stops': len(actions.stops),
        'departures': len(actions.departures),
        'replacements': actions.replacements,
        'requests': len(load.requests),
        'statuses': Counter(str(sent.status) for sent in load.requests),
        'unexplained': failed,
        'output': str(directory),
    }


def _play(
    site: PlatformSite,
    record: RunRecord,
    faults: '_AnswerFaults',
    options: _Options,
) -> tuple[ConnectionLoad, '_UpstreamActions']:
    seed = options.seed
    start_site(site, record, faults.wrap)
    _limit_connections(
        site.machines, Random(f'limits {seed}'), options.idle_seconds
    )
    load = ConnectionLoad(machines=site.machines, random=Random(f'load {seed}'))
    actions = _UpstreamActions(
        site=site, random=Random(f'actions {seed}'), moves=options.moves
    )
    play_under_load(load, actions, options.connections, options.seconds)
    return load, actions


def _limit_connections(
    machines: list[Machine], random: Random, idle_seconds: float
) -> None:
    for machine in machines:
        limits = ConnectionLimits(
            idle_seconds=idle_seconds or random.choice(IDLE_SECONDS),
            max_connections=MAX_CONNECTIONS,
        )
        machine.worker.server.limit_connections(limits)


@final
class _AnswerFaults:
    """Break off a share of the answers of upstreams."""

    __slots__ = ('_record', '_random', '_share')

    def __init__(
        self, *, record: RunRecord, random: Random, share: float
    ) -> None:
        self._record = record
        self._random = random
        self._share = share

    def wrap(self, application: Application) -> Application:
        """Return an application that breaks off answers of another one."""
        return partial(self._answer, application)

    def _answer(
        self, application: Application, request: Request
    ) -> Response | BrokenResponse:
        response = application(request)
        is_broken = self._random.random() < self._share
        if request.path == HEALTH_PATH or not is_broken:
            return response
        attempt = request.header('X-Attempt-Id')
        for one in self._record.runs.get(attempt, []):
            one.is_broken = True
        return self._random.choice(_BROKEN_ANSWERS)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Departure:
    """Hold the planned end of an upstream; times are monotonic seconds."""

    machine: str
    acknowledged_at: float
    ended_at: float


@final
class _UpstreamActions(StopActions):
    """Add planned ends and replacements of upstreams to the stops."""

    def __init__(
        self, *, site: PlatformSite, random: Random, moves: bool
    ) -> None:
        super().__init__(site=site, random=random)
        self.departures: list[_Departure] = []
        self.replacements = 0
        self._moves = moves
        self._next_number = len(site.machines) + 1

    @property
    def choices(self) -> tuple[Callable[[Random], None], ...]:
        """Return the actions to choose from."""
        if not self._moves:
            return super().choices
        return (*super().choices, self._leave, self._leave, self._replace)

    def _leave(self, random: Random) -> None:
        """End an upstream in a planned way, and then its daemon."""
        machine = self._take(random)
        if machine is None:
            return
        worker = machine.worker
        if random.random() < _LEAVING_SHARE:
            worker.is_draining = True
            self._site.register_worker(machine, state='draining', sequence=2)
        else:
            self._site.store.delete(f'servers/{worker.identity}')
        acknowledged_at = time.monotonic()
        gevent.sleep(DRAIN_SECONDS + random.uniform(0.05, 1.5))
        worker.server.stop()
        self.departures.append(
            _Departure(
                machine=machine.ip,
                acknowledged_at=acknowledged_at,
                ended_at=time.monotonic(),
            )
        )
        self._site.store.delete(f'servers/{worker.identity}')
        gevent.sleep(random.choice((0, 0, 0.3)))
        self._end(machine, random)
        self._start_worker(machine)
        self._start_again(machine)

    def _replace(self, random: Random) -> None:
        """Start another upstream at the address of one that ends at once."""
        machine = self._take(random)
        if machine is None:
            return
        self.replacements += 1
        machine.worker.server.stop()
        gevent.sleep(random.choice((0, 0, 0.3)))
        former = machine.worker.identity
        self._start_worker(machine)
        gevent.sleep(random.choice((0, 0.5)))
        self._site.store.delete(f'servers/{former}')
        self._stopping.discard(machine.ip)

    def _take(self, random: Random) -> Machine | None:
        free = self._list_running()
        if len(free) <= 2:
            return None
        machine = random.choice(free)
        self._stopping.add(machine.ip)
        return machine

    def _start_worker(self, machine: Machine) -> None:
        machine.worker.restart(f'i-{self._next_number}')
        self._next_number += 1
        machine.worker.server.start()
        self._site.register_worker(machine)


def _is_excused(violation: dict[str, object], record: RunRecord) -> bool:
    """Return whether the upstream itself broke off the request."""
    runs = record.runs.get(str(violation['id']), [])
    is_broken = any(one.is_broken or not one.ended_at for one in runs)
    return is_broken and str(violation['rule']).startswith('LOST')


def _find_late_runs(
    record: RunRecord, departures: list[_Departure]
) -> list[dict[str, object]]:
    return [
        {
            'rule': 'DRAIN: a request reached an upstream that had left',
            'id': attempt,
            'machine': one.machine,
        }
        for attempt, runs in record.runs.items()
        for one in runs
        if any(_is_late(one, left) for left in departures)
    ]


def _is_late(one: Run, left: _Departure) -> bool:
    leaves_at = left.acknowledged_at + DRAIN_SECONDS
    is_between = leaves_at < one.started_at < left.ended_at
    return one.machine == left.machine and is_between


def _list_failed(requests: list[SentRequest], record: RunRecord) -> list[str]:
    """List the failures in time that no upstream accounts for."""
    found = []
    for sent in requests:
        runs = record.runs.get(sent.attempt, [])
        is_late = sent.ended_at - sent.started_at >= sent.deadline_seconds
        is_broken = any(one.is_broken or not one.ended_at for one in runs)
        if sent.status not in {502, 504} or is_late or is_broken:
            continue
        found.append(
            f'{sent.attempt}: {sent.status} {sent.kind} {sent.form}'
            f' at {sent.machine}, {len(runs)} runs'
        )
    return found


if __name__ == '__main__':
    run_as_program(run)
