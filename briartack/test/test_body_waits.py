"""Test to which owner a body is sent that needs a grant."""

import unittest
from typing import Final, cast

from nose2.tools import params

from briartack.core.calls.body_grants import Urgency
from briartack.core.calls.body_waits import (
    AwaitedBody,
    BodyArrival,
    BodyWait,
    order_scopes,
)
from briartack.core.calls.call_context import Member
from briartack.core.calls.endpoints import Endpoint, EndpointsState
from briartack.core.calls.routing import Scopes
from briartack.core.effects import Dispatch, Effects, SendAnswer, SendAttempt
from briartack.core.messages import Answer
from briartack.core.units import Incarnation, InstanceId
from briartack.test.call_path_bench import CallPathBench, make_member

OF_RUN: Final[Urgency] = (False, 0)
FIRST: Final[Urgency] = (True, 0)
SECOND: Final[Urgency] = (True, 1)
RATE: Final = 625_000
SIZE: Final = 62_500  # takes the link 0.1 s
PEER: Final = InstanceId('b')
BODY: Final = AwaitedBody(
    size=SIZE,
    urgency=FIRST,
    target_seconds=1,
    deadline_seconds=3,
    link_rate=RATE,
    own_instance=InstanceId('a'),
)


def make_scopes(*names: str) -> Scopes:
    """Make a scope of each group of letters."""
    return tuple(
        tuple(cast(Member, make_member(name)) for name in group)
        for group in names
    )


class OrderTest(unittest.TestCase):
    # Guards against bodies that queue at one owner while another one takes them
    # sooner, bodies that leave their scope too early, and refusals of what only
    # some owners have said. A wait below 0 is one that nobody has stated.
    @params(
        # Owners within 20 ms of each other are equal.
        ({'b': 0.3, 'c': 0.1, 'd': 0}, ('bc', 'd'), 'c'),
        ({'b': 0.11, 'c': 0.1, 'd': 0}, ('bc', 'd'), 'bc'),
        # The near scope is kept up to half of the target, transfer included.
        ({'b': 0.39, 'd': 0}, ('b', 'd'), 'b'),
        ({'b': 0.41, 'd': 0}, ('b', 'd'), 'd'),
        ({'b': 0.41, 'd': 0.41}, ('b', 'd'), 'b'),
        # All that stated a wait are too late.
        ({'b': 0.95, 'd': 0.95}, ('b', 'd'), ''),
        ({'b': 0.95, 'c': 0.95, 'd': -1}, ('bcd',), 'd'),
        ({'b': 0.95, 'd': 0.89}, ('b', 'd'), 'b'),
        # One owner says nothing of the others.
        ({'b': 0.95, 'd': None}, ('b', 'd'), ''),
        ({'b': None, 'd': None}, ('b', 'd'), 'b'),
    )
    def test_soonest_owner_of_the_nearest_scope_is_first(
        self,
        waits: dict[str, float | None],
        groups: tuple[str, ...],
        expected: str,
    ) -> None:
        def arrival_of(member: Member) -> BodyArrival | None:  # noqa: WPS430
            wait_seconds = waits[member.instance]
            if wait_seconds is None:
                return None
            return BodyArrival(
                wait_seconds=max(wait_seconds, 0),
                transfer_seconds=0.1,
                is_stated=wait_seconds >= 0,
            )

        ordered = order_scopes(make_scopes(*groups), BODY, arrival_of)
        first = ordered[0] if ordered else ()
        self.assertEqual(''.join(one.instance for one in first), expected)

    # Guards against a refusal on the word of one owner while another one, which
    # looks late only for bodies sent to it, has said nothing.
    def test_one_statement_refuses_nothing(self) -> None:
        late = BodyArrival(wait_seconds=2, transfer_seconds=0.1, is_stated=True)
        unstated = BodyArrival(
            wait_seconds=2, transfer_seconds=0.1, is_stated=False
        )
        arrivals = {'b': late, 'c': unstated}
        ordered = order_scopes(
            make_scopes('bc'), BODY, lambda member: arrivals[member.instance]
        )
        self.assertTrue(ordered)


