"""Choice of the owner to which the body of a call can be sent soonest.

Applies to bodies that need the grant of an owner. Owners state in their
answers how long a new body would wait.
"""

from collections.abc import Callable, Iterable
from typing import Final, TypeAlias, final

import msgspec

from briartack.core.calls.body_grants import BODY_LINK_SHARE, Urgency
from briartack.core.calls.call_context import Member
from briartack.core.calls.routing import Scopes
from briartack.core.units import InstanceId

# What an owner stated is out of date after this time: a peak lasts seconds.
STATEMENT_SECONDS: Final = 2.0
# A farther scope is chosen once the near one would use up this part of the
# time that is left; the other part is for a slot and the run.
NEAR_SHARE: Final = 0.5
# Owners whose bodies arrive within this time of each other count as equal, so
# that the load decides between them. A grant isn't needed for less.
EQUAL_SECONDS: Final = 0.02
# One owner says little about the others of a service.
MIN_STATEMENTS: Final = 2


@final
class BodyWait:
    """Hold how long a new body would wait at one owner, as it stated it."""

    __slots__ = ('_free_at', '_known_until', '_stated_until', '_urgency')

    def __init__(self) -> None:
        """Start without a statement."""
        self.reset()

    def reset(self) -> None:
        """Forget the statement."""
        self._free_at = float('-inf')
        self._known_until = float('-inf')
        self._stated_until = float('-inf')
        self._urgency: Urgency = (False, 0)

    def record(self, seconds: float, urgency: Urgency, now: float) -> None:
        """Record the wait that an owner states for bodies of an urgency."""
        self._free_at = now + max(seconds, 0)
        self._known_until = now + STATEMENT_SECONDS
        self._stated_until = self._known_until
        self._urgency = urgency

    def add_body(self, size: int, link_rate: float, now: float) -> None:
        """Add a body that this daemon is sending to the owner."""
        transfer_seconds = size / (link_rate * BODY_LINK_SHARE)
        self._free_at = max(self._free_at, now) + transfer_seconds
        self._known_until = now + STATEMENT_SECONDS

    def left_seconds(self, now: float) -> float:
        """Return the wait less its age, 0 if nothing recent is known."""
        return max(self._free_at - now, 0) if now <= self._known_until else 0

    def is_stated_for(self, urgency: Urgency, now: float) -> bool:
        """Return whether a recent statement holds for an urgency.

        A body that is less urgent waits at least as long, a more urgent one
        may overtake those that were counted.
        """
        return now <= self._stated_until and urgency >= self._urgency


@final
class BodyArrival(msgspec.Struct, frozen=True, kw_only=True):
    """Hold when a body would be at an owner, in seconds from now."""

    wait_seconds: float
    transfer_seconds: float
    is_stated: bool  # the owner has said so lately

    @property
    def seconds(self) -> float:
        """Return the seconds until the whole body is at the owner."""
        return self.wait_seconds + self.transfer_seconds


# Returns `None` for an owner that may not be chosen now.
ArrivalFunction: TypeAlias = Callable[[Member], BodyArrival | None]


@final
class AwaitedBody(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the body of a call, and the time that the call has left."""

    size: int
    urgency: Urgency
    target_seconds: float  # until the target, or the deadline without one
    deadline_seconds: float
    link_rate: float | None  # of this daemon, bytes per second
    own_instance: InstanceId

    def left_seconds(self, arrival: BodyArrival) -> float:
        """Return the time within which the body has to be at the owner.

        For a call that can't meet its target, this is the time to its deadline.
        """
        if arrival.transfer_seconds <= self.target_seconds:
            return min(self.target_seconds, self.deadline_seconds)
        return self.deadline_seconds


def order_scopes(
    scopes: Scopes, body: AwaitedBody, arrival_of: ArrivalFunction
) -> Scopes:
    """Return the scopes with the owners that get a body soonest in front.

    Return no scope if all owners that have stated their wait lately would get
    the body too late.
    """
    passed: list[tuple[Member, ...]] = []
    arrivals: list[BodyArrival] = []
    for scope in scopes:
        found = _list_arrivals(scope, arrival_of)
        if not found:
            continue
        soonest = min(arrival.seconds for _, arrival in found)
        members = tuple(
            member
            for member, arrival in found
            if arrival.seconds <= soonest + EQUAL_SECONDS
        )
        if any(
            arrival.seconds <= NEAR_SHARE * body.left_seconds(arrival)
            for _, arrival in found
        ):
            return (members, *passed, *scopes)
        passed.append(members)
        arrivals.extend(arrival for _, arrival in found)
    return () if _are_all_late(arrivals, body) else (*passed, *scopes)


def _list_arrivals(
    scope: Iterable[Member], arrival_of: ArrivalFunction
) -> list[tuple[Member, BodyArrival]]:
    found = []
    for member in scope:
        arrival = arrival_of(member)
        if arrival is not None:
            found.append((member, arrival))
    return found


def _are_all_late(arrivals: list[BodyArrival], body: AwaitedBody) -> bool:
    stated = [arrival for arrival in arrivals if arrival.is_stated]
    enough = min(MIN_STATEMENTS, len(arrivals))
    return len(stated) >= max(enough, 1) and all(
        arrival.seconds > body.left_seconds(arrival) for arrival in stated
    )
