"""Runs `make test`, compares its failures with KNOWN-RED.txt, gives a verdict.

An entry of KNOWN-RED.txt is a line `test: NAME`; the lines below it give the
command, the seed, what was seen and the issue. A listed test that passes is a
failure too, so that entries do not outlive their fault.
"""

import re
import subprocess  # noqa: S404
import sys
from pathlib import Path

FAILURE = re.compile(r'^(?:FAIL|ERROR): (.+)$', re.MULTILINE)
TOTAL = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)


def known_red() -> set[str]:
    """Read the names of the tests that are expected to fail."""
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
    """Run `make test` and return what it printed."""
    outcome = subprocess.run(  # noqa: S603
        ['make', 'test'],  # noqa: S607
        capture_output=True,
        text=True,
        check=False,
    )
    return outcome.stdout + outcome.stderr


def main() -> int:
    """Print `N passed, N failed` and return the exit code."""
    output = run_tests()
    sys.stdout.write(output)
    total = TOTAL.search(output)
    if total is None:
        sys.stdout.write('The test runner did not finish.\n')
        return 1
    failures = {name.strip() for name in FAILURE.findall(output)}
    expected = known_red()
    known = len(failures & expected)
    for name in sorted(failures | expected):
        sys.stdout.write(f'{_describe(name, failures, expected)}: {name}\n')
    unexpected = len(failures ^ expected) + int(sys.argv[1])
    passed = int(total.group(1)) - len(failures)
    suffix = f', {known} skipped' if known else ''
    sys.stdout.write(f'{passed} passed, {unexpected} failed{suffix}\n')
    return 1 if unexpected or not passed else 0


def _describe(name: str, failures: set[str], expected: set[str]) -> str:
    if name not in failures:
        return 'listed in KNOWN-RED.txt but passes'
    return 'known red' if name in expected else 'failed'


if __name__ == '__main__':
    sys.exit(main())
