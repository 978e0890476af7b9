"""Takes out one guard at a time; a trace or a monitor must then fail.

Guards against traces and monitors that pass whatever the code does.
"""

import unittest
from contextlib import ExitStack
from operator import attrgetter
from pathlib import Path
from types import MappingProxyType
from typing import Final
from unittest.mock import patch

from nose2.tools import params

from briartack.replay import replay_trace
from briartack.test.mutants import MUTANTS, Mutant

CORE: Final = Path(__file__).parent.parent / 'core'
# Mutants name a module without its package.
PACKAGES: Final = MappingProxyType(
    {path.stem: path.parent.name for path in CORE.glob('*/*.py')},
)
TRACES: Final = Path(__file__).parent / 'test-data' / 'traces'
EXPECTED: Final = frozenset(f'I{number}' for number in range(1, 13))


def failures_of(mutant: Mutant) -> tuple[str, ...]:
    """Replay the trace of a mutant; an error of the reducer counts too."""
    with ExitStack() as stack:
        for target, replacement in mutant.patches.items():
            package = PACKAGES[target.partition('.')[0]]
            whole = f'briartack.core.{package}.{target}'
            stack.enter_context(patch(whole, replacement))
        try:
            return replay_trace(TRACES / f'{mutant.trace}.jsonl').failures
        except KeyError as error:
            return (repr(error),)


class MutantsTest(unittest.TestCase):
    @params(*MUTANTS)
    def test_mutant_is_caught(self, mutant: Mutant) -> None:
        """Guards against a trace that passes without the named guard."""
        failures = failures_of(mutant)
        caught = [found for found in failures if mutant.caught_by in found]
        self.assertTrue(caught, (mutant.guard, failures))

    def test_each_invariant_has_a_mutant(self) -> None:
        """Guards against an invariant whose checks nobody has tried."""
        invariants = set(map(attrgetter('invariant'), MUTANTS))
        self.assertEqual(invariants, EXPECTED)
