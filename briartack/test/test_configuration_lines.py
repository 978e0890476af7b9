"""Test the log lines that say who held, announced and missed a version.

A request that is refused as only an older version allows has one of several
causes: nobody read the version, its reader announced it to nobody, or a daemon
did not get it from a peer that announced it. The lines tell them apart.
"""

import unittest
from typing import Final

from nose2.tools import params

from briartack.core import events
from briartack.core.dissemination.peer_sync import PeerSyncState
from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.messages import PROTOCOL_VERSION, Hello, Summary
from briartack.core.reducer import reduce
from briartack.core.units import (
    CallId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.test.fake_holdings import FakeHoldings
from briartack.test.store_reader import Daemon, Read, Watched, version

PEER: Final = InstanceId('y')
STEP_SECONDS: Final = 0.1
# No line before a pull from another region is due, one before the bound of 2 s.
MIN_LAG_SECONDS: Final = 1.3
MAX_LAG_SECONDS: Final = 1.7


def find_lines(effects: Effects, code: str) -> list[dict[str, str]]:
    """Return the fields of the log lines of a code."""
    return [
        dict(effect.fields)
        for effect in effects
        if isinstance(effect, WriteLog) and effect.code == code
    ]


def connect_peer(daemon: Daemon, now: float) -> Effects:
    """Open a stream to a peer of the same region."""
    hello = Hello(
        protocol_version=PROTOCOL_VERSION,
        instance=PEER,
        incarnation=Incarnation('y.1'),
        service='op/main',
        data_centre='north-1',
        region='north',
        clock=now,
    )
    event = events.PeerConnected(now=now, peer=PEER, hello=hello)
    return reduce(daemon.state, event)


def announce(daemon: Daemon, now: float, revision: int) -> Effects:
    """Let the peer announce that it holds a configuration."""
    summary = make_summary(now, revision)
    event = events.PeerMessageReceived(now=now, peer=PEER, message=summary)
    return reduce(daemon.state, event)


def make_summary(now: float, revision: int) -> Summary:
    """Make the summary of a peer that holds a configuration."""
    return Summary(
        incarnation=Incarnation('y.1'),
        highest=Revision(revision),
        configuration_digest=Digest(b'other'),
        instances_digest=Digest(b''),
        clock=now,
        wants_answers=True,
        configuration_highest=Revision(revision),
        instances_highest=Revision(0),
    )


class ConfigurationLinesTest(unittest.TestCase):
    # Guards against a refusal that does not say which version was in force.
    @params(('no-snapshot', '', ()), ('no-route', '40', (Read(1, 1, 40, ()),)))
    def test_refusal_names_the_version_in_force(
        self, reason: str, revision: str, reads: tuple[Read, ...]
    ) -> None:
        daemon = Daemon()
        daemon.deliver(
            *(read._replace(entries=(version(40, 1),)) for read in reads)
        )
        arrival = events.CallArrived(
            now=2,
            call_id=CallId('c1'),
            method='GET',
            target='/added/1',
            headers=(),
            body_bytes=0,
            request_id='r1',
        )
        lines = find_lines(reduce(daemon.state, arrival), 'call-refused')
        self.assertEqual(
            [(line['reason'], line['configuration']) for line in lines],
            [(reason, revision)],
        )

    # Guards against a version of which no line says whether it was announced.
    def test_change_names_the_peers_that_hear_of_it(self) -> None:
        daemon = Daemon()
        daemon.deliver(Read(1, 1, 40, (version(40, 1),)))
        connect_peer(daemon, 1.1)
        announce(daemon, 1.2, 40)
        effects = daemon.deliver(Watched(2, 1, 41, (version(41, 2),)))
        effects.extend(daemon.deliver(Watched(3, 1, 42, ())))
        lines = find_lines(effects, 'configuration-announced')
        self.assertEqual(
            lines, [{'configuration': '41', 'source': 'store', 'peers': 'y'}]
        )

    # Guards against a daemon that stays behind a peer without saying so.
    @params((41, 1), (40, 0))
    def test_lag_behind_a_peer_is_reported_once(
        self, offered: int, expected: int
    ) -> None:
        daemon = Daemon()
        daemon.deliver(Read(1, 1, 40, (version(40, 1),)))
        connect_peer(daemon, 1.1)
        now = 1.2
        announce(daemon, now, offered)
        reported: list[float] = []
        for step in range(1, 50):
            tick = events.Tick(now=now + step * STEP_SECONDS)
            lines = find_lines(reduce(daemon.state, tick), 'configuration-lags')
            reported.extend(step * STEP_SECONDS for _ in lines)
            for line in lines:
                self.assertEqual(line['peer'], PEER)
                self.assertEqual(line['offered'], str(offered))
                self.assertEqual(line['configuration'], '40')
        self.assertEqual(len(reported), expected)
        for lag_seconds in reported:
            self.assertGreater(lag_seconds, MIN_LAG_SECONDS)
            self.assertLess(lag_seconds, MAX_LAG_SECONDS)

    # Guards against a line for each peer that is ahead: one daemon wrote 229
    # lines on one version.
    @params(
        ((41, 41, 41), ['41']),
        ((41, 42, 41, 42), ['41', '42']),
    )
    def test_lag_behind_several_peers_is_reported_once_for_a_version(
        self, offered: tuple[int, ...], expected: list[str]
    ) -> None:
        sync = PeerSyncState()
        effects: Effects = []
        for step in range(50):
            for number, revision in enumerate(offered):
                sync.on_summary(
                    step * STEP_SECONDS,
                    InstanceId(f'peer-{number}'),
                    make_summary(0, revision),
                    is_remote=False,
                )
            effects += sync.send_due_requests(
                step * STEP_SECONDS,
                FakeHoldings(),
                starts_inventories_with=lambda peer: False,
            )
        lines = find_lines(effects, 'configuration-lags')
        self.assertEqual([line['offered'] for line in lines], expected)

    # Guards against a failed dial that reads like the end of a stream.
    @params((True, 'peer-lost'), (False, 'peer-unreachable'))
    def test_failed_dial_differs_from_a_lost_stream(
        self, was_linked: bool, code: str
    ) -> None:
        daemon = Daemon()
        if was_linked:
            connect_peer(daemon, 1)
        event = events.PeerDisconnected(now=2, peer=PEER, reason='reset')
        lines = [
            (effect.code, effect.level)
            for effect in reduce(daemon.state, event)
            if isinstance(effect, WriteLog)
        ]
        self.assertEqual(lines, [(code, LogLevel.INFO)])
