"""Case 6: a worker of another service gets the address of one that ended."""

import signal
import sys
from collections import Counter
from itertools import count
from pathlib import Path
from typing import Final

import gevent

from review.second_record import HAS_TROUBLE, Record, run_case
from review.second_site import Machine, Site, build_plain_route, send
from standins.platform_worker import PlatformWorker

SERVICES: Final = ('saldo', 'compras')
ROUTES: Final = (
    build_plain_route('balance', 'saldo', 'idempotent'),
    build_plain_route('buy', 'compras', 'non_idempotent'),
)
CALM_SECONDS: Final = 4.0
# From the end of a worker to the SIGTERM of the daemon beside it.
TERM_SECONDS: Final = 1.0
# `addr_reuse_s` of the settings.
REUSE_SECONDS: Final = 2.1
# `lag_ms` under [discovery] in the site file: from a start to its entry.
LISTING_SECONDS: Final = 0.8
# Three liveness report intervals of 1.5 s.
LAPSE_SECONDS: Final = 4.5
LAST_SECONDS: Final = 3.0
PAUSE_SECONDS: Final = 0.03


def play(site: Site, record: Record) -> None:
    """Let purchases go on while a worker of `compras` is replaced."""
    machine = site.find('costa-gye', 'compras')
    consumers = [
        gevent.spawn(buy_forever, one, record, count(1))
        for one in (machine, site.find('sierra-uio', 'saldo'))
    ]
    gevent.sleep(CALM_SECONDS)
    successor = None
    if HAS_TROUBLE:
        successor = replace_worker(site, machine, record)
    gevent.sleep(LAST_SECONDS)
    gevent.killall(consumers)
    check(site, successor, record)


def replace_worker(
    site: Site, machine: Machine, record: Record
) -> PlatformWorker:
    """End a worker for good; one of `saldo` starts at its address."""
    ended = machine.worker
    ended.server.stop()
    record.add(f'worker {ended.identity} of compras crashes for good')
    await_reuse(machine, record)
    successor = PlatformWorker(
        address=machine.addresses['app'], identity='i-saldo-next'
    )
    successor.server.start()
    record.add('worker i-saldo-next of saldo starts at its address')
    machine.worker = successor
    update_list(site, machine, ended, record)
    return successor


def await_reuse(machine: Machine, record: Record) -> None:
    """Let the time pass after which the address may be used again."""
    gevent.sleep(TERM_SECONDS)
    machine.daemon.send_signal(signal.SIGTERM)
    record.add('SIGTERM to the daemon beside it')
    gevent.sleep(REUSE_SECONDS - TERM_SECONDS)


def update_list(
    site: Site, machine: Machine, ended: PlatformWorker, record: Record
) -> None:
    """Write the entry of the new worker; that of the ended one lapses."""
    gevent.sleep(LISTING_SECONDS)
    site.register(machine.worker, machine.zone, 'saldo', born=1)
    record.add(f'the entry of {machine.worker.identity} is in the store')
    gevent.sleep(LAPSE_SECONDS - REUSE_SECONDS - LISTING_SECONDS)
    site.store.delete(f'servers/{ended.identity}')
    record.add(f'the entry of {ended.identity} is removed')


def buy_forever(machine: Machine, record: Record, numbers: count) -> None:
    """Send purchases one after the other, and record the answers."""
    for number in numbers:
        attempt_id = f'{machine.ip}-{number}'
        answer = send(machine, '/buy/bundle', b'order', attempt_id)
        runner = answer.body.partition(b' ')[0].decode()
        record.add(f'{attempt_id} POST /buy/bundle: {answer.status} {runner}')
        gevent.sleep(PAUSE_SECONDS)


def check(site: Site, successor: PlatformWorker | None, record: Record) -> None:
    """Check that only workers of `compras` ran purchases."""
    runs: Counter[str] = Counter()
    for machine in site.machines:
        worker = machine.worker
        is_saldo = worker is successor or machine.service == 'saldo'
        for attempt_id, path, _ in worker.received_requests:
            if not path.startswith('/buy/'):
                continue
            runs[worker.identity] += 1
            if is_saldo:
                record.break_rule(
                    f'{worker.identity} of saldo ran {attempt_id}'
                )
    record.add(f'purchases run: {dict(runs)}')


if __name__ == '__main__':
    sys.exit(
        run_case(
            Path(__file__).parent,
            Site(services=SERVICES, routes=list(ROUTES)),
            play,
        )
    )
