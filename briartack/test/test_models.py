"""Holds the specifications in `models` and shows that mutants are found."""

import unittest

from nose2.tools import params

from models.catalogue import (
    Goal,
    Mutant,
    Proof,
    goals,
    mutants,
    proofs,
)
from models.transitions import proof_gap


class ProofTest(unittest.TestCase):
    """Guards against a rule of the design that does not keep its property."""

    @params(*proofs())
    def test_property_is_proved(self, proof: Proof) -> None:
        self.assertEqual(proof.problem(), '', proof.describe())

    @params(*goals())
    def test_proof_is_not_vacuous(self, goal: Goal) -> None:
        self.assertEqual(goal.problem(), '', goal.describe())


class MutantTest(unittest.TestCase):
    """Guards against a property that holds without its mechanism."""

    @params(*mutants())
    def test_fault_is_found(self, mutant: Mutant) -> None:
        self.assertEqual(mutant.problem(), '', mutant.describe())

    @params(*mutants())
    def test_induction_fails(self, mutant: Mutant) -> None:
        self.assertNotEqual(proof_gap(mutant.system), '', mutant.describe())
