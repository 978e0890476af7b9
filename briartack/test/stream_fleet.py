"""Simulate the streams between the daemons of a fleet and their failures.

A stream has two ends, which may notice a failure at different times. A cut
holds messages back until it heals or an end gives up; a silent stream loses
them without notice.
"""

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Final, TypeAlias, final

from briartack.core import events
from briartack.core import messages as wire
from briartack.core.dissemination.store_rules import StoreRules
from briartack.core.units import InstanceId
from briartack.test.fleet import TICK_SECONDS, Fleet

DIAL_TIMEOUT_SECONDS: Final = 2.0
HELLO_TIMEOUT_SECONDS: Final = 3.0
# An end notices that the other one is silent by its keep-alive probes.
MIN_SILENCE_SECONDS: Final = 2.8
MAX_SILENCE_SECONDS: Final = 4.0
RESEND_SECONDS: Final = 1.0

Path: TypeAlias = tuple[str, str]  # from, to
Block: TypeAlias = Callable[[str, str], bool]


@final
class Stream:
    """Hold the state of one stream between two daemons."""

    __slots__ = ('dialler', 'ends', 'is_silent', 'blocked_since', 'held', 'due')

    def __init__(self, dialler: str, peer: str) -> None:
        self.dialler = dialler
        self.ends = (dialler, peer)
        self.is_silent = False
        self.blocked_since: float | None = None
        self.held: list[tuple[str, str, wire.PeerMessage]] = []
        self.due: dict[str, float] = {}

    def other(self, name: str) -> str:
        """Return the other end."""
        return self.ends[1] if name == self.ends[0] else self.ends[0]


