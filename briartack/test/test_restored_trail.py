"""Tests of what operators learn about versions on both sides of a restore."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final, TypeAlias
from unittest.mock import patch

from nose2.tools import params

from briartack import cli
from briartack.core import events
from briartack.core.effects import WriteAudit
from briartack.core.invariant_monitor import InvariantMonitor
from briartack.core.units import Era, place_in_era
from briartack.test.store_reader import (
    TEAM_KEY,
    Daemon,
    Read,
    Watched,
    version,
)

SECOND_ERA_REVISION: Final = place_in_era(Era(2), 23)
_TrailLine: TypeAlias = tuple[int, str, dict[str, Any]]
# Number 23 stands for version 12 in the first era and for 14 in the second.
TRAIL: Final[tuple[_TrailLine, ...]] = (
    (1, 'started', {}),
    (2, 'configuration', {'revision': 23, 'digest': 'd1', 'stated': 12}),
    (5, 'held', {'revision': 23, 'digest': 'd1'}),
    (
        6,
        'configuration',
        {'revision': SECOND_ERA_REVISION, 'digest': 'd2', 'stated': 14},
    ),
    (9, 'held', {'revision': SECOND_ERA_REVISION, 'digest': 'd2'}),
)


def run_command(*arguments: str) -> str:
    """Run a command of the command line and return its output."""
    output = io.StringIO()
    with (
        patch('sys.argv', ['briartack', *arguments]),
        contextlib.redirect_stdout(output),
        contextlib.suppress(SystemExit),
    ):
        cli.main()
    return output.getvalue()


def encode_line(sequence: int, line: _TrailLine) -> str:
    """Return an audit line of the trail."""
    second, kind, held = line
    encoded: dict[str, Any] = {
        'time': f'2026-12-04T07:00:0{second}+00:00',
        'instance': 'a',
        'incarnation': 'a.1',
        'sequence': sequence,
        'kind': kind,
    }
    if held:
        encoded.update(digest=held['digest'], highest=held['revision'])
    if kind == 'configuration':
        encoded['versions'] = {TEAM_KEY: held['revision']}
        encoded['stated'] = {TEAM_KEY: [held['stated']]}
    return json.dumps(encoded)


class RestoredTrailTest(unittest.TestCase):
    # Guards against an answer that does not tell which of two versions with the
    # same number a proxy held.
    @params(
        ('04', 'revision 23, digest d1', f'{TEAM_KEY} 23 (states 12)'),
        ('07', 'revision 2:23, digest d2', f'{TEAM_KEY} 2:23 (states 14)'),
    )
    def test_held_names_the_era_and_the_version(
        self, second: str, revision: str, named: str
    ) -> None:
        with tempfile.TemporaryDirectory() as directory:
            log = Path(directory) / 'log'
            lines = (
                encode_line(sequence, line)
                for sequence, line in enumerate(TRAIL, start=1)
            )
            log.write_text('\n'.join(lines), encoding='utf-8')
            at = f'--time=2026-12-04T07:00:{second}'
            shown = run_command('held', at, str(log))
        self.assertIn(revision, shown)
        self.assertIn(named, shown)

    # Guards against a daemon of the first era that seems to be behind by a
    # million million revisions.
    def test_status_names_the_era(self) -> None:
        known = {'ready': True, 'digest': 'd'}
        answers = (
            {**known, 'highest': 23, 'instance': 'a'},
            {**known, 'highest': SECOND_ERA_REVISION, 'instance': 'b'},
        )
        with patch.object(cli, 'fetch', side_effect=answers):
            rows = run_command('status', 'a:1', 'b:1').splitlines()
        self.assertEqual(rows[1].split()[3:5], ['23', 'era'])
        self.assertEqual(rows[2].split()[3:5], ['2:23', '0'])

    # Guards against a trail that has only the numbers of the store.
    def test_trail_has_the_version_that_operators_state(self) -> None:
        daemon = Daemon()
        effects = daemon.deliver(
            Read(1, 1, 23, (version(23, 3, 12),)),
            Read(4, 2, 22, (version(22, 3, 12),)),
            Watched(5, 2, 23, (version(23, 4, 14),)),
        )
        stated = [
            effect.record.fields['stated']
            for effect in effects
            if isinstance(effect, WriteAudit)
            and effect.record.kind == 'configuration'
        ]
        self.assertEqual(stated[0], {TEAM_KEY: [12]})
        self.assertEqual(stated[-1], {TEAM_KEY: [14]})

    # Guards against a monitor that takes the number of a version for its place.
    @params(((23, 12), (22, 14), 0), ((23, 12), (24, 11), 1))
    def test_monitor_follows_the_order_that_writers_state(
        self, before: tuple[int, int], after: tuple[int, int], found: int
    ) -> None:
        monitor = InvariantMonitor()
        violations = []
        for revision, stated in (before, after):
            # A daemon each, since none would go back by itself.
            daemon = Daemon()
            answer = Read(1, 1, revision, (version(revision, 1, stated),))
            daemon.deliver(answer)
            event = events.Tick(now=1)
            violations.extend(monitor.observe(daemon.state, event, []))
        self.assertEqual(len(violations), found)
