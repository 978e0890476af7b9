"""Generates the load of a fault run: calls of all kinds with unique ids."""

import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final, final

import gevent
import msgspec
from gevent.pool import Pool

from standins.client import Answer, Client
from standins.deployment import Deployment

CONNECTIONS_PER_ADDRESS: Final = 256
MAX_IN_FLIGHT: Final = 2000
DRAIN_TIMEOUT_SECONDS: Final = 30.0
UPLOAD_BYTES: Final = 200_000
WRITE_BYTES: Final = 64
CALLS_PER_KEY: Final = 3
# A `keyed` step makes about four calls: one that requests an idempotency key
# and three with the key.
KIND_WEIGHTS: Final = (('read', 40), ('write', 40), ('upload', 5), ('keyed', 4))
MEAN_CALLS_PER_STEP: Final = 1.13
SERVICE_TIMES_MS: Final = (2, 5, 20, 60, 200)
MAX_TEXT_BYTES: Final = 200
# Other errors are those of connections that are refused or time out.
CLOSED_ERRORS: Final = ('ConnectionError', 'ConnectionResetError')


class Echo(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the request as the stand-in upstream received it."""

    request_id: str
    path: str
    sha256: str
    bytes: int


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Represent one request; an empty `key` means no idempotency key."""

    kind: str
    method: str
    path: str
    request_id: str
    body: bytes
    key: str = ''


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Hold a request and the answer to its caller; status 0 means no answer."""

    request: CallRequest
    at: float  # wall-clock seconds
    instance: str
    status: int = 0
    verdict: str = ''
    echo: Echo | None = None
    text: str = ''

    @property
    def is_success(self) -> bool:
        """Return whether the caller received a 2xx status."""
        return 200 <= self.status < 300

    @property
    def is_closed(self) -> bool:
        """Return whether the connection ended without a whole answer."""
        return not self.status and self.text.startswith(CLOSED_ERRORS)

    @property
    def is_matching_answer(self) -> bool:
        """Return whether the answer echoes this request, ignoring its id."""
        return (
            self.echo is not None
            and self.echo.path == self.request.path
            and self.echo.bytes == len(self.request.body)
            and self.echo.sha256
            == hashlib.sha256(self.request.body).hexdigest()
        )


@final
class FaultLoadGenerator:
    """Call random daemons at a fixed rate, in part with keys and repeats."""

    __slots__ = (
        'results',
        '_deployment',
        '_random',
        '_choose_further',
        '_period_seconds',
        '_clients',
        '_pool',
        '_sender',
        '_last_number',
        '_is_stopping',
    )

    def __init__(
        self,
        *,
        deployment: Deployment,
        random: Random,
        calls_per_second: float,
        choose_further: Callable[[], list[tuple[CallRequest, str]]] = list,
    ) -> None:
        """Create the load; a step may have further requests to instances."""
        self.results: list[CallResult] = []
        self._deployment = deployment
        self._random = random
        self._choose_further = choose_further
        self._period_seconds = MEAN_CALLS_PER_STEP / calls_per_second
        self._clients = {
            name: Client(
                address=instance_site.caller_address,
                connections=CONNECTIONS_PER_ADDRESS,
            )
            for name, instance_site in deployment.site.instance_sites.items()
        }
        self._pool = Pool(MAX_IN_FLIGHT)
        self._sender: gevent.Greenlet | None = None
        self._last_number = 0
        self._is_stopping = False

    def start(self) -> None:
        """Start the calls."""
        self._sender = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop new calls and wait for the calls in flight."""
        self._is_stopping = True
        if self._sender is not None:
            self._sender.join()
        self._pool.join(timeout=DRAIN_TIMEOUT_SECONDS)
        for client in self._clients.values():
            client.close()

    def _run(self) -> None:
        planned_at = time.monotonic()
        kinds = [kind for kind, _ in KIND_WEIGHTS]
        weights = [weight for _, weight in KIND_WEIGHTS]
        while not self._is_stopping:
            planned_at += self._period_seconds
            gevent.sleep(max(0, planned_at - time.monotonic()))
            kind = self._random.choices(kinds, weights)[0]
            if kind == 'keyed':
                self._pool.spawn(
                    self._call_with_key,
                    *self._choose_instances(CALLS_PER_KEY + 1),
                )
            else:
                request = self._create_request(kind)
                self._pool.spawn(
                    self._call, request, *self._choose_instances(1)
                )
            for further, instance in self._choose_further():
                self._pool.spawn(self._call, further, instance)

    def _choose_instances(self, count: int) -> list[str]:
        return self._random.sample(sorted(self._clients), count)

    def _create_request(
        self, kind: str, key: str = '', service: str = ''
    ) -> CallRequest:
        self._last_number += 1
        name = service or f'svc-{self._random.randint(1, 3)}'
        policy = 'read' if kind == 'read' else 'write'
        size = UPLOAD_BYTES if kind == 'upload' else WRITE_BYTES
        return CallRequest(
            kind=kind,
            method='GET' if kind == 'read' else 'POST',
            path=f'/{name}/{policy}/{self._last_number}',
            request_id=f'fault-{self._last_number}',
            body=b'' if kind == 'read' else self._random.randbytes(size),
            key=key,
        )

    def _call_with_key(self, key_issuer: str, *callers: str) -> None:
        service = f'svc-{self._random.randint(1, 3)}'
        target = f'/.briartack/keys?service=generated/{service}'
        try:
            answer = self._clients[key_issuer].call('POST', target)
            key = str(answer.json()['key'])
        except (OSError, KeyError, msgspec.DecodeError):
            return
        first_request = self._create_request('keyed', key, service)
        # Some repeats overlap, as with callers that retry before an answer.
        for number, instance in enumerate(callers):
            self._pool.spawn(
                self._call, _create_repeat(first_request, number), instance
            )
            gevent.sleep(self._random.choice((0, 0.05, 0.5)))

    def _call(self, request: CallRequest, instance: str) -> None:
        at = time.time()
        headers = {
            'X-Request-Id': request.request_id,
            'X-Service-Ms': str(self._random.choice(SERVICE_TIMES_MS)),
        }
        if request.key:
            headers['Idempotency-Key'] = request.key
        try:
            answer = self._clients[instance].call(
                request.method,
                request.path,
                headers=headers,
                body=request.body,
            )
        except OSError as error:
            text = f'{type(error).__name__}: {error}'
            result = CallResult(
                request=request, at=at, instance=instance, text=text
            )
        else:
            result = _create_result(request, at, instance, answer)
        self.results.append(result)


def _create_repeat(request: CallRequest, number: int) -> CallRequest:
    return CallRequest(
        kind=request.kind,
        method=request.method,
        path=request.path,
        request_id=f'{request.request_id}.{number}',
        body=request.body,
        key=request.key,
    )


def _create_result(
    request: CallRequest, at: float, instance: str, answer: Answer
) -> CallResult:
    echo: Echo | None = None
    try:
        echo = msgspec.json.decode(answer.body, type=Echo)
    except msgspec.DecodeError:
        # A refusal has a body of another format.
        echo = None
    return CallResult(
        request=request,
        at=at,
        instance=instance,
        status=answer.status,
        verdict=answer.verdict,
        echo=echo,
        text=answer.body[:MAX_TEXT_BYTES].decode(errors='replace'),
    )
