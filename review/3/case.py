"""Write a registration whose sequence is a truth value, then add a route."""

import sys
import time
from collections import Counter
from pathlib import Path
from typing import Final

import gevent

from review.cases import run_program
from review.clients import Reply, send_request
from review.site import BORN_MS, HOST, OK, Node, Site, build_route

CONFIG_APPLY_SECONDS: Final = 2.0
CALM_SECONDS: Final = 5.0
WATCH_SECONDS: Final = 12.0
WORK_SECONDS: Final = 0.2
CLIENTS_OF_MACHINE: Final = 4
NOT_FOUND: Final = 404
SERVICES: Final = ('saldo', 'compras', 'bitacora')
ROUTES: Final = (
    build_route('balance', 'saldo'),
    build_route('buy', 'compras', kind='non_idempotent'),
)
ADDED_ROUTE: Final = build_route('tariff', 'compras')
FOREIGN_ENTRY: Final = {
    'address': '127.1.1.1:80',
    'born': BORN_MS,
    'info': {
        'service': 'another',
        'version': 'v1',
        'zone': 'costa-gye',
        'slots': 4,
    },
    'status': {'state': 'ready', 'sequence': True, 'cold_left_ms': 0},
}


def buy_until(node: Node, until: float, replies: list[Reply]) -> None:
    """Send purchases one after the other."""
    while time.monotonic() < until:
        replies.append(
            send_request(
                node.address('outbound'), '/buy/1', HOST, body=b'order'
            )
        )


def note_purchases(site: Site, replies: list[Reply]) -> None:
    """Record the answers to purchases, and how many failed that had run."""
    ran = {
        request[0]
        for node in site.nodes
        for request in node.worker.received_requests
    }
    statuses = Counter(reply.status for reply in replies)
    lost = sum(reply.status != OK and reply.attempt in ran for reply in replies)
    site.note(f'purchases by status: {dict(statuses)}')
    site.note(f'{lost} purchases ran and their consumer got no success')


def count_refused(site: Site, acked: float) -> int:
    """Return how often the added route is refused later than the bound."""
    refused = 0
    while time.monotonic() < acked + WATCH_SECONDS:
        for node in site.nodes:
            since = time.monotonic() - acked
            reply = send_request(node.address('outbound'), '/tariff/1', HOST)
            site.note(
                f'{node.ip}: request {reply.attempt} on the added route, '
                f'{since:.2f} s after the ack: {reply.status} {reply.problem}'
            )
            refused += reply.status == NOT_FOUND
        gevent.sleep(1)
    return refused


def prepare(site: Site, has_trouble: bool) -> None:
    """Start the site, and let another writer write an entry."""
    site.start(*ROUTES)
    site.await_served('/balance/0')
    for node in site.nodes:
        node.worker.work_seconds = WORK_SECONDS
    if has_trouble:
        site.store.put('servers/other-writer', FOREIGN_ENTRY)
        site.note('another writer: servers/other-writer is written')


def run_case(site: Site, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    prepare(site, has_trouble)
    replies: list[Reply] = []
    until = time.monotonic() + CALM_SECONDS + WATCH_SECONDS
    clients = [
        gevent.spawn(buy_until, node, until, replies)
        for node in site.nodes * CLIENTS_OF_MACHINE
    ]
    gevent.sleep(CALM_SECONDS)
    site.publish(2, *ROUTES, ADDED_ROUTE)
    acked = time.monotonic()
    gevent.sleep(CONFIG_APPLY_SECONDS)
    refused = count_refused(site, acked)
    gevent.joinall(clients)
    note_purchases(site, replies)
    site.note(f'{refused} requests got 404 on a route in force')
    return not refused


if __name__ == '__main__':
    sys.exit(run_program(run_case, Path(__file__).parent, SERVICES))
