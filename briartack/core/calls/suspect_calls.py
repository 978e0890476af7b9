"""How the sender treats a call whose request may crash its upstreams."""

from typing import Final, NamedTuple, final

from briartack.core.calls.call_table import Call
from briartack.core.calls.crash_suspects import CrashSuspects
from briartack.core.calls.fingerprint import Fingerprint, compute_fingerprint


@final
class Suspicion(NamedTuple):
    """Hold what the evidence against the request of a call asks for."""

    refused_seconds: float  # 0 if the call may be sent
    # Set if the next attempt must go to the one upstream that all daemons
    # choose for this request.
    isolated: Fingerprint | None


NO_SUSPICION: Final = Suspicion(0, None)


def find_suspicion(
    suspects: CrashSuspects, call: Call, now: float
) -> Suspicion:
    """Return the suspicion against the request of a call."""
    if not suspects:
        return NO_SUSPICION
    fingerprint = compute_fingerprint(
        service=call.share.service,
        method=call.event.method,
        target=call.event.target,
        body_bytes=call.body_bytes,
        body_digest=call.body_digest,
    )
    is_isolated = suspects.has_evidence(fingerprint)
    return Suspicion(
        suspects.refused_seconds(fingerprint, now),
        fingerprint if is_isolated else None,
    )
