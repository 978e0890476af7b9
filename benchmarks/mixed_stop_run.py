"""Stop, replace, reconfigure and freeze daemons of a site of 18 machines.

The load has the kinds of requests, the rates and the calls of runs of one of
the platform's deployments. Judged as by `stop_run`.
"""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Final, final

import defopt
import gevent

from benchmarks.figures import Figures, run_as_program
from benchmarks.mixed_load import MixedLoad, RequestKind
from benchmarks.run_record import RunRecord, SentRequest
from benchmarks.stop_run import (
    GRACE_SECONDS,
    Stop,
    Violation,
    check,
    list_failed,
    wait_until_ready,
)
from standins.platform_site import (
    Machine,
    PlatformSite,
    SiteShape,
    build_configuration,
    build_route,
)

SHAPE: Final = SiteShape(
    regions_by_zone={
        'costa-1': 'costa',
        'sierra-1': 'sierra',
        'insular-1': 'insular',
        'costa-2': 'costa',
        'sierra-2': 'sierra',
        'insular-2': 'insular',
    },
    services=('saldo', 'compras', 'bitacora'),
    slots=18,
    max_connections=130,
)
KINDS: Final = (
    RequestKind(
        name='read-balance',
        service='saldo',
        per_second=225,
        work_ms=160,
        max_work_ms=1200,
        deadline_seconds=1.2,
        timeout_ms=1200,
        calls=('read-tariff', 'read-coverage'),
    ),
    RequestKind(
        name='buy-bundle',
        service='compras',
        per_second=92,
        work_ms=210,
        max_work_ms=1200,
        deadline_seconds=1.5,
        timeout_ms=1500,
        is_repeatable=False,
        body_bytes=4000,
        max_body_bytes=24_000,
    ),
    RequestKind(
        name='upload-log',
        service='bitacora',
        per_second=35.3,
        work_ms=190,
        max_work_ms=1200,
        deadline_seconds=1.5,
        timeout_ms=1500,
        is_repeatable=False,
        body_bytes=100_000,
        max_body_bytes=360_000,
    ),
    RequestKind(
        name='list-usage',
        service='bitacora',
        per_second=51.1,
        work_ms=640,
        max_work_ms=2900,
        deadline_seconds=5,
        timeout_ms=3000,
        is_pipelined=True,
    ),
    *(
        RequestKind(
            name=name,
            service=service,
            per_second=0,
            work_ms=40,
            max_work_ms=240,
            deadline_seconds=0.5,
            timeout_ms=500,
        )
        for name, service in (
            ('read-tariff', 'compras'),
            ('read-coverage', 'bitacora'),
        )
    ),
)
SHORTEST_TIMEOUT_SHARE: Final = 0.9
WARM_SECONDS: Final = 5.0
STORM_SECONDS: Final = 2.0
LEAVE_SECONDS: Final = 2.5  # from the mark in the store to the worker's end
STABLE_SECONDS: Final = 3.0
MAX_FREEZE_SECONDS: Final = 3.0
_BUSY_PROGRAM: Final = 'while True: pass'


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    seed: int = 1,
    seconds: float = 30,
    share: float = 0.25,
    actions: tuple[str, ...] = ('roll', 'pair', 'busy', 'replace', 'storm'),
    busy_processes: int = 0,
    slow_upload_share: float = 0,
    is_output_stalled: bool = False,
) -> Figures:
    """Play disruptions under the load of a site and list every violation.

    :param seed: seed of the disruptions and the load
    :param seconds: duration of the phase with disruptions
    :param share: share of the rates of the site
    :param actions: `roll`, `pair`, `busy`, `replace`, `storm`, `freeze` and
        `freeze_beside_stop`
    :param busy_processes: processes beside that use all of a processor
    :param slow_upload_share: share of bodies that arrive in ten pieces
    :param is_output_stalled: nobody reads the output of the daemons
    """
    directory = Path(tempfile.mkdtemp(prefix='briartack-mixed-'))
    site = PlatformSite(directory=directory, shape=SHAPE)
    load = MixedLoad(
        kinds=KINDS,
        share=share,
        shortest_timeout_share=SHORTEST_TIMEOUT_SHARE,
        slow_upload_share=slow_upload_share,
        random=Random(f'load {seed}'),
    )
    record = RunRecord(make_calls=load.make_calls)
    played = _Disruptions(site, load, Random(f'actions {seed}'))
    with ExitStack() as stack:
        stack.callback(site.stop)
        if is_output_stalled:
            _stall_outputs(directory, stack)
        for _ in range(busy_processes):
            _start_busy_process(stack)
        _start(site, record, played)
        load.start(site.machines)
        gevent.sleep(WARM_SECONDS)
        played.play(actions, seconds)
        load.stop()
    judged = [one for one in load.requests if not played.was_frozen(one)]
    violations = [*played.violations, *check(judged, record, played.stops)]
    unexplained = _name_causes(list_failed(judged), directory)
    if not violations and not unexplained:
        shutil.rmtree(directory)
    return {
        'benchmark': 'mixed_stop_run',
        'seed': seed,
        'met': not violations,
        'violations': violations,
        'stops': len(played.stops),
        'longest_stop': played.longest_stop,
        'requests': len(load.requests),
        'excused': len(load.requests) - len(judged),
        'statuses': Counter(f'{sent.kind} {sent.status}' for sent in judged),
        'unexplained': unexplained,
        'longest_lag': load.longest_lag,
        'output': str(directory),
    }


