"""The load of a fault run: calls of all kinds, each with its own id."""

import hashlib
import time
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
END_SECONDS: Final = 30.0
UPLOAD_BYTES: Final = 200_000
SMALL_BYTES: Final = 64
KEY_TRIES: Final = 3
# A sequence with a key makes about four calls.
SHARES: Final = (('read', 40), ('write', 40), ('upload', 5), ('keyed', 4))
CALLS_PER_STEP: Final = 1.13
SERVICE_MS: Final = (2, 5, 20, 60, 200)
SHOWN_BYTES: Final = 200


class Echo(msgspec.Struct, frozen=True, kw_only=True):
    """Decode what the upstream says that it was asked."""

    request_id: str
    path: str
    sha256: str
    bytes: int


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """Describe one request; an empty key is none."""

    kind: str
    method: str
    path: str
    request_id: str
    body: bytes
    key: str = ''


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Made:
    """Hold one request and what its caller was told; status 0 is nothing."""

    sent: Sent
    at: float  # wall-clock seconds
    instance: str
    status: int = 0
    verdict: str = ''
    echo: Echo | None = None
    text: str = ''

    @property
    def is_success(self) -> bool:
        """Tell whether the upstream answered well."""
        return 200 <= self.status < 300

    @property
    def is_own_answer(self) -> bool:
        """Tell whether the answer echoes this request, but for its id."""
        return (
            self.echo is not None
            and self.echo.path == self.sent.path
            and self.echo.bytes == len(self.sent.body)
            and self.echo.sha256 == hashlib.sha256(self.sent.body).hexdigest()
        )


@final
class FaultLoad:
    """Call random daemons at a rate, some with keys and repeats."""

    __slots__ = (
        'made',
        '_deployment',
        '_random',
        '_period_seconds',
        '_clients',
        '_pool',
        '_sender',
        '_number',
        '_is_stopping',
    )

    def __init__(
        self,
        *,
        deployment: Deployment,
        random: Random,
        calls_per_second: float,
    ) -> None:
        self.made: list[Made] = []
        self._deployment = deployment
        self._random = random
        self._period_seconds = CALLS_PER_STEP / calls_per_second
        self._clients = {
            name: Client(
                address=wiring.caller_address,
                connections=CONNECTIONS_PER_ADDRESS,
            )
            for name, wiring in deployment.site.wirings.items()
        }
        self._pool = Pool(MAX_IN_FLIGHT)
        self._sender: gevent.Greenlet | None = None
        self._number = 0
        self._is_stopping = False

    def start(self) -> None:
        """Begin to call."""
        self._sender = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the calls and wait for what is in flight."""
        self._is_stopping = True
        if self._sender is not None:
            self._sender.join()
        self._pool.join(timeout=END_SECONDS)
        for client in self._clients.values():
            client.close()

    def _run(self) -> None:
        due = time.monotonic()
        kinds = [kind for kind, _ in SHARES]
        weights = [share for _, share in SHARES]
        while not self._is_stopping:
            due += self._period_seconds
            gevent.sleep(max(0, due - time.monotonic()))
            kind = self._random.choices(kinds, weights)[0]
            if kind == 'keyed':
                self._pool.spawn(self._keyed, *self._places(KEY_TRIES + 1))
            else:
                sent = self._next(kind)
                self._pool.spawn(self._call, sent, *self._places(1))

    def _places(self, count: int) -> list[str]:
        return self._random.sample(sorted(self._clients), count)

    def _next(self, kind: str, key: str = '', service: str = '') -> Sent:
        self._number += 1
        name = service or f'svc-{self._random.randint(1, 3)}'
        policy = 'read' if kind == 'read' else 'write'
        size = UPLOAD_BYTES if kind == 'upload' else SMALL_BYTES
        return Sent(
            kind=kind,
            method='GET' if kind == 'read' else 'POST',
            path=f'/{name}/{policy}/{self._number}',
            request_id=f'fault-{self._number}',
            body=b'' if kind == 'read' else self._random.randbytes(size),
            key=key,
        )

    def _keyed(self, issuer: str, *tries: str) -> None:
        service = f'svc-{self._random.randint(1, 3)}'
        target = f'/.briartack/keys?service=generated/{service}'
        try:
            answer = self._clients[issuer].call('POST', target)
            key = str(answer.json()['key'])
        except (OSError, KeyError, msgspec.DecodeError):
            return
        first = self._next('keyed', key, service)
        # The repeats overlap in part, as those of impatient callers do.
        for number, place in enumerate(tries):
            self._pool.spawn(self._call, _repeat(first, number), place)
            gevent.sleep(self._random.choice((0, 0.05, 0.5)))

    def _call(self, sent: Sent, instance: str) -> None:
        at = time.time()
        headers = {
            'X-Request-Id': sent.request_id,
            'X-Service-Ms': str(self._random.choice(SERVICE_MS)),
        }
        if sent.key:
            headers['Idempotency-Key'] = sent.key
        try:
            answer = self._clients[instance].call(
                sent.method,
                sent.path,
                headers=headers,
                body=sent.body,
            )
        except OSError as error:
            text = f'{type(error).__name__}: {error}'
            made = Made(sent=sent, at=at, instance=instance, text=text)
        else:
            made = _made(sent, at, instance, answer)
        self.made.append(made)


def _repeat(sent: Sent, number: int) -> Sent:
    return Sent(
        kind=sent.kind,
        method=sent.method,
        path=sent.path,
        request_id=f'{sent.request_id}.{number}',
        body=sent.body,
        key=sent.key,
    )


def _made(sent: Sent, at: float, instance: str, answer: Answer) -> Made:
    echo: Echo | None = None
    try:
        echo = msgspec.json.decode(answer.body, type=Echo)
    except msgspec.DecodeError:
        # A refusal has another body.
        echo = None
    return Made(
        sent=sent,
        at=at,
        instance=instance,
        status=answer.status,
        verdict=answer.verdict,
        echo=echo,
        text=answer.body[:SHOWN_BYTES].decode(errors='replace'),
    )
