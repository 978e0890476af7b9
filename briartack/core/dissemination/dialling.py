"""When to dial which peer."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from briartack.core.dissemination.overlay import Member
from briartack.core.effects import Connect, Effects
from briartack.core.units import InstanceId

REDIAL_SECONDS: Final = 10.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DialRequest:
    """Ask for a stream, at first after a delay and then in intervals."""

    member: Member
    delay_seconds: float = 0
    redial_seconds: float = REDIAL_SECONDS


@final
class Dialler:
    """Own the times of the next tries."""

    __slots__ = ('_after',)

    def __init__(self) -> None:
        """Start without plans."""
        self._after: dict[InstanceId, float] = {}

    def plan(self, peer: InstanceId, at: float) -> None:
        """Set the time of the next try."""
        self._after[peer] = at

    def due(self, now: float, requests: Iterable[DialRequest]) -> Effects:
        """Dial the peers whose time has come; the first request counts."""
        plans: dict[InstanceId, float] = {}
        effects: Effects = []
        for request in requests:
            peer = request.member.instance
            if peer in plans:
                continue
            planned = self._after.get(peer, now + request.delay_seconds)
            # An old plan may be from when the peer was wanted less.
            plans[peer] = min(planned, now + request.redial_seconds)
            if now >= plans[peer]:
                plans[peer] = now + request.redial_seconds
                address = request.member.peer_address
                effects.append(Connect(peer=peer, address=address))
        # Plans of peers that nobody wants now still bound the rate.
        self._after = plans | {
            peer: at
            for peer, at in self._after.items()
            if peer not in plans and at > now
        }
        return effects