def _start(
    site: PlatformSite, record: RunRecord, played: '_Disruptions'
) -> None:
    site.start()
    played.publish()
    for machine in site.machines:
        record.attach(machine)
        wait_until_ready(machine)
    gevent.sleep(STABLE_SECONDS)


def _start_busy_process(stack: ExitStack) -> None:
    process = subprocess.Popen([sys.executable, '-c', _BUSY_PROGRAM])
    stack.callback(process.wait)
    stack.callback(process.kill)


def _stall_outputs(directory: Path, stack: ExitStack) -> None:
    """Replace the output files of all daemons by pipes that nobody reads."""
    count = len(SHAPE.regions_by_zone) * len(SHAPE.services)
    for number in range(1, count + 1):
        path = directory / f'127.0.1.{number}.out'
        os.mkfifo(path)
        # A pipe without a reader can't be opened for writing.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        stack.callback(os.close, descriptor)


def _name_causes(failed: list[str], directory: Path) -> Counter[str]:
    """Count failed requests by their status and the reason in the logs."""
    lines = [
        line
        for path in directory.glob('*.out')
        if path.is_file()
        for line in path.read_text('utf-8', 'replace').splitlines()
        if '"call-ended"' in line or 'call-refused' in line
    ]
    causes: Counter[str] = Counter()
    for text in failed:
        attempt, _, status = text.partition(': ')
        reason = next((line for line in lines if attempt in line), '')
        causes[f'{status} {_find_field(reason, "reason")}'] += 1
    return causes


def _find_field(line: str, name: str) -> str:
    return line.partition(f'"{name}":"')[2].partition('"')[0]


