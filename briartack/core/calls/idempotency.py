"""Idempotency keys: their text format and the outcomes stored for them.

An issued key carries a reading of its owner's clock. After the owner evicts an
outcome, it refuses every unused issued key that is not newer than the evicted
key, so an evicted issued key is never taken for a fresh one.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass, replace
from random import Random
from typing import Final, final

from briartack.core.messages import Answer
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    BodyId,
    Incarnation,
    InstanceId,
)

MAX_OUTCOMES: Final = 1024
MAX_OUTCOME_BYTES: Final = 65536
# The bodies of stored outcomes are held until they are evicted, and leave most
# of the memory to requests and answers.
MAX_STORED_BYTES: Final = 4_194_304
_CLOCK_DIGITS: Final = 12
_RANDOM_BITS: Final = 64
_NONCE_DIGITS: Final = _CLOCK_DIGITS + _RANDOM_BITS // 4
_HEX_BASE: Final = 16
_HEX_DIGITS: Final = frozenset('0123456789abcdef')


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class IssuedKey:
    """Hold the parts of a key that a daemon issued."""

    instance: InstanceId
    incarnation: Incarnation
    clock_ms: int


@final
@enum.unique
class KeyStatus(enum.Enum):
    """Enumerate the states of a key at its owner."""

    FRESH = enum.auto()
    RUNNING = enum.auto()
    STORED = enum.auto()
    EXPIRED = enum.auto()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StoredOutcome:
    """Hold the answer stored for a key and the id of the answer's body.

    `body_id` is `None` without a body or if the body is too large to store.
    """

    answer: Answer
    body_id: BodyId | None


def issue_key(
    random: Random,
    instance: InstanceId,
    incarnation: Incarnation,
    clock: float,
) -> str:
    """Return a new key: the owner's instance, its incarnation and a nonce.

    The nonce is the owner's clock in milliseconds and random bits, in hex.
    """
    clock_ms = max(0, int(clock * MILLISECONDS_PER_SECOND))
    nonce = f'{clock_ms:012x}{random.getrandbits(_RANDOM_BITS):016x}'
    return f'{instance}.{incarnation}.{nonce}'


def parse_key(key: str) -> IssuedKey | None:
    """Parse an issued key; return `None` for a key that a caller chose."""
    parts = key.rsplit('.', 2)
    if len(parts) != 3 or not all(parts):
        return None
    instance, incarnation, nonce = parts
    if len(nonce) != _NONCE_DIGITS or not _HEX_DIGITS.issuperset(nonce):
        return None
    return IssuedKey(
        instance=InstanceId(instance),
        incarnation=Incarnation(incarnation),
        clock_ms=int(nonce[:_CLOCK_DIGITS], _HEX_BASE),
    )


@final
class OutcomeStore:
    """Hold the running keys and the stored outcomes of the local upstream.

    At most `MAX_OUTCOMES` outcomes are stored; the oldest is evicted first.
    Above `MAX_STORED_BYTES`, the oldest outcomes lose their bodies: a repeat of
    their requests is refused, but does not run again.
    """

    __slots__ = (
        '_running',
        '_stored',
        '_sizes',
        '_stored_bytes',
        '_requests',
        '_expired_until_ms',
    )

    def __init__(self) -> None:
        self._running: set[str] = set()
        self._stored: OrderedDict[str, StoredOutcome] = OrderedDict()
        self._sizes: OrderedDict[str, int] = OrderedDict()  # of bodies
        self._stored_bytes = 0
        self._requests: dict[str, bytes] = {}
        self._expired_until_ms = -1

    def status(self, key: str) -> KeyStatus:
        """Return the status of a key."""
        if key in self._running:
            return KeyStatus.RUNNING
        if key in self._stored:
            return KeyStatus.STORED
        issued = parse_key(key)
        if issued is not None and issued.clock_ms <= self._expired_until_ms:
            return KeyStatus.EXPIRED
        return KeyStatus.FRESH

    def get_stored_outcome(self, key: str) -> StoredOutcome:
        """Return the outcome of a key with status `STORED`."""
        return self._stored[key]

    def matches_request(self, key: str, request_digest: bytes) -> bool:
        """Return whether a key is unused or was used for the same request."""
        return self._requests.get(key, request_digest) == request_digest

    def mark_running(self, key: str, request_digest: bytes) -> None:
        """Mark a key as running for a request."""
        self._running.add(key)
        self._requests[key] = request_digest

    def release(self, key: str) -> None:
        """Release a running key whose request has not run."""
        self._running.discard(key)
        self._requests.pop(key, None)

    def store(self, key: str, outcome: StoredOutcome) -> list[BodyId]:
        """Store an outcome; return the bodies that are not kept any longer."""
        self._running.discard(key)
        self._stored[key] = outcome
        if outcome.body_id is not None:
            self._sizes[key] = outcome.answer.body_bytes
            self._stored_bytes += outcome.answer.body_bytes
        dropped: list[BodyId] = []
        while self._stored_bytes > MAX_STORED_BYTES:
            dropped.extend(self._drop_body(next(iter(self._sizes))))
        if len(self._stored) > MAX_OUTCOMES:
            dropped.extend(self._evict_oldest())
        return dropped

    def _drop_body(self, key: str) -> list[BodyId]:
        outcome = self._stored[key]
        self._stored_bytes -= self._sizes.pop(key, 0)
        if outcome.body_id is None:
            return []
        self._stored[key] = replace(outcome, body_id=None)
        return [outcome.body_id]

    def _evict_oldest(self) -> list[BodyId]:
        evicted_key = next(iter(self._stored))
        dropped = self._drop_body(evicted_key)
        self._stored.pop(evicted_key)
        self._requests.pop(evicted_key, None)
        issued = parse_key(evicted_key)
        if issued is not None:
            self._expired_until_ms = max(
                self._expired_until_ms, issued.clock_ms
            )
        return dropped
