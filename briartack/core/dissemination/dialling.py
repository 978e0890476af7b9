"""Schedule of the attempts to open streams to peers."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from briartack.core.dissemination.overlay import Member
from briartack.core.effects import Connect, Effects
from briartack.core.units import InstanceId

REDIAL_INTERVAL_SECONDS: Final = 10.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DialRequest:
    """Request a stream to a peer.

    Holds the delay before the first attempt and the interval between further
    attempts.
    """

    member: Member
    delay_seconds: float = 0
    redial_seconds: float = REDIAL_INTERVAL_SECONDS


@final
class Dialler:
    """Dial peers at a limited rate.

    Holds the time of the next attempt for each peer.
    """

    __slots__ = ('_next_dial_at',)

    def __init__(self) -> None:
        self._next_dial_at: dict[InstanceId, float] = {}

    def schedule(self, peer: InstanceId, at: float) -> None:
        """Set the time of the next attempt to dial a peer."""
        self._next_dial_at[peer] = at

    def dial_due_peers(
        self, now: float, requests: Iterable[DialRequest]
    ) -> Effects:
        """Dial the requested peers whose next attempt is due.

        If several requests name the same peer, the first of them counts.
        """
        next_dials: dict[InstanceId, float] = {}
        effects: Effects = []
        for request in requests:
            peer = request.member.instance
            if peer in next_dials:
                continue
            scheduled_at = self._next_dial_at.get(
                peer, now + request.delay_seconds
            )
            # An earlier request may have scheduled a longer delay than this
            # request allows.
            next_dials[peer] = min(scheduled_at, now + request.redial_seconds)
            if now >= next_dials[peer]:
                next_dials[peer] = now + request.redial_seconds
                address = request.member.peer_address
                effects.append(Connect(peer=peer, address=address))
        # Peers without a request keep their scheduled times, so that a new
        # request for such a peer does not exceed the rate.
        self._next_dial_at = next_dials | {
            peer: at
            for peer, at in self._next_dial_at.items()
            if peer not in next_dials and at > now
        }
        return effects
