"""Detect that the local upstream ended, and what it was running then.

A reset connection alone does not show that the process has ended. The health
probe after it does, if nothing accepts the connection or another identity
answers.
"""

from hashlib import blake2b
from typing import Final, final

from briartack.core.calls.fingerprint import (
    END_ID_BYTES,
    Fingerprint,
    compute_fingerprint,
)
from briartack.core.events import UpstreamProbed
from briartack.core.messages import Attempt

# Resets without a conclusive probe say nothing after this time.
MAX_RESET_AGE_SECONDS: Final = 2.0
# A request that completed this shortly before the end did not cause it. This
# spares popular requests when many upstreams are killed at once.
COMPLETION_SECONDS: Final = 2.0
MAX_COMPLETIONS: Final = 1024
MAX_RESETS: Final = 64


@final
class CrashDetector:
    """Hold the latest resets and completions at the local upstream."""

    __slots__ = ('_resets', '_completions', '_end_id', '_has_answered')

    def __init__(self) -> None:
        self._resets: dict[Fingerprint, float] = {}
        # Times by the hash of a request, the latest at the end.
        self._completions: dict[int, float] = {}
        self._end_id = b''
        self._has_answered = True

    @property
    def end_id(self) -> bytes:
        """Return the id of the latest end of the upstream."""
        return self._end_id

    def record_completion(self, now: float, attempt: Attempt) -> None:
        """Record that the upstream answered a request."""
        key = _hash_request(attempt)
        self._completions.pop(key, None)
        self._completions[key] = now
        if len(self._completions) > MAX_COMPLETIONS:
            self._completions.pop(next(iter(self._completions)))

    def record_reset(self, now: float, attempt: Attempt) -> None:
        """Record that the connection of a running request was reset."""
        completed_at = self._completions.get(_hash_request(attempt))
        if completed_at is not None and now - completed_at < COMPLETION_SECONDS:
            return
        if len(self._resets) < MAX_RESETS:
            self._resets[compute_attempt_fingerprint(attempt)] = now

    def handle_probe(
        self, event: UpstreamProbed, known_identity: str, running: int
    ) -> tuple[Fingerprint, ...]:
        """Return the requests that ran when the upstream ended, if it did.

        Requests that are still running show that the upstream has not ended.
        """
        is_replaced = event.identity not in {'', known_identity}
        is_silent = not event.is_healthy and not event.identity
        if is_silent and running:
            return ()
        ended = tuple(
            fingerprint
            for fingerprint, reset_at in self._resets.items()
            if event.now - reset_at < MAX_RESET_AGE_SECONDS
        )
        self._resets.clear()
        if not (is_silent or is_replaced):
            ended = ()
        if ended and self._has_answered:
            self._end_id = _compute_end_id(known_identity, event.now, ended)
            self._has_answered = False
        if event.is_healthy:
            self._has_answered = True
        return ended


def compute_attempt_fingerprint(attempt: Attempt) -> Fingerprint:
    """Return the fingerprint of the request of an attempt."""
    return compute_fingerprint(
        service=attempt.service,
        method=attempt.method,
        target=attempt.target,
        body_bytes=attempt.body_bytes,
        body_digest=attempt.body_digest,
    )


def _compute_end_id(
    identity: str, now: float, fingerprints: tuple[Fingerprint, ...]
) -> bytes:
    """Return an id that differs from those of all other ends."""
    parts = (identity.encode(), repr(now).encode(), *fingerprints)
    return blake2b(b'\n'.join(parts), digest_size=END_ID_BYTES).digest()


def _hash_request(attempt: Attempt) -> int:
    return hash(
        (
            attempt.method,
            attempt.target,
            attempt.body_bytes,
            attempt.body_digest,
        ),
    )
