"""Test the exit codes and the output of the operators' command line."""

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
from briartack.test.test_held import encode_audit_line

TRACES: Final = Path(__file__).parent / 'test-data' / 'traces'
EXAMPLE_TREE: Final = Path(__file__).parents[2] / 'examples' / 'pacifico'
TIME: Final = '--time=2026-12-04T07:00:05'
AUDIT_TEXTS: Final = ('a i1 1 0 started', 'a i1 2 9 held d1 5')
# Words in braces stand for files and addresses that `setUp` prepares.
CASES: Final = (
    ('check {example}', cli.EXIT_OK),
    ('check {bad_tree}', cli.EXIT_FAILED),
    ('check {absent}', cli.EXIT_FAILED),
    ('check {empty}', cli.EXIT_FAILED),
    ('check {teams_is_file}', cli.EXIT_FAILED),
    ('check', cli.EXIT_USAGE),
    ('diff {example} {example}', cli.EXIT_OK),
    ('diff {example} {absent}', cli.EXIT_FAILED),
    ('diff {bad_tree} {example}', cli.EXIT_FAILED),
    ('diff {empty} {example}', cli.EXIT_FAILED),
    ('diff {example} {dangling}', cli.EXIT_FAILED),
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
ANSWERS: Final = {
    '/sta': {
        'instance': 'saldo-1',
        'ready': True,
        'highest': 3,
        'digest': 'd',
        'data_centres_out': ['costa-2'],
        'upstream': {'limit': 3, 'bodies': {'waiting': 2}},
        'services': {'banco/saldo': {'load': 0.5, 'is_away': False}},
    },
    '/exp': {
        'outcome': 'the less loaded of two chosen from 1 in the data centre',
        'home_regions': ['costa', 'sierra'],
        'endpoints': [
            {
                'instance': 'saldo-1',
                'data_centre': 'costa-1',
                'is_own': True,
                'is_connected': False,
                'excluded': '',
            },
            {
                'instance': 'saldo-2',
                'data_centre': 'costa-2',
                'is_own': False,
                'is_connected': True,
                'excluded': 'leaving',
                'expected': {
                    'total_ms': 90,
                    'way_ms': 2,
                    'wait_ms': 40,
                    'body_ms': 0,
                    'run_ms': 48,
                },
            },
        ],
    },
}


class ExitCodesTest(unittest.TestCase):
    """Check the exit code of commands with good, bad and missing input."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        root = Path(directory.name)
        trace = TRACES / 'bad_version_between_good_ones.jsonl'
        wrong = json.dumps({'type': 'Holds', 'data': {'versions': None}})
        (root / 'failing').write_text(f'{trace.read_text("utf-8")}{wrong}\n')
        (root / 'proved').write_text(
            '\n'.join(map(encode_audit_line, AUDIT_TEXTS))
        )
        (root / 'binary').write_bytes(b'\xff\n')
        (root / 'bad_tree' / 'teams').mkdir(parents=True)
        (root / 'bad_tree' / 'teams' / 'a.json').write_text('{"routes": 1}')
        for directory_name in ('empty', 'teams_is_file', 'dangling'):
            (root / directory_name).mkdir()
        (root / 'teams_is_file' / 'teams').touch()
        (root / 'dangling' / 'platform.json').symlink_to(root / 'absent')
        closed = socket.socket()
        self.addCleanup(closed.close)
        # A bound port without a listener refuses every connection.
        closed.bind(('127.0.0.1', 0))
        files = (
            *('failing', 'proved', 'binary', 'absent'),
            *('bad_tree', 'empty', 'teams_is_file', 'dangling'),
        )
        self.words = {
            **{name: str(root / name) for name in files},
            'example': str(EXAMPLE_TREE),
            'trace': str(trace),
            'time': TIME,
            'closed': f'127.0.0.1:{closed.getsockname()[1]}',
        }

    @params(*CASES)
    def test_exit_code_tells_success_from_failure(
        self, line: str, code: int
    ) -> None:
        """Check the exit code of a command line.

        A script would take a failure with code 0 for a success. A failure also
        prints its reason, and never a traceback.
        """
        arguments = line.format(**self.words).split()
        output = io.StringIO()
        exit_context = self.assertRaises(SystemExit)
        with (
            patch('sys.argv', ['briartack', *arguments]),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
            exit_context,
        ):
            cli.main()
        self.assertEqual(exit_context.exception.code, code, output.getvalue())
        self.assertNotIn('Traceback', output.getvalue())
        self.assertTrue(code == cli.EXIT_OK or output.getvalue())


class OutputTest(unittest.TestCase):
    """Check the output of commands on files and on answers of a daemon."""

    def run_command(self, *arguments: str) -> str:
        """Run a command on the answers in `ANSWERS` and return its output."""
        output = io.StringIO()
        with (
            patch('sys.argv', ['briartack', *arguments]),
            patch.object(cli, 'fetch', lambda _, path: ANSWERS[path[:4]]),
            contextlib.redirect_stdout(output),
            self.assertRaises(SystemExit),
        ):
            cli.main()
        return output.getvalue()

    @params(
        f'check {EXAMPLE_TREE}',
        f'diff {EXAMPLE_TREE} {EXAMPLE_TREE.parent / "horas-certas"}',
        'status 127.0.0.1:1 127.0.0.1:2',
        'explain 127.0.0.1:1 /saldo/1',
        f'replay {TRACES / "bad_version_between_good_ones.jsonl"}',
        f'held {{proved}} {TIME}',
    )
    def test_output_is_json_object_or_plain_text(self, line: str) -> None:
        """Check that a command prints one JSON object or lines of plain text.

        A script cannot parse text around the JSON; a reader cannot use Python
        or JSON syntax in the text.
        """
        with tempfile.NamedTemporaryFile('w') as proved:
            proved.write('\n'.join(map(encode_audit_line, AUDIT_TEXTS)))
            proved.flush()
            arguments = line.format(proved=proved.name).split()
            text = self.run_command(*arguments)
            printed = self.run_command(*arguments, '--as-json')
        self.assertIsInstance(json.loads(printed), dict)
        self.assertTrue(text)
        for row in text.splitlines():
            self.assertRegex(row, '^ {0,4}[^ {[]')

    def test_status_shows_load_without_json_syntax(self) -> None:
        """Check the lines of the upstream and of each service."""
        lines = self.run_command('status', 'a:1').splitlines()
        self.assertIn('    upstream: limit 3, bodies (waiting 2)', lines)
        self.assertIn('    service banco/saldo: load 0.5, is_away false', lines)

    def test_endpoint_columns_align_with_titles(self) -> None:
        """Check that each column of the table starts below its title."""
        lines = self.run_command('explain', 'a:1', '/x').splitlines()
        title, own, other = lines[-3:]
        self.assertIn('home_regions: costa, sierra', lines)
        for row, texts in (
            (own, ('saldo-1', 'costa-1', 'own', '-')),
            (
                other,
                (
                    'saldo-2',
                    'costa-2',
                    'yes',
                    '90 (2, 40, 0, 48)',
                    'leaving',
                ),
            ),
        ):
            titles = (
                'ENDPOINT',
                'DATA CENTRE',
                'STREAM',
                'EXPECTED MS',
                'EXCLUDED',
            )
            for column, text in zip(titles, texts, strict=False):
                self.assertTrue(row[title.index(column) :].startswith(text))
