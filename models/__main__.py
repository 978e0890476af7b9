"""Checks all specifications: `python -m models`.

Prints one line for each proof, reachable goal and mutant, and exits 1 if any
of them turns out otherwise than stated.
"""

import sys
import time

from models.catalogue import Goal, Mutant, Proof, goals, mutants, proofs


def main() -> int:
    """Run all checks and return the exit code."""
    checks: list[Proof | Goal | Mutant] = [*proofs(), *goals(), *mutants()]
    failed = [check for check in checks if not _holds(check)]
    return 1 if failed else 0


def _holds(check: Proof | Goal | Mutant) -> bool:
    started = time.process_time()
    problem = check.problem()
    seconds = time.process_time() - started
    verdict = f'FAILED: {problem}' if problem else 'ok'
    print(f'{check.describe()} ({seconds:.1f} s CPU): {verdict}', flush=True)
    return not problem


if __name__ == '__main__':
    sys.exit(main())
