"""When callers that were refused for overload may return.

A refusal tells its caller a time (`Retry-After`). The returns are spread so
that no more callers come back than slots become free for this daemon.
"""

from typing import Final, final

from briartack.core.calls.call_context import CallContext, Member
from briartack.core.calls.call_table import Call
from briartack.core.calls.expected_times import ExpectedTimes
from briartack.core.calls.stated_times import ServiceTimes, TypicalStatement

# A caller that returns sooner meets the same queue.
MIN_RETURN_SECONDS: Final = 0.02
# Callers heed a longer time only in part; a later try would find too little
# time to run.
MAX_RETURN_SHARE: Final = 1 / 3
# The refusals of this time widen the draw.
REFUSAL_WINDOW_SECONDS: Final = 1.0
MAX_SERVICES: Final = 4096


@final
class RefusalCounter:
    """Estimate the refusals of the last second from two fixed windows."""

    __slots__ = ('_began_at', '_current', '_previous')

    def __init__(self) -> None:
        self._began_at = float('-inf')
        self._current = 0
        self._previous = 0

    def record(self, now: float) -> float:
        """Count a refusal and return the number within the last second."""
        elapsed = now - self._began_at
        if elapsed >= REFUSAL_WINDOW_SECONDS:
            is_next = elapsed < 2 * REFUSAL_WINDOW_SECONDS
            self._previous = self._current if is_next else 0
            self._current = 0
            self._began_at = (
                self._began_at + REFUSAL_WINDOW_SECONDS if is_next else now
            )
            elapsed = now - self._began_at
        self._current += 1
        left_share = 1 - elapsed / REFUSAL_WINDOW_SECONDS
        return self._current + self._previous * left_share


@final
class _ReturnSchedule:
    """Hold the refusals of one service and when the last caller returns."""

    __slots__ = ('refusals', 'last_return_at', 'members', 'slots')

    def __init__(self) -> None:
        self.refusals = RefusalCounter()
        self.last_return_at = float('-inf')
        self.members: tuple[Member, ...] = ()
        self.slots = 0

    def count_slots(self, members: tuple[Member, ...], default: int) -> int:
        """Return the slots of a service, cached until its list changes."""
        if self.members is not members:
            self.members = members
            self.slots = sum(member.slots or default for member in members)
        return max(self.slots, 1)


@final
class ReturnTimes:
    """Schedule the returns of refused callers, by service."""

    __slots__ = ('_expected_times', '_schedules')

    def __init__(self, *, expected_times: ExpectedTimes) -> None:
        self._expected_times = expected_times
        self._schedules: dict[str, _ReturnSchedule] = {}

    def draw_seconds(
        self, context: CallContext, now: float, call: Call
    ) -> float | None:
        """Return after how many seconds the caller may return.

        Return `None` if the choice of instances rests on their load alone.
        """
        service = call.share.service
        times = self._expected_times.get(service)
        if times is None:
            return None
        typical = times.find_typical_for(now, call.body_bytes)
        if typical is None or typical.run_seconds <= 0:
            return None
        schedule = self._get_or_add(service)
        slots = schedule.count_slots(
            context.members.live_members_of(service), call.share.limits.slots
        )
        slot_seconds = typical.run_seconds / slots
        seconds = max(
            0, typical.smallest_wait_seconds - now + typical.computed_at
        )
        max_draw = slot_seconds * schedule.refusals.record(now)
        seconds += context.random.random() * max_draw
        share = _estimate_share(
            times, typical, slots, context.members.instance_count
        )
        # One return for each slot that becomes free for this daemon.
        seconds = max(
            seconds,
            schedule.last_return_at + slot_seconds / share - now,
            MIN_RETURN_SECONDS,
        )
        seconds = min(seconds, MAX_RETURN_SHARE * (call.deadline - now))
        schedule.last_return_at = max(schedule.last_return_at, now + seconds)
        return max(seconds, 0)

    def _get_or_add(self, service: str) -> _ReturnSchedule:
        schedule = self._schedules.get(service)
        if schedule is None:
            if len(self._schedules) >= MAX_SERVICES:
                self._schedules.clear()
            schedule = _ReturnSchedule()
            self._schedules[service] = schedule
        return schedule


def _estimate_share(
    times: ServiceTimes,
    typical: TypicalStatement,
    slots: int,
    daemons: int,
) -> float:
    """Return this daemon's share of the calls of a service.

    The owners' load tells how many calls of all daemons run or wait there. A
    daemon without calls in flight counts as one of many equal ones.
    """
    calls = max(typical.load * slots, 1)
    share = max(times.in_flight / calls, 1 / max(daemons, 1))
    return min(share, 1.0)
