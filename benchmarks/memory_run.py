"""Presses on the memory of daemons beside stops, freezes and silent links.

A watch does what the platform does: it kills a daemon above its memory limit.
Steady callers send ordinary requests meanwhile, and each must end by the rules.
"""

import shutil
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Final, final

import defopt
import gevent

from benchmarks.figures import Figures, run_as_program
from benchmarks.memory_load import (
    WATCH_SECONDS,
    MemoryWatch,
    Pressure,
    PressureLoad,
    build_upload,
)
from benchmarks.mixed_load import MixedLoad, RequestKind
from benchmarks.paced_uploads import WRITE_FAILED, PacedUploads
from benchmarks.request_figures import (
    RETRYABLE_STATUSES,
    count_statuses,
    measure_refusals,
)
from benchmarks.run_record import DEADLINE_SECONDS, RunRecord, SentRequest
from benchmarks.stop_run import (
    ROUTE_TIMEOUT_MS,
    Stop,
    StopActions,
    Violation,
    check,
    start_site,
)
from standins.platform_site import (
    MEMORY_MB,
    SMALL_SHAPE,
    Machine,
    PlatformSite,
    send_consumer_request,
)

SLOTS: Final = 8
MAX_FREEZE_SECONDS: Final = 2.5
STABLE_SECONDS: Final = 3.0
RELEASE_SECONDS: Final = 4.0
LAST_UPLOAD_BYTES: Final = 1_700_000
# Small requests, which the seeds without names have never played.
_NAMED_ONLY: Final = frozenset(('small', 'crowd', 'freeze-third'))
# The order decides what a seed plays.
_FORMS_BESIDE: Final = tuple(
    'burst unread late queue answers small crowd'.split()
)
_UNKNOWN_STATUSES: Final = frozenset((502, 504))
_UPLOAD: Final = RequestKind(
    name='moved',
    service='buys',
    per_second=4,
    work_ms=50,
    max_work_ms=400,
    deadline_seconds=DEADLINE_SECONDS,
    timeout_ms=ROUTE_TIMEOUT_MS,
    is_repeatable=False,
    body_bytes=280_000,
    max_body_bytes=600_000,
)
_BUY: Final = replace(
    _UPLOAD, name='buys', per_second=30, body_bytes=4000, max_body_bytes=24_000
)
_READ: Final = replace(
    _BUY,
    name='reads',
    service='reads',
    per_second=60,
    is_repeatable=True,
    body_bytes=0,
    calls=('buys',),
    is_pipelined=True,
)
KINDS: Final = (_UPLOAD, _BUY, _READ)


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(
    *,
    seed: int = 1,
    seconds: float = 15,
    memory_mb: int = MEMORY_MB,
    loads: tuple[str, ...] = (),
) -> Figures:
    """Press on the memory of daemons and list every violation.

    :param seed: seed of the pressure, the actions and the load
    :param seconds: duration of the phase with pressure
    :param memory_mb: memory limit of each daemon
    :param loads: names of the forms of pressure and of the actions beside
        them; by default all but small, crowd and freeze-third, which play
        small requests
    """
    directory = Path(tempfile.mkdtemp(prefix='briartack-memory-'))
    shape = replace(
        SMALL_SHAPE, slots=SLOTS, memory_mb=memory_mb, has_links=True
    )
    site = PlatformSite(directory=directory, shape=shape)
    steady = MixedLoad(
        kinds=KINDS,
        share=1,
        shortest_timeout_share=1,
        slow_upload_share=0,
        random=Random(f'load {seed}'),
    )
    record = RunRecord(make_calls=steady.make_calls)
    watch = MemoryWatch(machines=site.machines, memory_mb=memory_mb)
    actions = _PressureActions(
        site=site, random=Random(f'actions {seed}'), watch=watch, names=loads
    )
    try:
        start_site(site, record)
        released_mb = _press(steady, site.machines, actions, seconds)
        refused = _find_kept_room(site)
    finally:
        site.stop()
    sent = [*steady.requests, *actions.pressure.requests]
    violations = [
        *actions.violations,
        *watch.kills,
        *refused,
        *actions.find_violations(sent, record),
    ]
    if not violations:
        shutil.rmtree(directory)
    return {
        'benchmark': 'memory_run',
        'seed': seed,
        'met': not violations,
        'violations': violations,
        'loads': actions.counts,
        'peak_mb': watch.peaks,
        'released_mb': released_mb,
        'unread_mb': watch.unread,
        'descriptors': watch.descriptors,
        'stops': len(actions.stops),
        'statuses': count_statuses(steady.requests),
        'pressure_statuses': count_statuses(actions.pressure.requests),
        'refusal_seconds': measure_refusals(sent),
        'longest_lag': steady.longest_lag,
        'output': str(directory),
    }


