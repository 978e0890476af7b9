"""Admission: slots of the local upstream, and the queue before them."""

from collections import deque
from typing import final

import msgspec

from briartack.core.configuration.settings import ServiceLimits
from briartack.core.units import AttemptId


@final
class Waiting(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an attempt that asks for a slot."""

    attempt_id: AttemptId
    deadline: float
    interactive: bool


@final
class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """List the attempts that start now and those that are refused."""

    started: tuple[AttemptId, ...] = ()
    refused: tuple[AttemptId, ...] = ()


@final
class AdmissionState:
    """Own the slots in use and the two queues."""

    __slots__ = ('_running', '_interactive', '_background')

    def __init__(self) -> None:
        """Start with an idle upstream."""
        self._running = 0
        self._interactive: deque[Waiting] = deque()
        self._background: deque[Waiting] = deque()

    @property
    def running(self) -> int:
        """Count the slots in use."""
        return self._running

    @property
    def queued(self) -> int:
        """Count the attempts that wait."""
        return len(self._interactive) + len(self._background)

    def offer(
        self,
        waiting: Waiting,
        now: float,
        *,
        limit: int,
        limits: ServiceLimits,
        mean_seconds: float,
    ) -> Admission:
        """Start, queue or refuse an attempt; it may displace another."""
        if self._running < limit and not self.queued:
            self._running += 1
            return Admission(started=(waiting.attempt_id,))
        ahead = len(self._interactive)
        if not waiting.interactive:
            ahead = self.queued
        if now + (ahead + 1) * mean_seconds / limit > waiting.deadline:
            return Admission(refused=(waiting.attempt_id,))
        if self.queued < limits.queue_length:
            self._enqueue(waiting)
            return Admission()
        if waiting.interactive and self._background:
            shed = self._background.pop()
            self._enqueue(waiting)
            return Admission(refused=(shed.attempt_id,))
        return Admission(refused=(waiting.attempt_id,))

    def release(self) -> None:
        """Free a slot; `fill` then gives it to the queue."""
        self._running -= 1

    def withdraw(self, attempt_id: AttemptId) -> None:
        """Take an attempt out of the queue."""
        self._interactive = _without(self._interactive, attempt_id)
        self._background = _without(self._background, attempt_id)

    def fill(self, now: float, *, limit: int) -> Admission:
        """Start what the limit allows and refuse what is too late."""
        started: list[AttemptId] = []
        refused: list[AttemptId] = []
        for queue in (self._interactive, self._background):
            while queue and (self._running < limit or queue[0].deadline <= now):
                waiting = queue.popleft()
                if waiting.deadline <= now:
                    refused.append(waiting.attempt_id)
                    continue
                self._running += 1
                started.append(waiting.attempt_id)
        return Admission(started=tuple(started), refused=tuple(refused))

    def _enqueue(self, waiting: Waiting) -> None:
        if waiting.interactive:
            self._interactive.append(waiting)
        else:
            self._background.append(waiting)


def _without(
    queue: deque[Waiting],
    attempt_id: AttemptId,
) -> deque[Waiting]:
    return deque(
        waiting for waiting in queue if waiting.attempt_id != attempt_id
    )
