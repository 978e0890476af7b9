"""Receiver-driven flow control for the bodies of attempts.

A daemon whose link rate is known grants the bodies that peers send to it, so
that no queue of bodies forms in front of its link. The head of an attempt
waits here, in order of urgency, until the link has room for the body.
"""

from bisect import insort
from collections.abc import Iterator
from typing import Final, TypeAlias, final

import msgspec

from briartack.core.messages import Attempt
from briartack.core.units import AttemptId

# Bodies that take the link longer than this wait for a grant: messages behind
# smaller ones still pass in milliseconds.
UNGRANTED_SECONDS: Final = 0.02
# The link carries granted bodies for this long without another grant, which
# covers the round trips to senders in the same region.
IN_FLIGHT_SECONDS: Final = 0.1
# The rest of the link is for other messages.
BODY_LINK_SHARE: Final = 0.8
# A granted body that is so late probably never comes.
OVERDUE_SECONDS: Final = 1.0
# Interval between tries to reserve memory for the first body.
ROOM_RETRY_SECONDS: Final = 0.02

# False for an attempt that a run awaits, then its rank; lower goes first.
Urgency: TypeAlias = tuple[bool, int]


def compute_ungranted_body_bytes(
    link_bytes_per_second: float | None,
) -> int | None:
    """Return above which size bodies wait for a grant, `None` if none do."""
    if link_bytes_per_second is None:
        return None
    return int(link_bytes_per_second * UNGRANTED_SECONDS)


def compute_link_rate(ungranted_body_bytes: int) -> float:
    """Return the bytes per second of the link of a peer that states a size."""
    return max(ungranted_body_bytes, 1) / UNGRANTED_SECONDS


def get_urgency(attempt: Attempt) -> Urgency:
    """Return the urgency of an attempt, without regard to its target."""
    return not attempt.is_awaited_by_run, attempt.rank


@final
class BodyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an attempt whose body waits for a grant."""

    attempt_id: AttemptId
    size: int
    urgency: Urgency
    # The run starts in time for the target if the body is whole by then;
    # `None` if the target has passed.
    useful_until: float | None
    # The run can end by the deadline if the body is whole by then.
    latest_arrival: float


@final
class GrantResult(msgspec.Struct, frozen=True, kw_only=True):
    """List the attempts to grant and to refuse, and count overdue bodies."""

    granted: tuple[AttemptId, ...] = ()
    refused: tuple[AttemptId, ...] = ()
    overdue: int = 0


NOTHING_GRANTED: Final = GrantResult()


@final
class _WaitingBody(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a request with its place in the order and the end of its wait."""

    order: tuple[bool, int, bool, int]
    request: BodyRequest
    latest_arrival: float

    def __lt__(self, other: '_WaitingBody') -> bool:
        """Return whether the body goes first."""
        return self.order < other.order


