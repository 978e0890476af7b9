"""Admission control: slots of the local upstream and the queue for them."""

from typing import final

import msgspec

from briartack.core.calls.slot_queue import SlotQueue, SlotRequest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.units import AttemptId


@final
class AdmissionResult(msgspec.Struct, frozen=True, kw_only=True):
    """List the ids of the attempts to start now and of those to refuse."""

    started: tuple[AttemptId, ...] = ()
    refused: tuple[AttemptId, ...] = ()


@final
class AdmissionState:
    """Hold the number of slots in use and a queue for each priority."""

    __slots__ = ('_running', '_interactive', '_background')

    def __init__(self) -> None:
        self._running = 0
        self._interactive = SlotQueue()
        self._background = SlotQueue()

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the number of queued attempts."""
        return len(self._interactive) + len(self._background)

    def offer(
        self,
        request: SlotRequest,
        now: float,
        *,
        limit: int,
        limits: ServiceLimits,
        start_interval_seconds: float,
        available_starts: int | None = None,
        latest_start: float = float('inf'),
    ) -> AdmissionResult:
        """Start, queue or refuse an attempt; a full queue may evict another.

        One slot is expected to become free every `start_interval_seconds`.
        `limit` bounds the slots in use, and `available_starts` the number of
        starts now; `None` allows any number. An attempt that would leave the
        queue after `latest_start` is refused.
        """
        self._mark_late(now)
        if request.gives_way and now > request.latest_start:
            return AdmissionResult(refused=(request.attempt_id,))
        may_start = available_starts is None or available_starts > 0
        if self._running < limit and may_start and not self.queued:
            self._running += 1
            return AdmissionResult(started=(request.attempt_id,))
        if request.gives_way:
            return AdmissionResult(refused=(request.attempt_id,))
        ahead = self._count_ahead(request)
        if _is_too_late(
            request, now + (ahead + 1) * start_interval_seconds, latest_start
        ):
            return AdmissionResult(refused=(request.attempt_id,))
        if self.queued < limits.queue_length:
            self._select_queue(request).add(request)
            return AdmissionResult()
        shed = self._find_evicted(request)
        if shed is None:
            return AdmissionResult(refused=(request.attempt_id,))
        self.withdraw(shed.attempt_id)
        self._select_queue(request).add(request)
        return AdmissionResult(refused=(shed.attempt_id,))

    def has_room(
        self,
        request: SlotRequest,
        now: float,
        *,
        limit: int,
        limits: ServiceLimits,
        start_interval_seconds: float,
        expected: int,
        available_starts: int | None = None,
        latest_start: float = float('inf'),
    ) -> bool:
        """Return whether `offer` would accept an attempt now.

        `expected` attempts have been accepted and have yet to request a slot.
        Each of them takes a free slot or a place in the queue.
        """
        self._mark_late(now)
        if not self.queued:
            free = limit - self._running
            if available_starts is not None:
                free = min(free, available_starts)
            expected -= max(free, 0)
        if expected < 0:
            return True
        ahead = self._count_ahead(request) + expected
        if _is_too_late(
            request, now + (ahead + 1) * start_interval_seconds, latest_start
        ):
            return False
        if self.queued + expected < limits.queue_length:
            return True
        return self._find_evicted(request) is not None

    def release(self) -> None:
        """Free a slot, which `fill` then gives to the queue."""
        self._running -= 1

    def withdraw(self, attempt_id: AttemptId) -> None:
        """Remove an attempt from the queue."""
        self._interactive.remove(attempt_id)
        self._background.remove(attempt_id)

    def fill(
        self,
        now: float,
        *,
        limit: int,
        available_starts: int | None = None,
        start_interval_seconds: float = 0,
        latest_start: float = float('inf'),
    ) -> AdmissionResult:
        """Start as many attempts as the limits allow.

        Refuse overdue attempts, those that have been overtaken so often that
        they can't be answered in time, and those that would start after
        `latest_start`.
        """
        bound = (
            limit
            if available_starts is None
            else min(limit, self._running + available_starts)
        )
        started: list[AttemptId] = []
        self._mark_late(now)
        refused = self._drop_overdue(now, start_interval_seconds, latest_start)
        for queue in (self._interactive, self._background):
            while queue and (
                self._running < bound or queue.first.deadline <= now
            ):
                waiting = queue.pop_first()
                if waiting.deadline <= now:
                    refused.append(waiting.attempt_id)
                    continue
                self._running += 1
                started.append(waiting.attempt_id)
        return AdmissionResult(started=tuple(started), refused=tuple(refused))

    def _mark_late(self, now: float) -> None:
        """Move attempts whose target can't be met any more behind others."""
        self._interactive.mark_late(now)
        self._background.mark_late(now)

    def _drop_overdue(
        self, now: float, start_interval_seconds: float, latest_start: float
    ) -> list[AttemptId]:
        """Remove and return the attempts that would start too late.

        The first attempt in the queue might start now. Each of those that are
        kept delays the ones behind it, so a queue that can't be served in time
        gets shorter from the tail.
        """
        dropped: list[AttemptId] = []
        starts_at = now
        for queue in (self._interactive, self._background):
            for waiting in queue.copy_requests():
                if starts_at > min(waiting.latest_start, latest_start):
                    queue.remove(waiting.attempt_id)
                    dropped.append(waiting.attempt_id)
                else:
                    starts_at += start_interval_seconds
        return dropped

    def _select_queue(self, waiting: SlotRequest) -> SlotQueue:
        return self._interactive if waiting.interactive else self._background

    def _count_ahead(self, waiting: SlotRequest) -> int:
        """Return the number of queued attempts that would start first."""
        ahead = 0 if waiting.interactive else len(self._interactive)
        return ahead + self._select_queue(waiting).count_ahead(waiting)

    def _find_evicted(self, waiting: SlotRequest) -> SlotRequest | None:
        """Return the queued attempt that gives way to another, or `None`.

        An interactive attempt evicts the last background one. Otherwise the
        last attempt of the same queue is evicted if it would start later.
        """
        if waiting.interactive and self._background:
            return self._background.last
        queue = self._select_queue(waiting)
        if queue.count_ahead(waiting) < len(queue):
            return queue.last
        return None


def _is_too_late(
    request: SlotRequest, starts_at: float, latest_start: float
) -> bool:
    """Return whether an attempt would start too late to be worth its slot.

    An attempt whose target has passed is useful until its deadline.
    """
    own_bound = request.useful_until
    if request.is_late:
        own_bound = request.latest_start
    return starts_at > min(request.deadline, own_bound, latest_start)