def _press(
    steady: MixedLoad,
    machines: list[Machine],
    actions: '_PressureActions',
    seconds: float,
) -> dict[str, float]:
    """Play the pressure; return the resident memory some seconds later."""
    actions.watch.start()
    steady.start(machines)
    actions.play(seconds)
    steady.stop()
    gevent.sleep(RELEASE_SECONDS)
    actions.close()
    return actions.watch.read_all_mb()


@final
class _PressureActions(StopActions):
    """Play forms of pressure that overlap, and troubles beside them."""

    def __init__(
        self,
        *,
        site: PlatformSite,
        random: Random,
        watch: MemoryWatch,
        names: tuple[str, ...],
    ) -> None:
        super().__init__(site=site, random=random)
        self.counts: Counter[str] = Counter()
        self.pressure: Final = PressureLoad()
        paced = PacedUploads(requests=self.pressure.requests)
        self._forms = {**self.pressure.forms, **paced.forms}
        self.watch: Final = watch
        self._names = names
        # Spans of time in which a machine or a link was out of touch.
        self._frozen: list[Stop] = []
        self._silenced_at: list[float] = []
        self._reviving: gevent.Greenlet | None = None

    @property
    def choices(self) -> tuple[Callable[[Random], None], ...]:
        """Return the forms of pressure and the troubles to choose from."""
        beside = {
            'freeze': self._freeze,
            'silence': self._silence,
            'stop': self._stop_one,
            'reload': self._reload_one,
            'freeze-third': self._freeze_third,
        }
        forms = self._forms
        chosen: list[Callable[[Random], None]] = [
            partial(self._press, name) for name in forms if self._plays(name)
        ]
        chosen += [
            partial(self._play_beside, name, trouble)
            for name, trouble in beside.items()
            if self._plays(name)
        ]
        return tuple(chosen)

    def play(self, seconds: float) -> None:
        """Play for a time, and start daemons again that were ended."""
        self._reviving = gevent.spawn(self._revive)
        super().play(seconds)

    def close(self) -> None:
        """Wait until all daemons run, and let them end from now on."""
        while self._stopping or not all(
            one.daemon.is_running for one in self._site.machines
        ):
            gevent.sleep(WATCH_SECONDS)
        if self._reviving is not None:
            self._reviving.kill()
        self.watch.stop()

    def find_violations(
        self, sent: list[SentRequest], record: RunRecord
    ) -> list[Violation]:
        """Check all requests but those that met an unplanned trouble."""
        judged = [one for one in sent if not self._was_frozen(one)]
        failed = {
            one.attempt
            for one in judged
            if one.status in _UNKNOWN_STATUSES and self._was_silenced(one)
        }
        found = [
            violation
            for violation in check(judged, record, self.stops)
            if violation['id'] not in failed
        ]
        found += [
            {'rule': 'a refusal without Retry-After', 'id': one.attempt}
            for one in judged
            if one.status in RETRYABLE_STATUSES
            and b'\r\nretry-after:' not in one.head.lower()
        ]
        found += [
            {'rule': f'LOST: {one.problem}', 'id': one.attempt}
            for one in judged
            if one.problem.startswith(WRITE_FAILED)
            and not self._was_stopped(one)
        ]
        return found

    def _plays(self, name: str) -> bool:
        """Return whether a form of pressure or a trouble is played."""
        if self._names:
            return name in self._names
        return name not in _NAMED_ONLY

    def _press(self, name: str, random: Random) -> None:
        self._play(name, self._forms[name], random)

    def _play(self, name: str, pressure: Pressure, random: Random) -> None:
        machine = random.choice(self._site.machines)
        self.counts[name] += 1
        self.watch.played[name] += 1
        pressure(machine, random)
        self.watch.played[name] -= 1

    def _play_beside(
        self, name: str, trouble: Pressure, random: Random
    ) -> None:
        """Play a trouble with one machine while others are under pressure."""
        free = self._list_running()
        if len(free) <= 2:
            return
        machine = random.choice(free)
        self._stopping.add(machine.ip)
        forms = [name for name in _FORMS_BESIDE if self._plays(name)]
        pressing = [
            gevent.spawn(
                self._press, random.choice(forms), Random(random.random())
            )
            for _ in range(2)
        ]
        gevent.sleep(random.uniform(0, 1))
        self._play(name, lambda _, one: trouble(machine, one), random)
        gevent.joinall(pressing, raise_error=True)

    def _freeze(self, machine: Machine, random: Random) -> None:
        began_at = time.monotonic()
        machine.daemon.send_signal(signal.SIGSTOP)
        gevent.sleep(random.uniform(0.3, MAX_FREEZE_SECONDS))
        machine.daemon.send_signal(signal.SIGCONT)
        until = time.monotonic() + STABLE_SECONDS
        self._frozen.append((machine.ip, began_at, until))
        self._stopping.discard(machine.ip)

    def _freeze_third(self, machine: Machine, random: Random) -> None:
        free = self._list_running()
        count = min(len(self._site.machines) // 3, len(free) - 1)
        others = random.sample(free, max(0, count - 1))
        self._stopping |= {one.ip for one in others}
        gevent.joinall(
            [
                gevent.spawn(self._freeze, one, Random(random.random()))
                for one in (machine, *others)
            ],
            raise_error=True,
        )

    def _silence(self, machine: Machine, random: Random) -> None:
        self._stopping.discard(machine.ip)
        for _ in range(random.choice((1, 2))):
            if machine.link is not None:
                machine.link.silence_links()
            self._silenced_at.append(time.monotonic())
            gevent.sleep(random.uniform(0.5, STABLE_SECONDS))

    def _stop_one(self, machine: Machine, random: Random) -> None:
        self._end(machine, random)
        self._start_again(machine)

    def _reload_one(self, machine: Machine, random: Random) -> None:
        self._stopping.discard(machine.ip)
        self._reload(random)

    def _revive(self) -> None:
        while True:
            for machine in self._list_running():
                if machine.daemon.is_running:
                    continue
                self._stopping.add(machine.ip)
                self._report_end(machine)
                self._start_again(machine)
            gevent.sleep(WATCH_SECONDS)

    def _report_end(self, machine: Machine) -> None:
        code = machine.daemon.wait(0)
        if code != -signal.SIGKILL:
            self.violations.append(
                {
                    'rule': 'FAULT: a daemon ended by itself',
                    'machine': machine.ip,
                    'code': code,
                    'errors': machine.daemon.read_error_tail(),
                }
            )

    def _was_frozen(self, sent: SentRequest) -> bool:
        return any(
            ip == sent.machine
            and sent.started_at <= until
            and since <= sent.ended_at
            for ip, since, until in self._frozen
        )

    def _was_stopped(self, sent: SentRequest) -> bool:
        return any(
            ip == sent.machine
            and sent.started_at <= ended
            and began <= sent.ended_at
            for ip, began, ended in self.stops
        )

    def _was_silenced(self, sent: SentRequest) -> bool:
        spans = [(since, until) for _, since, until in self._frozen]
        spans += [(at, at + STABLE_SECONDS) for at in self._silenced_at]
        return any(
            sent.started_at <= until and since <= sent.ended_at
            for since, until in spans
        )


def _find_kept_room(site: PlatformSite) -> list[Violation]:
    """Find daemons that refuse an ordinary upload after the pressure."""
    path = '/moved/x?ms=1&bytes=9&answer='
    body = build_upload(LAST_UPLOAD_BYTES, 0)
    return [
        {
            'rule': 'an upload is refused after the pressure',
            'machine': machine.ip,
            'status': answer.status,
            'answer': repr(answer.body[:200]),
        }
        for machine in site.machines
        if (answer := send_consumer_request(machine, path, body)).status != 200
    ]


if __name__ == '__main__':
    run_as_program(run)
