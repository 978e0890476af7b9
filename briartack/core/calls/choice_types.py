"""What a choice of an endpoint needs, and its results.

Used by `endpoint_choice` and the modules that it consults.
"""

import enum
from typing import Final, TypeAlias, final

import msgspec

from briartack.core.calls.call_context import Member, Regions
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.effects import Effects
from briartack.core.units import InstanceId

LARGE_BODY_BYTES: Final = 16_384


@final
@enum.unique
class SelectionFailure(enum.Enum):
    """Enumerate the reasons why no endpoint can be chosen now or soon."""

    PLACEMENT = enum.auto()
    KEY_OWNER_GONE = enum.auto()
    NO_ENDPOINT = enum.auto()
    # Only owners without room for a large body are left.
    NO_ROOM = enum.auto()
    # No instance would complete the call by its deadline.
    OVERLOAD = enum.auto()
    # The planned stop of this daemon would abort a run of average length.
    STOP_TOO_NEAR = enum.auto()


@final
class ChosenEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a chosen endpoint and the home regions that allow its use.

    One that is the last resort may have a planned stop before the deadline of
    the call; no other is available.
    """

    member: Member
    regions: Regions
    is_last_resort: bool = False


# A list of effects dials peers, and the call waits for their streams.
EndpointChoice: TypeAlias = ChosenEndpoint | SelectionFailure | Effects


@final
class AttemptNeeds(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the next attempt of a call needs of its endpoint.

    `allows_tried` permits tried instances if no other is available. An owner
    that has just refused a call would refuse it again, so the flag is false
    after a free refusal.
    """

    limits: ServiceLimits  # of each upstream of the service
    # Without these two, the endpoint is chosen by load alone.
    service: str = ''
    route: str = ''
    # The latency target and the deadline of the call.
    target_at: float = float('inf')
    deadline: float = float('inf')
    tried_instances: tuple[InstanceId, ...] = ()
    allows_tried: bool = True
    body_bytes: int = 0
    has_large_answers: bool = False  # most answers of the route are large
    has_met_overload: bool = False  # an owner has refused the call for it

    @property
    def is_large(self) -> bool:
        """Return whether the body or the answer is probably large."""
        return self.has_large_answers or self.body_bytes >= LARGE_BODY_BYTES