class StreamFleet(Fleet):
    """Run a fleet with streams that are cut, silenced, delayed and reset.

    `blocks` are the cuts in force: predicates of a sender and a receiver, one
    of which may be the store. `added_seconds` is the latency beside the usual
    one.
    """

    def __init__(
        self,
        regions: int,
        centres: int,
        size: int,
        *,
        rules: StoreRules,
        random: Random,
    ) -> None:
        super().__init__(regions, centres, size, rules=rules)
        self.random = random
        self.blocks: list[Block] = []
        self.added_seconds: Callable[[str, str], float] = lambda left, right: 0
        self.streams: dict[Path, Stream] = {}
        self._dialling: set[Path] = set()

    def is_same_start(self, name: str, incarnation: str) -> bool:
        """Return whether a daemon runs and has not been started anew."""
        node = self.nodes.get(name)
        return node is not None and node.hello.incarnation == incarnation

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether a cut holds back what a sender sends."""
        return any(block(sender, receiver) for block in self.blocks)

    def block(self, block: Block) -> None:
        """Begin a cut."""
        self.blocks.append(block)

    def unblock(self, block: Block) -> None:
        """End a cut and deliver what was held back."""
        self.blocks.remove(block)
        for stream in self._distinct_streams():
            if not stream.is_silent and not self._is_stream_blocked(stream):
                stream.blocked_since = None
            held = tuple(stream.held)
            stream.held.clear()
            for sender, receiver, message in held:
                self._transmit(stream, sender, receiver, message)

    def silence_streams(self, names: Iterable[str]) -> None:
        """Lose, without notice, all that open streams of daemons carry."""
        chosen = set(names)
        for stream in self._distinct_streams():
            if chosen.intersection(stream.ends):
                stream.is_silent = True
                stream.held.clear()

    def reset_streams(self, names: Iterable[str]) -> None:
        """Reset all streams of daemons."""
        chosen = set(names)
        for stream in self._distinct_streams():
            if chosen.intersection(stream.ends):
                for end in stream.ends:
                    self._lose_end(stream, end)

    def kill(self, name: str, *, has_power: bool = True) -> None:
        """End a daemon. Without power, no peer hears of it."""
        self.nodes.pop(name)
        peers = [path[1] for path in self.streams if path[0] == name]
        for peer in peers:
            stream = self.streams.pop((name, peer))
            if has_power:
                self._send_reset(stream, name)
            else:
                stream.is_silent = True
        dialled = [path for path in self._dialling if path[0] == name]
        self._dialling.difference_update(dialled)

    def run(self, seconds: float) -> None:
        """Advance the clock; ends of silent streams notice the silence."""
        for _ in range(round(seconds / TICK_SECONDS)):
            super().run(TICK_SECONDS)
            for stream in self._distinct_streams():
                self._check_stream(stream)

    def send(self, name: str, peer: str, message: wire.PeerMessage) -> None:
        """Send a message over the stream of a daemon, if it has one."""
        stream = self.streams.get((name, peer))
        if stream is None:
            return
        self.sent[type(message).__name__] += 1
        self._transmit(stream, name, peer, message)

    def _distinct_streams(self) -> list[Stream]:
        return list(dict.fromkeys(self.streams.values()))

    def _is_stream_blocked(self, stream: Stream) -> bool:
        left, right = stream.ends
        return self.is_blocked(left, right) or self.is_blocked(right, left)

    def _check_stream(self, stream: Stream) -> None:
        """Let each end notice a silence after a time of its own."""
        is_mute = stream.is_silent or self._is_stream_blocked(stream)
        if not is_mute:
            stream.blocked_since = None
            return
        if stream.blocked_since is None:
            stream.blocked_since = self.now
            for end in stream.ends:
                seconds = self.random.uniform(
                    MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS
                )
                self._schedule(
                    seconds,
                    partial(self._give_up, stream, end, self.now),
                )

    def _give_up(self, stream: Stream, end: str, since: float) -> None:
        if stream.blocked_since == since:
            self._lose_end(stream, end)

    def _lose_end(self, stream: Stream, end: str, reason: str = 'lost') -> None:
        path = (end, stream.other(end))
        if self.streams.get(path) is stream:
            del self.streams[path]
            self._report_lost_link(end, path[1])
            self._send_reset(stream, end)

    def _send_reset(self, stream: Stream, end: str) -> None:
        """Let the other end hear that this one has closed the stream."""
        other = stream.other(end)
        if stream.is_silent or self.is_blocked(end, other):
            stream.is_silent = True
            return
        self._schedule(
            self._latency(end, other), partial(self._lose_end, stream, other)
        )

    def _latency(self, name: str, peer: str) -> float:
        seconds = 0.0005 if name[:2] == peer[:2] else 0.012
        return seconds + self.added_seconds(name, peer)

    def _transmit(
        self, stream: Stream, name: str, peer: str, message: wire.PeerMessage
    ) -> None:
        if stream.is_silent:
            return
        if self.is_blocked(name, peer):
            stream.held.append((name, peer, message))
            return
        arrives_at = max(
            self.now + self._latency(name, peer), stream.due.get(peer, 0)
        )
        stream.due[peer] = arrives_at
        self._schedule(
            arrives_at - self.now,
            partial(self._arrive, stream, name, peer, message),
        )

    def _arrive(
        self, stream: Stream, name: str, peer: str, message: wire.PeerMessage
    ) -> None:
        if self.streams.get((peer, name)) is not stream or stream.is_silent:
            return
        sender = InstanceId(name)
        received = events.PeerMessageReceived
        self.deliver(peer, partial(received, peer=sender, message=message))

    def _connect(self, name: str, peer: str) -> None:
        if (name, peer) in self.streams or (name, peer) in self._dialling:
            return
        self._dialling.add((name, peer))
        incarnation = self.nodes[name].hello.incarnation
        self._dial(name, peer, incarnation, self.now)

    def _dial(
        self, name: str, peer: str, incarnation: str, began_at: float
    ) -> None:
        if not self.is_same_start(name, incarnation):
            return
        other = self.nodes.get(peer)
        waited = self.now - began_at
        round_trip = self._latency(name, peer) * 2
        again = partial(self._dial, name, peer, incarnation, began_at)
        if self.is_blocked(name, peer) or self.is_blocked(peer, name):
            is_late = waited >= DIAL_TIMEOUT_SECONDS
            failed = partial(self._fail_dial, name, peer)
            self._schedule(
                0 if is_late else RESEND_SECONDS, failed if is_late else again
            )
        elif other is None or waited >= HELLO_TIMEOUT_SECONDS:
            self._schedule(round_trip, partial(self._fail_dial, name, peer))
        elif other.is_frozen:
            self._schedule(TICK_SECONDS, again)
        else:
            opened = partial(self._open, name, peer, incarnation)
            self._schedule(round_trip, opened)

    def _fail_dial(self, name: str, peer: str) -> None:
        self._dialling.discard((name, peer))
        if (name, peer) not in self.streams:
            self._report_lost_link(name, peer)

    def _open(self, name: str, peer: str, incarnation: str) -> None:
        self._dialling.discard((name, peer))
        if not self.is_same_start(name, incarnation):
            return
        if peer not in self.nodes:
            self._fail_dial(name, peer)
            return
        if (name, peer) in self.streams:
            return
        current = self.streams.get((peer, name))
        is_simultaneous = current is not None and current.dialler == peer
        if is_simultaneous and peer < name:
            # The acceptor keeps its own stream and ends the new one.
            self._connected(name, peer)
            self._report_lost_link(name, peer)
            return
        stream = Stream(name, peer)
        if current is not None and not is_simultaneous:
            self._report_lost_link(peer, name)
        self.streams[name, peer] = stream
        self.streams[peer, name] = stream
        self._connected(name, peer)
        if not is_simultaneous:
            self._connected(peer, name)

    def _connected(self, name: str, peer: str) -> None:
        hello = self.nodes[peer].hello
        connected = events.PeerConnected
        make_event = partial(connected, peer=hello.instance, hello=hello)
        self._deliver_later(0, name, make_event)
