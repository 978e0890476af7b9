"""Figures of the control measures, and what the daemon keeps between uses."""

import tempfile
import unittest
from pathlib import Path
from random import Random

from nose2.tools import params

from benchmarks import baseline_daemon
from benchmarks.control_audit import Trail
from benchmarks.control_figures import percentile, slope
from briartack.core.configuration.snapshot import ConfigurationState
from briartack.core.dissemination import store_reads
from briartack.core.dissemination.combined_holdings import CombinedHoldings
from briartack.core.dissemination.membership import MembershipState
from briartack.core.entries import Entry
from briartack.core.units import Revision

RECORD = (
    '{"service": "a/b", "data_centre": "d", "region": "r",'
    ' "peer_address": "192.0.2.1:7000", "state": "live"}'
)


class ControlFiguresTest(unittest.TestCase):
    """Wrong figures would hide a missed target."""

    @params(
        ((1.0,), 0.99, 1.0),
        ((3.0, 1.0, 2.0, 4.0), 0.5, 2.0),
        (tuple(map(float, range(1, 201))), 0.99, 198.0),
    )
    def test_percentile(
        self,
        numbers: tuple[float, ...],
        share: float,
        expected: float,
    ) -> None:
        self.assertEqual(percentile(numbers, share), expected)

    @params(
        (((1.0, 5.0), (2.0, 7.0), (3.0, 9.0)), 2.0),
        (((1.0, 5.0), (1.0, 7.0)), 0),
        ((), 0),
    )
    def test_slope(
        self,
        points: tuple[tuple[float, float], ...],
        expected: float,
    ) -> None:
        self.assertEqual(slope(points), expected)

    def test_trail_waits_for_whole_lines(self) -> None:
        """Guards against times from half a line or of another kind."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'd.out'
            path.write_text(_line('started', 9) + _line('held', 9))
            trail = Trail(path)
            with path.open('a') as written:
                written.write(f'{_line("configuration", 7)[:-9]}\n')
                written.write(_line('configuration', 6))
                written.write(_line('configuration', 8)[:-9])
            trail.poll()
            found = [trail.in_force_at(revision) for revision in (5, 7)]
        self.assertEqual(found, [1.006, None])

    def test_baseline_replaces_what_exists(self) -> None:
        """Guards against a baseline that became equal to the product."""
        for owner, name, replacement in baseline_daemon.REPLACED:
            self.assertNotEqual(getattr(owner, name), replacement)
        state = store_reads.StoreReadsState(random=Random(1))
        state.start(0)
        self.assertEqual(state.due(0, needs_full_read=False), [])


class VersionsTest(unittest.TestCase):
    """An inventory of versions from before a change would miss a gap."""

    def test_versions_follow_each_change(self) -> None:
        snapshots, members = ConfigurationState(), MembershipState()
        holdings = CombinedHoldings(snapshots=snapshots, membership=members)
        changes = (
            ('teams/a', '{}'),
            ('instances/i', RECORD),
            ('teams/a', '{"services": {}}'),
            ('instances/i', None),
            ('platform', '{}'),
        )
        for revision, (key, text) in enumerate(changes, start=1):
            entry = Entry(key=key, revision=Revision(revision), value=text)
            snapshots.apply((entry,))
            members.apply((entry,))
            versions = holdings.versions()
            self.assertIs(holdings.versions(), versions)
            self.assertEqual(versions[key].revision, revision)
            digest = snapshots.key_digests().get(key, b'')
            self.assertEqual(versions[key].digest, digest)
            self.assertEqual(holdings.highest, revision)


def _line(kind: str, highest: int) -> str:
    return (
        f'{{"time":"1970-01-01T00:00:01.00{highest}Z","kind":"{kind}",'
        f'"highest":{highest},"versions":{{}}}}\n'
    )
