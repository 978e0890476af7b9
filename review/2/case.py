"""Write a registration with deeply nested JSON, then add a route."""

import sys
import time
from pathlib import Path
from typing import Final

import gevent

from review.cases import run_program
from review.clients import send_request
from review.site import HOST, Site, build_route

CONFIG_APPLY_SECONDS: Final = 2.0
WATCH_SECONDS: Final = 12.0
NESTING: Final = 2000
NOT_FOUND: Final = 404
FIRST: Final = build_route('balance', 'saldo')
SECOND: Final = build_route('tariff', 'compras')


def write_unreadable_entry(site: Site) -> None:
    """Write an entry of some 4 KB that the daemons can't read."""
    nested = b'[' * NESTING, b']' * NESTING
    value = b''.join((b'{"labels":', *nested, b'}'))
    site.store.put('servers/other-writer', value)
    site.note(f'another writer: servers/other-writer, {len(value)} bytes')
    gevent.sleep(1)


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


def run_case(site: Site, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    site.start(FIRST)
    site.await_served('/balance/0')
    if has_trouble:
        write_unreadable_entry(site)
    site.publish(2, FIRST, SECOND)
    acked = time.monotonic()
    gevent.sleep(CONFIG_APPLY_SECONDS)
    refused = count_refused(site, acked)
    site.note(f'{refused} requests got 404 on a route in force')
    return not refused


if __name__ == '__main__':
    sys.exit(run_program(run_case, Path(__file__).parent))
