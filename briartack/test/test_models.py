"""Holds the specifications in `models` and shows that mutants are found."""

import unittest

from nose2.tools import params

from models import attempt_binding
from models.attempt_binding import AttemptBinding
from models.transitions import find_fault, is_reachable, proof_gap


class AttemptBindingTest(unittest.TestCase):
    """Guards against a second run of one attempt."""

    def test_runs_at_most_once(self) -> None:
        self.assertEqual(proof_gap(AttemptBinding()), '')

    def test_attempt_can_run(self) -> None:
        ran = is_reachable(AttemptBinding(), lambda now: now['runs'] == 1)
        self.assertTrue(ran)

    @params(*attempt_binding.GUARDS)
    def test_mutant_is_found(self, guard: str) -> None:
        mutant = AttemptBinding(without=guard)
        self.assertNotEqual(proof_gap(mutant), '')
        self.assertIsNotNone(find_fault(mutant))
