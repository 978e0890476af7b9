"""What the owners of one service state in their answers, and its age.

Used by `expected_times`, which estimates from it when a call would complete.
"""

from typing import Final, final

import msgspec

from briartack.core.messages import Answer
from briartack.core.units import InstanceId

# An instance without news for this time counts as typical for its service:
# spells of slow work last about 0.6 s, and queues drain within a target.
NEWS_SECONDS: Final = 2.0
# Half of the difference to the typical slowdown is left after this time, as in
# the estimate of the owners.
SLOWDOWN_HALF_LIFE_SECONDS: Final = 0.6
# Typical values are recomputed after this time, so that a call costs no loop.
TYPICAL_MAX_AGE_SECONDS: Final = 0.2
# Without any news for this time, nothing is known of a service.
FORGOTTEN_SECONDS: Final = 10.0


@final
class StatedTimes:
    """Hold what one owner stated last, and the attempts sent since."""

    __slots__ = (
        'slowdown',
        'wait_seconds',
        'run_seconds',
        'body_wait_seconds',
        'load',
        'stated_at',
        'sent_at',
    )

    def __init__(self) -> None:
        self.slowdown = float(0)  # 0 is unknown
        self.wait_seconds = float(0)
        self.run_seconds = float(0)
        self.body_wait_seconds = float(0)
        self.load = float(0)
        self.stated_at = float('-inf')
        # Times of the attempts that the last statement does not include.
        self.sent_at: list[float] = []

    def update(
        self, answer: Answer, now: float, round_trip_seconds: float
    ) -> None:
        """Record the statement in an answer.

        Attempts sent within the last round trip reached the owner after it
        had made the statement.
        """
        self.slowdown = max(answer.slowdown, 0)
        self.wait_seconds = max(answer.wait_seconds, 0)
        self.body_wait_seconds = max(answer.body_wait_seconds, 0)
        if answer.run_seconds > 0:
            self.run_seconds = answer.run_seconds
        self.load = max(answer.load, 0)
        self.stated_at = now
        self._drop_sent_before(now - round_trip_seconds)

    def record_sent(self, now: float) -> None:
        """Count an attempt sent to the owner."""
        # Attempts that ended without an answer count no longer.
        self._drop_sent_before(now - NEWS_SECONDS)
        self.sent_at.append(now)

    def has_free_slot(self, now: float, slots: int) -> bool:
        """Return whether a new attempt would probably start at once."""
        if now - self.stated_at > NEWS_SECONDS or self.wait_seconds:
            return False
        return self.load + len(self.sent_at) / slots < 1

    def _drop_sent_before(self, at: float) -> None:
        sent_at = self.sent_at
        if sent_at and sent_at[0] <= at:
            self.sent_at = [sent for sent in sent_at if sent > at]


@final
class TypicalStatement(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the means of what the instances of a service have stated lately."""

    computed_at: float
    slowdown: float  # 0 if no instance states one
    wait_seconds: float
    run_seconds: float
    body_wait_seconds: float
    load: float
    smallest_wait_seconds: float  # of all instances


@final
class ServiceTimes:
    """Hold the statements of the instances of one service."""

    __slots__ = (
        'in_flight',
        'is_away',
        'ungranted_body_bytes',
        '_ungranted_by_instance',
        '_instances',
        '_typical',
        '_checked_at',
    )

    def __init__(self) -> None:
        self.in_flight = 0  # attempts of this daemon
        # Calls go beyond the home scope, until it has recovered.
        self.is_away = False
        # The smallest size of any instance above which bodies need a grant.
        self.ungranted_body_bytes: int | None = None
        self._ungranted_by_instance: dict[InstanceId, int] = {}
        self._instances: dict[InstanceId, StatedTimes] = {}
        self._typical: TypicalStatement | None = None
        self._checked_at = float('-inf')

    def get(self, instance: InstanceId) -> StatedTimes | None:
        """Return what an instance has stated, or `None`."""
        return self._instances.get(instance)

    def get_or_add(self, instance: InstanceId) -> StatedTimes:
        """Return the record of an instance; it is empty if it is new."""
        stated = self._instances.get(instance)
        if stated is None:
            stated = StatedTimes()
            self._instances[instance] = stated
        return stated

    def forget(self, instance: InstanceId) -> None:
        """Forget an instance, whose stream has ended."""
        self._instances.pop(instance, None)
        self.record_ungranted(instance, None)

    def record_ungranted(self, instance: InstanceId, size: int | None) -> None:
        """Record above which size an instance grants bodies, if it does."""
        sizes = self._ungranted_by_instance
        if sizes.get(instance) == size:
            return
        if size is None:
            sizes.pop(instance)
        else:
            sizes[instance] = size
        self.ungranted_body_bytes = min(sizes.values(), default=None)

    def find_typical(self, now: float) -> TypicalStatement | None:
        """Return the typical values, or `None` if nothing is known."""
        if now - self._checked_at >= TYPICAL_MAX_AGE_SECONDS:
            typical = self.peek_typical(now)
            self._checked_at = now
            if typical is None and self._typical is not None:
                self._instances.clear()
            self._typical = typical
        return self._typical

    def peek_typical(self, now: float) -> TypicalStatement | None:
        """Return what `find_typical` would return, without storing it."""
        if now - self._checked_at < TYPICAL_MAX_AGE_SECONDS:
            return self._typical
        fresh = [
            stated
            for stated in self._instances.values()
            if now - stated.stated_at <= NEWS_SECONDS
        ]
        if fresh:
            return _compute_typical(fresh, now)
        typical = self._typical
        if typical is None or now - typical.computed_at > FORGOTTEN_SECONDS:
            return None
        return typical

    def find_typical_for(
        self, now: float, body_bytes: int
    ) -> TypicalStatement | None:
        """Return the typical values if they decide on a call."""
        typical = self.find_typical(now)
        if typical is None or not self.decides(typical, body_bytes):
            return None
        return typical

    def decides(self, typical: TypicalStatement, body_bytes: int) -> bool:
        """Return whether typical values decide on a call.

        They do if instances state a slowdown, or if the body needs a grant.
        """
        return typical.slowdown > 0 or self.is_granted(body_bytes)

    def is_granted(self, body_bytes: int) -> bool:
        """Return whether a body of this size probably needs a grant."""
        size = self.ungranted_body_bytes
        return size is not None and body_bytes > size


def _compute_typical(fresh: list[StatedTimes], now: float) -> TypicalStatement:
    waits = [max(0, one.wait_seconds - now + one.stated_at) for one in fresh]
    body_waits = [
        max(0, one.body_wait_seconds - now + one.stated_at) for one in fresh
    ]
    return TypicalStatement(
        computed_at=now,
        slowdown=_compute_known_mean([one.slowdown for one in fresh]),
        wait_seconds=sum(waits) / len(waits),
        run_seconds=_compute_known_mean([one.run_seconds for one in fresh]),
        body_wait_seconds=sum(body_waits) / len(body_waits),
        load=sum(one.load for one in fresh) / len(fresh),
        smallest_wait_seconds=min(waits),
    )


def _compute_known_mean(figures: list[float]) -> float:
    """Return the mean of the figures above 0, which stands for unknown."""
    known = [figure for figure in figures if figure]
    return sum(known) / len(known) if known else 0
