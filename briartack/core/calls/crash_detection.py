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

    __slots__ = (
        '_resets',
        '_completions',
        '_end_id',
        '_has_answered',
        '_ended',
    )

    def __init__(self) -> None:
        self._resets: dict[Fingerprint, float] = {}
        self._completions: dict[Fingerprint, float] = {}  # the latest last
        self._end_id = b''
        self._has_answered = True
        # The requests that count the latest end against them.
        self._ended: dict[Fingerprint, None] = {}

    @property
    def end_id(self) -> bytes:
        """Return the id of the latest end of the upstream."""
        return self._end_id

    def record_completion(self, now: float, attempt: Attempt) -> Fingerprint:
        """Record that the upstream answered a request.

        Return the fingerprint of the request.
        """
        fingerprint = compute_attempt_fingerprint(attempt)
        self._completions.pop(fingerprint, None)
        self._completions[fingerprint] = now
        if len(self._completions) > MAX_COMPLETIONS:
            self._completions.pop(next(iter(self._completions)))
        return fingerprint

    def has_completed(self, fingerprint: Fingerprint, ended_at: float) -> bool:
        """Return whether a request completed shortly before an end or since."""
        completed_at = self._completions.get(fingerprint)
        return (
            completed_at is not None
            and ended_at - completed_at < COMPLETION_SECONDS
        )

    def record_reset(self, now: float, attempt: Attempt) -> None:
        """Record that the connection of a running request was reset."""
        fingerprint = compute_attempt_fingerprint(attempt)
        if self.has_completed(fingerprint, now):
            return
        if len(self._resets) < MAX_RESETS:
            self._resets[fingerprint] = now

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
            self._ended.clear()
        self._ended.update(dict.fromkeys(ended))
        if event.is_healthy:
            self._has_answered = True
        return ended

    def take_withdrawn(
        self, event: UpstreamProbed, known_identity: str
    ) -> tuple[Fingerprint, ...]:
        """Return the requests of an end that a probe disproves, once.

        The process from before answers. One that has just started is cold.
        """
        if not event.identity:
            return ()
        is_same = event.identity == known_identity and not event.cold_seconds
        withdrawn = tuple(self._ended) if is_same else ()
        self._ended.clear()
        return withdrawn


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