@final
class _GrantedBody(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a body that was granted and has not arrived yet."""

    waiting: _WaitingBody
    expected_at: float


@final
class BodyGrants:
    """Hold the bodies that wait for a grant and those that are in flight.

    Without a link rate all bodies are granted at once.
    """

    __slots__ = (
        '_rate',
        '_waiting',
        '_in_flight',
        '_sequence',
        '_paused_until',
    )

    def __init__(self, *, link_bytes_per_second: float | None) -> None:
        """Start without bodies."""
        self._rate = link_bytes_per_second
        self._waiting: list[_WaitingBody] = []
        self._in_flight: dict[AttemptId, _GrantedBody] = {}
        self._sequence = 0
        self._paused_until = float('-inf')

    @property
    def waiting_count(self) -> int:
        """Return the number of bodies that wait for a grant."""
        return len(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the bodies that wait for a grant."""
        return sum(body.request.size for body in self._waiting)

    @property
    def in_flight_count(self) -> int:
        """Return the number of bodies granted and not yet received."""
        return len(self._in_flight)

    @property
    def in_flight_bytes(self) -> int:
        """Return the size of the bodies granted and not yet received."""
        return sum(
            body.waiting.request.size for body in self._in_flight.values()
        )

    @property
    def retry_at(self) -> float | None:
        """Return when the next try to reserve memory is due, if any."""
        return self._paused_until if self._waiting else None

    def replace_rate(self, link_bytes_per_second: float | None) -> None:
        """Replace the rate of the link."""
        self._rate = link_bytes_per_second

    def is_late(self, request: BodyRequest, now: float) -> bool:
        """Return whether a new body misses its target even on an idle link.

        Its deadline alone bounds its wait then, and it goes after the bodies
        that can meet their targets.
        """
        useful_until = request.useful_until
        arrives_at = now + self._transfer_seconds(request.size)
        return useful_until is None or useful_until < arrives_at

    def add(self, request: BodyRequest, now: float) -> None:
        """Add a body to those that wait; `advance` grants or refuses it."""
        useful_until = request.useful_until
        is_late = self.is_late(request, now)
        latest_arrival = request.latest_arrival
        if useful_until is not None and not is_late:
            latest_arrival = min(useful_until, latest_arrival)
        self._sequence += 1
        waiting = _WaitingBody(
            order=(*request.urgency, is_late, self._sequence),
            request=request,
            latest_arrival=latest_arrival,
        )
        insort(self._waiting, waiting)

    def end(self, attempt_id: AttemptId) -> None:
        """Remove a body that has arrived or whose attempt has ended."""
        if self._in_flight.pop(attempt_id, None) is None:
            self._waiting = [
                body
                for body in self._waiting
                if body.request.attempt_id != attempt_id
            ]

    def put_back(self, attempt_id: AttemptId, now: float) -> None:
        """Let a granted body without memory wait again, in its old place.

        No body is granted before the next try, so that small bodies don't take
        all memory that becomes free from a large one.
        """
        granted = self._in_flight.pop(attempt_id, None)
        if granted is not None:
            insort(self._waiting, granted.waiting)
            self._paused_until = now + ROOM_RETRY_SECONDS

    def advance(self, now: float) -> GrantResult:
        """Grant the bodies for which the link has room; refuse late ones."""
        if not self._waiting:
            # Overdue bodies matter only to others that wait.
            return NOTHING_GRANTED
        overdue = self._drop_overdue(now)
        refused = self._drop_late(now)
        granted = tuple(self._grant(now))
        return GrantResult(granted=granted, refused=refused, overdue=overdue)

    def wait_seconds(self, now: float, urgency: Urgency) -> float:
        """Return how long a new body in time would wait for its grant."""
        if not self._waiting and not self._in_flight:
            return 0
        order = (*urgency, False, self._sequence + 1)
        ahead = sum(
            body.request.size for body in self._waiting if body.order < order
        )
        return self._in_flight_seconds(now) + self._transfer_seconds(ahead)

    def _grant(self, now: float) -> Iterator[AttemptId]:
        """Yield the bodies to grant, strictly in order.

        A smaller body doesn't overtake one that has to wait for the link.
        """
        if now < self._paused_until:
            return
        while self._waiting:
            waiting = self._waiting[0]
            size = waiting.request.size
            if not self._fits(size):
                return
            self._waiting.pop(0)
            expected_at = (
                now
                + self._in_flight_seconds(now)
                + self._transfer_seconds(size)
            )
            attempt_id = waiting.request.attempt_id
            self._in_flight[attempt_id] = _GrantedBody(
                waiting=waiting, expected_at=expected_at
            )
            yield attempt_id

    def _fits(self, size: int) -> bool:
        if self._rate is None or not self._in_flight:
            return True
        return self.in_flight_bytes + size <= self._rate * IN_FLIGHT_SECONDS

    def _drop_overdue(self, now: float) -> int:
        """Stop counting bodies that should have arrived long ago."""
        overdue = [
            attempt_id
            for attempt_id, body in self._in_flight.items()
            if now >= body.expected_at + OVERDUE_SECONDS
        ]
        for attempt_id in overdue:
            self._in_flight.pop(attempt_id)
        return len(overdue)

    def _drop_late(self, now: float) -> tuple[AttemptId, ...]:
        """Remove and return the bodies that would arrive too late."""
        kept: list[_WaitingBody] = []
        dropped: list[AttemptId] = []
        link_free_at = now + self._in_flight_seconds(now)
        for body in self._waiting:
            size = body.request.size
            arrives_at = link_free_at + self._transfer_seconds(size)
            if arrives_at > body.latest_arrival:
                dropped.append(body.request.attempt_id)
            else:
                kept.append(body)
                link_free_at = arrives_at
        self._waiting = kept
        return tuple(dropped)

    def _in_flight_seconds(self, now: float) -> float:
        """Return how long the link is expected to carry granted bodies."""
        if not self._in_flight:
            return 0
        left_seconds = max(
            body.expected_at - now for body in self._in_flight.values()
        )
        most_seconds = self._transfer_seconds(self.in_flight_bytes)
        return min(max(left_seconds, 0), most_seconds)

    def _transfer_seconds(self, size: int) -> float:
        if self._rate is None:
            return 0
        return size / (self._rate * BODY_LINK_SHARE)
