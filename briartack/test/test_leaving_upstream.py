"""Test that an upstream that says that it leaves gets no new requests.

Upstreams say so in their answers; the list of instances may say so later or
never. The daemon beside the upstream tells its peers, who remember.
"""

import json
import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core import events, messages
from briartack.core.calls import reasons
from briartack.core.dissemination.leaving_upstreams import UpstreamStart
from briartack.core.dissemination.membership import MembershipState
from briartack.core.effects import Effects, SendAnswer, SendMessage
from briartack.core.entries import Entry
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import (
    AttemptId,
    Digest,
    Incarnation,
    Revision,
)
from briartack.platform.upstream import PlatformUpstreamDialect
from briartack.test.daemon_pair import (
    OWN,
    PEER,
    connect_peer,
    make_state,
    probe,
    send,
)
from briartack.test.test_platform_calls import (
    DISPATCH,
    SEALED_HEADERS,
    parse_answer,
)

SUBTREE: Final = json.dumps({'services': {'s': {'slots': 4, 'connections': 9}}})
FIRST_START_MS: Final = 1000
LATER_START_MS: Final = 9000


def make_record(
    instance: str,
    revision: int,
    state: str | None = 'live',
    started_ms: int | None = FIRST_START_MS,
    cold_ms: int = 0,
) -> Entry:
    """Make the record of an instance's upstream; no state deletes it."""
    record = {
        'service': 'a/s',
        'data_centre': 'd',
        'region': 'r',
        'peer_address': '10.0.0.1:1',
        'instance': instance,
        'state': state,
        'started_ms': started_ms,
        'cold_ms': cold_ms,
    }
    text = None if state is None else msgspec.json.encode(record).decode()
    key = f'instances/i-{instance}'
    return Entry(key=key, revision=Revision(revision), value=text)


def make_daemon() -> State:
    """Make the state of daemon `a`, which has a stream to daemon `b`."""
    state = make_state(drain_seconds=1)
    entries = (
        Entry(key='teams/a', revision=Revision(1), value=SUBTREE),
        make_record(OWN, 2),
        make_record(PEER, 3),
    )
    reduce(
        state,
        events.StoreRead(
            now=1, prefix='', revision=Revision(3), entries=entries
        ),
    )
    probe(state, 1, 'i-a')
    connect_peer(state, 1)
    return state


def answer(state: State, leaving_identity: str) -> Effects:
    """Let the upstream answer a request."""
    return reduce(
        state,
        events.UpstreamAnswered(
            now=1.1,
            attempt_id=AttemptId('x'),
            status=200,
            headers=(),
            body_bytes=0,
            body_digest=Digest(b''),
            elapsed_seconds=0.1,
            leaving_identity=leaving_identity,
        ),
    )


def send_attempt(state: State) -> list[str]:
    """Let daemon `b` send an attempt; return the reasons of refusals."""
    return [
        effect.answer.reason
        for effect in send(state, 1.1, 'b.b1.1')
        if isinstance(effect, SendAnswer)
    ]


def list_told_upstreams(effects: Effects) -> list[str]:
    """Return the leaving upstreams that summaries to daemon `b` name."""
    return [
        effect.message.leaving_upstream
        for effect in effects
        if isinstance(effect, SendMessage)
        and effect.peer == PEER
        and isinstance(effect.message, messages.Summary)
    ]


