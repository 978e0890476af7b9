"""Tests that replay the traces in test-data/traces.

Each trace states its expected outcomes, and in a `Note` the failure that it
guards against.
"""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Final

from nose2.tools import params

from briartack.recorder import read_trace_lines
from briartack.replay import replay_trace

TRACES: Final = Path(__file__).parent / 'test-data' / 'traces'


class TracesTest(unittest.TestCase):
    """Guard against the failure that the note of each trace names."""

    @params(*sorted(path.name for path in TRACES.glob('*.jsonl')))
    def test_trace_has_the_stated_outcomes(self, name: str) -> None:
        outcome = replay_trace(TRACES / name)
        self.assertEqual(outcome.failures, ())
        self.assertTrue(outcome.is_ok)

    @params(*sorted(path.name for path in TRACES.glob('*.jsonl')))
    def test_trace_has_one_note(self, name: str) -> None:
        """Guard against a trace that does not state its purpose."""
        types = [line.type for line in read_trace_lines(TRACES / name)]
        self.assertEqual(types.count('Note'), 1)

    # Guards against a traceback in place of a failed outcome.
    @params('fields.x', 'fields.99', 'fields.-1.0', 'fields.0.2')
    def test_path_to_no_item_matches_nothing(self, path: str) -> None:
        """Check a stated outcome whose path names no item of a list."""
        source = TRACES / 'bad_version_between_good_ones.jsonl'
        events = source.read_text('utf-8').splitlines()[:4]
        outcome = {'effect': 'WriteLog', 'fields': {path: 'x'}}
        events.append(json.dumps({'type': 'Expect', 'data': outcome}))
        with tempfile.TemporaryDirectory() as directory:
            trace = Path(directory) / 'trace.jsonl'
            trace.write_text('\n'.join([*events, '']), 'utf-8')
            failures = replay_trace(trace).failures
        self.assertEqual(len(failures), 1)
        self.assertIn('no WriteLog', failures[0])
