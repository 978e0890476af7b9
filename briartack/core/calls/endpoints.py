"""State of the connected peers, as seen by the sender.

Holds each peer's load, clock reading and availability for the choice of
endpoints, and the times of dials.
"""

from collections.abc import Iterator
from typing import Final, final

from briartack.core.calls.body_grants import compute_link_rate
from briartack.core.calls.body_waits import BodyWait
from briartack.core.calls.run_times import MeanRunTime
from briartack.core.messages import MAX_BODY_BYTES
from briartack.core.units import Incarnation, InstanceId

LOAD_DECAY_SECONDS: Final = 10.0
# Placeholder for an unknown clock reading. Owners refuse an attempt with this
# reading and answer with a fresh one. The value is finite, because JSON traces
# cannot hold an infinite number.
UNKNOWN_CLOCK: Final = -1.0e12
# A refusal for a cause other than load may be temporary.
AVOIDANCE_SECONDS: Final = 1.0
MAX_SUSPICION_SECONDS: Final = 16.0
MIN_REDIAL_SECONDS: Final = 2.0
# A dial that takes longer counts as failed; the slowest link between regions
# takes 24 ms.
DIAL_TIMEOUT_SECONDS: Final = 0.2
MAX_DIALLED_PEERS: Final = 4096
# An owner that answers within this time is not silent.
SILENCE_SECONDS: Final = 0.25
# What an owner says of its free slots is soon out of date under load.
ROOM_SECONDS: Final = 1.0
# A body that found no memory would find none a moment later either.
MEMORY_PAUSE_SECONDS: Final = 0.25


@final
class Endpoint:
    """Hold the load, clock reading and availability of one connected peer."""

    __slots__ = (
        'incarnation',
        'clock',
        'load',
        'load_reported_at',
        'run_time',
        'ungranted_body_bytes',
        'body_wait',
        'in_flight',
        'last_seen_at',
        'is_draining',
        'avoided_until',
        'silent_attempts',
        'latest_deadline',
        'max_body_bytes',
        '_sent_at',
        '_unanswered_since',
        '_room_known_until',
        '_without_memory_until',
    )

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        clock: float,
        now: float,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create a state with the clock reading of the peer's first message."""
        self.incarnation = incarnation
        self.clock = clock
        self.load = float(0)
        self.load_reported_at = now
        self.run_time = MeanRunTime()
        # Bodies above this size wait for the peer's grant; `None` if none do.
        self.ungranted_body_bytes: int | None = None
        self.body_wait: Final = BodyWait()
        self.in_flight = 0
        self.last_seen_at = now
        self.is_draining = False
        self.avoided_until = now
        self.silent_attempts = 0
        # The peer refuses attempts with this deadline or a later one, because
        # its planned stop may end first.
        self.latest_deadline = float('inf')
        self.max_body_bytes = max_body_bytes
        self._sent_at = float('-inf')  # the latest attempt
        self._unanswered_since = float('-inf')
        self._room_known_until = float('-inf')
        self._without_memory_until = float('-inf')

    def is_usable(self, now: float, deadline: float) -> bool:
        """Return whether a new attempt with a deadline may be sent."""
        is_in_service = not self.is_draining and now >= self.avoided_until
        return is_in_service and deadline < self.latest_deadline

    def needs_grant(self, body_bytes: int) -> bool:
        """Return whether a body waits for the peer's grant."""
        ungranted_bytes = self.ungranted_body_bytes
        return ungranted_bytes is not None and body_bytes > ungranted_bytes

    def may_hold_another(self, now: float, max_held: int) -> bool:
        """Return whether a silent peer may still get another attempt.

        A peer that answers holds at most `max_held` attempts, running or
        queued, and refuses more at once. Of one that did not answer in time,
        one attempt at a time finds out whether it answers again.
        """
        if self.silent_attempts:
            return not self.in_flight or self._sent_at < self.avoided_until
        is_silent = (
            self._unanswered_since > self.last_seen_at
            and now - self._unanswered_since > SILENCE_SECONDS
        )
        return not is_silent or self.in_flight < max_held

    def estimate_load(self, now: float, slots: int) -> float:
        """Return the last reported load plus the share of slots in flight.

        The reported load decays to 0 over 10 s, because no new report arrives
        while no attempt is sent.
        """
        freshness = 1 - (now - self.load_reported_at) / LOAD_DECAY_SECONDS
        return self.load * max(freshness, 0) + self.in_flight / slots

    def has_memory(self, now: float) -> bool:
        """Return whether the peer has not lately lacked memory for a body."""
        return now >= self._without_memory_until

    def has_slot(self, now: float, slots: int) -> bool:
        """Return whether the peer has lately said that it has a free slot.

        If it has said nothing lately, one attempt at a time finds out.
        """
        if now > self._room_known_until:
            return not self.in_flight
        return self.estimate_load(now, slots) < 1

    def record_attempt_start(self, now: float, body_bytes: int = 0) -> None:
        """Count an attempt sent to the peer, and its body, as in flight."""
        self.in_flight += 1
        ungranted_bytes = self.ungranted_body_bytes
        if ungranted_bytes is not None and body_bytes > ungranted_bytes:
            link_rate = compute_link_rate(ungranted_bytes)
            self.body_wait.add_body(body_bytes, link_rate, now)
        self._sent_at = now
        if self._unanswered_since <= self.last_seen_at:
            self._unanswered_since = now

    def record_load(self, load: float, run_seconds: float, now: float) -> None:
        """Record the load and the mean run time in seconds from an answer."""
        self.load = max(load, 0)
        self.load_reported_at = now
        self.run_time.set_reported_mean(now, run_seconds)
        self._room_known_until = now + ROOM_SECONDS

    def record_lack_of_memory(self, now: float) -> None:
        """Record that the peer had no memory for a body."""
        self._without_memory_until = now + MEMORY_PAUSE_SECONDS

    def reset_readings(self, now: float) -> None:
        """Reset the load and the clock reading after a pause.

        The incarnation is kept: it stays valid as long as the stream.
        """
        self.clock = UNKNOWN_CLOCK
        self.load = 0
        self.load_reported_at = now
        self._room_known_until = float('-inf')
        self._unanswered_since = float('-inf')
        self.body_wait.reset()


