"""Tests of the decoder of the platform's settings file."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Final
from unittest.mock import Mock, patch

from nose2.tools import params

from briartack.integration import SettingsFileWatcher, load_integration
from briartack.options import Options
from briartack.platform.settings import SettingsError, decode_settings

SETTINGS_FILE: Final = '\n'.join(
    (
        'node=side-1',
        'zones.costa-gye=costa',
        'zones.sierra-uio=sierra',
        'seeds=',
        'bounds=grace_s=6,retry_budget_ratio=0.25,budget_extra=62,'
        'cold_overage=1.5,cold_slack=5,unknown=yes',
        '',
    ),
)


class SettingsTest(unittest.TestCase):
    def test_settings_are_decoded_and_unknown_bounds_ignored(self) -> None:
        """Guard against ignored settings, and a failure at an unknown one."""
        settings = decode_settings(SETTINGS_FILE, 5)
        self.assertEqual(settings.regions['sierra-uio'], 'sierra')
        rules = settings.rules
        self.assertEqual((rules.retry_ratio, rules.retry_burst), (0.25, 62))
        self.assertEqual((rules.cold_overage, rules.probe_seconds), (1.5, 5))
        self.assertIs(rules.requires_identity, True)

    def test_planned_stop_ends_within_the_grace_time(self) -> None:
        """Guard against a kill while the last answers are written.

        The grace time is 6 s; requests that still run in its last sixth may be
        aborted.
        """
        drain_seconds = decode_settings(SETTINGS_FILE, 5).drain_seconds
        self.assertGreaterEqual(drain_seconds, 6 * 5 / 6)
        self.assertLess(drain_seconds, 6 - 0.5)

    @params(2, 3, 6, 10)
    def test_last_bytes_are_written_within_the_grace_time(
        self, grace_seconds: int
    ) -> None:
        """Guard against a kill because a short grace time is exceeded."""
        text = SETTINGS_FILE.replace('grace_s=6', f'grace_s={grace_seconds}')
        settings = decode_settings(text, 5)
        end_seconds = settings.drain_seconds + settings.exit_flush_seconds
        self.assertGreaterEqual(settings.exit_flush_seconds, 0)
        # The process needs the rest to end.
        self.assertLessEqual(end_seconds, grace_seconds - 0.3)

    @params(2000, 3000)
    def test_silent_store_is_noticed_within_the_bound_for_changes(
        self, bound_ms: int
    ) -> None:
        """Guard against a watch that is silent for longer than the bound.

        A quarter of the bound is left to read the change elsewhere and to
        spread it.
        """
        text = f'zones.a=b\nbounds=config_apply_ms={bound_ms}'
        rules = decode_settings(text, 5).store_rules
        noticed_ms = 1000 * (
            rules.watch_wait_seconds + rules.watch_grace_seconds
        )
        self.assertLessEqual(noticed_ms, bound_ms * 3 / 4)

    # Guards against bodies that are bounded by another memory than the one
    # above which the platform ends the process.
    @params(
        ('', (None, None)),
        ('limits.memory_mb=150\nlimits.max_fds=4100', (150, 4100)),
        ('limits.memory_mb=\nlimits.cores=1\nlimits.disk_mb=x', (None, None)),
        ('limits.memory_mb=0\nlimits.max_fds=-1', (None, None)),
        ('limits.memory_mb=inf', (None, None)),
        ('limits.memory_mb=nan', (None, None)),
    )
    def test_limits_of_the_process_are_decoded(
        self, lines: str, expected: tuple[float | None, int | None]
    ) -> None:
        settings = decode_settings(f'zones.a=b\n{lines}', 5)
        limits = (settings.memory_mb, settings.max_descriptors)
        self.assertEqual(limits, expected)

    @params(
        ('zones.a=b\nno separator', 'line 2'),
        ('zones.a=b\nlimits.memory_mb=many', 'limits'),
        ('node=x', 'zones.'),
        ('zones.a=b\nbounds=budget_extra=many', 'bounds'),
    )
    def test_error_names_the_line_or_key(self, text: str, place: str) -> None:
        """Guard against an error that does not say what to correct."""
        with self.assertRaisesRegex(SettingsError, place):
            decode_settings(text, 5)


class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name, 'node.conf')
        address = '127.0.0.1', 1
        self.options = Options(
            instance_id='a-1',
            service='op/huvo',
            data_centre='costa-gye',
            region='costa',
            caller_address=address,
            peer_address=address,
            operator_address=address,
            upstream_address=address,
            store_address=address,
            dialect='platform',
            boot=self.path,
        )

    # Guards against settings that stay as they were, since the file changed
    # while the daemon started.
    def test_change_during_the_start_is_applied(self) -> None:
        self.path.write_text(SETTINGS_FILE, 'utf-8')
        loaded = load_integration(self.options)
        self.path.write_text(f'{SETTINGS_FILE}new=1', 'utf-8')
        watcher = SettingsFileWatcher(
            options=self.options, content=loaded.settings_content
        )
        self.assertIsNotNone(watcher.reload_if_changed())
        self.assertIsNone(watcher.reload_if_changed())

    # Guards against a stop that outlasts a short grace time, since it still
    # takes requests when its drain time is over.
    @params((6, 30, 2.2), (3, 30, 1.275), (2, 30, 0.85), (6, 1, 0.5))
    def test_callers_are_refused_before_the_drain_time_ends(
        self, grace_seconds: int, drain_seconds: float, linger_seconds: float
    ) -> None:
        text = SETTINGS_FILE.replace('grace_s=6', f'grace_s={grace_seconds}')
        self.path.write_text(text, 'utf-8')
        options = replace(self.options, drain_seconds=drain_seconds)
        rules = load_integration(options).rules
        self.assertAlmostEqual(rules.linger_seconds, linger_seconds)

    # Guards against settings of a file that was being rewritten: what is
    # compared with the next content has to be what was decoded.
    def test_changed_file_is_read_once(self) -> None:
        self.path.write_text(SETTINGS_FILE, 'utf-8')
        watcher = SettingsFileWatcher(options=self.options, content=b'')
        reads = Mock(side_effect=[SETTINGS_FILE.encode(), b'zones.a=b'])
        with patch.object(Path, 'read_bytes', reads):
            loaded = watcher.reload_if_changed()
        assert loaded is not None
        self.assertEqual(loaded.settings_content, SETTINGS_FILE.encode())

    # Guards against a daemon that a damaged settings file ends.
    @params(b'zones.a=\xff', b'', b'zones.a', b'zones.a=b\nbounds=grace_s=x')
    def test_damaged_settings_file_is_reported(self, content: bytes) -> None:
        self.path.write_bytes(content)
        with self.assertRaises(ExceptionGroup):
            load_integration(self.options)