class LeavingUpstreamTest(unittest.TestCase):
    """Check the daemon beside the upstream, and its peers."""

    # Guards against requests to an upstream that has said that it leaves.
    def test_owner_refuses_and_tells_its_peers(self) -> None:
        """Guard against an owner that waits for the list."""
        state = make_daemon()
        self.assertEqual(list_told_upstreams(answer(state, '')), [])
        self.assertEqual(list_told_upstreams(answer(state, 'i-a')), ['i-a'])
        self.assertEqual(send_attempt(state), [reasons.OUT_OF_SERVICE.code])

    def test_attempts_are_taken_without_the_statement(self) -> None:
        """Check that only the statement causes the refusal above."""
        state = make_daemon()
        answer(state, '')
        self.assertEqual(send_attempt(state), [])

    def test_peer_remembers_although_the_owner_restarts(self) -> None:
        """Guard against new requests by way of an owner that has forgotten."""
        state = make_daemon()
        summary = messages.Summary(
            incarnation=Incarnation('b1'),
            highest=Revision(3),
            configuration_digest=Digest(b''),
            instances_digest=Digest(b''),
            clock=1,
            leaving_upstream='i-b',
        )
        reduce(
            state,
            events.PeerMessageReceived(now=1.1, peer=PEER, message=summary),
        )
        lost = events.PeerDisconnected(now=1.2, peer=PEER, reason='lost')
        reduce(state, lost)
        connect_peer(state, 1)
        self.assertTrue(state.membership.is_leaving(PEER))
        live = state.membership.live_members_of('a/s')
        self.assertEqual([member.instance for member in live], [OWN])

    @params(
        # Another version of the record of the same start.
        ((make_record(PEER, 4),), True),
        # The record lapses and is listed again, while the store is away.
        ((make_record(PEER, 4, None), make_record(PEER, 5)), True),
        ((make_record(PEER, 4, None),), True),
        ((make_record(PEER, 4, 'live', LATER_START_MS),), False),
        (
            (
                make_record(PEER, 4, None),
                make_record(PEER, 5, 'live', LATER_START_MS),
            ),
            False,
        ),
        # Platforms that don't tell the time of the start.
        (
            (
                make_record(PEER, 4, None, None),
                make_record(PEER, 5, 'live', None),
            ),
            False,
        ),
    )
    def test_statement_holds_for_one_start(
        self, versions: tuple[Entry, ...], is_leaving: bool
    ) -> None:
        """Guard against a new start that inherits the word of the last one.

        Each row states the versions of the record after the statement.
        """
        members = MembershipState()
        started_ms = json.loads(versions[-1].value or '{}').get('started_ms', 0)
        first_ms = None if started_ms is None else FIRST_START_MS
        members.apply([make_record(PEER, 3, 'live', first_ms)], 0)
        members.mark_upstream_leaving(UpstreamStart('i-b'))
        for number, version in enumerate(versions):
            members.apply([version], 10 + number / 10)
        live = [member.instance for member in members.live_members()]
        self.assertEqual(live, [] if is_leaving else [PEER])

    def test_statement_about_an_earlier_start_is_ignored(self) -> None:
        """Guard against late news that takes a new start out of service."""
        members = MembershipState()
        members.apply([make_record(PEER, 4, 'live', LATER_START_MS)], 0)
        late = UpstreamStart('i-b', FIRST_START_MS)
        self.assertIsNone(members.mark_upstream_leaving(late))
        self.assertFalse(members.is_leaving(PEER))

    def test_replacement_on_the_same_instance_is_used(self) -> None:
        """Guard against a leaving record that hides its replacement."""
        members = MembershipState()
        record = make_record(PEER, 2)
        members.apply([make_record(PEER, 3)], 0)
        members.mark_upstream_leaving(UpstreamStart('i-b'))
        replacement = msgspec.structs.replace(record, key='instances/i-c')
        members.apply([replacement], 0)
        self.assertFalse(members.is_leaving(PEER))

    @params(('1', True), ('0', False), ('', False))
    def test_statement_is_decoded_from_answers_and_probes(
        self, text: str, is_leaving: bool
    ) -> None:
        """Guard against a statement that the dialect drops."""
        dialect = PlatformUpstreamDialect()
        header = f'Server-Leaving: {text}\r\n'
        sealed = parse_answer('200 OK', f'{SEALED_HEADERS}{header}')
        result = dialect.decode_result(DISPATCH, sealed)
        self.assertIs(result.is_leaving, is_leaving)
        refused = parse_answer('503 Full', f'X-Not-Executed: 1\r\n{header}')
        result = dialect.decode_result(DISPATCH, refused)
        self.assertIs(result.is_leaving, is_leaving)
        probe = parse_answer('503 Leaving', f'X-Instance-Id: i-7\r\n{header}')
        probed = dialect.decode_probe(3, probe)
        self.assertEqual(probed.leaving_identity, 'i-7' if is_leaving else '')
