"""The owner's watch for requests that crash its upstream."""

from typing import final

from briartack.core.calls.crash_detection import (
    CrashDetector,
    compute_attempt_fingerprint,
)
from briartack.core.calls.crash_suspects import CrashSuspects
from briartack.core.calls.fingerprint import Fingerprint
from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.events import UpstreamFailed, UpstreamProbed
from briartack.core.messages import Attempt


@final
class CrashWatch:
    """Turn what happens at the local upstream into evidence on requests."""

    __slots__ = ('_suspects', '_detector')

    def __init__(self) -> None:
        self._detector = CrashDetector()
        self._suspects = CrashSuspects(
            has_completed=self._detector.has_completed
        )

    @property
    def suspects(self) -> CrashSuspects:
        """Return the suspects, of this daemon and of its peers."""
        return self._suspects

    def is_refused(self, attempt: Attempt, now: float) -> bool:
        """Return whether the request of an attempt is refused as a suspect."""
        if not self._suspects:
            return False
        fingerprint = compute_attempt_fingerprint(attempt)
        return self._suspects.is_refused(fingerprint, now)

    def handle_answer(self, now: float, attempt: Attempt) -> Effects:
        """Record that a request completed, which clears it."""
        fingerprint = self._detector.record_completion(now, attempt)
        if not self._suspects:
            return []
        return self._suspects.clear(fingerprint, 'completed')

    def handle_failure(self, event: UpstreamFailed, attempt: Attempt) -> None:
        """Record that a running request ended by a reset."""
        if event.is_reset and event.may_have_run:
            self._detector.record_reset(event.now, attempt)

    def handle_probe(
        self,
        event: UpstreamProbed,
        known_identity: str,
        running: int,
    ) -> Effects:
        """Record the evidence if the probe shows that the upstream ended."""
        end_id = self._detector.end_id
        withdrawn = self._detector.take_withdrawn(event, known_identity)
        effects = self._suspects.withdraw_end(end_id, withdrawn)
        ended = self._detector.handle_probe(event, known_identity, running)
        if not ended:
            return effects
        end_id = self._detector.end_id
        return [
            *effects,
            _report_end(known_identity, end_id, ended),
            *self._suspects.record_end(event.now, end_id, ended),
        ]


def _report_end(
    upstream: str, end_id: bytes, fingerprints: tuple[Fingerprint, ...]
) -> WriteLog:
    fields = (
        ('upstream', upstream),
        ('end', end_id.hex()),
        ('fingerprints', ' '.join(found.hex() for found in fingerprints)),
    )
    return WriteLog(
        level=LogLevel.WARNING, code='upstream-ended', fields=fields
    )
