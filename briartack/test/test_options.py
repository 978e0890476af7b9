"""Tests of the flags and environment variables of briartackd."""

import unittest

from nose2.tools import params

from briartack.options import read_options

VALID_ENVIRONMENT = {
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
    """Return the text of every error in the options."""
    try:
        read_options(arguments, environment)
    except ExceptionGroup as group:
        return [str(error) for error in group.exceptions]
    return []


class OptionsTest(unittest.TestCase):
    def test_missing_options_get_defaults(self) -> None:
        """Guard against a deployment that has to set every option."""
        options = read_options([], VALID_ENVIRONMENT)
        self.assertEqual(options.operator_address, ('::1', 7002))
        self.assertEqual(options.drain_seconds, 30)
        self.assertIsNone(options.record)
        logged = options.format_fields()
        self.assertEqual(logged['operator_address'], '[::1]:7002')
        self.assertEqual(logged['record'], '')

    def test_flag_overrides_variable(self) -> None:
        """Guard against a flag that its environment variable overrides."""
        options = read_options(['--region', 'sierra'], VALID_ENVIRONMENT)
        self.assertEqual(options.region, 'sierra')

    def test_every_error_is_reported_at_once(self) -> None:
        """Guard against one start for each error that operators correct."""
        errors = errors_of(
            ['--log-level', 'loud', '--nonsense', '--service'],
            {
                **VALID_ENVIRONMENT,
                'BRIARTACK_DRAIN_SECONDS': 'nan',
                'BRIARTACK_REGION': '',
            },
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
        """Guard against an error that does not say which variable to set."""
        errors = '\n'.join(errors_of([], {}))
        for name in VALID_ENVIRONMENT:
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
        ('--probe-seconds', '0'),
        ('--probe-seconds', '-1'),
        ('--memory-mb', '63'),
        ('--memory-mb', 'nan'),
        ('--record', '/no/such/directory/trace'),
        ('--record', '/'),
        ('--caller-address', '127.0.0.1:7001'),
    )
    def test_invalid_value_is_reported_with_flag_and_variable(
        self, flag: str, text: str
    ) -> None:
        """Guard against a start with a value that the daemon cannot use.

        The last row gives two listeners the same address.
        """
        errors = errors_of([flag, text], VALID_ENVIRONMENT)
        self.assertEqual(len(errors), 1, errors)
        self.assertRegex(errors[0], r'^--[a-z-]+ \(BRIARTACK_[A-Z_]+\): .+\. ')
