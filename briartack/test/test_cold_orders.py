"""Test the rate of a cold upstream in random orders of events.

An upstream becomes cold several times, at times again while it is cold. The
list's news and the health answers arrive late, before, after or without each
other.
"""

import itertools
import unittest
from operator import itemgetter
from random import Random
from typing import Final, TypeAlias, final

from nose2.tools import params

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.drain import DrainState
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.events import UpstreamProbed
from briartack.core.units import AttemptId
from briartack.test.test_cold_gate import count_busiest_second

# A time, and the seconds that the list states or None for a health answer.
News: TypeAlias = tuple[float, float | None]

COLD_SECONDS: Final = 3.0
PLAY_SECONDS: Final = 14.0
PROBE_SECONDS: Final = 5.0
MAX_PER_SECOND: Final = 32  # 18 times the overage, and the slack
LIMITS: Final = ServiceLimits(
    slots=900,
    connections=900,
    queue_length=20,
    ramp_seconds=COLD_SECONDS,
    cold_per_second=18,
)
# Requests that arrive, on average, before the news of a cold time. The bound
# can't hold if many more than this start at an upstream that counts as warm.
MAX_REQUESTS_BEFORE_NEWS: Final = 12
WRITE_DELAYS: Final = (0, 0, 0.05)
PROBE_DELAYS: Final = (0.002, 0.05, 0.3)
PROBED_SHARE: Final = 0.7
SECONDS_BETWEEN_BEGINNINGS: Final = (0.5, 1.5, 3.2, 4.0, 5.0)


@final
class ColdPlay:
    """Play requests and news at the owner of an upstream; keep the starts."""

    def __init__(self, seed: int) -> None:
        self.started: list[float] = []
        self._random = Random(seed)
        self._filled_at = 0.0
        self._rate = self._random.choice((40, 60, 90, 120, 150))
        self.beginnings = self._choose_beginnings()
        self._upstream = LocalUpstream(
            drain=DrainState(drain_seconds=5),
            rules=CallRules(cold_overage=1.5, cold_slack=5),
        )
        self._upstream.configure(LIMITS, LIMITS.slots)
        self._probe(0)

    def run(self) -> None:
        """Play all events, and the starts that become due in between."""
        news = self._choose_news()
        now: float = 0
        for number in itertools.count():
            now += self._random.expovariate(self._rate)
            if now > PLAY_SECONDS:
                return
            while news and news[0][0] <= now:
                self._deliver(*news.pop(0))
            self._fill(now)
            waiting = SlotRequest(
                attempt_id=AttemptId(str(number)),
                deadline=now + 1,
                interactive=True,
            )
            admission = self._upstream.offer(waiting, now)
            self.started.extend(now for _ in admission.started)

    def _choose_beginnings(self) -> list[float]:
        beginnings = [self._random.uniform(2, 3)]
        while beginnings[-1] < PLAY_SECONDS - COLD_SECONDS:
            gap = self._random.choice(SECONDS_BETWEEN_BEGINNINGS)
            beginnings.append(beginnings[-1] + gap)
        return beginnings

    def _choose_news(self) -> list[News]:
        news: list[News] = []
        max_delay = min(0.2, MAX_REQUESTS_BEFORE_NEWS / self._rate)
        for began in self.beginnings:
            write_delay = self._random.choice(WRITE_DELAYS)
            at = began + self._random.uniform(write_delay + 0.005, max_delay)
            news.append((at, COLD_SECONDS - write_delay))
            if self._random.random() < PROBED_SHARE:
                news.append((at + self._random.choice(PROBE_DELAYS), None))
        first_probe = self._random.random() * PROBE_SECONDS
        news.extend(
            (first_probe + PROBE_SECONDS * turn, None) for turn in (0, 1)
        )
        return sorted(news, key=itemgetter(0))

    def _deliver(self, now: float, listed_seconds: float | None) -> None:
        self._fill(now)
        if listed_seconds is None:
            self._probe(now)
        else:
            self._upstream.assume_cold(now, listed_seconds)

    def _probe(self, now: float) -> None:
        began = max((at for at in self.beginnings if at <= now), default=-9)
        self._upstream.handle_probe(
            UpstreamProbed(
                now=now,
                is_healthy=True,
                is_draining=False,
                identity='i',
                reported_load=None,
                cold_seconds=max(0.0, began + COLD_SECONDS - now),
            )
        )

    def _fill(self, now: float) -> None:
        """Start the queued requests that became due up to now."""
        due_at: float | None = self._filled_at
        while due_at is not None and self._filled_at <= due_at <= now:
            self._filled_at = due_at
            admission = self._upstream.fill(due_at)
            self.started.extend(due_at for _ in admission.started)
            due_at = self._upstream.next_start_at(due_at)
            if due_at == self._filled_at:
                break
        self._filled_at = now


class ColdOrdersTest(unittest.TestCase):
    # Guards against an order of events in which a cold upstream gets more in
    # one second than it bears.
    @params(*range(60))
    def test_any_second_of_a_cold_time_is_within_the_bound(
        self, seed: int
    ) -> None:
        play = ColdPlay(seed)
        play.run()
        for began in play.beginnings:
            cold = [
                at for at in play.started if began <= at < began + COLD_SECONDS
            ]
            self.assertLessEqual(count_busiest_second(cold), MAX_PER_SECOND)
