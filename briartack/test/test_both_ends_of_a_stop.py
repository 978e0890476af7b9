"""Test planned stops that overlap at both ends of an attempt.

The daemon of the caller and the owner of the upstream stop at about the same
time. An owner that begins a run in its stop aborts it at the end of the stop,
although the run's time allows more, and what may run once is not sent again.
"""

import unittest
from functools import partial
from random import Random
from typing import Any, Final

from nose2.tools import params

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.calls_state import CallsState
from briartack.test.call_fleet import DRAIN_SECONDS, CallFleet, Run
from briartack.test.call_path_bench import CallPathBench

RULES: Final[dict[str, Any]] = {'linger_seconds': 2.2, 'counts_refusals': False}
STOP_AT: Final = 2.0
STOP: Final = {'at': STOP_AT, 'do': 'stop'}
ATTEMPT: Final = {'do': 'attempt', 'attempt': 'x', 'peer': 'b'}
LAST_RESORT: Final = {**ATTEMPT, 'remaining_ms': 9000, 'last_resort': True}
GIVEN_BACK: Final = ['reply b x not-run stop-too-near', 'drop attempt:x']
START_SECONDS: Final = 100.0
MIN_RUN_MS: Final = 100
MAX_RUN_MS: Final = 4700
SHORT_RUNS: Final = 99
TOLERANCE_SECONDS: Final = 0.15


def make_bench(members: str = 'abc', **setup: Any) -> CallPathBench:
    """Make a bench with linger time whose peers are connected."""
    bench = CallPathBench(
        setup={'members': members, 'rules': RULES, **setup},
        state=CallsState(drain_seconds=5, rules=CallRules(**RULES)),
    )
    for peer in members.replace('a', ''):
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': peer})
    return bench


