"""Summaries to neighbours: after each change and as heartbeats."""

import math
from collections.abc import Container, Iterable
from typing import Final, final

from briartack.core.dissemination.holdings import Holdings
from briartack.core.effects import Effects, SendMessage
from briartack.core.messages import Summary
from briartack.core.units import Incarnation, InstanceId

HEARTBEAT_SECONDS: Final = 1.0
REMOTE_HEARTBEAT_SECONDS: Final = 2.0
# Where one region watches the store for others, they notice its silence soon.
DUTY_HEARTBEAT_SECONDS: Final = 0.4
QUESTION_SECONDS: Final = 10.0
CHECK_QUESTION_SECONDS: Final = 1.0
# Both ends of a new stream greet each other with a summary.
FIRST_SUMMARY_SECONDS: Final = 0.5


@final
class Announcer:
    """Own the times of the last summaries."""

    __slots__ = (
        '_incarnation',
        '_sent_at',
        '_asked_at',
        '_watches_store',
        '_store_seconds',
    )

    def __init__(self, *, incarnation: Incarnation) -> None:
        """Start with nothing sent."""
        self._incarnation = incarnation
        self._sent_at: dict[InstanceId, float] = {}
        self._asked_at: dict[InstanceId, float] = {}
        self._watches_store = False
        self._store_seconds: float | None = None

    def forget(self, peer: InstanceId) -> None:
        """Drop a peer whose stream is down."""
        self._sent_at.pop(peer, None)
        self._asked_at.pop(peer, None)

    def note_store(
        self,
        *,
        watches: bool,
        distance_seconds: float | None,
    ) -> bool:
        """Take what to say of the store; return whether the watch changed."""
        has_changed = watches != self._watches_store
        self._watches_store = watches
        self._store_seconds = distance_seconds
        return has_changed

    def send(
        self,
        now: float,
        peers: Iterable[InstanceId],
        holdings: Holdings,
        *,
        upward: Container[InstanceId],
        pause_seconds: float = 0,
    ) -> Effects:
        """Send a summary to the peers that got none during the pause."""
        effects: Effects = []
        for peer in peers:
            sent_at = self._sent_at.get(peer)
            if sent_at is not None and now - sent_at < pause_seconds:
                continue
            self._sent_at[peer] = now
            message = self._summary(
                now,
                holdings,
                wants_answers=peer in upward,
            )
            effects.append(SendMessage(peer=peer, message=message))
        return effects

    def questions(
        self,
        now: float,
        peers: Iterable[InstanceId],
        pause_seconds: float,
    ) -> tuple[InstanceId, ...]:
        """Choose the peers to ask for a sign of life."""
        due = tuple(
            peer
            for peer in peers
            if now - self._asked_at.get(peer, -math.inf) >= pause_seconds
        )
        self._asked_at.update(dict.fromkeys(due, now))
        return due

    def _summary(
        self,
        now: float,
        holdings: Holdings,
        *,
        wants_answers: bool,
    ) -> Summary:
        return Summary(
            incarnation=self._incarnation,
            highest=holdings.highest,
            configuration_digest=holdings.configuration_digest,
            instances_digest=holdings.instances_digest,
            clock=now,
            wants_answers=wants_answers,
            watches_store=self._watches_store,
            store_seconds=self._store_seconds,
        )
