"""Grant the large answers of peers, within the memory of the daemon.

An owner keeps the body of a large answer until this daemon has room for it, as
the reader of an upstream's answer waits. So an answer that has run is never
given up for lack of memory.
"""

from collections.abc import Callable
from typing import Final, TypeAlias, final

import gevent

from briartack.core.messages import Answer
from briartack.core.units import AttemptId, InstanceId
from briartack.memory_budget import Lease, MemoryBudget

# How often answers that wait look for room, which others may leave.
_ROOM_POLL_SECONDS: Final = 0.02

AnswerKey: TypeAlias = tuple[InstanceId, AttemptId]
# Returns how many responses the caller of an attempt gets before its answer, or
# None if no call awaits the answer.
CountAhead: TypeAlias = Callable[[AttemptId], int | None]
# Asks a peer for the body of an answer, on which there is a lease.
BeginAnswer: TypeAlias = Callable[[InstanceId, Answer, Lease], None]


@final
class AnswerGrants:
    """Choose the answers whose bodies are asked for, and lease their room.

    Answers that their callers get next go first, then the oldest. If none is on
    its way, one of the former is granted above the limit by one body: the
    answers that fill the memory may be waiting for it in their order.
    """

    __slots__ = (
        '_memory',
        '_count_ahead',
        '_begin',
        '_waiting',
        '_granted',
        '_poller',
    )

    def __init__(
        self,
        *,
        memory: MemoryBudget,
        count_ahead: CountAhead,
        begin: BeginAnswer,
    ) -> None:
        """Start without answers."""
        self._memory = memory
        self._count_ahead = count_ahead
        self._begin = begin
        self._waiting: dict[AnswerKey, Answer] = {}
        self._granted: set[AnswerKey] = set()
        self._poller: gevent.Greenlet | None = None

    def add(self, peer: InstanceId, answer: Answer) -> bool:
        """Grant an answer as soon as there is room.

        Returns False for a late answer, which the owner drops by itself as it
        gets the cancel of the attempt.
        """
        if self._count_ahead(answer.attempt_id) is None:
            return False
        self._waiting[peer, answer.attempt_id] = answer
        self._grant_next()
        if self._waiting and (self._poller is None or self._poller.ready()):
            self._poller = gevent.spawn(self._poll)
        return True

    def end(self, key: AnswerKey) -> None:
        """Remove an answer that has arrived or that nobody needs any more."""
        self._waiting.pop(key, None)
        self._granted.discard(key)
        self._grant_next()

    def drop_peer(self, peer: InstanceId) -> None:
        """Remove the answers of a peer whose stream has ended."""
        for key in (*self._waiting, *self._granted):
            if key[0] == peer:
                self._waiting.pop(key, None)
                self._granted.discard(key)
        self._grant_next()

    def _poll(self) -> None:
        while self._waiting:
            gevent.sleep(_ROOM_POLL_SECONDS)
            self._grant_next()

    def _grant_next(self) -> None:
        while self._waiting:
            key = next(
                (one for one in self._waiting if not self._count_ahead(one[1])),
                None,
            )
            is_next = key is not None
            if key is None:
                key = next(iter(self._waiting))
            answer = self._waiting[key]
            if not self._may_grant(answer.body_bytes, is_next=is_next):
                return
            self._waiting.pop(key)
            self._granted.add(key)
            lease = self._memory.lease(answer.body_bytes)
            self._begin(key[0], answer, lease)

    def _may_grant(self, size: int, *, is_next: bool) -> bool:
        memory = self._memory
        if memory.make_room() and memory.fits_response(size):
            return True
        if self._granted or not is_next:
            return False
        return memory.begin_excess(size)