class StoppingOwnerTest(unittest.TestCase):
    # Guards against an owner that begins a run in its stop, at 2 to 7 s, whose
    # time ends after the stop, though other owners could run the request.
    @params(
        (2.5, {'remaining_ms': 4400}, ['dispatch x']),
        (2.5, {'remaining_ms': 4600}, GIVEN_BACK),
        (2.5, {'remaining_ms': 4600, 'bytes': 99_999}, GIVEN_BACK),
        # No run time is known yet.
        (2.5, {'remaining_ms': 4600, 'last_resort': True}, GIVEN_BACK),
        (2.5, {'remaining_ms': 4600, 'key': 'k'}, ['dispatch x']),
        (1.9, {'remaining_ms': 9000}, ['dispatch x']),
    )
    def test_new_attempt_of_a_peer(
        self, at: float, attempt: dict[str, Any], expected: list[str]
    ) -> None:
        bench = make_bench()
        if at > STOP_AT:
            bench.apply_step(STOP)
        produced = bench.apply_step({**ATTEMPT, 'at': at, **attempt})
        self.assertEqual(produced, expected)

    # Guards against a last resort that is begun, at once or from the queue,
    # although a run of twice the longest known length would be aborted.
    @params((4.4, ['dispatch x']), (4.7, GIVEN_BACK))
    def test_last_resort_must_end_in_time(
        self, at: float, expected: list[str]
    ) -> None:
        bench = self.make_stopping_bench()
        self.assertEqual(bench.apply_step({**LAST_RESORT, 'at': at}), expected)
        bench = self.make_stopping_bench()
        run = {'do': 'attempt', 'peer': 'c', 'remaining_ms': 4000}
        bench.apply_step({**run, 'at': 2.5, 'attempt': 'first'})
        waiting = bench.apply_step({**LAST_RESORT, 'at': 2.5})
        self.assertEqual(waiting, [])
        ended = {'at': at, 'do': 'upstream', 'attempt': 'first', 'elapsed': 0.6}
        lines = bench.apply_step(ended)
        self.assertIs('dispatch x' in lines, expected == ['dispatch x'])
        self.assertIs(
            'reply b x not-run overload' in lines, expected == GIVEN_BACK
        )

    # Guards against a last resort whose run is cut, because the few runs that
    # have ended are the short ones, or their mean hides a long one.
    @params(
        (SHORT_RUNS, 2.5, ['dispatch x']),
        (20, 2.5, GIVEN_BACK),
        # One run has gone on for 2 s.
        (SHORT_RUNS + 1, 3.2, GIVEN_BACK),
    )
    def test_last_resort_needs_many_known_runs(
        self, short_runs: int, at: float, expected: list[str]
    ) -> None:
        bench = self.make_stopping_bench(short_runs, has_ended=at < 3, slots=2)
        attempt = {**LAST_RESORT, 'at': at}
        self.assertEqual(bench.apply_step(attempt), expected)

    def make_stopping_bench(
        self,
        short_runs: int = SHORT_RUNS,
        *,
        has_ended: bool = True,
        slots: int = 1,
    ) -> CallPathBench:
        """Make a stopping owner with short runs and one of 1.2 s or more."""
        bench = make_bench(limits={'slots': slots})
        run = {'do': 'attempt', 'peer': 'b', 'remaining_ms': 4000}
        ended = {'do': 'upstream', 'elapsed': 0.002}
        for number in range(short_runs):
            at = 1 + number * 0.002
            bench.apply_step({**run, 'at': at, 'attempt': f's{number}'})
            bench.apply_step(
                {**ended, 'at': at + 0.002, 'attempt': f's{number}'}
            )
        bench.apply_step({**run, 'at': 1.2, 'attempt': 'y'})
        bench.apply_step(STOP)
        if has_ended:
            bench.apply_step({**ended, 'at': 2.4, 'attempt': 'y'})
        return bench

    # Guards against attempts that wait at the signal, for a slot or for their
    # body, and are begun in the stop though others could run them.
    @params(
        ({'remaining_ms': 5900}, []),
        ({'remaining_ms': 6100}, GIVEN_BACK),
        ({'remaining_ms': 6100, 'key': 'k'}, []),
        ({'remaining_ms': 6100, 'bytes': 99_999}, GIVEN_BACK),
        ({'remaining_ms': 5900, 'bytes': 99_999}, []),
    )
    def test_attempt_that_waits_at_the_signal(
        self, attempt: dict[str, Any], expected: list[str]
    ) -> None:
        bench = make_bench(limits={'slots': 1})
        bench.apply_step(
            {'at': 1, 'do': 'attempt', 'attempt': 'first', 'peer': 'c'}
        )
        waiting = bench.apply_step({**ATTEMPT, 'at': 1, **attempt})
        self.assertEqual(waiting, [])
        self.assertEqual(bench.apply_step(STOP), expected)


