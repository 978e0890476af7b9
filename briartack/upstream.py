"""Send attempts and health probes to the local upstream over HTTP.

Executes the upstream effects of the core; each result returns as an event.
"""

from typing import Final, TypeAlias, final

import gevent
from gevent.event import Event
from gevent.greenlet import Greenlet

from briartack.addresses import Address, format_address
from briartack.bodies import BodyStore
from briartack.body_budget import BodyBudget
from briartack.core.body_ids import answer_body_id
from briartack.core.calls.call_rules import DEFAULT_RULES
from briartack.core.effects import (
    AbortDispatch,
    Dispatch,
    LogLevel,
    ProbeUpstream,
)
from briartack.core.events import (
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.messages import MAX_BODY_BYTES
from briartack.dialects import UpstreamDialect, UpstreamResult
from briartack.error_texts import STATEMENT_REFUSED
from briartack.framing import compute_body_digest
from briartack.greenlets import report_failed_task
from briartack.http_exchange import (
    Exchange,
    ExchangeError,
    KeepAlivePool,
    exchange,
)
from briartack.http_response import CollectedResponse
from briartack.shell_interfaces import Clock, DeliverEvent, Observer

# Admission control limits concurrent attempts; this limit only stops a runaway.
_MAX_CONNECTIONS: Final = 4096
# Maximum interval between probes of an upstream that is not healthy.
_UNHEALTHY_PROBE_INTERVAL_SECONDS: Final = 0.25
_MIN_PROBE_INTERVAL_SECONDS: Final = 0.1
_PROBE_TIMEOUT_SECONDS: Final = 1.0
# Probe path until the configuration sets one; an empty path disables probes.
DEFAULT_HEALTH_PATH: Final = '/healthz'
_MAX_PROBE_BYTES: Final = 65536
# Memory of a request at the upstream without its body, see docs/CAPACITY.md.
RUN_BYTES: Final = 12_000

_RunningAttempts: TypeAlias = dict[str, tuple[Greenlet, Exchange]]


@final
class UpstreamClient:
    """Send attempts to the local upstream and probe its health.

    Holds the connection pools and the attempts in flight.
    """

    __slots__ = (
        '_pool',
        '_probe_pool',
        '_body_budget',
        '_host_header',
        '_bodies',
        '_dialect',
        '_probe_path',
        '_probe_seconds',
        '_probe_requested',
        '_deliver',
        '_clock',
        '_observer',
        '_running',
        '_refused_identity',
        '_refused_headers',
    )

    def __init__(
        self,
        *,
        address: Address,
        bodies: BodyStore,
        dialect: UpstreamDialect,
        deliver: DeliverEvent,
        clock: Clock,
        observer: Observer,
        probe_seconds: float = DEFAULT_RULES.probe_seconds,
        probe_path: str = DEFAULT_HEALTH_PATH,
    ) -> None:
        """Create the connection pools without connecting."""
        self._pool = KeepAlivePool(address, size=_MAX_CONNECTIONS)
        self._probe_pool = KeepAlivePool(address, size=1)
        self._body_budget = BodyBudget(memory=bodies.memory)
        self._host_header = format_address(address)
        self._bodies = bodies
        self._dialect = dialect
        self._probe_path = probe_path
        self._probe_seconds = probe_seconds
        self._probe_requested = Event()
        self._deliver = deliver
        self._clock = clock
        self._observer = observer
        self._running: _RunningAttempts = {}
        # Headers of the upstream with this identity whose refusal is logged.
        self._refused_identity = ''
        self._refused_headers: set[str] = set()
        bodies.memory.count_objects(lambda: len(self._running), RUN_BYTES)

    @property
    def running(self) -> int:
        """Return the number of attempts that await their results."""
        return len(self._running)

    def dispatch(self, effect: Dispatch) -> None:
        """Send an attempt; its result arrives as an event."""
        started_at = self._clock()
        body = self._bodies.get(effect.body_id)
        request = Exchange(
            self._pool,
            method=effect.method,
            request=self._dialect.encode_request_head(
                effect, len(body), self._host_header
            ),
            body=body,
            max_body_bytes=MAX_BODY_BYTES,
            request_id=self._dialect.identify_request(effect),
            identify_response=self._dialect.identify_response,
            budget=self._body_budget,
        )
        # The greenlet starts only after all greenlets that are scheduled before
        # it, so the request is sent here.
        request.send_without_waiting()
        greenlet = gevent.spawn(self._run_attempt, effect, request, started_at)
        self._running[effect.attempt_id] = (greenlet, request)

    def abort(self, effect: AbortDispatch) -> None:
        """Close the connection of an attempt; no event follows."""
        running = self._running.pop(effect.attempt_id, None)
        if running is not None:
            greenlet, request = running
            greenlet.kill(block=False)
            # A greenlet that is killed before it starts never closes the
            # connection itself.
            request.abandon()

    def probe(self, effect: ProbeUpstream) -> None:
        """Request an immediate probe and set the path of later probes."""
        self._probe_path = effect.path
        self._probe_requested.set()

    def probe_forever(self) -> None:
        """Probe the upstream periodically and on request, until killed."""
        pause_seconds = 0.0
        while True:
            self._probe_requested.wait(
                pause_seconds if self._probe_path else None
            )
            self._probe_requested.clear()
            probed = self._send_probe()
            self._deliver(probed)
            # Each failing attempt may request a probe, so limit their rate.
            gevent.sleep(_MIN_PROBE_INTERVAL_SECONDS)
            pause_seconds = self._probe_seconds
            if not probed.is_healthy:
                pause_seconds = min(
                    pause_seconds, _UNHEALTHY_PROBE_INTERVAL_SECONDS
                )

    def _run_attempt(
        self,
        effect: Dispatch,
        request: Exchange,
        started_at: float,
    ) -> None:
        try:
            event = self._await_result(effect, request, started_at)
        except Exception as error:
            report_failed_task(self._observer, 'attempt')
            event = self._record_failure(
                effect,
                ExchangeError(
                    f'unexpected error: {type(error).__name__}',
                    may_have_run=True,
                ),
            )
        # An aborted attempt must not report a result.
        if self._running.pop(effect.attempt_id, None) is not None:
            self._deliver(event)

    def _await_result(
        self,
        effect: Dispatch,
        request: Exchange,
        started_at: float,
    ) -> UpstreamAnswered | UpstreamFailed:
        try:
            response = request.finish(effect.timeout_seconds)
        except ExchangeError as error:
            return self._record_failure(effect, error)
        result = self._dialect.decode_result(effect, response)
        for statement in (result.refused_statement, result.refused_load):
            self._report_refused(effect.expected_identity, statement)
        if result.failure:
            return self._record_refusal(effect, result)
        return self._record_response(effect, response, result, started_at)

    def _record_response(
        self,
        effect: Dispatch,
        response: CollectedResponse,
        result: UpstreamResult,
        started_at: float,
    ) -> UpstreamAnswered:
        now = self._clock()
        self._observer.observe('upstream.seconds', now - started_at)
        body = response.body
        if effect.attempt_id in self._running:
            self._bodies.put(answer_body_id(effect.attempt_id), body)
        return UpstreamAnswered(
            now=now,
            attempt_id=effect.attempt_id,
            status=response.get_code(),
            headers=result.headers,
            body_bytes=len(body),
            body_digest=compute_body_digest(body),
            elapsed_seconds=now - started_at,
            stated_limit=result.stated_limit,
            load_report=result.load_report,
            leaving_identity=_leaving_identity(effect, result),
        )

    def _record_failure(
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

    def _record_refusal(
        self,
        effect: Dispatch,
        result: UpstreamResult,
    ) -> UpstreamFailed:
        self._observer.count('upstream.failures', reason=result.failure)
        return UpstreamFailed(
            now=self._clock(),
            attempt_id=effect.attempt_id,
            may_have_run=result.has_run,
            is_reset=False,
            reason=result.failure,
            is_refusal=not result.has_run,
            identity=result.identity,
            stated_limit=result.stated_limit,
            load_report=result.load_report,
            leaving_identity=_leaving_identity(effect, result),
        )

    def _send_probe(self) -> UpstreamProbed:
        try:
            response = exchange(
                self._probe_pool,
                method='GET',
                request=self._dialect.encode_probe(
                    self._probe_path,
                    self._host_header,
                ),
                max_body_bytes=_MAX_PROBE_BYTES,
                timeout_seconds=_PROBE_TIMEOUT_SECONDS,
            )
        except ExchangeError:
            self._observer.count('upstream.probe_failures')
            return self._dialect.decode_probe(self._clock(), None)
        probed = self._dialect.decode_probe(self._clock(), response)
        self._report_refused(probed.identity, probed.refused_load)
        return probed

    def _report_refused(self, identity: str, statement: str) -> None:
        """Count a malformed statement; log it once for each identity.

        `statement` begins with the name of the header, and is empty if the
        upstream made no malformed statement.
        """
        if not statement:
            return
        self._observer.count('upstream.statements_refused')
        if identity != self._refused_identity:
            self._refused_identity = identity
            self._refused_headers.clear()
        header = statement.partition(':')[0]
        if header not in self._refused_headers:
            self._refused_headers.add(header)
            self._observer.log(
                LogLevel.WARNING,
                STATEMENT_REFUSED,
                statement=statement,
                upstream=identity,
            )


def _leaving_identity(effect: Dispatch, result: UpstreamResult) -> str:
    return effect.expected_identity if result.is_leaving else ''
