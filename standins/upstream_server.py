"""Simulate an upstream: slots, queue, cold start, drain and faults."""

import hashlib
import math
import time
import uuid
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, TypeAlias, final

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from standins.cold_start import ColdStartOptions, ColdStartProgress
from standins.http_server import (
    BrokenResponse,
    HttpServer,
    Request,
    Response,
    json_response,
)
from standins.upstream_faults import Fault, UpstreamFaults
from standins.upstream_stats import UpstreamStats

MS_PER_SECOND: Final = 1000.0
WARM_COLD_START: Final = ColdStartOptions()
AnyResponse: TypeAlias = Response | BrokenResponse


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamOptions:
    """Hold the options that all upstreams of a process share."""

    slots: int = 20
    connections: int = 130
    service_ms: float = 2
    collapses_by_reset: bool = False
    cold_start: ColdStartOptions = WARM_COLD_START


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedRequest:
    """Hold a completely read request with its deadline and fault."""

    request: Request
    body: bytes
    request_id: str
    deadline: float  # monotonic seconds
    fault: Fault


@final
class Upstream:
    """Serve requests at one address with a limited number of slots."""

    __slots__ = (
        'faults',
        'stats',
        'identity',
        'is_draining',
        'cold_start_progress',
        '_name',
        '_options',
        '_slots',
        '_server',
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        options: UpstreamOptions,
    ) -> None:
        self.faults = UpstreamFaults()
        self.stats = UpstreamStats()
        self.is_draining = False
        self.cold_start_progress = ColdStartProgress(
            cold_start=options.cold_start,
            slots=options.slots,
            now=time.monotonic(),
        )
        self._name = name
        self._options = options
        self._slots = BoundedSemaphore(options.slots)
        self._server = HttpServer(address=address, application=self.answer)
        self.renew_identity()

    @property
    def server(self) -> HttpServer:
        """Return the HTTP server of this upstream."""
        return self._server

    @property
    def load(self) -> float:
        """Return the share of slots that are used or waited for, up to 1."""
        return min(1, self.stats.in_system / self._options.slots)

    def renew_identity(self) -> None:
        """Change the identity, as the restart of an upstream does."""
        self.identity = f'{self._name}.{uuid.uuid4().hex[:8]}'

    def answer(self, request: Request) -> AnyResponse:
        """Answer a request other than a probe or a control command."""
        if request.open_connections > self._options.connections:
            return self._create_error('shed', HTTPStatus.SERVICE_UNAVAILABLE)
        if self.is_draining:
            return self._create_error('refused', HTTPStatus.SERVICE_UNAVAILABLE)
        try:
            body = request.body()
        except OSError:
            self.stats.counts['uploads_broken'] += 1
            return BrokenResponse()
        return self._admit(
            ReceivedRequest(
                request=request,
                body=body,
                request_id=request.header('X-Request-Id'),
                deadline=_read_deadline(request),
                fault=self.faults.take_next(request.path),
            ),
        )

    def _create_error(self, kind: str, status: int) -> Response:
        self.stats.counts[kind] += 1
        return json_response(
            {'error': kind, 'identity': self.identity},
            status=status,
        )

    def _admit(self, received: ReceivedRequest) -> AnyResponse:
        now = time.monotonic()
        self.stats.record_arrival(
            is_cold=self.cold_start_progress.compute_warm_share(now) < 1,
            ramp_limit=self.cold_start_progress.ramp_limit,
        )
        try:
            return self._wait_for_slot(received, now)
        finally:
            self.stats.in_system -= 1

    def _wait_for_slot(
        self, received: ReceivedRequest, now: float
    ) -> AnyResponse:
        if (
            self.stats.in_system
            > self.cold_start_progress.compute_safe_concurrency(now)
        ):
            return self._collapse(received)
        if received.fault.kind == 'cut-before':
            return BrokenResponse()
        remaining = (
            None if math.isinf(received.deadline) else received.deadline - now
        )
        if not self._slots.acquire(timeout=remaining):
            return self._create_error('expired', HTTPStatus.GATEWAY_TIMEOUT)
        self.stats.in_service += 1
        try:
            return self._run(received)
        finally:
            self.stats.in_service -= 1
            self._slots.release()

    def _collapse(self, received: ReceivedRequest) -> AnyResponse:
        """Fail a request that has begun to run."""
        self.stats.record_run(received.request_id, time.time())
        if self._options.collapses_by_reset:
            self.stats.counts['collapsed'] += 1
            return BrokenResponse(is_reset=True)
        return self._create_error('collapsed', HTTPStatus.INTERNAL_SERVER_ERROR)

    def _run(self, received: ReceivedRequest) -> AnyResponse:
        if received.request.has_client_closed():
            self.stats.counts['cancelled_in_queue'] += 1
            return BrokenResponse()
        now = time.monotonic()
        self.stats.record_run(received.request_id, time.time())
        service_seconds = self._compute_service_seconds(received.request, now)
        if not received.request.wait(
            min(service_seconds, received.deadline - now)
        ):
            self.stats.counts['cancelled'] += 1
            return BrokenResponse()
        if now + service_seconds > received.deadline:
            return self._create_error('expired', HTTPStatus.GATEWAY_TIMEOUT)
        return self._complete(received)

    def _compute_service_seconds(self, request: Request, now: float) -> float:
        requested = request.header('X-Service-Ms') or request.query.get(
            'service_ms'
        )
        service_ms = float(requested) if requested else self._options.service_ms
        return (
            service_ms
            * self.cold_start_progress.compute_slowdown_factor(now)
            / MS_PER_SECOND
        )

    def _complete(self, received: ReceivedRequest) -> AnyResponse:
        self.cold_start_progress.record_answer()
        self.stats.counts['answered'] += 1
        if received.body:
            self.stats.counts['uploads_completed'] += 1
        kind = received.fault.kind
        if kind in {'cut', 'reset'}:
            return BrokenResponse(is_reset=kind == 'reset')
        if kind == 'error':
            return self._create_error(
                'errors', HTTPStatus.INTERNAL_SERVER_ERROR
            )
        if kind == 'late':
            gevent.sleep(received.fault.seconds)
        response = self._create_echo(received)
        return _truncate_response(response) if kind == 'truncate' else response

    def _create_echo(self, received: ReceivedRequest) -> Response:
        request = received.request
        answer = {
            'identity': self.identity,
            'method': request.method,
            'path': request.path,
            'bytes': len(received.body),
            'sha256': hashlib.sha256(received.body).hexdigest(),
            'request_id': received.request_id,
        }
        requested = request.header('X-Answer-Bytes') or request.query.get(
            'answer_bytes',
            '0',
        )
        body = msgspec.json.encode(answer)
        return Response(
            # Padded with spaces, which JSON allows after the value.
            body=body.ljust(int(requested)),
            headers=(
                ('Content-Type', 'application/json'),
                ('X-Request-Id', received.request_id),
                ('X-Upstream-Identity', self.identity),
            ),
        )


def _read_deadline(request: Request) -> float:
    header = request.header('Briartack-Deadline-Ms')
    if not header:
        return float('inf')
    return time.monotonic() + float(header) / MS_PER_SECOND


def _truncate_response(response: Response) -> BrokenResponse:
    length = len(response.body)
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n'
    return BrokenResponse(sent=head.encode() + response.body[: length // 2])
