"""What probes and failures say of the local upstream."""

from typing import final

from briartack.core.calls.call_rules import CallRules
from briartack.core.events import UpstreamProbed


@final
class UpstreamHealth:
    """Own the identity and the health of the upstream, and doubts of them."""

    __slots__ = ('_identity', '_is_healthy', '_is_draining', '_must_probe')

    def __init__(self) -> None:
        """Start healthy; the first probe tells the identity."""
        self._identity = ''
        self._is_healthy = True
        self._is_draining = False
        self._must_probe = False

    @property
    def identity(self) -> str:
        """Name the present start of the upstream; empty if unknown."""
        return self._identity

    @property
    def is_healthy(self) -> bool:
        """Tell whether nothing speaks against it."""
        return self._is_healthy

    def is_open(self, rules: CallRules) -> bool:
        """Tell whether it takes new requests."""
        is_known = bool(self._identity) or not rules.needs_identity
        return self._is_healthy and not self._is_draining and is_known

    def take_doubt(self) -> bool:
        """Tell, once, whether a probe is needed before the next regular one."""
        must_probe = self._must_probe
        self._must_probe = False
        return must_probe

    def doubt(self) -> None:
        """Ask for a probe."""
        self._must_probe = True

    def lose(self) -> None:
        """Take the upstream for down until a probe says otherwise."""
        self._is_healthy = False

    def replace(self, identity: str) -> None:
        """Take the identity of another start; an empty one says nothing."""
        self._identity = identity or self._identity

    def probed(self, event: UpstreamProbed) -> None:
        """Take a probe."""
        self.replace(event.identity)
        self._is_healthy = event.is_healthy
        self._is_draining = event.is_draining
