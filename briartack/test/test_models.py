"""Holds the specifications in `models` and shows that mutants are found."""

import unittest
from functools import cache

from nose2.tools import params

from models.catalogue import (
    Goal,
    Mutant,
    Proof,
    goals,
    mutants,
    proofs,
)
from models.verdicts import INDUCTIONS, Job, verdicts


@cache
def _verdicts() -> dict[Job, str]:
    """Run all checks once, when the first test asks for one."""
    return verdicts()


class ProofTest(unittest.TestCase):
    """Guards against a rule of the design that does not keep its property."""

    @params(*enumerate(proofs()))
    def test_property_is_proved(self, number: int, proof: Proof) -> None:
        problem = _verdicts()['proofs', number]
        self.assertEqual(problem, '', proof.describe())

    @params(*enumerate(goals()))
    def test_proof_is_not_vacuous(self, number: int, goal: Goal) -> None:
        problem = _verdicts()['goals', number]
        self.assertEqual(problem, '', goal.describe())


class MutantTest(unittest.TestCase):
    """Guards against a property that holds without its mechanism."""

    @params(*enumerate(mutants()))
    def test_fault_is_found(self, number: int, mutant: Mutant) -> None:
        problem = _verdicts()['mutants', number]
        self.assertEqual(problem, '', mutant.describe())

    @params(*enumerate(mutants()))
    def test_induction_fails(self, number: int, mutant: Mutant) -> None:
        gap = _verdicts()[INDUCTIONS, number]
        self.assertNotEqual(gap, '', mutant.describe())
