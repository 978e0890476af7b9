"""Injects scheduled faults into a deployment and reverts them."""

import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Final, final

import gevent
import msgspec

from benchmarks.fault_schedule import Fault
from standins.deployment import Deployment
from standins.link_proxy import LinkProxy

STOP_TIMEOUT_SECONDS: Final = 20.0
MAX_SECONDS_UNTIL_NO_NEW_WORK: Final = 4.0
FAULTY_ANSWER_COUNT: Final = 5
STORE_DELAY_SECONDS: Final = 3.0
STALE_REVISION_COUNT: Final = 3
LOST_REVISION_COUNT: Final = 3
# What a restored store has lost is written again after this time.
REWRITE_SECONDS: Final = 1.0
TEAM_KEY: Final = 'teams/generated'
OWNER_KEY: Final = 'teams/owner'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class FaultWindow:
    """Hold the wall-clock start and end of a fault, in seconds."""

    fault: Fault
    began_at: float
    ended_at: float


@final
class FaultInjector:
    """Inject faults and record the violations seen while they last."""

    __slots__ = (
        'windows',
        'violations',
        'exit_codes',
        '_deployment',
        '_proxies',
        '_random',
        '_store_fault_ended_at',
        '_edit_count',
    )

    def __init__(
        self,
        *,
        deployment: Deployment,
        proxies: Mapping[str, LinkProxy],
        random: Random,
    ) -> None:
        self.windows: list[FaultWindow] = []
        self.violations: list[dict[str, object]] = []
        self.exit_codes: list[tuple[str, int | None]] = []
        self._deployment = deployment
        self._proxies = proxies
        self._random = random
        # Edits reach the daemons only after a store fault ends.
        self._store_fault_ended_at: float = 0
        self._edit_count = 0

    def inject_all(self, faults: list[Fault]) -> None:
        """Inject all faults at their scheduled times; wait until they end."""
        run_started_at = time.monotonic()
        greenlets = [
            gevent.spawn(self._inject, fault, run_started_at)
            for fault in faults
        ]
        gevent.joinall(greenlets, raise_error=True)

    def stop_all(self, names: list[str]) -> None:
        """Stop daemons by SIGTERM and record their exit codes."""
        for name in names:
            self._deployment.get_daemon_process(name).send_signal(
                signal.SIGTERM
            )
        for stopped in names:
            code = self._deployment.get_daemon_process(stopped).wait(
                STOP_TIMEOUT_SECONDS
            )
            self.exit_codes.append((stopped, code))

    def _inject(self, fault: Fault, run_started_at: float) -> None:
        gevent.sleep(max(0, run_started_at + fault.at - time.monotonic()))
        began_at = time.time()
        handlers: dict[str, Callable[[Fault], None]] = {
            'daemon': self._disrupt_daemon,
            'upstream': self._disrupt_upstream,
            'store': self._disrupt_store,
            'edit': self._edit_configuration,
            'data_centre': self._disrupt_data_centre,
            'link': self._disrupt_link,
        }
        handlers[fault.group](fault)
        self.windows.append(
            FaultWindow(fault=fault, began_at=began_at, ended_at=time.time()),
        )

    def _disrupt_daemon(self, fault: Fault) -> None:
        child = self._deployment.get_daemon_process(fault.target)
        if fault.kind == 'freeze':
            child.send_signal(signal.SIGSTOP)
            gevent.sleep(fault.seconds)
            child.send_signal(signal.SIGCONT)
            return
        if fault.kind == 'kill':
            child.kill()
        else:
            self.stop_all([fault.target])
        gevent.sleep(fault.seconds)
        child.start()

    def _disrupt_link(self, fault: Fault) -> None:
        proxy = self._proxies[fault.target]
        if fault.kind == 'silence':
            proxy.silence_links()
            return
        proxy.fault = fault.kind
        if fault.kind == 'cut':
            proxy.reset_links()
        gevent.sleep(fault.seconds)
        proxy.fault = ''

    def _disrupt_upstream(self, fault: Fault) -> None:
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
                count=FAULTY_ANSWER_COUNT,
            )
        gevent.sleep(fault.seconds)
        if fault.kind not in {'cold', 'down'}:
            control(fault.target, 'clear-faults')

    def _disrupt_store(self, fault: Fault) -> None:
        control = self._deployment.control_store
        self._store_fault_ended_at = float('inf')
        if fault.kind in {'refuse', '503'}:
            control('outage', mode=fault.kind)
        elif fault.kind == 'stale':
            newest = int(control('stats')['revision'])
            control('stale', revision=newest - STALE_REVISION_COUNT)
        elif fault.kind == 'restore':
            newest = int(control('stats')['revision'])
            control(
                'restore',
                revision=max(newest - LOST_REVISION_COUNT, 1),
                seconds=REWRITE_SECONDS,
            )
        elif fault.kind == 'cross':
            control('cross', count=FAULTY_ANSWER_COUNT)
        else:
            control('late', seconds=STORE_DELAY_SECONDS)
        gevent.sleep(fault.seconds)
        control('outage', mode='')
        control('stale', revision=None)
        control('cross', count=0)
        control('late', seconds=0)
        self._store_fault_ended_at = time.time()

    def _edit_configuration(self, fault: Fault) -> None:
        self._edit_count += 1
        put = self._deployment.put
        if fault.kind == 'remove':
            put(OWNER_KEY, encode_owner_subtree(has_policy=False))
        elif fault.kind == 'put_back':
            put(OWNER_KEY, encode_owner_subtree(has_policy=True))
        else:
            plan = self._deployment.site.plan
            team = msgspec.json.decode(plan.tree[TEAM_KEY])
            for service in team['services'].values():
                service['queue_length'] = 40 + self._edit_count
            if fault.kind == 'malformed':
                team['services']['svc-1']['slots'] = -1
                team['routes'][0]['policy'] = 7
            put(TEAM_KEY, msgspec.json.encode(team).decode())

    def _disrupt_data_centre(self, fault: Fault) -> None:
        names = [
            name
            for name, instance in self._deployment.site.instance_sites.items()
            if instance.plan.data_centre == fault.target
        ]
        if fault.kind == 'restart_all':
            self.stop_all(names)
            for name in names:
                self._deployment.get_daemon_process(name).start()
            gevent.sleep(fault.seconds)
            return
        self._deployment.take_out_data_centre(fault.target)
        began_at = time.time()
        gevent.sleep(fault.seconds)
        self._check_no_new_work(fault, names, began_at)
        self._deployment.bring_back_data_centre(fault.target)

    def _check_no_new_work(
        self,
        fault: Fault,
        names: list[str],
        began_at: float,
    ) -> None:
        deadline = (
            max(began_at, self._store_fault_ended_at)
            + MAX_SECONDS_UNTIL_NO_NEW_WORK
        )
        for name in names:
            try:
                stats = self._deployment.control_upstream(name, 'stats')
            except ConnectionRefusedError:
                # An upstream that is down accepts no work.
                continue
            overrun_seconds = float(stats['last_run_at']) - deadline
            if overrun_seconds > 0:
                self.violations.append(
                    {
                        'rule': 'new work in a data centre that was taken out',
                        'instance': name,
                        'seconds_over': round(overrun_seconds, 3),
                        'fault': msgspec.to_builtins(fault),
                    },
                )


def encode_owner_subtree(*, has_policy: bool) -> str:
    """Encode the subtree that owns the policy of the guest's route."""
    policies = {'lent': {'timeout_ms': 2000}} if has_policy else {}
    return msgspec.json.encode({'policies': policies}).decode()


def encode_guest_subtree() -> str:
    """Encode a subtree whose route refers to another team's policy."""
    route = {
        'name': 'lent',
        'path_prefix': '/guest/',
        'service': 'generated/svc-1',
        'policy': 'owner/lent',
    }
    return msgspec.json.encode({'routes': [route]}).decode()
