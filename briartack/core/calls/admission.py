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
    rank: int = 0
    is_of_run: bool = False  # a run at another upstream waits for it
    # A start after this time gives an answer that is worth less.
    useful_until: float = float('inf')


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
        step_seconds: float,
        room: int | None = None,
    ) -> Admission:
        """Start, queue or refuse an attempt; it may displace another.

        A slot is expected to become free after each step; `room` bounds what
        may start now below the limit.
        """
        has_room = room is None or room > 0
        if self._running < limit and has_room and not self.queued:
            self._running += 1
            return Admission(started=(waiting.attempt_id,))
        starts_at = now + (self._ahead(waiting) + 1) * step_seconds
        if starts_at > min(waiting.deadline, waiting.useful_until):
            return Admission(refused=(waiting.attempt_id,))
        if self.queued < limits.queue_length:
            self._enqueue(waiting)
            return Admission()
        shed = self._displaced_by(waiting)
        if shed is None:
            return Admission(refused=(waiting.attempt_id,))
        self._enqueue(waiting)
        return Admission(refused=(shed.attempt_id,))

    def release(self) -> None:
        """Free a slot; `fill` then gives it to the queue."""
        self._running -= 1

    def withdraw(self, attempt_id: AttemptId) -> None:
        """Take an attempt out of the queue."""
        self._interactive = _without(self._interactive, attempt_id)
        self._background = _without(self._background, attempt_id)

    def fill(
        self,
        now: float,
        *,
        limit: int,
        room: int | None = None,
    ) -> Admission:
        """Start what the limit and the room allow; refuse what is too late."""
        bound = limit if room is None else min(limit, self._running + room)
        started: list[AttemptId] = []
        refused: list[AttemptId] = []
        for queue in (self._interactive, self._background):
            while queue and (self._running < bound or queue[0].deadline <= now):
                waiting = queue.popleft()
                if waiting.deadline <= now:
                    refused.append(waiting.attempt_id)
                    continue
                self._running += 1
                started.append(waiting.attempt_id)
        return Admission(started=tuple(started), refused=tuple(refused))

    def _queue(self, waiting: Waiting) -> deque[Waiting]:
        return self._interactive if waiting.interactive else self._background

    def _ahead(self, waiting: Waiting) -> int:
        """Count what would start before an attempt."""
        ahead = 0 if waiting.interactive else len(self._interactive)
        order = _order(waiting)
        return ahead + sum(
            _order(other) <= order for other in self._queue(waiting)
        )

    def _enqueue(self, waiting: Waiting) -> None:
        queue = self._queue(waiting)
        position = len(queue)
        order = _order(waiting)
        while position and _order(queue[position - 1]) > order:
            position -= 1
        queue.insert(position, waiting)

    def _displaced_by(self, waiting: Waiting) -> Waiting | None:
        """Take out the last attempt that is less urgent than another."""
        if waiting.interactive and self._background:
            return self._background.pop()
        queue = self._queue(waiting)
        if queue and _order(queue[-1]) > _order(waiting):
            return queue.pop()
        return None


def _order(waiting: Waiting) -> tuple[int, bool]:
    """Put the urgent first, and among equals what runs wait for."""
    return waiting.rank, not waiting.is_of_run


def _without(
    queue: deque[Waiting],
    attempt_id: AttemptId,
) -> deque[Waiting]:
    return deque(
        waiting for waiting in queue if waiting.attempt_id != attempt_id
    )
