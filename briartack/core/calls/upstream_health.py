"""Health and identity of the local upstream, from probes and failures."""

from typing import final

from briartack.core.calls.call_rules import CallRules
from briartack.core.events import UpstreamProbed


@final
class UpstreamHealth:
    """Hold the upstream's identity and health, and a pending probe request."""

    __slots__ = (
        '_identity',
        '_verified_identity',
        '_is_healthy',
        '_is_draining',
        '_is_probe_requested',
        '_rules',
    )

    def __init__(self, *, rules: CallRules) -> None:
        """Start healthy, with an unknown identity until the first probe."""
        self._identity = ''
        self._verified_identity = ''
        self._is_healthy = True
        self._is_draining = False
        self._is_probe_requested = False
        self._rules = rules

    @property
    def identity(self) -> str:
        """Return the id of this start of the upstream, or empty if unknown."""
        return self._identity

    @property
    def is_verified(self) -> bool:
        """Return whether the instance list has the identity in this service."""
        return bool(self._identity) and (
            self._identity == self._verified_identity
        )

    @property
    def is_healthy(self) -> bool:
        """Return whether no probe or failure has marked the upstream down."""
        return self._is_healthy

    @property
    def may_start(self) -> bool:
        """Return whether requests may be sent under the present identity."""
        return self.is_verified or not self._rules.requires_identity

    @property
    def is_open(self) -> bool:
        """Return whether the upstream accepts new requests."""
        is_usable = self._is_healthy and not self._is_draining
        return is_usable and self.may_start

    def replace_rules(self, rules: CallRules) -> None:
        """Replace the rules that say whether an identity is required."""
        self._rules = rules

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

    def verify(self, *, is_own_service: bool) -> None:
        """Record whether the instance list has the identity in this service.

        It says nothing of a later identity.
        """
        self._verified_identity = self._identity if is_own_service else ''

    def handle_probe(self, event: UpstreamProbed) -> None:
        """Record the result of a probe."""
        self.update_identity(event.identity)
        self._is_healthy = event.is_healthy
        self._is_draining = event.is_draining
