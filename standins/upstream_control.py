"""Serve the health probe and control interface of a stand-in upstream."""

import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, TypeAlias, final

import gevent
import msgspec

from standins.http_server import Request, Response, json_response
from standins.upstream_faults import Fault, HealthOverride
from standins.upstream_server import AnyResponse, Upstream

# Delay of a stop, so that the answer to the stop request is sent before it.
STOP_DELAY_SECONDS: Final = 0.01
Command: TypeAlias = Callable[[bytes], object]


@final
class SwitchRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the fields of the commands `cold`, `drain` and `down`."""

    on: bool = True
    new_identity: bool = False
    seconds: float = 1


@final
class UpstreamControl:
    """Answer probes and control commands, and pass on all other requests."""

    __slots__ = ('_upstream', '_commands')

    def __init__(self, *, upstream: Upstream) -> None:
        self._upstream = upstream
        self._commands: dict[str, Command] = {
            'stats': self._stats,
            'runs': self._runs,
            'first-runs': self._first_runs,
            'reset-stats': self._reset_stats,
            'cold': self._start_cold,
            'drain': self._drain,
            'down': self._take_down,
            'health': self._set_health,
            'fault': self._add_fault,
            'clear-faults': self._clear_faults,
        }

    def answer(self, request: Request) -> AnyResponse:
        """Answer any request at the upstream's address."""
        if request.path == '/healthz':
            return self._answer_probe()
        if request.path.startswith('/control/'):
            return self._run_command(request)
        return self._upstream.answer(request)

    def _answer_probe(self) -> Response:
        upstream = self._upstream
        health = upstream.faults.health
        if health.delay_seconds:
            gevent.sleep(health.delay_seconds)
        load = upstream.load
        if health.lag_seconds:
            load = upstream.stats.find_past_load(health.lag_seconds)
        status = 'draining' if upstream.is_draining else 'ok'
        return json_response(
            {
                'status': health.status or status,
                'identity': health.identity or upstream.identity,
                'load': load if health.load is None else health.load,
            },
        )

    def _run_command(self, request: Request) -> Response:
        command = self._commands.get(request.path.removeprefix('/control/'))
        if command is None:
            return json_response(
                {'error': 'unknown command', 'known': sorted(self._commands)},
                status=HTTPStatus.NOT_FOUND,
            )
        try:
            return json_response(command(request.body() or b'{}'))
        except (msgspec.MsgspecError, ValueError) as error:
            return json_response(
                {'error': str(error)},
                status=HTTPStatus.BAD_REQUEST,
            )

    def _stats(self, _body: bytes) -> object:
        upstream = self._upstream
        return {
            **upstream.stats.summary(),
            'identity': upstream.identity,
            'connections': upstream.server.connections,
            'is_draining': upstream.is_draining,
            'warm_share': upstream.cold_start_progress.compute_warm_share(
                time.monotonic()
            ),
        }

    def _runs(self, _body: bytes) -> object:
        return self._upstream.stats.runs

    def _first_runs(self, _body: bytes) -> object:
        return self._upstream.stats.first_runs

    def _reset_stats(self, _body: bytes) -> object:
        self._upstream.stats.reset_peaks()
        return {}

    def _start_cold(self, body: bytes) -> object:
        switch = msgspec.json.decode(body, type=SwitchRequest)
        self._upstream.cold_start_progress.restart(time.monotonic())
        self._upstream.stats.reset_peaks()
        if switch.new_identity:
            self._upstream.renew_identity()
        return {'identity': self._upstream.identity}

    def _drain(self, body: bytes) -> object:
        switch = msgspec.json.decode(body, type=SwitchRequest)
        self._upstream.is_draining = switch.on
        return {'is_draining': switch.on}

    def _take_down(self, body: bytes) -> object:
        switch = msgspec.json.decode(body, type=SwitchRequest)
        server = self._upstream.server
        gevent.spawn_later(STOP_DELAY_SECONDS, server.stop)
        gevent.spawn_later(STOP_DELAY_SECONDS + switch.seconds, self._restart)
        return {'seconds': switch.seconds}

    def _restart(self) -> None:
        self._upstream.cold_start_progress.restart(time.monotonic())
        self._upstream.stats.reset_peaks()
        self._upstream.renew_identity()
        self._upstream.server.start()

    def _set_health(self, body: bytes) -> object:
        self._upstream.faults.health = msgspec.json.decode(
            body, type=HealthOverride
        )
        return self._upstream.faults.health

    def _add_fault(self, body: bytes) -> object:
        fault = msgspec.json.decode(body, type=Fault)
        self._upstream.faults.add(fault)
        return fault

    def _clear_faults(self, _body: bytes) -> object:
        self._upstream.faults.clear()
        return {}
