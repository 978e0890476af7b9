"""Lets planned faults happen in a deployment, and ends them."""

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final, final

import gevent
import msgspec

from benchmarks.fault_schedule import Fault
from standins.deployment import Deployment

STOP_SECONDS: Final = 20.0
OUT_SECONDS: Final = 4.0
FAULTY_ANSWERS: Final = 5
LATE_SECONDS: Final = 3.0
STALE_REVISIONS: Final = 3
TEAM: Final = 'teams/generated'
OWNER: Final = 'teams/owner'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Hold when something lasted, in wall-clock seconds."""

    fault: Fault
    begun: float
    ended: float


@final
class FaultActions:
    """Carry out faults and note what is wrong already while they last."""

    __slots__ = (
        'windows',
        'violations',
        'stop_codes',
        '_deployment',
        '_random',
        '_store_ended',
        '_generation',
    )

    def __init__(self, *, deployment: Deployment, random: Random) -> None:
        self.windows: list[Window] = []
        self.violations: list[dict[str, object]] = []
        self.stop_codes: list[tuple[str, int | None]] = []
        self._deployment = deployment
        self._random = random
        # Edits reach the daemons after the store's outages only.
        self._store_ended: float = 0
        self._generation = 0

    def carry_out(self, faults: list[Fault]) -> None:
        """Let all faults happen at their times and wait for their ends."""
        started = time.monotonic()
        running = [gevent.spawn(self._one, fault, started) for fault in faults]
        gevent.joinall(running, raise_error=True)

    def stop_all(self, names: list[str]) -> None:
        """Stop daemons as planned and note their exit codes."""
        for name in names:
            self._deployment.child(name).send(signal.SIGTERM)
        for waited in names:
            code = self._deployment.child(waited).wait(STOP_SECONDS)
            self.stop_codes.append((waited, code))

    def _one(self, fault: Fault, started: float) -> None:
        gevent.sleep(max(0, started + fault.at - time.monotonic()))
        begun = time.time()
        actions: dict[str, Callable[[Fault], None]] = {
            'daemon': self._daemon,
            'upstream': self._upstream,
            'store': self._store,
            'edit': self._edit,
            'data_centre': self._data_centre,
        }
        actions[fault.group](fault)
        self.windows.append(
            Window(fault=fault, begun=begun, ended=time.time()),
        )

    def _daemon(self, fault: Fault) -> None:
        child = self._deployment.child(fault.target)
        if fault.kind == 'freeze':
            child.send(signal.SIGSTOP)
            gevent.sleep(fault.seconds)
            child.send(signal.SIGCONT)
            return
        if fault.kind == 'kill':
            child.end()
        else:
            self.stop_all([fault.target])
        gevent.sleep(fault.seconds)
        child.start()

    def _upstream(self, fault: Fault) -> None:
        control = self._deployment.control_upstream
        if fault.kind == 'cold':
            control(fault.target, 'cold')
        elif fault.kind == 'down':
            control(fault.target, 'down', seconds=fault.seconds)
        else:
            control(
                fault.target,
                'fault',
                kind=fault.kind,
                count=FAULTY_ANSWERS,
            )
        gevent.sleep(fault.seconds)
        if fault.kind not in {'cold', 'down'}:
            control(fault.target, 'clear-faults')

    def _store(self, fault: Fault) -> None:
        control = self._deployment.control_store
        self._store_ended = float('inf')
        if fault.kind in {'refuse', '503'}:
            control('outage', mode=fault.kind)
        elif fault.kind == 'stale':
            newest = int(control('stats')['revision'])
            control('stale', revision=newest - STALE_REVISIONS)
        elif fault.kind == 'cross':
            control('cross', count=FAULTY_ANSWERS)
        else:
            control('late', seconds=LATE_SECONDS)
        gevent.sleep(fault.seconds)
        control('outage', mode='')
        control('stale', revision=None)
        control('cross', count=0)
        control('late', seconds=0)
        self._store_ended = time.time()

    def _edit(self, fault: Fault) -> None:
        self._generation += 1
        put = self._deployment.put
        if fault.kind == 'remove':
            put(OWNER, owner_text(has_policy=False))
        elif fault.kind == 'put_back':
            put(OWNER, owner_text(has_policy=True))
        else:
            plan = self._deployment.site.plan
            team = msgspec.json.decode(plan.tree[TEAM])
            for service in team['services'].values():
                service['queue_length'] = 40 + self._generation
            if fault.kind == 'malformed':
                team['services']['svc-1']['slots'] = -1
                team['routes'][0]['policy'] = 7
            put(TEAM, msgspec.json.encode(team).decode())

    def _data_centre(self, fault: Fault) -> None:
        names = [
            name
            for name, wiring in self._deployment.site.wirings.items()
            if wiring.plan.data_centre == fault.target
        ]
        if fault.kind == 'restart_all':
            self.stop_all(names)
            for name in names:
                self._deployment.child(name).start()
            gevent.sleep(fault.seconds)
            return
        self._deployment.take_out_data_centre(fault.target)
        begun = time.time()
        gevent.sleep(fault.seconds)
        self._judge_out(fault, names, begun)
        self._deployment.bring_back(fault.target)

    def _judge_out(
        self,
        fault: Fault,
        names: list[str],
        begun: float,
    ) -> None:
        limit = max(begun, self._store_ended) + OUT_SECONDS
        for name in names:
            try:
                stats = self._deployment.control_upstream(name, 'stats')
            except ConnectionRefusedError:
                # An upstream that is down just now takes no work.
                continue
            late = float(stats['last_run_at']) - limit
            if late > 0:
                self.violations.append(
                    {
                        'rule': 'new work at a data centre that is out',
                        'instance': name,
                        'seconds_over': round(late, 3),
                        'fault': msgspec.to_builtins(fault),
                    },
                )


def owner_text(*, has_policy: bool) -> str:
    """Return the subtree that owns what the guest's route refers to."""
    policies = {'lent': {'timeout_ms': 2000}} if has_policy else {}
    return msgspec.json.encode({'policies': policies}).decode()


def guest_text() -> str:
    """Return a subtree whose route refers to another team's policy."""
    route = {
        'name': 'lent',
        'path_prefix': '/guest/',
        'service': 'generated/svc-1',
        'policy': 'owner/lent',
    }
    return msgspec.json.encode({'routes': [route]}).decode()