class SenderOfRefusedAttemptTest(unittest.TestCase):
    # Guards against a refusal by a stopping owner that costs an attempt or a
    # retry token, waits, or is repeated at the same owner.
    @params(RULES, {**RULES, 'counts_refusals': True})
    def test_call_goes_to_another_owner_at_once(
        self, rules: dict[str, Any]
    ) -> None:
        bench = make_bench('bc', rules=rules, policy={'max_attempts': 1})
        first = self.arrive(bench, 'p')
        peer = first.split()[1]
        other = 'c' if peer == 'b' else 'b'
        self.assertEqual(
            self.refuse(bench, peer, 'a.i1.1'), [f'send {other} a.i1.2']
        )
        # As long a call spares the owner; a short one doesn't.
        for number in range(3, 9):
            self.assertEqual(
                self.arrive(bench, f'p{number}'), f'send {other} a.i1.{number}'
            )
        chosen = {
            self.arrive(bench, f's{short}', deadline_ms=500).split()[1]
            for short in range(20)
        }
        self.assertIn(peer, chosen)

    # Guards against a full service whose calls return to the stopping owner,
    # which then cuts them.
    def test_owner_without_room_makes_no_last_resort(self) -> None:
        bench = make_bench('bc')
        peer = self.arrive(bench, 'p').split()[1]
        other = 'c' if peer == 'b' else 'b'
        self.refuse(bench, peer, 'a.i1.1')
        self.assertEqual(
            self.refuse(bench, other, 'a.i1.2', 'overload'),
            ['answer p not-run 503 overload', 'drop call:p'],
        )

    # Guards against calls that are refused though the stopping owner could run
    # them, since another one is listed without a stream, or has refused as it
    # stops too.
    def test_last_resort_beside_owners_that_are_gone(self) -> None:
        bench = make_bench('b')
        bench.apply_step({'at': 1, 'do': 'change', 'setup': {'members': 'bc'}})
        self.arrive(bench, 'p')
        waiting = self.refuse(bench, 'b', 'a.i1.1')
        self.assertEqual(waiting, ['connect c'])
        sent = bench.apply_step({'at': 1.6, 'do': 'tick'})
        self.assertIn('send b a.i1.2 last-resort', sent)
        bench = make_bench('bc')
        peer = self.arrive(bench, 'p').split()[1]
        other = 'c' if peer == 'b' else 'b'
        self.refuse(bench, peer, 'a.i1.1', 'stopping')
        self.assertEqual(
            self.refuse(bench, other, 'a.i1.2'),
            [f'send {other} a.i1.3 last-resort'],
        )

    # Guards against a call that is answered twice as its wait ends.
    @params('bc', '')
    def test_call_is_refused_once_after_its_wait(self, members: str) -> None:
        bench = make_bench('')
        bench.apply_step({'at': 1, 'do': 'change', 'setup': {'members': 'bc'}})
        waiting = bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        self.assertTrue(waiting[0].startswith('connect'), waiting)
        bench.apply_step(
            {'at': 1.1, 'do': 'change', 'setup': {'members': members}}
        )
        self.assertEqual(
            bench.apply_step({'at': 1.6, 'do': 'tick'}),
            ['answer p not-run 503 no-endpoint', 'drop call:p'],
        )

    # Guards against a request with a key that is sent to the only owner of the
    # key again and again at once.
    def test_owner_of_a_key_is_not_asked_again_at_once(self) -> None:
        bench = make_bench('b')
        self.arrive(bench, 'p', key='k')
        sent = self.refuse(bench, 'b', 'a.i1.1')
        self.assertFalse([line for line in sent if line.startswith('send')])

    # Guards against calls that are refused though the stopping owner is the
    # only one and could run them, and against a refusal that is repeated.
    def test_only_owner_is_the_last_resort(self) -> None:
        bench = make_bench('b')
        self.assertEqual(self.arrive(bench, 'p'), 'send b a.i1.1')
        self.assertEqual(
            self.refuse(bench, 'b', 'a.i1.1'), ['send b a.i1.2 last-resort']
        )
        self.assertEqual(
            self.refuse(bench, 'b', 'a.i1.2'),
            ['answer p not-run 503 no-endpoint', 'drop call:p'],
        )
        self.assertEqual(self.arrive(bench, 'q'), 'send b a.i1.3 last-resort')

    # Guards against a call that is begun late in the stop of its own daemon
    # and whose run would be cut, and one that is refused though it has time.
    @params((6.4, 0.5, True), (6.6, 0.5, False), (6.6, None, True))
    def test_upload_that_is_complete_late_in_the_stop(
        self, at: float, run_seconds: float | None, is_begun: bool
    ) -> None:
        bench = make_bench('a', policy={'timeout_ms': 9000})
        if run_seconds is not None:
            bench.apply_step({**ATTEMPT, 'at': 5})
            ended = {'do': 'upstream', 'attempt': 'x', 'elapsed': run_seconds}
            bench.apply_step({**ended, 'at': 5.5})
        bench.apply_step({'at': 1.5, 'do': 'arrive', 'call': 'p', 'bytes': 9})
        bench.apply_step(STOP)
        produced = bench.apply_step({'at': at, 'do': 'body', 'call': 'p'})
        begun = ['dispatch a.i1.1']
        refused = ['answer p not-run 503 stop-too-near', 'drop call:p']
        self.assertEqual(produced, begun if is_begun else refused)

    def arrive(self, bench: CallPathBench, call: str, **step: Any) -> str:
        """Deliver a call and return its only effect."""
        lines = bench.apply_step(
            {'at': 1, 'do': 'arrive', 'call': call, **step}
        )
        self.assertEqual(len(lines), 1)
        return lines[0]

    def refuse(
        self,
        bench: CallPathBench,
        peer: str,
        attempt: str,
        reason: str = 'stop-too-near',
    ) -> list[str]:
        """Refuse an attempt, by default for the stop of its owner."""
        refusal = {'do': 'answer', 'peer': peer, 'attempt': attempt}
        verdict = {'verdict': 'not-run', 'reason': reason}
        return bench.apply_step({'at': 1, **refusal, **verdict})