@final
class _Disruptions:
    """Play disruptions, one after another and overlapping."""

    def __init__(
        self,
        site: PlatformSite,
        load: MixedLoad,
        random: Random,
    ) -> None:
        self.stops: list[Stop] = []
        self.violations: list[Violation] = []
        self._site = site
        self._load = load
        self._random = random
        self._version = 1
        self._stopping: set[str] = set()
        # Spans of time in which a machine is out of touch.
        self._frozen: list[Stop] = []
        self._replaced = 0

    @property
    def longest_stop(self) -> float:
        """Return the seconds of the longest stop."""
        return max((ended - began for _, began, ended in self.stops), default=0)

    def play(self, names: tuple[str, ...], seconds: float) -> None:
        """Play disruptions for a time and wait until all daemons run again."""
        until = time.monotonic() + seconds
        running: list[gevent.Greenlet] = []
        while time.monotonic() < until:
            gevent.sleep(self._random.uniform(0.3, 1.5))
            action: Callable[[], None] = getattr(
                self, f'_{self._random.choice(names)}'
            )
            running.append(gevent.spawn(action))
        gevent.joinall(running, raise_error=True)

    def was_frozen(self, sent: SentRequest) -> bool:
        """Return whether the machine of a request was out of touch."""
        return any(
            ip == sent.machine
            and sent.started_at <= until
            and since <= sent.ended_at
            for ip, since, until in self._frozen
        )

    def publish(self) -> None:
        """Write a version with other timeouts, weights and limits."""
        self._version += self._random.randint(1, 3)
        stretch = self._random.uniform(SHORTEST_TIMEOUT_SHARE, 1.2)
        routes = [
            build_route(
                kind.name,
                f'/{kind.name}/',
                kind.service,
                kind='idempotent' if kind.is_repeatable else 'non_idempotent',
                timeout_ms=int(kind.timeout_ms * stretch),
                target_latency_ms=int(kind.work_ms * 3),
                **self._draw_split(kind),
            )
            for kind in KINDS
        ]
        self._site.store.put(
            'op/config',
            build_configuration(*routes, version=self._version, shape=SHAPE),
        )

    def _draw_split(self, kind: RequestKind) -> dict[str, object]:
        if not kind.is_pipelined or self._random.randrange(2):
            return {}
        weight = self._random.randint(1, 9)
        parts = (('bitacora', weight), ('saldo', 1))
        return {
            'split': [
                {'service': service, 'weight': part} for service, part in parts
            ]
        }

    def _roll(self) -> None:
        self._stop(self._choose())

    def _pair(self) -> None:
        first = self._choose()
        second = self._choose()
        later = gevent.spawn_later(
            self._random.uniform(0, GRACE_SECONDS - 1), self._stop, second
        )
        self._stop(first)
        later.get()

    def _busy(self) -> None:
        machine = self._choose(by_load=True)
        self._stop(machine)

    def _storm(self) -> None:
        until = time.monotonic() + STORM_SECONDS
        while time.monotonic() < until:
            self.publish()
            gevent.sleep(self._random.choice((0.06, 0.2)))

    def _replace(self) -> None:
        """Let a worker leave and end, stop its daemon and start both anew."""
        machine = self._choose()
        if machine is None:
            return
        worker = machine.worker
        worker.is_draining = True
        self._site.register_worker(machine, state='draining', sequence=2)
        gevent.sleep(LEAVE_SECONDS)
        self._site.store.delete(f'servers/{worker.identity}')
        self._end(machine)
        worker.server.stop()
        self._replaced += 1
        worker.restart(f'{machine.ip}-{self._replaced}')
        worker.server.start()
        self._site.register_worker(machine)
        self._start(machine)

    def _freeze(self) -> None:
        machine = self._choose()
        if machine is not None:
            self._pause(machine)
            self._stopping.discard(machine.ip)

    def _freeze_beside_stop(self) -> None:
        stopped = self._choose()
        frozen = self._choose() if self._random.randrange(2) else stopped
        beside = gevent.spawn_later(
            self._random.uniform(0, 2), self._pause, frozen
        )
        self._stop(stopped)
        beside.get()
        if frozen is not None and frozen is not stopped:
            self._stopping.discard(frozen.ip)

    def _pause(self, machine: Machine | None) -> None:
        if machine is None:
            return
        began_at = time.monotonic()
        machine.daemon.send_signal(signal.SIGSTOP)
        gevent.sleep(self._random.uniform(0.3, MAX_FREEZE_SECONDS))
        machine.daemon.send_signal(signal.SIGCONT)
        self._frozen.append(
            (machine.ip, began_at, time.monotonic() + STABLE_SECONDS)
        )

    def _choose(self, *, by_load: bool = False) -> Machine | None:
        free = [
            one for one in self._site.machines if one.ip not in self._stopping
        ]
        if len(free) <= len(self._site.machines) // 2:
            return None
        chosen = self._random.choice(free)
        if by_load:
            chosen = max(free, key=self._load.count_open)
        self._stopping.add(chosen.ip)
        return chosen

    def _stop(self, machine: Machine | None) -> None:
        if machine is not None:
            self._end(machine)
            self._start(machine)

    def _end(self, machine: Machine) -> None:
        began_at = time.monotonic()
        machine.daemon.send_signal(signal.SIGTERM)
        code = machine.daemon.wait(GRACE_SECONDS)
        self.stops.append((machine.ip, began_at, time.monotonic()))
        if code != 0:
            # A process that was frozen has less time for its stop.
            self.violations.append(
                {
                    'rule': 'a planned stop did not end with 0 in time',
                    'machine': machine.ip,
                    'code': code,
                    'was_frozen': any(
                        ip == machine.ip and until > began_at
                        for ip, _, until in self._frozen
                    ),
                }
            )
            machine.daemon.kill()

    def _start(self, machine: Machine) -> None:
        machine.daemon.start()
        wait_until_ready(machine)
        self._stopping.discard(machine.ip)


if __name__ == '__main__':
    run_as_program(run)
