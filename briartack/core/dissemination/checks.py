"""Peers whose answer is awaited because another daemon goes without them.

A daemon learns only of the silence of its own parents. One that would have to
replace a root has other parents, and without a check nobody would watch the
store after both roots of a region froze.
"""

from collections.abc import Iterable
from typing import Final, final

from briartack.core.units import InstanceId

# Shorter than the silence of a parent, as a question precedes it, and since
# the daemon that caused the check has already waited.
CHECK_SECONDS: Final = 0.8
# A daemon that answered is not checked again for this time, although the
# one that went without it may keep doing so.
TRUST_SECONDS: Final = 10.0


@final
class Checks:
    """Own the times at which answers are due."""

    __slots__ = ('_since', '_trusted_until')

    def __init__(self) -> None:
        """Start without checks."""
        self._since: dict[InstanceId, float] = {}
        self._trusted_until: dict[InstanceId, float] = {}

    def current(self) -> tuple[InstanceId, ...]:
        """Return the peers whose answer is awaited."""
        return tuple(self._since)

    def begin(self, now: float, peers: Iterable[InstanceId]) -> None:
        """Await answers of peers that have not just answered."""
        for peer in peers:
            if now >= self._trusted_until.get(peer, now):
                self._since.setdefault(peer, now)

    def note_contact(self, now: float, peer: InstanceId) -> None:
        """End the check of a peer that has answered."""
        if self._since.pop(peer, None) is not None:
            self._trusted_until[peer] = now + TRUST_SECONDS

    def take_silent(self, now: float) -> tuple[InstanceId, ...]:
        """Return the peers that did not answer in time and end the checks."""
        silent = tuple(
            peer
            for peer, since in self._since.items()
            if now - since >= CHECK_SECONDS
        )
        for peer in silent:
            self._since.pop(peer)
        self._trusted_until = {
            trusted: until
            for trusted, until in self._trusted_until.items()
            if now < until
        }
        return silent

    def resume(self, now: float) -> None:
        """Give all peers their full time again after a pause."""
        self._since = dict.fromkeys(self._since, now)
