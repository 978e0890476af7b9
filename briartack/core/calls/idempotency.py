"""Idempotency keys: their text and the outcomes that are stored for them.

An issued key carries a reading of its owner's clock. When the owner forgets
an outcome it refuses every unused key that is not newer, so a forgotten key
is never taken for a new one.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass
from random import Random
from typing import Final, final

from briartack.core.messages import Answer
from briartack.core.units import BodyId, Incarnation, InstanceId

MAX_OUTCOMES: Final = 1024
MAX_OUTCOME_BYTES: Final = 65536
_CLOCK_DIGITS: Final = 12
_RANDOM_BITS: Final = 64
_NONCE_DIGITS: Final = _CLOCK_DIGITS + _RANDOM_BITS // 4
_BASE: Final = 16
_HEX: Final = frozenset('0123456789abcdef')
_MILLISECONDS: Final = 1000


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class IssuedKey:
    """Read the parts of a key that a daemon issued."""

    instance: InstanceId
    incarnation: Incarnation
    clock_ms: int


@final
@enum.unique
class KeyStatus(enum.Enum):
    """Tell what the owner knows of a key."""

    FRESH = enum.auto()
    RUNNING = enum.auto()
    STORED = enum.auto()
    EXPIRED = enum.auto()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StoredOutcome:
    """Hold the answer of a key and, if it is small, the answer's body."""

    answer: Answer
    body_id: BodyId | None


def issue_key(
    random: Random,
    instance: InstanceId,
    incarnation: Incarnation,
    clock: float,
) -> str:
    """Make a key that names its owner, its incarnation and a nonce."""
    clock_ms = max(0, int(clock * _MILLISECONDS))
    nonce = f'{clock_ms:012x}{random.getrandbits(_RANDOM_BITS):016x}'
    return f'{instance}.{incarnation}.{nonce}'


def parse_key(key: str) -> IssuedKey | None:
    """Read an issued key; a key that a caller made up gives nothing."""
    parts = key.rsplit('.', 2)
    if len(parts) != 3 or not all(parts):
        return None
    instance, incarnation, nonce = parts
    if len(nonce) != _NONCE_DIGITS or not _HEX.issuperset(nonce):
        return None
    return IssuedKey(
        instance=InstanceId(instance),
        incarnation=Incarnation(incarnation),
        clock_ms=int(nonce[:_CLOCK_DIGITS], _BASE),
    )


@final
class OutcomesState:
    """Own the outcomes of the keys that ran at the local upstream."""

    __slots__ = ('_running', '_stored', '_requests', '_floor_ms')

    def __init__(self) -> None:
        """Start without keys."""
        self._running: set[str] = set()
        self._stored: OrderedDict[str, StoredOutcome] = OrderedDict()
        self._requests: dict[str, bytes] = {}
        self._floor_ms = -1

    def status(self, key: str) -> KeyStatus:
        """Look a key up."""
        if key in self._running:
            return KeyStatus.RUNNING
        if key in self._stored:
            return KeyStatus.STORED
        issued = parse_key(key)
        if issued is not None and issued.clock_ms <= self._floor_ms:
            return KeyStatus.EXPIRED
        return KeyStatus.FRESH

    def stored(self, key: str) -> StoredOutcome:
        """Return the outcome of a stored key."""
        return self._stored[key]

    def is_for(self, key: str, request_digest: bytes) -> bool:
        """Tell whether a key is unused or belongs to a request."""
        return self._requests.get(key, request_digest) == request_digest

    def begin(self, key: str, request_digest: bytes) -> None:
        """Mark a key as running for a request."""
        self._running.add(key)
        self._requests[key] = request_digest

    def forget(self, key: str) -> None:
        """Release a key whose request has not run."""
        self._running.discard(key)
        self._requests.pop(key, None)

    def store(self, key: str, outcome: StoredOutcome) -> BodyId | None:
        """Keep an outcome; return the body of the one it displaces."""
        self._running.discard(key)
        self._stored[key] = outcome
        if len(self._stored) <= MAX_OUTCOMES:
            return None
        old_key, old = self._stored.popitem(last=False)
        self._requests.pop(old_key, None)
        issued = parse_key(old_key)
        if issued is not None:
            self._floor_ms = max(self._floor_ms, issued.clock_ms)
        return old.body_id