@final
class EndpointsState:
    """Hold the state of all connected peers and the times of dials."""

    __slots__ = ('_endpoints', '_dialled_at', '_dialling')

    def __init__(self) -> None:
        self._endpoints: dict[InstanceId, Endpoint] = {}
        self._dialled_at: dict[InstanceId, float] = {}
        self._dialling: set[InstanceId] = set()

    def __iter__(self) -> Iterator[InstanceId]:
        """Iterate over a copy of the names of the connected peers."""
        return iter(tuple(self._endpoints))

    def get(self, peer: InstanceId) -> Endpoint | None:
        """Return the state of a connected peer, or `None`."""
        return self._endpoints.get(peer)

    def connect(
        self,
        peer: InstanceId,
        incarnation: Incarnation,
        clock: float,
        now: float,
        *,
        ungranted_body_bytes: int | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Add a connected peer, and the size above which it grants bodies.

        A second stream to the same process keeps the state of the peer.
        """
        self._dialling.discard(peer)
        endpoint = self._endpoints.get(peer)
        if endpoint is not None and endpoint.incarnation == incarnation:
            self.record_clock_reading(peer, incarnation, clock, now)
        else:
            endpoint = Endpoint(
                incarnation=incarnation,
                clock=clock,
                now=now,
                max_body_bytes=max_body_bytes,
            )
            self._endpoints[peer] = endpoint
        endpoint.ungranted_body_bytes = ungranted_body_bytes

    def disconnect(self, peer: InstanceId) -> None:
        """Remove a peer whose stream is down or whose dial failed."""
        self._dialling.discard(peer)
        self._endpoints.pop(peer, None)

    def record_clock_reading(
        self,
        peer: InstanceId,
        incarnation: Incarnation | None,
        clock: float,
        now: float,
    ) -> None:
        """Record the latest clock reading of a peer and end its suspicion.

        Readings of another incarnation are ignored. `None` stands for the
        connected incarnation.
        """
        endpoint = self._endpoints.get(peer)
        if endpoint is None or incarnation not in {None, endpoint.incarnation}:
            return
        endpoint.clock = clock
        endpoint.last_seen_at = now
        if endpoint.silent_attempts:
            endpoint.silent_attempts = 0
            endpoint.avoided_until = now

    def record_load(
        self,
        peer: InstanceId,
        load: float,
        run_seconds: float,
        now: float,
    ) -> None:
        """Record the load and the mean run time in seconds from an answer."""
        endpoint = self._endpoints.get(peer)
        if endpoint is not None:
            endpoint.record_load(load, run_seconds, now)

    def record_attempt_start(
        self, peer: InstanceId, now: float, body_bytes: int = 0
    ) -> None:
        """Count an attempt sent to a peer, and its body, as in flight."""
        self._endpoints[peer].record_attempt_start(now, body_bytes)

    def record_attempt_end(self, peer: InstanceId) -> None:
        """Remove an ended attempt from the count in flight."""
        endpoint = self._endpoints.get(peer)
        if endpoint is not None and endpoint.in_flight > 0:
            endpoint.in_flight -= 1

    def mark_draining(self, peer: InstanceId) -> None:
        """Exclude a peer that is about to stop from new attempts."""
        endpoint = self._endpoints.get(peer)
        if endpoint is not None:
            endpoint.is_draining = True

    def limit_deadline(self, peer: InstanceId, deadline: float) -> None:
        """Exclude a peer from attempts with this deadline or a later one."""
        endpoint = self._endpoints.get(peer)
        if endpoint is not None:
            endpoint.latest_deadline = min(endpoint.latest_deadline, deadline)

    def avoid(self, peer: InstanceId, now: float) -> None:
        """Exclude a peer from new attempts for 1 s."""
        endpoint = self._endpoints.get(peer)
        if endpoint is not None:
            endpoint.avoided_until = now + AVOIDANCE_SECONDS

    def record_lack_of_memory(self, peer: InstanceId, now: float) -> None:
        """Record that a peer had no memory for a body."""
        endpoint = self._endpoints.get(peer)
        if endpoint is not None:
            endpoint.record_lack_of_memory(now)

    def suspect(self, peer: InstanceId, sent_at: float, now: float) -> None:
        """Avoid a peer that has sent nothing since an attempt was sent to it.

        The streams of a frozen process stay open, and an idle stream gives no
        other sign of life. So the peer is tried again after a wait that doubles
        from 2 s up to 16 s.
        """
        endpoint = self._endpoints.get(peer)
        if endpoint is None or endpoint.last_seen_at > sent_at:
            return
        endpoint.silent_attempts += 1
        wait_seconds = min(MAX_SUSPICION_SECONDS, 2**endpoint.silent_attempts)
        endpoint.avoided_until = now + wait_seconds

    def reserve_dial(self, peer: InstanceId, now: float) -> bool:
        """Record a dial and return true, at most every 2 s for each peer.

        Return false for a peer that has a stream.
        """
        if peer in self._endpoints:
            return False
        if now - self._dialled_at.get(peer, UNKNOWN_CLOCK) < MIN_REDIAL_SECONDS:
            return False
        if len(self._dialled_at) >= MAX_DIALLED_PEERS:
            self._dialled_at.clear()
            self._dialling.clear()
        self._dialled_at[peer] = now
        self._dialling.add(peer)
        return True

    def get_dial_seconds(self, peer: InstanceId, now: float) -> float | None:
        """Return how long the dial in progress has taken, if there is one."""
        if peer not in self._dialling:
            return None
        return now - self._dialled_at[peer]

    def is_dialling(self, peer: InstanceId, now: float) -> bool:
        """Return whether a dial is in progress and has not timed out."""
        if peer not in self._dialling:
            return False
        return now - self._dialled_at[peer] < DIAL_TIMEOUT_SECONDS

    def reset_readings(self, now: float) -> None:
        """Reset the loads and clock readings of all peers after a pause."""
        for endpoint in self._endpoints.values():
            endpoint.reset_readings(now)
