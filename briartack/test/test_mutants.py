"""Mutation tests of the reducer.

Each mutant removes a guard from the reducer; a stated outcome of a trace, a
monitor or a test must then fail. This guards against traces, monitors and
tests that pass whatever the code does.
"""

import unittest
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from importlib import import_module
from operator import attrgetter
from pathlib import Path
from types import MappingProxyType
from typing import Final
from unittest.mock import patch

from nose2.tools import params

from briartack.replay import replay_trace
from briartack.test.choice_mutants import CHOICE_MUTANTS
from briartack.test.mutants import MUTANTS, Mutant
from briartack.test.queue_mutants import QUEUE_MUTANTS, QueueMutant

CORE: Final = Path(__file__).parent.parent / 'core'
# Maps a module to its package; a mutant names the module alone.
PACKAGES_BY_MODULE: Final = MappingProxyType(
    {path.stem: path.parent.name for path in CORE.glob('*/*.py')},
)
TRACES: Final = Path(__file__).parent / 'test-data' / 'traces'
INVARIANTS: Final = frozenset(f'I{number}' for number in range(1, 13))


@contextmanager
def apply_patches(patches: Mapping[str, object]) -> Iterator[None]:
    """Apply the patches of a mutant, whose names begin with the module."""
    with ExitStack() as stack:
        for target, replacement in patches.items():
            package = PACKAGES_BY_MODULE[target.partition('.')[0]]
            qualified_name = f'briartack.core.{package}.{target}'
            stack.enter_context(patch(qualified_name, replacement))
        yield


def failures_of(mutant: Mutant) -> tuple[str, ...]:
    """Return the failures of a mutant's trace.

    A KeyError counts as a failure, since a mutant may break the reducer.
    """
    with apply_patches(mutant.patches):
        try:
            return replay_trace(TRACES / f'{mutant.trace}.jsonl').failures
        except KeyError as error:
            return (repr(error),)


class MutantsTest(unittest.TestCase):
    @params(*MUTANTS, *CHOICE_MUTANTS)
    def test_mutant_is_caught(self, mutant: Mutant) -> None:
        """Guard against a trace that passes without the removed guard."""
        failures = failures_of(mutant)
        matching = [text for text in failures if mutant.caught_by in text]
        self.assertTrue(matching, (mutant.guard, failures))

    def test_each_invariant_has_a_mutant(self) -> None:
        """Guard against an invariant whose checks no mutant has failed."""
        invariants = set(map(attrgetter('invariant'), MUTANTS))
        self.assertEqual(invariants, INVARIANTS)


def run_test(name: str) -> unittest.TestResult:
    """Run one test, given by module, class and method."""
    module, case, method = name.split('.')
    found = import_module(f'briartack.test.{module}')
    outcome = unittest.TestResult()
    getattr(found, case)(method).run(outcome)
    return outcome


class QueueMutantsTest(unittest.TestCase):
    @params(*QUEUE_MUTANTS)
    def test_queue_mutant_is_caught(self, mutant: QueueMutant) -> None:
        """Guard against a test that passes without the removed rule."""
        with apply_patches(mutant.patches):
            outcome = run_test(mutant.test)
        self.assertEqual((len(outcome.failures), outcome.errors), (1, []))
