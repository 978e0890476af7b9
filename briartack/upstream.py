"""HTTP to the local upstream: requests of attempts, and probes."""

from functools import partial
from typing import Final, TypeAlias, final

import gevent
from gevent.event import Event
from gevent.greenlet import Greenlet

from briartack.addresses import Address, format_address
from briartack.bodies import Bodies
from briartack.core.body_ids import answer_body
from briartack.core.calls.call_rules import DEFAULT_RULES
from briartack.core.effects import AbortDispatch, Dispatch, ProbeUpstream
from briartack.core.events import (
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamProbed,
)
from briartack.core.messages import MAX_BODY_BYTES
from briartack.dialects import UpstreamDialect, UpstreamResult
from briartack.framing import digest_of
from briartack.http_answer import HttpAnswer
from briartack.http_exchange import (
    Connections,
    Exchange,
    ExchangeError,
    exchange,
)
from briartack.ports import Clock, Deliver, Observer

# Admission bounds what runs at once; this bound only stops a runaway.
_MAX_CONNECTIONS: Final = 4096
# An upstream that is down is asked again after this time at the latest.
_PROBE_RETRY_SECONDS: Final = 0.25
_PROBE_LEAST_SECONDS: Final = 0.1
_PROBE_TIMEOUT_SECONDS: Final = 1.0
# Used until the configuration names the path; empty probes nothing.
OWN_HEALTH_PATH: Final = '/healthz'
_MAX_PROBE_BYTES: Final = 65536

_Running: TypeAlias = dict[str, tuple[Greenlet, Exchange]]


@final
class Upstream:
    """Run attempts at the local upstream and watch its health."""

    __slots__ = (
        '_pool',
        '_probe_pool',
        '_host_header',
        '_bodies',
        '_dialect',
        '_probe_path',
        '_probe_seconds',
        '_probe_wanted',
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
        dialect: UpstreamDialect,
        deliver: Deliver,
        clock: Clock,
        observer: Observer,
        probe_seconds: float = DEFAULT_RULES.probe_seconds,
        probe_path: str = OWN_HEALTH_PATH,
    ) -> None:
        """Prepare a pool of connections; nothing is dialled yet."""
        self._pool = Connections(address, size=_MAX_CONNECTIONS)
        self._probe_pool = Connections(address, size=1)
        self._host_header = format_address(address)
        self._bodies = bodies
        self._dialect = dialect
        self._probe_path = probe_path
        self._probe_seconds = probe_seconds
        self._probe_wanted = Event()
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
            request=self._dialect.request(
                effect,
                self._bodies.get(effect.body_id),
                self._host_header,
            ),
            max_body_bytes=MAX_BODY_BYTES,
            is_expected=partial(self._dialect.is_answer_to, effect),
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

    def probe(self, effect: ProbeUpstream) -> None:
        """Probe now, and at this path from now on."""
        self._probe_path = effect.path
        self._probe_wanted.set()

    def probe_forever(self) -> None:
        """Probe the upstream regularly and when asked to, until killed."""
        pause = 0.0
        while True:
            self._probe_wanted.wait(pause if self._probe_path else None)
            self._probe_wanted.clear()
            probed = self._probe()
            self._deliver(probed)
            # Requests that fail may ask for many probes.
            gevent.sleep(_PROBE_LEAST_SECONDS)
            pause = self._probe_seconds
            if not probed.is_healthy:
                pause = min(pause, _PROBE_RETRY_SECONDS)

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
        result = self._dialect.result(effect, answer)
        if result.failure:
            return self._not_served(effect, result)
        return self._answered(effect, answer, result, started)

    def _answered(
        self,
        effect: Dispatch,
        answer: HttpAnswer,
        result: UpstreamResult,
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
            headers=result.headers,
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

    def _not_served(
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
        )

    def _probe(self) -> UpstreamProbed:
        try:
            answer = exchange(
                self._probe_pool,
                method='GET',
                request=self._dialect.probe(
                    self._probe_path,
                    self._host_header,
                ),
                max_body_bytes=_MAX_PROBE_BYTES,
                timeout_seconds=_PROBE_TIMEOUT_SECONDS,
            )
        except ExchangeError:
            self._observer.count('upstream.probe_failures')
            return self._dialect.probed(self._clock(), None)
        return self._dialect.probed(self._clock(), answer)
