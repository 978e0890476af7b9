"""Health and identity of the local upstream, from probes and failures."""

from typing import final

from briartack.core.calls.call_rules import CallRules
from briartack.core.events import UpstreamProbed


@final
class UpstreamHealth:
    """Hold the upstream's identity and health, and a pending probe request."""

    __slots__ = (
        '_identity',
        '_is_healthy',
        '_is_draining',
        '_is_probe_requested',
    )

    def __init__(self) -> None:
        """Start healthy, with an unknown identity until the first probe."""
        self._identity = ''
        self._is_healthy = True
        self._is_draining = False
        self._is_probe_requested = False

    @property
    def identity(self) -> str:
        """Return the id of this start of the upstream, or empty if unknown."""
        return self._identity

    @property
    def is_healthy(self) -> bool:
        """Return whether no probe or failure has marked the upstream down."""
        return self._is_healthy

    def is_open(self, rules: CallRules) -> bool:
        """Return whether the upstream accepts new requests."""
        is_known = bool(self._identity) or not rules.requires_identity
        return self._is_healthy and not self._is_draining and is_known

    def take_probe_request(self) -> bool:
        """Return and clear the request for an early probe."""
        is_requested = self._is_probe_requested
        self._is_probe_requested = False
        return is_requested

    def request_probe(self) -> None:
        """Request a probe ahead of the next regular one."""
        self._is_probe_requested = True

    def mark_down(self) -> None:
        """Mark the upstream as down until a probe reports otherwise."""
        self._is_healthy = False

    def update_identity(self, identity: str) -> None:
        """Set the identity of the upstream; an empty one changes nothing."""
        self._identity = identity or self._identity

    def handle_probe(self, event: UpstreamProbed) -> None:
        """Record the result of a probe."""
        self.update_identity(event.identity)
        self._is_healthy = event.is_healthy
        self._is_draining = event.is_draining
