"""Run several independent stand-in upstreams in one process."""

import signal
import sys
from typing import Final

import defopt
import gevent
from gevent.event import Event

from standins.cold_start import ColdStartOptions
from standins.upstream_control import UpstreamControl
from standins.upstream_server import Upstream, UpstreamOptions
from standins.upstream_stats import SAMPLE_SECONDS

DRAIN_SECONDS: Final = 10.0


def start_upstreams(
    *,
    addresses: list[str],
    names: list[str],
    options: UpstreamOptions,
) -> list[Upstream]:
    """Start an upstream at each address.

    Each upstream has the name at its position, or its address as the name.
    """
    upstreams = []
    for position, address in enumerate(addresses):
        name = names[position] if position < len(names) else address
        upstream = Upstream(name=name, address=address, options=options)
        control = UpstreamControl(upstream=upstream)
        upstream.server.replace_application(control.answer)
        upstream.server.start()
        upstreams.append(upstream)
    return upstreams


def run(  # noqa: WPS211, each argument is a flag
    *,
    address: list[str],
    name: list[str] | None = None,
    slots: int = 20,
    connections: int = 130,
    service_ms: float = 2,
    cold_seconds: float = 5,
    cold_requests: int = 0,
    cold_factor: float = 5,
    cold_limit: int = 4,
    collapses_by_reset: bool = False,
) -> None:
    """Serve each address as an independent upstream until SIGTERM.

    :param address: IP:PORT; may be repeated
    :param name: identity of the upstream at the same position
    :param slots: requests in service concurrently
    :param connections: open connections above which requests get 503
    :param service_ms: service time of a request when warm
    :param cold_seconds: time after which an upstream is warm
    :param cold_requests: requests after which an upstream is warm
    :param cold_factor: factor by which a request takes longer when cold
    :param cold_limit: concurrent requests above which a cold upstream
        collapses; the limit rises to `slots` during the warm-up
    :param collapses_by_reset: reset connections instead of answering 500
    """
    options = UpstreamOptions(
        slots=slots,
        connections=connections,
        service_ms=service_ms,
        collapses_by_reset=collapses_by_reset,
        cold_start=ColdStartOptions(
            seconds=cold_seconds,
            requests=cold_requests,
            factor=cold_factor,
            limit=cold_limit,
        ),
    )
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    upstreams = start_upstreams(
        addresses=address,
        names=name or [],
        options=options,
    )
    sys.stderr.write(f'upstreams listen at {", ".join(address)}\n')
    while not stopped.wait(SAMPLE_SECONDS):
        for upstream in upstreams:
            upstream.stats.record_load(upstream.load)
    _drain(upstreams)


def _drain(upstreams: list[Upstream]) -> None:
    for upstream in upstreams:
        upstream.is_draining = True
        upstream.server.stop_accepting()
    with gevent.Timeout(DRAIN_SECONDS, exception=False):
        while any(one.stats.in_system for one in upstreams):
            gevent.sleep(SAMPLE_SECONDS)
    for drained in upstreams:
        drained.server.stop()


def merge_repeated_flag(arguments: list[str], flag: str) -> list[str]:
    """Merge the occurrences of a flag into one flag with several values."""
    gathered: list[str] = []
    others: list[str] = []
    rest = iter(arguments)
    for argument in rest:
        if argument == flag:
            gathered.append(next(rest, ''))
        else:
            others.append(argument)
    return [*others, flag, *gathered] if gathered else others


if __name__ == '__main__':
    single = merge_repeated_flag(sys.argv[1:], '--address')
    defopt.run(run, argv=merge_repeated_flag(single, '--name'))
