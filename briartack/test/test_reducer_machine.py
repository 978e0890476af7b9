"""Property tests of the reducer: random events, checked by the monitors.

They guard against orders of events that no written case foresees. The search
is derandomised, so that each run has the same result. Hypothesis derives its
seed from the source of `ReducerMachine`, docstrings included: an edit there
changes the events that are tried.
"""

import json
import unittest
from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from briartack.core import effects, events, messages
from briartack.core.entries import Entry
from briartack.core.invariant_monitor import InvariantMonitor
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import (
    AttemptId,
    CallId,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict
from briartack.test.machine_data import (
    EMPTY,
    OWN,
    PEERS,
    SETTLE_SECONDS,
    TEAMS,
    instance_entry,
    subtree,
)


class ReducerMachine(RuleBasedStateMachine):
    """Feed one daemon; the store's history and the peers are invented."""

    def __init__(self) -> None:
        super().__init__()
        self.state = State(identity=OWN, random=Random(1), drain_seconds=30)
        self.monitor = InvariantMonitor()
        self.now = 100.0
        self.history = [instance_entry(number) for number in range(4)]
        self.number = 0
        self.calls: set[CallId] = set()
        self.reading: list[CallId] = []
        self.sent: list[effects.SendAttempt] = []
        self.running: list[effects.Dispatch] = []
        self.attempts: list[messages.Attempt] = []
        self.apply(events.Started(now=self.now, incarnation=OWN.incarnation))

    def apply(self, event: events.Event) -> None:
        """Feed one event and note what has to be answered."""
        todo = reduce(self.state, event)
        violations = self.monitor.observe(self.state, event, todo)
        assert not violations, [str(found) for found in violations]
        for effect in todo:
            match effect:
                case effects.ReadBody():
                    self.reading.append(effect.call_id)
                case effects.SendAttempt():
                    self.sent.append(effect)
                case effects.Dispatch():
                    self.running.append(effect)
                case effects.AnswerCall():
                    self.calls.discard(effect.call_id)

    @rule(
        team=st.sampled_from(TEAMS),
        others=st.sets(st.sampled_from(TEAMS)),
        kind=st.sampled_from(('full', 'bare', 'broken', 'deleted')),
    )
    def edit(self, team: str, others: set[str], kind: str) -> None:
        """Publish a version at the store; nobody sees it yet."""
        value: str | None = subtree(team, tuple(sorted(others)), kind == 'full')
        if kind in {'broken', 'deleted'}:
            value = '{"routes": 1}' if kind == 'broken' else None
        self.publish(f'teams/{team}', value)

    @rule(out=st.sets(st.sampled_from(('north-1', 'north-2', 'south-1'))))
    def take_out(self, out: set[str]) -> None:
        """Publish which data centres are out of service."""
        self.publish(
            'platform',
            json.dumps({'data_centres_out': sorted(out)}),
        )

    def publish(self, key: str, value: str | None) -> None:
        """Add a revision to the store's history."""
        revision = Revision(len(self.history) + 1)
        self.history.append(Entry(key=key, revision=revision, value=value))

    @rule(behind=st.integers(0, 5))
    def read_store(self, behind: int) -> None:
        """Answer a read as of some revision, perhaps a stale one."""
        seen = self.history[: max(4, len(self.history) - behind)]
        newest = {entry.key: entry for entry in seen}
        self.apply(
            events.StoreRead(
                now=self.now,
                prefix='',
                revision=seen[-1].revision,
                entries=tuple(
                    entry
                    for entry in newest.values()
                    if entry.value is not None
                ),
            ),
        )

    @rule(first=st.integers(0, 8), count=st.integers(0, 3))
    def watch_store(self, first: int, count: int) -> None:
        """Answer a watch with any stretch of the history."""
        newest = self.history[-first - 1 :]
        found = tuple(newest[:count])
        revision = found[-1].revision if found else Revision(1)
        self.apply(
            events.StoreWatched(
                now=self.now,
                revision=revision,
                entries=found,
            ),
        )

    @rule(is_watch=st.booleans())
    def fail_store(self, is_watch: bool) -> None:
        """Let a call to the store fail."""
        watch = events.StoreOperation.WATCH
        self.apply(
            events.StoreFailed(
                now=self.now,
                operation=watch if is_watch else events.StoreOperation.READ,
                prefix='',
                reason='refused',
            ),
        )

    @rule(peer=st.sampled_from(PEERS))
    def connect(self, peer: tuple[str, str, str]) -> None:
        """Bring a stream up."""
        hello = messages.Hello(
            protocol_version=messages.PROTOCOL_VERSION,
            instance=InstanceId(peer[0]),
            incarnation=Incarnation('first'),
            service=f'{peer[0][0]}/main',
            data_centre=peer[1],
            region=peer[2],
            clock=self.now,
        )
        self.apply(
            events.PeerConnected(
                now=self.now,
                peer=hello.instance,
                hello=hello,
            ),
        )

    @rule(peer=st.sampled_from(PEERS))
    def disconnect(self, peer: tuple[str, str, str]) -> None:
        """Take a stream down."""
        self.apply(
            events.PeerDisconnected(
                now=self.now,
                peer=InstanceId(peer[0]),
                reason='reset',
            ),
        )

    def receive(self, peer: str, message: messages.PeerMessage) -> None:
        """Deliver a message of a peer."""
        self.apply(
            events.PeerMessageReceived(
                now=self.now,
                peer=InstanceId(peer),
                message=message,
            ),
        )

    @rule(peer=st.sampled_from(PEERS), numbers=st.sets(st.integers(0, 12)))
    def receive_entries(
        self,
        peer: tuple[str, str, str],
        numbers: set[int],
    ) -> None:
        """Deliver any subset of the history from a peer."""
        found = [
            self.history[number]
            for number in sorted(numbers)
            if number < len(self.history)
        ]
        self.receive(
            peer[0],
            messages.Entries(
                highest=self.history[-1].revision,
                entries=tuple(found),
            ),
        )

    @rule(peer=st.sampled_from(PEERS))
    def say_goodbye(self, peer: tuple[str, str, str]) -> None:
        """Let a peer announce its stop."""
        incarnation = Incarnation('first')
        self.receive(peer[0], messages.Goodbye(incarnation=incarnation))

    @rule(
        team=st.sampled_from(TEAMS),
        other=st.sampled_from(TEAMS),
        tenant=st.sampled_from(('', 't')),
        has_body=st.booleans(),
    )
    def call(
        self,
        team: str,
        other: str,
        tenant: str,
        has_body: bool,
    ) -> None:
        """Let a caller send a request."""
        self.number += 1
        call_id = CallId(f'c{self.number}')
        self.calls.add(call_id)
        self.apply(
            events.CallArrived(
                now=self.now,
                call_id=call_id,
                method='POST',
                target=f'/{team}/{other}/x',
                headers=(),
                tenant=tenant,
                body_bytes=10 if has_body else 0,
            ),
        )

    @precondition(lambda machine: machine.reading)
    @rule(is_cut=st.booleans())
    def read_body(self, is_cut: bool) -> None:
        """End the reading of a caller's body."""
        call_id = self.reading.pop(0)
        if is_cut:
            self.calls.discard(call_id)
            self.apply(events.CallCancelled(now=self.now, call_id=call_id))
            return
        self.apply(
            events.CallBodyRead(
                now=self.now,
                call_id=call_id,
                body_bytes=10,
                body_digest=EMPTY,
            ),
        )

    @precondition(lambda machine: machine.sent)
    @rule(verdict=st.sampled_from(Verdict), is_repeated=st.booleans())
    def answer(self, verdict: Verdict, is_repeated: bool) -> None:
        """Answer an attempt, now and perhaps again later."""
        sent = self.sent[0] if is_repeated else self.sent.pop(0)
        is_answer = verdict is Verdict.RAN
        self.receive(
            sent.peer,
            messages.Answer(
                attempt_id=sent.attempt.attempt_id,
                verdict=verdict,
                status=200 if is_answer else 503,
                reason='' if is_answer else 'overload',
                headers=(),
                body_bytes=0,
                body_digest=EMPTY,
                load=0.5,
                owner_clock=self.now,
            ),
        )

    @rule(
        incarnation=st.sampled_from(('own', 'other')),
        age_seconds=st.sampled_from((0, 1, 29, 31, 100)),
        is_repeated=st.booleans(),
    )
    def attempt(
        self,
        incarnation: str,
        age_seconds: int,
        is_repeated: bool,
    ) -> None:
        """Deliver a peer's attempt, perhaps one that came before."""
        if not self.attempts or not is_repeated:
            self.number += 1
            self.attempts.append(
                messages.Attempt(
                    attempt_id=AttemptId(f'p{self.number}'),
                    owner_incarnation=Incarnation(incarnation),
                    owner_clock=self.now - age_seconds,
                    remaining_ms=4000,
                    service='a/main',
                    method='POST',
                    target='/a/a/x',
                    headers=(),
                    body_bytes=0,
                    body_digest=EMPTY,
                    interactive=True,
                ),
            )
        self.receive('a-2', self.attempts[-1])

    @precondition(lambda machine: machine.running)
    @rule(
        outcome=st.sampled_from(('answered', 'unsent', 'reset', 'truncated')),
        is_last=st.booleans(),
    )
    def upstream(self, outcome: str, is_last: bool) -> None:
        """End a request at the local upstream."""
        run = self.running.pop(-1 if is_last else 0)
        if outcome == 'answered':
            self.apply(
                events.UpstreamAnswered(
                    now=self.now,
                    attempt_id=run.attempt_id,
                    status=200,
                    headers=(),
                    body_bytes=0,
                    body_digest=EMPTY,
                    elapsed_seconds=0.002,
                ),
            )
            return
        self.apply(
            events.UpstreamFailed(
                now=self.now,
                attempt_id=run.attempt_id,
                may_have_run=outcome != 'unsent',
                is_reset=outcome != 'truncated',
                reason=outcome,
            ),
        )

    @rule(identity=st.sampled_from(('u1', 'u2')), is_healthy=st.booleans())
    def probe(self, identity: str, is_healthy: bool) -> None:
        """Probe the upstream; another identity is a cold start."""
        self.apply(
            events.UpstreamProbed(
                now=self.now,
                is_healthy=is_healthy,
                is_draining=False,
                identity=identity,
                reported_load=0.1,
            ),
        )

    @rule(seconds=st.sampled_from((0.05, 0.5, 1.5, 3, 31)))
    def wait(self, seconds: float) -> None:
        """Let time pass; more than 2 s in one step is a pause."""
        self.now += seconds
        self.apply(events.Tick(now=self.now))

    def teardown(self) -> None:
        """Every call gets an answer in the end."""
        for _ in range(SETTLE_SECONDS):
            self.now += 1
            self.apply(events.Tick(now=self.now))
        assert not self.calls, self.calls


class ReducerMachineTest(unittest.TestCase):
    """Run the state machine under nose2 with a fixed search."""

    def test_invariants_hold_for_random_events(self) -> None:
        run_state_machine_as_test(
            ReducerMachine,
            settings=settings(
                derandomize=True,
                max_examples=150,
                stateful_step_count=60,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
