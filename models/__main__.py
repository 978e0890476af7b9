"""Check all specifications from the command line: `python -m models`.

Prints one line for each proof, reachable goal and mutant, and exits with 1 if
the result of any check differs from the expected one.
"""

import sys
import time

from models.catalogue import (
    Goal,
    Mutant,
    Proof,
    list_goals,
    list_mutants,
    list_proofs,
)


def main() -> int:
    """Run all checks and return the exit code of the process."""
    checks: list[Proof | Goal | Mutant] = [
        *list_proofs(),
        *list_goals(),
        *list_mutants(),
    ]
    failed = [check for check in checks if not _run_check(check)]
    return 1 if failed else 0


def _run_check(check: Proof | Goal | Mutant) -> bool:
    started = time.process_time()
    problem = check.find_problem()
    seconds = time.process_time() - started
    verdict = f'FAILED: {problem}' if problem else 'ok'
    print(f'{check.describe()} ({seconds:.1f} s CPU): {verdict}', flush=True)
    return not problem


if __name__ == '__main__':
    sys.exit(main())
