"""The platform's settings file."""

import unittest
from typing import Final

from nose2.tools import params

from briartack.platform.settings import SettingsError, decode_settings

FILE: Final = '\n'.join(
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
    def test_file(self) -> None:
        settings = decode_settings(FILE, 5)
        self.assertEqual(settings.regions['sierra-uio'], 'sierra')
        rules = settings.rules
        self.assertEqual((rules.retry_ratio, rules.retry_burst), (0.25, 62))
        self.assertEqual((rules.cold_overage, rules.probe_seconds), (1.5, 5))
        self.assertIs(rules.requires_identity, True)

    def test_planned_stop_ends_within_the_grace_time(self) -> None:
        """Guards against a kill while the last answers are written.

        What runs in the last sixth of the time may be cut.
        """
        drain_seconds = decode_settings(FILE, 5).drain_seconds
        self.assertGreaterEqual(drain_seconds, 6 * 5 / 6)
        self.assertLess(drain_seconds, 6 - 0.5)

    @params(
        ('zones.a=b\nno separator', 'line 2'),
        ('node=x', 'zones.'),
        ('zones.a=b\nbounds=budget_extra=many', 'bounds'),
    )
    def test_error_names_the_place(self, text: str, place: str) -> None:
        with self.assertRaisesRegex(SettingsError, place):
            decode_settings(text, 5)
