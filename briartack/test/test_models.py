"""Tests of the specifications in `models`.

Every property must be proved, and every mutant of a specification must be
found, so that a proof does not pass for lack of a mechanism to check.
"""

import unittest
from functools import cache

from nose2.tools import params

from models.catalogue import (
    Goal,
    Mutant,
    Proof,
    list_goals,
    list_mutants,
    list_proofs,
)
from models.parallel_checks import INDUCTIONS, CheckKey, run_all_checks


@cache
def _run_checks() -> dict[CheckKey, str]:
    """Return the verdict of every check; the first call runs them all."""
    return run_all_checks()


class ProofTest(unittest.TestCase):
    """Guard against a rule of the design that violates its property."""

    @params(*enumerate(list_proofs()))
    def test_property_is_proved(self, number: int, proof: Proof) -> None:
        """Guard against a rule whose property has a counterexample."""
        problem = _run_checks()['proofs', number]
        self.assertEqual(problem, '', proof.describe())

    @params(*enumerate(list_goals()))
    def test_proof_is_not_vacuous(self, number: int, goal: Goal) -> None:
        """Guard against a property that holds for lack of behaviour."""
        problem = _run_checks()['goals', number]
        self.assertEqual(problem, '', goal.describe())


class MutantTest(unittest.TestCase):
    """Guard against a property that holds without its mechanism."""

    @params(*enumerate(list_mutants()))
    def test_mutant_violates_a_property(
        self, number: int, mutant: Mutant
    ) -> None:
        """Guard against a mechanism that no property depends on."""
        problem = _run_checks()['mutants', number]
        self.assertEqual(problem, '', mutant.describe())

    @params(*enumerate(list_mutants()))
    def test_induction_of_mutant_fails(
        self, number: int, mutant: Mutant
    ) -> None:
        """Guard against an induction that passes without the mechanism."""
        problem = _run_checks()[INDUCTIONS, number]
        self.assertNotEqual(problem, '', mutant.describe())
