"""Test faults of the call path that were found in a review."""

import unittest
from typing import Any, Final

from nose2.tools import params

from briartack.test.call_path_bench import CallPathBench

KEY: Final = 'made-by-the-caller'
BODY_BYTES: Final = 50_000
LINK_RATE: Final = 625_000


def make_owner() -> CallPathBench:
    """Make an owner whose link takes 0.1 s for a body."""
    bench = CallPathBench(setup={'members': 'ab', 'link': LINK_RATE})
    bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
    bench.apply_step({'at': 1, 'do': 'tick'})
    return bench


def send_head(
    bench: CallPathBench, at: float, attempt: str, **fields: Any
) -> list[str]:
    """Let the head of an attempt arrive at an owner."""
    step = {'at': at, 'do': 'attempt', 'attempt': attempt, **fields}
    return bench.apply_step(step)


class RefusedHeadTest(unittest.TestCase):
    @params(False, True)
    def test_refused_head_whose_key_has_run_is_not_called_not_run(
        self, has_run: bool
    ) -> None:
        """Guard against 503 for a request that runs by another attempt.

        The head of the first attempt waits behind a body that never comes.
        Meanwhile a repeat with the same key begins, and the head is refused.
        """
        bench = make_owner()
        upload = {'awaits_grant': True, 'bytes': BODY_BYTES}
        send_head(bench, 1, 'in-flight', **upload)
        send_head(bench, 1, 'head', key=KEY, remaining_ms=300, **upload)
        started = send_head(bench, 1.01, 'repeat', key=KEY, bytes=BODY_BYTES)
        started += bench.apply_step(
            {'at': 1.02, 'do': 'attempt_body', 'attempt': 'repeat'}
        )
        self.assertIn('repeat', ' '.join(started))
        if has_run:
            bench.apply_step(
                {'at': 1.03, 'do': 'upstream', 'attempt': 'repeat'}
            )
        produced = []
        for step in range(10):
            at = 1.05 + step * 0.05
            produced += bench.apply_step({'at': at, 'do': 'tick'})
        answers = [line for line in produced if 'head' in line]
        self.assertTrue(answers)
        self.assertNotIn('not-run', ' '.join(answers))
        self.assertIn('unknown', ' '.join(answers))

    def test_refused_head_of_a_key_that_is_not_used_has_not_run(self) -> None:
        """Guard against 502 for each upload with a key in a backlog."""
        bench = make_owner()
        upload = {'awaits_grant': True, 'bytes': BODY_BYTES}
        send_head(bench, 1, 'in-flight', **upload)
        produced = send_head(
            bench, 1, 'head', key=KEY, remaining_ms=150, **upload
        )
        produced += bench.apply_step({'at': 1.2, 'do': 'tick'})
        answers = [line for line in produced if 'head' in line]
        self.assertIn('not-run', ' '.join(answers))
