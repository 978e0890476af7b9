"""Run `make test` and compare its failures with the list in KNOWN-RED.txt.

An entry of KNOWN-RED.txt is a line `test: NAME`, followed by lines with the
command, the seed, the observation and the issue. A listed test that passes
counts as a failure too, so that entries are removed once the fault is fixed.
"""

import re
import subprocess  # noqa: S404
import sys
from pathlib import Path

FAILURE_PATTERN = re.compile(r'^(?:FAIL|ERROR): (.+)$', re.MULTILINE)
TOTAL_PATTERN = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)


def read_expected_failures() -> set[str]:
    """Return the names of the tests that are expected to fail."""
    path = Path('KNOWN-RED.txt')
    if not path.exists():
        return set()
    lines = path.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def run_tests() -> str:
    """Run `make test` and return its output."""
    outcome = subprocess.run(  # noqa: S603
        ['make', 'test'],  # noqa: S607
        capture_output=True,
        text=True,
        check=False,
    )
    return outcome.stdout + outcome.stderr


def main() -> int:
    """Print the failures and `N passed, N failed`; return the exit code.

    The argument of the process is 1 if an earlier check failed, otherwise 0.
    """
    output = run_tests()
    sys.stdout.write(output)
    total = TOTAL_PATTERN.search(output)
    if total is None:
        sys.stdout.write('The test runner did not finish.\n')
        return 1
    failures = {name.strip() for name in FAILURE_PATTERN.findall(output)}
    expected = read_expected_failures()
    known_count = len(failures & expected)
    for name in sorted(failures | expected):
        sys.stdout.write(
            f'{_describe_result(name, failures, expected)}: {name}\n'
        )
    unexpected = len(failures ^ expected) + int(sys.argv[1])
    passed = int(total.group(1)) - len(failures)
    suffix = f', {known_count} skipped' if known_count else ''
    sys.stdout.write(f'{passed} passed, {unexpected} failed{suffix}\n')
    return 1 if unexpected or not passed else 0


def _describe_result(name: str, failures: set[str], expected: set[str]) -> str:
    if name not in failures:
        return 'listed in KNOWN-RED.txt but passes'
    return 'known red' if name in expected else 'failed'


if __name__ == '__main__':
    sys.exit(main())