class StatementTest(unittest.TestCase):
    # Guards against waits that are counted although they have passed, or that
    # count for more urgent bodies, which don't wait for those.
    @params(
        (1.0, FIRST, 0.5, True),
        (1.0, SECOND, 0.5, True),
        (1.0, OF_RUN, 0.5, False),
        (2.5, FIRST, 0, True),
        (3.1, FIRST, 0, False),
    )
    def test_wait_ages(
        self, now: float, urgency: Urgency, left: float, is_stated: bool
    ) -> None:
        wait = BodyWait()
        wait.record(0.5, FIRST, 1)
        self.assertAlmostEqual(wait.left_seconds(now), left)
        self.assertEqual(wait.is_stated_for(urgency, now), is_stated)

    # Guards against long waits that keep bodies away for good.
    def test_old_statement_is_forgotten(self) -> None:
        wait = BodyWait()
        wait.record(9, FIRST, 1)
        self.assertEqual(wait.left_seconds(2.9), 7.1)
        self.assertEqual(wait.left_seconds(3.1), 0)

    # Guards against a sender that sends all of its bodies to the owner which
    # was idle when it last said something.
    @params((12_500, 0), (SIZE, 0.125))
    def test_sent_bodies_count(self, size: int, expected: float) -> None:
        endpoint = Endpoint(incarnation=Incarnation('j1'), clock=1, now=1)
        endpoint.ungranted_body_bytes = 12_500
        endpoint.record_attempt_start(1, size)
        self.assertAlmostEqual(endpoint.body_wait.left_seconds(1), expected)

    # Guards against a second stream to a process with other settings whose
    # statement is ignored.
    def test_latest_hello_counts(self) -> None:
        endpoints = EndpointsState()
        for size in (12_500, None):
            endpoints.connect(
                PEER, Incarnation('j1'), 1, 1, ungranted_body_bytes=size
            )
        endpoint = endpoints.get(PEER)
        assert endpoint is not None
        self.assertFalse(endpoint.needs_grant(SIZE))


def produce(
    bench: CallPathBench, verb: str, at: float, **step: object
) -> Effects:
    """Apply a step and return its effects, not the lines of text."""
    effects: Effects = getattr(bench, f'_{verb}')(at, step)
    return effects


def find_answer(effects: Effects) -> Answer:
    """Return the only answer among some effects."""
    answers = [one.answer for one in effects if isinstance(one, SendAnswer)]
    assert len(answers) == 1
    return answers[0]


class OwnerStatementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = CallPathBench(setup={'members': 'a', 'link': RATE})

    def send_head(self, name: str, **step: object) -> None:
        """Let the head of an attempt arrive whose body needs a grant."""
        produce(
            self.bench,
            'attempt',
            1,
            attempt=name,
            bytes=SIZE,
            awaits_grant=True,
            **step,
        )

    # Guards against answers that hide the backlog from senders.
    def test_answer_states_the_wait(self) -> None:
        for name in ('x1', 'x2', 'x3'):
            self.send_head(name)
        produce(self.bench, 'attempt_body', 1, attempt='x1')
        effects = produce(self.bench, 'upstream', 1, attempt='x1')
        self.assertAlmostEqual(find_answer(effects).body_wait_seconds, 0.25)

    # Guards against a target that starts anew once a body has arrived.
    def test_wait_for_the_grant_counts_towards_the_target(self) -> None:
        self.send_head('x1', target_ms=400)
        produce(self.bench, 'attempt', 1.1, attempt='y1')
        effects = produce(self.bench, 'attempt_body', 1.45, attempt='x1')
        self.assertEqual(find_answer(effects).reason, 'overload')

    # Guards against a peer that lets the grant of another one wait.
    def test_only_its_peer_can_lack_room(self) -> None:
        self.send_head('x1')
        produce(self.bench, 'no_memory', 1, attempt='x1', peer='c')
        effects = produce(self.bench, 'attempt_body', 1.1, attempt='x1')
        self.assertTrue(any(isinstance(one, Dispatch) for one in effects))


class StatedTargetTest(unittest.TestCase):
    # Guards against large bodies that wait for a near owner until the deadline
    # although their heads could be refused for free.
    @params((12_500, 500), (None, None))
    def test_body_that_awaits_a_grant_states_its_target(
        self, ungranted_bytes: int | None, target_ms: float | None
    ) -> None:
        bench = CallPathBench(
            setup={'members': 'b', 'policy': {'target_ms': 500}}
        )
        produce(bench, 'connect', 1, peer='b', ungranted_bytes=ungranted_bytes)
        produce(bench, 'arrive', 1, call='c1', bytes=SIZE)
        effects = produce(bench, 'body', 1, call='c1', bytes=SIZE)
        sent = [one for one in effects if isinstance(one, SendAttempt)]
        self.assertEqual(sent[0].attempt.target_ms, target_ms)
