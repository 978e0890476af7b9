"""Replays the traces with stated outcomes; a `Note` in each says its guard."""

import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

from briartack.recorder import read_trace_lines
from briartack.replay import replay_trace

TRACES: Final = Path(__file__).parent / 'test-data' / 'traces'


class TracesTest(unittest.TestCase):
    """Guards against the failure that the note of each trace names."""

    @params(*sorted(path.name for path in TRACES.glob('*.jsonl')))
    def test_outcomes(self, name: str) -> None:
        outcome = replay_trace(TRACES / name)
        self.assertEqual(outcome.failures, ())
        self.assertTrue(outcome.is_ok)

    @params(*sorted(path.name for path in TRACES.glob('*.jsonl')))
    def test_note(self, name: str) -> None:
        """Guards against a trace whose purpose nobody can tell."""
        types = [line.type for line in read_trace_lines(TRACES / name)]
        self.assertEqual(types.count('Note'), 1)
