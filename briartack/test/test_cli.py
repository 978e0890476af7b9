"""Exit codes of the operators' command line."""

import contextlib
import io
import json
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Final
from unittest.mock import patch

from nose2.tools import params

from briartack import cli
from briartack.test.test_held import audit_line

TRACES: Final = Path(__file__).parent / 'test-data' / 'traces'
EXAMPLE: Final = Path(__file__).parents[2] / 'examples' / 'pacifico'
TIME: Final = '--time=2026-12-04T07:00:05'
PROVED: Final = ('a i1 1 0 started', 'a i1 2 9 held d1 5')
# Arguments may name files that `setUp` writes, and the words below.
CASES: Final = (
    ('check {example}', cli.EXIT_OK),
    ('check {bad_tree}', cli.EXIT_FAILED),
    ('check {absent}', cli.EXIT_FAILED),
    ('check', cli.EXIT_USAGE),
    ('diff {example} {example}', cli.EXIT_OK),
    ('diff {example} {absent}', cli.EXIT_FAILED),
    ('diff {example}', cli.EXIT_USAGE),
    ('held {time} {proved} {binary}', cli.EXIT_OK),
    ('held {time} {proved} --instance=a', cli.EXIT_OK),
    ('held {time} {proved} --instance=b', cli.EXIT_FAILED),
    ('held {time} {binary}', cli.EXIT_FAILED),
    ('held --time=2026-12-04T07:00:10 {proved}', cli.EXIT_FAILED),
    ('held --time=2026-12-04T09:00:05+02:00 {proved}', cli.EXIT_OK),
    ('held --time=yesterday {proved}', cli.EXIT_USAGE),
    ('held {time} {absent}', cli.EXIT_USAGE),
    ('held {proved}', cli.EXIT_USAGE),
    ('replay {trace}', cli.EXIT_OK),
    ('replay {trace} {failing}', cli.EXIT_FAILED),
    ('replay {binary}', cli.EXIT_FAILED),
    ('replay {absent}', cli.EXIT_USAGE),
    ('replay', cli.EXIT_USAGE),
    ('status', cli.EXIT_USAGE),
    ('status {closed}', cli.EXIT_UNREACHABLE),
    ('explain {closed} /saldo/1', cli.EXIT_UNREACHABLE),
    ('explain {closed}', cli.EXIT_USAGE),
    ('absent-command', cli.EXIT_USAGE),
)


class ExitCodesTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        root = Path(directory.name)
        trace = TRACES / 'bad_version_between_good_ones.jsonl'
        wrong = json.dumps({'type': 'Holds', 'data': {'versions': None}})
        (root / 'failing').write_text(f'{trace.read_text("utf-8")}{wrong}\n')
        (root / 'proved').write_text('\n'.join(map(audit_line, PROVED)))
        (root / 'binary').write_bytes(b'\xff\n')
        (root / 'bad_tree' / 'teams').mkdir(parents=True)
        (root / 'bad_tree' / 'teams' / 'a.json').write_text('{"routes": 1}')
        closed = socket.socket()
        self.addCleanup(closed.close)
        # A bound port without a listener refuses every connection.
        closed.bind(('127.0.0.1', 0))
        files = ('failing', 'proved', 'binary', 'bad_tree', 'absent')
        self.words = {
            **{name: str(root / name) for name in files},
            'example': str(EXAMPLE),
            'trace': str(trace),
            'time': TIME,
            'closed': f'127.0.0.1:{closed.getsockname()[1]}',
        }

    @params(*CASES)
    def test_exit_code(self, line: str, code: int) -> None:
        """Guards against scripts that take a failure for a success."""
        arguments = line.format(**self.words).split()
        output = io.StringIO()
        ended = self.assertRaises(SystemExit)
        with (
            patch('sys.argv', ['briartack', *arguments]),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
            ended,
        ):
            cli.main()
        self.assertEqual(ended.exception.code, code, output.getvalue())
        self.assertNotIn('Traceback', output.getvalue())
        self.assertTrue(code == cli.EXIT_OK or output.getvalue())
