"""What this daemon knows of the daemons it has streams to."""

from collections.abc import Iterator
from typing import Final, final

from briartack.core.calls.run_times import RunTime
from briartack.core.units import Incarnation, InstanceId

VIEW_SECONDS: Final = 10.0
# Owners refuse every attempt with this reading and answer with a fresh one.
# It is finite, because JSON traces can't hold an infinite number.
NO_CLOCK: Final = -1.0e12
# A peer that refuses for another cause than load may change its mind.
AVOID_SECONDS: Final = 1.0
MAX_SILENCE_SECONDS: Final = 16.0
REDIAL_SECONDS: Final = 2.0
# A peer that has not answered by then is taken to be unreachable; the slowest
# link between regions needs 24 ms.
DIAL_SECONDS: Final = 0.2
MAX_DIALLED: Final = 4096


@final
class Endpoint:
    """Hold the view of one connected peer."""

    __slots__ = (
        'incarnation',
        'clock',
        'load',
        'load_at',
        'run_time',
        'in_flight',
        'last_seen_at',
        'is_draining',
        'avoided_until',
        'silences',
    )

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        clock: float,
        now: float,
    ) -> None:
        """Start with the clock of the peer's first message."""
        self.incarnation = incarnation
        self.clock = clock
        self.load = float(0)
        self.load_at = now
        self.run_time = RunTime()
        self.in_flight = 0
        self.last_seen_at = now
        self.is_draining = False
        self.avoided_until = now
        self.silences = 0

    def is_usable(self, now: float) -> bool:
        """Tell whether a new attempt may be sent there."""
        return not self.is_draining and now >= self.avoided_until

    def load_now(self, now: float, slots: int) -> float:
        """Combine the last reported load with the attempts in flight.

        The report fades over 10 s, because nothing corrects it while no
        attempt is sent.
        """
        fresh = 1 - (now - self.load_at) / VIEW_SECONDS
        return self.load * max(fresh, 0) + self.in_flight / slots


@final
class EndpointsState:
    """Own the views of all connected peers."""

    __slots__ = ('_views', '_dialled', '_dialling')

    def __init__(self) -> None:
        """Start without streams."""
        self._views: dict[InstanceId, Endpoint] = {}
        self._dialled: dict[InstanceId, float] = {}
        self._dialling: set[InstanceId] = set()

    def __iter__(self) -> Iterator[InstanceId]:
        """List the connected peers."""
        return iter(tuple(self._views))

    def get(self, peer: InstanceId) -> Endpoint | None:
        """Find the view of a connected peer."""
        return self._views.get(peer)

    def connect(
        self,
        peer: InstanceId,
        incarnation: Incarnation,
        clock: float,
        now: float,
    ) -> None:
        """Begin a view; a second stream to the same process keeps it."""
        self._dialling.discard(peer)
        view = self._views.get(peer)
        if view is not None and view.incarnation == incarnation:
            self.note_news(peer, incarnation, clock, now)
            return
        self._views[peer] = Endpoint(
            incarnation=incarnation,
            clock=clock,
            now=now,
        )

    def disconnect(self, peer: InstanceId) -> None:
        """Forget a peer whose stream is down or was not opened."""
        self._dialling.discard(peer)
        self._views.pop(peer, None)

    def note_news(
        self,
        peer: InstanceId,
        incarnation: Incarnation | None,
        clock: float,
        now: float,
    ) -> None:
        """Take the latest reading of the peer's clock."""
        view = self._views.get(peer)
        if view is None or incarnation not in {None, view.incarnation}:
            return
        view.clock = clock
        view.last_seen_at = now
        if view.silences:
            view.silences = 0
            view.avoided_until = now

    def report_load(
        self,
        peer: InstanceId,
        load: float,
        run_seconds: float,
        now: float,
    ) -> None:
        """Take the load and the run time that an answer carried."""
        view = self._views.get(peer)
        if view is not None:
            view.load = max(load, 0)
            view.load_at = now
            view.run_time.report(now, run_seconds)

    def begin(self, peer: InstanceId) -> None:
        """Count an attempt that is sent."""
        self._views[peer].in_flight += 1

    def end(self, peer: InstanceId) -> None:
        """Count an attempt that is over."""
        view = self._views.get(peer)
        if view is not None and view.in_flight > 0:
            view.in_flight -= 1

    def drain(self, peer: InstanceId) -> None:
        """Send nothing new to a peer that will stop."""
        view = self._views.get(peer)
        if view is not None:
            view.is_draining = True

    def avoid(self, peer: InstanceId, now: float) -> None:
        """Send nothing new to a peer for a short time."""
        view = self._views.get(peer)
        if view is not None:
            view.avoided_until = now + AVOID_SECONDS

    def suspect(self, peer: InstanceId, sent_at: float, now: float) -> None:
        """Avoid a peer that has sent nothing since an attempt went to it.

        A frozen process keeps its streams. One attempt tries it again after
        each wait, because an idle stream brings no other news.
        """
        view = self._views.get(peer)
        if view is None or view.last_seen_at > sent_at:
            return
        view.silences += 1
        wait = min(MAX_SILENCE_SECONDS, 2**view.silences)
        view.avoided_until = now + wait

    def may_dial(self, peer: InstanceId, now: float) -> bool:
        """Allow one dial of a peer without a stream every 2 s."""
        if peer in self._views:
            return False
        if now - self._dialled.get(peer, NO_CLOCK) < REDIAL_SECONDS:
            return False
        if len(self._dialled) >= MAX_DIALLED:
            self._dialled.clear()
            self._dialling.clear()
        self._dialled[peer] = now
        self._dialling.add(peer)
        return True

    def is_dialling(self, peer: InstanceId, now: float) -> bool:
        """Tell whether a dial may still succeed soon."""
        if peer not in self._dialling:
            return False
        return now - self._dialled[peer] < DIAL_SECONDS

    def forget_news(self, now: float) -> None:
        """Drop loads and clocks that are older than a pause.

        The incarnation is the stream's own and ends with it.
        """
        for view in self._views.values():
            view.clock = NO_CLOCK
            view.load = 0
            view.load_at = now
