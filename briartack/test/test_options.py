"""Flags and variables of briartackd."""

import unittest

from nose2.tools import params

from briartack.options import read_options

VALID = {
    'BRIARTACK_INSTANCE_ID': 'saldo-1',
    'BRIARTACK_SERVICE': 'saldo/saldo',
    'BRIARTACK_DATA_CENTRE': 'costa-1',
    'BRIARTACK_REGION': 'costa',
    'BRIARTACK_CALLER_ADDRESS': '127.0.0.1:7000',
    'BRIARTACK_PEER_ADDRESS': '127.0.0.1:7001',
    'BRIARTACK_OPERATOR_ADDRESS': '[::1]:7002',
    'BRIARTACK_UPSTREAM_ADDRESS': '127.0.0.1:7003',
    'BRIARTACK_STORE_ADDRESS': '127.0.0.1:7004',
}


def errors_of(arguments: list[str], environment: dict[str, str]) -> list[str]:
    """Return the texts of all errors."""
    try:
        read_options(arguments, environment)
    except ExceptionGroup as group:
        return [str(error) for error in group.exceptions]
    return []


class OptionsTest(unittest.TestCase):
    def test_valid_with_defaults(self) -> None:
        """Guards against a deployment that needs every setting."""
        options = read_options([], VALID)
        self.assertEqual(options.operator_address, ('::1', 7002))
        self.assertEqual(options.drain_seconds, 30)
        self.assertIsNone(options.record)
        logged = options.format_fields()
        self.assertEqual(logged['operator_address'], '[::1]:7002')
        self.assertEqual(logged['record'], '')

    def test_flag_overrides_variable(self) -> None:
        """Guards against a flag without effect."""
        options = read_options(['--region', 'sierra'], VALID)
        self.assertEqual(options.region, 'sierra')

    def test_all_errors_at_once(self) -> None:
        """Guards against operators who correct one error for each start."""
        errors = errors_of(
            ['--log-level', 'loud', '--nonsense', '--service'],
            {**VALID, 'BRIARTACK_DRAIN_SECONDS': 'nan', 'BRIARTACK_REGION': ''},
        )
        self.assertEqual(
            [error.partition(' ')[0] for error in errors],
            [
                '--nonsense:',
                '--service',
                '--region',
                '--drain-seconds',
                '--log-level',
            ],
        )

    def test_every_missing_setting_names_its_variable(self) -> None:
        """Guards against an error that does not say what to set."""
        errors = '\n'.join(errors_of([], {}))
        for name in VALID:
            self.assertIn(f'({name}): missing', errors)

    @params(
        ('--instance-id', 'Saldo 1'),
        ('--service', 'saldo'),
        ('--data-centre', '1costa'),
        ('--store-address', 'localhost:80'),
        ('--store-address', '127.0.0.1'),
        ('--store-address', '127.0.0.1:0'),
        ('--store-address', '127.0.0.1:65536'),
        ('--store-address', '127.0.0.1:8_0'),
        ('--drain-seconds', '-1'),
        ('--drain-seconds', 'inf'),
        ('--record', '/no/such/directory/trace'),
        ('--record', '/'),
        ('--caller-address', '127.0.0.1:7001'),
    )
    def test_one_wrong_value(self, flag: str, text: str) -> None:
        """Guards against a daemon that starts with a setting it cannot use."""
        errors = errors_of([flag, text], VALID)
        self.assertEqual(len(errors), 1, errors)
        self.assertRegex(errors[0], r'^--[a-z-]+ \(BRIARTACK_[A-Z_]+\): .+\. ')
