"""Run the checks of the catalogue in parallel processes, for the tests.

Each check builds its own formulas and solver, so its result does not depend on
other checks or on their order.
"""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Final, TypeAlias

from models.catalogue import (
    Goal,
    Mutant,
    Proof,
    list_goals,
    list_mutants,
    list_proofs,
)
from models.transitions import find_proof_gap

# A kind of check and the index of the check in the table of that kind.
CheckKey: TypeAlias = tuple[str, int]

INDUCTIONS: Final = 'inductions'  # proofs of mutants, which must fail
# The longest check takes 13 s of the total of 45 s of CPU, so more processes
# would hardly shorten the run.
MAX_WORKERS: Final = 4


def list_checks_by_kind() -> dict[str, Sequence[Proof | Goal | Mutant]]:
    """Return the checks by kind, the longest first."""
    return {
        'proofs': list_proofs(),
        'mutants': list_mutants(),
        'goals': list_goals(),
        INDUCTIONS: list_mutants(),
    }


def run_all_checks() -> dict[CheckKey, str]:
    """Return the failure that each check reports; empty if none."""
    check_keys = [
        (kind, number)
        for kind, checks in list_checks_by_kind().items()
        for number, _ in enumerate(checks)
    ]
    # A forked process would inherit the locks of the parent's threads.
    context = get_context('spawn')
    with ProcessPoolExecutor(MAX_WORKERS, mp_context=context) as workers:
        return dict(
            zip(check_keys, workers.map(_run_check, check_keys), strict=True)
        )


def _run_check(check_key: CheckKey) -> str:
    kind, number = check_key
    check = list_checks_by_kind()[kind][number]
    if kind == INDUCTIONS:
        return find_proof_gap(check.system)
    return check.find_problem()
