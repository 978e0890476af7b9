"""Probe of another region by a daemon that has just started.

The daemon opens a stream to a randomly chosen daemon of another region for a
short time. The summary of that daemon shows a higher revision if this whole
region is behind.
"""

from collections.abc import Sequence
from random import Random
from typing import Final, final

from briartack.core.dissemination.overlay import Member
from briartack.core.units import InstanceId

# A longer probe would only add heartbeats on paid links between regions.
PROBE_DURATION_SECONDS: Final = 10.0
MAX_PROBED_MEMBERS: Final = 3


@final
class RemoteProbe:
    """Choose the daemon of another region to probe.

    Holds the chosen daemon, the number of daemons chosen so far, and the end
    of the probe.
    """

    __slots__ = (
        '_region',
        '_random',
        '_probed_member',
        '_chosen_count',
        '_ends_at',
    )

    def __init__(self, *, region: str, random: Random) -> None:
        self._region = region
        self._random = random
        self._probed_member: Member | None = None
        self._chosen_count = 0
        self._ends_at: float | None = None

    def probed_members(self) -> tuple[Member, ...]:
        """Return the daemon to probe, or an empty tuple if there is none."""
        return () if self._probed_member is None else (self._probed_member,)

    def drop_unreachable(self, peer: InstanceId) -> None:
        """Drop the daemon to probe if it is the given unreachable peer."""
        if (
            self._probed_member is not None
            and self._probed_member.instance == peer
        ):
            self._probed_member = None

    def update(self, now: float, members: Sequence[Member]) -> None:
        """Choose a daemon to probe, or end the probe after its duration."""
        if self._ends_at is None:
            self._ends_at = now + PROBE_DURATION_SECONDS
        if now >= self._ends_at:
            self._probed_member = None
        elif (
            self._probed_member is None
            and self._chosen_count < MAX_PROBED_MEMBERS
        ):
            self._choose_member(members)

    def _choose_member(self, members: Sequence[Member]) -> None:
        others = [member for member in members if member.region != self._region]
        if others:
            self._chosen_count += 1
            self._probed_member = self._random.choice(others)