class OverlappingStopsTest(unittest.TestCase):
    # Guards against a run that an owner begins in its stop and aborts at the
    # end of the stop, though three of five owners do not stop.
    @params(*range(8))
    def test_no_run_is_begun_and_cut_by_its_owner(self, seed: int) -> None:
        fleet = CallFleet(names='abcde', timeout_ms=9000, seed=seed)
        play_stops(fleet, owners='abcde', stops=2, calls=40)
        self.check(fleet)
        self.assertGreaterEqual(len(fleet.calls), 25)

    # Guards against the same as all owners of a service stop and are the last
    # resort of callers elsewhere. Few of their runs have ended, all of them
    # short (`stop_run`, routes of 5 s, seed 8980).
    @params(*range(8))
    def test_no_last_resort_is_begun_and_cut(self, seed: int) -> None:
        fleet = CallFleet(
            names='abcxy', others='xy', timeout_ms=5000, seed=seed
        )
        play_stops(fleet, owners='abc', stops=3, calls=100, short_share=0.8)
        self.check(fleet)
        self.assertGreaterEqual(len(fleet.calls), 50)

    def check(self, fleet: CallFleet) -> None:
        """Check that no run was cut or repeated, and that all calls ended."""
        self.assertEqual(list_cut_runs(fleet), [])
        self.assertEqual(
            [len(runs) for runs in fleet.calls.values() if len(runs) > 1], []
        )
        self.assertEqual(len(fleet.answers), len(fleet.callers))


def play_stops(
    fleet: CallFleet,
    *,
    owners: str,
    stops: int,
    calls: int,
    short_share: float = 0,
) -> None:
    """Play calls while some owners stop at about the same time."""
    random = Random(fleet.seed)
    for name in random.sample(owners, stops):
        stops_at = START_SECONDS + random.uniform(3, 5.5)
        fleet.schedule(stops_at, partial(fleet.stop, name))
    for number in range(calls):
        run_ms = random.randint(MIN_RUN_MS, MAX_RUN_MS)
        if random.random() < short_share:
            run_ms = MIN_RUN_MS
        fleet.schedule(
            START_SECONDS + random.uniform(0, 7.5),
            partial(
                fleet.call,
                random.choice(fleet.others or fleet.names),
                f'c{number}',
                run_ms,
            ),
        )
    fleet.run_until(START_SECONDS + 30)


def list_cut_runs(fleet: CallFleet) -> list[str]:
    """List the runs for peers that owners began in their stop and aborted.

    From the deadline of a call on, its sender cancels the run.
    """
    return [
        f'{call_id} at {run.owner}'
        for call_id, runs in fleet.calls.items()
        for run in runs
        if run.owner != fleet.callers[call_id]
        and run.ended_at < fleet.deadlines[call_id]
        and is_cut_by_stop(fleet, run)
    ]


def is_cut_by_stop(fleet: CallFleet, run: Run) -> bool:
    """Return whether an owner began a run in its stop and aborted it."""
    stopped_at = fleet.daemons[run.owner].stopped_at
    ends_at = stopped_at + DRAIN_SECONDS - TOLERANCE_SECONDS
    is_begun_in_stop = run.started_at >= stopped_at
    return run.is_aborted and is_begun_in_stop and run.ended_at >= ends_at
