"""Inject faults into the stand-in configuration store."""

from typing import Final, final

import gevent
from gevent.event import Event

MAX_HOLD_SECONDS: Final = 10.0


@final
class StoreFaults:
    """Hold the active faults and the watch answers that they delay."""

    __slots__ = (
        'outage',
        'stale_revision',
        'late_seconds',
        'instance_lag_seconds',
        '_answers_to_cross',
        '_held_answers',
    )

    def __init__(self) -> None:
        self.outage = ''  # empty, `503` or `refuse`
        self.stale_revision: int | None = None
        self.late_seconds: float = 0
        self.instance_lag_seconds: float = 0
        self._answers_to_cross = 0
        self._held_answers: list[tuple[int, Event]] = []

    def cross_answers(self, count: int) -> None:
        """Delay each of the next `count` watch answers until a later answer.

        The end of the fault, a count of 0, releases the delayed answers.
        """
        self._answers_to_cross = count
        if not count:
            for _, released in self._held_answers:
                released.set()
            self._held_answers.clear()

    def delay_answer(self, revision: int) -> None:
        """Wait until the answer of a watch at a revision may be sent.

        Waits for `late_seconds`. An answer that is to be crossed also waits for
        a later answer, for at most MAX_HOLD_SECONDS.
        """
        if self.late_seconds:
            gevent.sleep(self.late_seconds)
        if self._answers_to_cross:
            self._answers_to_cross -= 1
            released = Event()
            self._held_answers.append((revision, released))
            released.wait(MAX_HOLD_SECONDS)

    def release_older_answers(self, revision: int) -> None:
        """Release held answers of older revisions than the sent answer."""
        for held_revision, released in self._held_answers:
            if held_revision < revision:
                released.set()
        self._held_answers = [
            held for held in self._held_answers if not held[1].is_set()
        ]
