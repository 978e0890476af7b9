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


def main() -> int:
    """Print `N passed, N failed` and return the exit code."""
    outcome = subprocess.run(  # noqa: S603
        ['make', 'test'],  # noqa: S607
        capture_output=True,
        text=True,
        check=False,
    )
    output = outcome.stdout + outcome.stderr
    sys.stdout.write(output)
    total = TOTAL.search(output)
    if total is None:
        sys.stdout.write('The test runner did not finish.\n')
        return 1
    failures = {name.strip() for name in FAILURE.findall(output)}
    expected = known_red()
    for name in sorted(failures & expected):
        sys.stdout.write(f'known red: {name}\n')
    for name in sorted(expected - failures):
        sys.stdout.write(f'listed in KNOWN-RED.txt but passes: {name}\n')
    unexpected = len(failures - expected) + len(expected - failures)
    style_failed = int(sys.argv[1])
    passed = int(total.group(1)) - len(failures)
    known = len(failures & expected)
    suffix = f', {known} skipped' if known else ''
    sys.stdout.write(
        f'{passed} passed, {unexpected + style_failed} failed{suffix}\n'
    )
    return 1 if unexpected or style_failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
