"""One daemon of another region, asked once by a daemon that has started.

It tells of a higher version when the whole own region is behind.
"""

from collections.abc import Sequence
from random import Random
from typing import Final, final

from briartack.core.dissemination.overlay import Member
from briartack.core.units import InstanceId

# Longer would cost a heartbeat per daemon on paid links for nothing.
PROBE_SECONDS: Final = 10.0
PROBE_TRIES: Final = 3


@final
class RemoteProbe:
    """Own the choice of the daemon."""

    __slots__ = ('_region', '_random', '_member', '_tries', '_until')

    def __init__(self, *, region: str, random: Random) -> None:
        """Start without a choice."""
        self._region = region
        self._random = random
        self._member: Member | None = None
        self._tries = 0
        self._until: float | None = None

    def current(self) -> tuple[Member, ...]:
        """Return the daemon, if there is one."""
        return () if self._member is None else (self._member,)

    def fail(self, peer: InstanceId) -> None:
        """Give up a daemon that can't be reached."""
        if self._member is not None and self._member.instance == peer:
            self._member = None

    def follow(self, now: float, members: Sequence[Member]) -> None:
        """Choose a daemon, or end the choice when its time is over."""
        if self._until is None:
            self._until = now + PROBE_SECONDS
        if now >= self._until:
            self._member = None
        elif self._member is None and self._tries < PROBE_TRIES:
            self._choose(members)

    def _choose(self, members: Sequence[Member]) -> None:
        others = [member for member in members if member.region != self._region]
        if others:
            self._tries += 1
            self._member = self._random.choice(others)
