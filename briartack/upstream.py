"""HTTP to the local upstream: requests of attempts, and probes."""

from typing import Final, TypeAlias, final

import gevent
import msgspec
from gevent.greenlet import Greenlet

from briartack.addresses import Address, format_address
from briartack.bodies import Bodies
from briartack.core.body_ids import answer_body
from briartack.core.effects import AbortDispatch, Dispatch
from briartack.core.events import (
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.messages import MAX_BODY_BYTES, Headers
from briartack.framing import digest_of
from briartack.headers import CONTENT_LENGTH, end_to_end, first_value
from briartack.http_exchange import (
    Connections,
    Exchange,
    ExchangeError,
    HttpAnswer,
    exchange,
)
from briartack.ports import Clock, Deliver, Observer

# Admission bounds what runs at once; this bound only stops a runaway.
_MAX_CONNECTIONS: Final = 4096
_PROBE_INTERVAL_SECONDS: Final = 1.0
_PROBE_TIMEOUT_SECONDS: Final = 1.0
_MAX_PROBE_BYTES: Final = 65536
_STATUS_OK: Final = 200
_MILLISECONDS: Final = 1000
_CRLF: Final = b'\r\n'
_METHODS_WITH_BODY: Final = frozenset(('POST', 'PUT', 'PATCH'))

_Running: TypeAlias = dict[str, tuple[Greenlet, Exchange]]


class _ProbeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Decode the health endpoint; every field may be missing."""

    status: str = 'ok'
    identity: str = ''
    load: float | None = None


@final
class Upstream:
    """Run attempts at the local upstream and watch its health."""

    __slots__ = (
        '_pool',
        '_probe_pool',
        '_host_header',
        '_bodies',
        '_deliver',
        '_clock',
        '_observer',
        '_running',
    )

    def __init__(
        self,
        *,
        address: Address,
        bodies: Bodies,
        deliver: Deliver,
        clock: Clock,
        observer: Observer,
    ) -> None:
        """Prepare a pool of connections; nothing is dialled yet."""
        self._pool = Connections(address, size=_MAX_CONNECTIONS)
        self._probe_pool = Connections(address, size=1)
        self._host_header = format_address(address)
        self._bodies = bodies
        self._deliver = deliver
        self._clock = clock
        self._observer = observer
        self._running: _Running = {}

    def dispatch(self, effect: Dispatch) -> None:
        """Start an attempt."""
        started = self._clock()
        request = Exchange(
            self._pool,
            method=effect.method,
            request=self._request(effect),
            max_body_bytes=MAX_BODY_BYTES,
        )
        # The greenlet starts only after everything that is due before it.
        request.send_now()
        greenlet = gevent.spawn(self._run, effect, request, started)
        self._running[effect.attempt_id] = (greenlet, request)

    def abort(self, effect: AbortDispatch) -> None:
        """Close the connection of an attempt; no event follows."""
        running = self._running.pop(effect.attempt_id, None)
        if running is not None:
            greenlet, request = running
            greenlet.kill(block=False)
            # A greenlet that is killed before its start never runs.
            request.give_up()

    def probe_forever(self) -> None:
        """Probe the upstream each second until killed."""
        while True:
            self._deliver(self._probe())
            gevent.sleep(_PROBE_INTERVAL_SECONDS)

    def _run(
        self,
        effect: Dispatch,
        request: Exchange,
        started: float,
    ) -> None:
        event = self._outcome(effect, request, started)
        # An aborted attempt must not report an outcome any more.
        if self._running.pop(effect.attempt_id, None) is not None:
            self._deliver(event)

    def _outcome(
        self,
        effect: Dispatch,
        request: Exchange,
        started: float,
    ) -> UpstreamAnswered | UpstreamFailed:
        try:
            answer = request.finish(effect.timeout_seconds)
        except ExchangeError as error:
            return self._failed(effect, error)
        return self._answered(effect, answer, started)

    def _answered(
        self,
        effect: Dispatch,
        answer: HttpAnswer,
        started: float,
    ) -> UpstreamAnswered:
        now = self._clock()
        self._observer.observe('upstream.seconds', now - started)
        body = answer.body
        if effect.attempt_id in self._running:
            self._bodies.put(answer_body(effect.attempt_id), body)
        return UpstreamAnswered(
            now=now,
            attempt_id=effect.attempt_id,
            status=answer.get_code(),
            headers=_answer_headers(effect.method, answer.header_pairs),
            body_bytes=len(body),
            body_digest=digest_of(body),
            elapsed_seconds=now - started,
        )

    def _failed(
        self,
        effect: Dispatch,
        error: ExchangeError,
    ) -> UpstreamFailed:
        reason = str(error)
        self._observer.count('upstream.failures', reason=reason)
        return UpstreamFailed(
            now=self._clock(),
            attempt_id=effect.attempt_id,
            may_have_run=error.may_have_run,
            is_reset=error.is_reset,
            reason=reason,
        )

    def _request(self, effect: Dispatch) -> bytes:
        body = self._bodies.get(effect.body_id)
        lines = [f'{effect.method} {effect.target} HTTP/1.1']
        # The headers of a call are end-to-end since its arrival.
        headers = effect.headers
        if first_value(headers, 'host') is None:
            lines.append(f'Host: {self._host_header}')
        lines.extend(f'{name}: {text}' for name, text in headers)
        if body or effect.method in _METHODS_WITH_BODY:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines).encode('latin-1', 'replace')
        return b''.join((head, _CRLF, _CRLF, body))

    def _probe(self) -> UpstreamProbed:
        request = f'GET /healthz HTTP/1.1\r\nHost: {self._host_header}\r\n\r\n'
        try:
            answer = exchange(
                self._probe_pool,
                method='GET',
                request=request.encode(),
                max_body_bytes=_MAX_PROBE_BYTES,
                timeout_seconds=_PROBE_TIMEOUT_SECONDS,
            )
        except ExchangeError:
            self._observer.count('upstream.probe_failures')
            return _probed(self._clock(), None)
        return _probed(self._clock(), answer)


def _probed(now: float, answer: HttpAnswer | None) -> UpstreamProbed:
    if answer is None:
        health, code = _ProbeAnswer(status=''), 0
    else:
        health, code = _decode_probe(answer.body), answer.get_code()
    return UpstreamProbed(
        now=now,
        is_healthy=code == _STATUS_OK and health.status in {'ok', 'draining'},
        is_draining=health.status == 'draining',
        identity=health.identity,
        reported_load=health.load,
    )


def _decode_probe(body: bytes) -> _ProbeAnswer:
    try:
        health = msgspec.json.decode(body, type=_ProbeAnswer)
    except msgspec.MsgspecError:
        # An answer in another form still says that the upstream is up.
        return _ProbeAnswer()
    if health.load is not None and not 0 <= health.load <= 1:
        return msgspec.structs.replace(health, load=None)
    return health


def _answer_headers(method: str, headers: Headers) -> Headers:
    kept = end_to_end(headers)
    if method != 'HEAD':
        return kept
    # The answer to HEAD names the length that GET would have.
    length = first_value(headers, CONTENT_LENGTH)
    return kept if length is None else (*kept, ('Content-Length', length))
