"""Test the figures of the control benchmarks and the cached versions."""

import tempfile
import unittest
from pathlib import Path
from random import Random

from nose2.tools import params

from benchmarks import baseline_daemon
from benchmarks.audit_trails import AuditTrailReader
from benchmarks.control_statistics import fit_slope, percentile
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
    """Check the figures of benchmarks; errors would hide a missed target."""

    @params(
        ((1.0,), 0.99, 1.0),
        ((3.0, 1.0, 2.0, 4.0), 0.5, 2.0),
        (tuple(map(float, range(1, 201))), 0.99, 198.0),
    )
    def test_percentile_is_nearest_rank(
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
    def test_slope_is_least_squares_fit(
        self,
        points: tuple[tuple[float, float], ...],
        expected: float,
    ) -> None:
        self.assertEqual(fit_slope(points), expected)

    def test_reader_ignores_incomplete_lines(self) -> None:
        """Check that the reader ignores incomplete and unrelated lines.

        Such a line would give a wrong time at which a revision took effect.
        """
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'd.out'
            path.write_text(
                _format_audit_line('started', 9) + _format_audit_line('held', 9)
            )
            reader = AuditTrailReader(path)
            with path.open('a') as trail_file:
                trail_file.write(
                    f'{_format_audit_line("configuration", 7)[:-9]}\n'
                )
                trail_file.write(_format_audit_line('configuration', 6))
                trail_file.write(_format_audit_line('configuration', 8)[:-9])
            reader.poll()
            found = [
                reader.find_activation_time(revision) for revision in (5, 7)
            ]
        self.assertEqual(found, [1.006, None])

    def test_baseline_replaces_existing_methods(self) -> None:
        """Check that each replacement of the baseline differs from the product.

        A baseline that no longer replaces anything would equal the product,
        and a comparison with it would show no difference.
        """
        for owner, name, replacement in baseline_daemon.REPLACEMENTS:
            self.assertNotEqual(getattr(owner, name), replacement)
        state = store_reads.StoreReadsState(random=Random(1))
        state.start(0)
        self.assertEqual(state.start_due_calls(0, needs_full_read=False), [])


class CachedVersionsTest(unittest.TestCase):
    """Check that cached versions are renewed after each change.

    An inventory of outdated versions would not reveal a missing entry.
    """

    def test_versions_follow_each_change(self) -> None:
        snapshots, members = ConfigurationState(), MembershipState()
        holdings = CombinedHoldings(configuration=snapshots, membership=members)
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


def _format_audit_line(kind: str, highest: int) -> str:
    return (
        f'{{"time":"1970-01-01T00:00:01.00{highest}Z","kind":"{kind}",'
        f'"highest":{highest},"versions":{{}}}}\n'
    )
