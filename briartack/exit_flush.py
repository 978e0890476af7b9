"""Wait at the exit of a daemon until its last bytes have arrived."""

from collections import deque
from typing import Final, final

import gevent

from briartack.caller_pipeline import Pipeline
from briartack.callers import CallerServer
from briartack.peers import Peers
from briartack.send_progress import SendProgress
from briartack.shell_interfaces import Clock

# A peer that has taken nothing for so long is not waited for.
PEER_STALL_SECONDS: Final = 0.5
# A caller that has taken nothing for so long is not waited for. A caller that
# reads may pause, and two retransmissions in a row take 0.6 s. A system whose
# program reads 20 KB a second takes bytes in steps of more than a second.
CALLER_STALL_SECONDS: Final = 2.0
_POLL_SECONDS: Final = 0.01
_WATCH_SECONDS: Final = 0.1
# Requests that have arrived are read for at most so long.
_MAX_INPUT_SECONDS: Final = 0.1
# Requests that arrived during the wait for receivers are read for at most so
# long after it.
_LAST_INPUT_SECONDS: Final = 0.05
# An accepted connection is read from a turn of the event loop after its accept.
_QUIET_POLLS: Final = 2
# After the wait the process needs several turns to end, each of which may come
# as late as the polls of the wait did. The time that is kept for the end of the
# process allows for short delays.
_LAST_TURNS: Final = 4
_SHORT_DELAY_SECONDS: Final = 0.05
_RECENT_DELAYS: Final = 10


@final
class ExitFlush:
    """Wait for the last bytes as long as their receivers take some.

    Receivers are watched from the beginning of the stop, so that those that
    take nothing then are not waited for at its end.
    """

    __slots__ = (
        '_callers',
        '_peers',
        '_clock',
        '_caller_progress',
        '_peer_bytes',
        '_peers_progressed_at',
        '_delays',
    )

    def __init__(
        self, *, callers: CallerServer, peers: Peers, clock: Clock
    ) -> None:
        self._callers = callers
        self._peers = peers
        self._clock = clock
        self._caller_progress: dict[Pipeline, SendProgress] = {}
        self._peer_bytes = 0
        self._peers_progressed_at = float('-inf')
        self._delays = deque((0.0, 0.0), maxlen=_RECENT_DELAYS)

    def watch_forever(self) -> None:
        """Measure the progress of all receivers during the stop."""
        while True:
            self._has_receivers(self._clock())
            self._sleep(_WATCH_SECONDS)

    def wait(self, until: float) -> None:
        """Wait until no receiver takes further bytes, or until a time.

        The wait ends sooner if the process gets its turns late. No connection
        is accepted after it, and the requests that arrived before are read.
        """
        self._read_waiting_requests(until)
        self._wait_for_receivers(until)
        if self._callers.server is not None:
            self._callers.server.end_accepting()
        until += _LAST_INPUT_SECONDS - self._needed_seconds
        self._read_waiting_requests(until)
        self._callers.close_connections(only_idle=True)
        # Requests may have arrived on the others up to their turn.
        self._read_waiting_requests(until)

    @property
    def _needed_seconds(self) -> float:
        """Return how much sooner the wait must end for a slow process."""
        # A single delay may have a cause that is over.
        usual_seconds = sorted(self._delays)[-2]
        is_slow = usual_seconds > _SHORT_DELAY_SECONDS
        return _LAST_TURNS * usual_seconds if is_slow else 0

    def _sleep(self, seconds: float) -> None:
        """Sleep, and record how late the process continues."""
        due_at = self._clock() + seconds
        gevent.sleep(seconds)
        self._delays.append(self._clock() - due_at)

    def _wait_for_receivers(self, until: float) -> None:
        now = self._clock()
        while now < until - self._needed_seconds and self._has_receivers(now):
            self._sleep(_POLL_SECONDS)
            now = self._clock()

    def _read_waiting_requests(self, until: float) -> None:
        """Let the requests that have arrived be refused, not reset.

        A busy daemon may end in a turn that began before they arrived.
        """
        until = min(until, self._clock() + _MAX_INPUT_SECONDS)
        quiet_polls = 0
        while quiet_polls < _QUIET_POLLS and self._clock() < until:
            self._sleep(_POLL_SECONDS)
            quiet_polls += 1
            if self._callers.has_unread_input:
                quiet_polls = 0

    def _has_receivers(self, now: float) -> bool:
        # Both are evaluated, so that each sees all progress.
        has_callers = self._has_receiving_callers(now)
        has_peers = self._has_receiving_peers(now)
        return has_callers or has_peers

    def _has_receiving_callers(self, now: float) -> bool:
        # A connection is measured anew for each response that it has yet to
        # send: the time without outstanding bytes is no stall.
        self._caller_progress = {
            connection: self._caller_progress.get(
                connection, SendProgress(now=now)
            )
            for connection in self._callers.unsent_connections
        }
        stalls = [
            progress.measure_stall(connection.taken_bytes, now)
            for connection, progress in self._caller_progress.items()
        ]
        return min(stalls, default=CALLER_STALL_SECONDS) < CALLER_STALL_SECONDS

    def _has_receiving_peers(self, now: float) -> bool:
        unsent_bytes = self._peers.unsent_bytes
        if unsent_bytes != self._peer_bytes:
            self._peer_bytes = unsent_bytes
            self._peers_progressed_at = now
        if self._peers.waiting_bytes:
            # Peers ask for them as their memory allows.
            return True
        stall_seconds = now - self._peers_progressed_at
        return unsent_bytes > 0 and stall_seconds < PEER_STALL_SECONDS
