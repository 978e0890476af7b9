"""Liveness checks of peers that another daemon no longer uses as parents.

A daemon notices only the silence of its own parents. The daemon that should
replace a failed root has other parents, so without these checks no daemon
would watch the store after both roots of a region froze.
"""

from collections.abc import Iterable
from typing import Final, final

from briartack.core.units import InstanceId

# Shorter than the silence after which a parent is suspected: the peer is
# probed during the check, and the daemon that caused the check has already
# waited for the peer.
CHECK_TIMEOUT_SECONDS: Final = 0.8
# A peer that answered is not checked again for this time, although the daemon
# that caused the check may go on without the peer as its parent.
CHECK_EXEMPTION_SECONDS: Final = 10.0


@final
class LivenessChecks:
    """Track the peers that have to answer a liveness check.

    Holds the start time of each running check, and for each peer that has
    answered one, the time until which no new check starts.
    """

    __slots__ = ('_pending_since', '_exempt_until')

    def __init__(self) -> None:
        self._pending_since: dict[InstanceId, float] = {}
        self._exempt_until: dict[InstanceId, float] = {}

    def pending_peers(self) -> tuple[InstanceId, ...]:
        """Return the peers whose check is still running."""
        return tuple(self._pending_since)

    def start(self, now: float, peers: Iterable[InstanceId]) -> None:
        """Start a check of each peer that has not just answered one."""
        for peer in peers:
            if now >= self._exempt_until.get(peer, now):
                self._pending_since.setdefault(peer, now)

    def record_contact(self, now: float, peer: InstanceId) -> None:
        """End the check of a peer that has connected or sent a message."""
        if self._pending_since.pop(peer, None) is not None:
            self._exempt_until[peer] = now + CHECK_EXEMPTION_SECONDS

    def pop_timed_out(self, now: float) -> tuple[InstanceId, ...]:
        """Return the peers that did not answer in time and end their checks."""
        silent = tuple(
            peer
            for peer, since in self._pending_since.items()
            if now - since >= CHECK_TIMEOUT_SECONDS
        )
        for peer in silent:
            self._pending_since.pop(peer)
        self._exempt_until = {
            exempt: until
            for exempt, until in self._exempt_until.items()
            if now < until
        }
        return silent

    def resume(self, now: float) -> None:
        """Restart the timeout of every check after a pause of this process."""
        self._pending_since = dict.fromkeys(self._pending_since, now)
