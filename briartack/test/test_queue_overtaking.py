"""Test the queue of an upstream under load, with urgent work that overtakes.

The pattern: the upstream starts less than arrives, as when it states a limit.
Urgent requests arrive all the time and go ahead of others in the queue. The
others were expected to start in time when they came, and fall back.
"""

import unittest
from typing import Final

from briartack.core.calls.admission import AdmissionState
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.units import AttemptId

LIMITS: Final = ServiceLimits(slots=3, connections=99, queue_length=40)
STARTS_PER_SECOND: Final = 5.0
STEP_SECONDS: Final = 0.1
RUN_SECONDS: Final = 0.3
DEADLINE_SECONDS: Final = 1.5
# A refused request has this share of its time left to be served elsewhere.
MIN_LEFT_SHARE: Final = 0.4


class OvertakenRequestsTest(unittest.TestCase):
    """Offer 3 urgent and 4 other requests a second, where 5 may start."""

    # Guards against requests that are held although they can't be answered.
    def test_overtaken_requests_are_refused_while_there_is_time(self) -> None:
        """Guard against requests that start, or end, after their deadline."""
        admission = AdmissionState()
        arrived_at: dict[AttemptId, float] = {}
        late_starts: list[AttemptId] = []
        late_refusals: list[AttemptId] = []
        tokens = 0.0
        for step in range(200):
            now = step * STEP_SECONDS
            tokens = min(2.0, tokens + STARTS_PER_SECOND * STEP_SECONDS)
            started, refused = self._run_step(
                admission, step, now, int(tokens), arrived_at
            )
            tokens -= len(started)
            for _ in started:
                admission.release()
            late_starts.extend(
                name
                for name in started
                if now + RUN_SECONDS > arrived_at[name] + DEADLINE_SECONDS
            )
            late_refusals.extend(
                name
                for name in refused
                if arrived_at[name] + DEADLINE_SECONDS - now
                < MIN_LEFT_SHARE * RUN_SECONDS
            )
        self.assertEqual((late_starts, late_refusals), ([], []))

    def _run_step(
        self,
        admission: AdmissionState,
        step: int,
        now: float,
        available_starts: int,
        arrived_at: dict[AttemptId, float],
    ) -> tuple[list[AttemptId], list[AttemptId]]:
        """Offer the arrivals of a step; return what started and was refused."""
        filled = admission.fill(
            now,
            limit=LIMITS.slots,
            available_starts=available_starts,
            start_interval_seconds=1 / STARTS_PER_SECOND,
        )
        started = list(filled.started)
        refused = list(filled.refused)
        for rank in _list_arriving_ranks(step):
            name = AttemptId(f'{step}-{rank}')
            arrived_at[name] = now
            offered = admission.offer(
                SlotRequest(
                    attempt_id=name,
                    deadline=now + DEADLINE_SECONDS,
                    interactive=True,
                    rank=rank,
                    latest_start=now + DEADLINE_SECONDS - RUN_SECONDS,
                ),
                now,
                limit=LIMITS.slots,
                limits=LIMITS,
                start_interval_seconds=1 / STARTS_PER_SECOND,
                available_starts=available_starts - len(started),
            )
            started.extend(offered.started)
            refused.extend(offered.refused)
        return started, refused


def _list_arriving_ranks(step: int) -> list[int]:
    """Return the ranks of the requests that arrive in a step; 0 is urgent."""
    urgent = [0] if step % 10 in {0, 3, 6} else []
    others = [1] if step % 10 in {1, 4, 5, 8} else []
    return urgent + others
