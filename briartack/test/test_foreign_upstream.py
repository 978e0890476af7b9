"""Test that an upstream gets requests only if the list has it in the service.

The address of an ended upstream may pass to an upstream of another service,
which states its own identity to health probes and when it refuses a request.
"""

import json
import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core import events
from briartack.core.calls import reasons
from briartack.core.effects import (
    Count,
    Dispatch,
    Effects,
    SendAnswer,
    WriteLog,
)
from briartack.core.entries import Entry
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.status import describe
from briartack.core.units import (
    AttemptId,
    Revision,
)
from briartack.test.daemon_pair import (
    OWN,
    PEER,
    connect_peer,
    make_state,
    probe,
    send,
)
from briartack.test.test_leaving_upstream import (
    SUBTREE,
    make_daemon,
    make_record,
)

ENDED: Final = 'i-a'
SUCCESSOR: Final = 'i-x'
UNVERIFIED: Final = reasons.UPSTREAM_UNVERIFIED.code


def list_successor(service: str, revision: int = 4) -> Entry:
    """Make the record of the successor, at the address of the ended one."""
    record = make_record(OWN, revision)
    fields = {**json.loads(record.value or ''), 'service': service}
    return msgspec.structs.replace(
        record, key=f'instances/{SUCCESSOR}', value=json.dumps(fields)
    )


def delete_successor(revision: int = 5) -> Entry:
    """Make the deletion of the successor's record."""
    return Entry(
        key=f'instances/{SUCCESSOR}', revision=Revision(revision), value=None
    )


OWN_SERVICE: Final = list_successor('a/s')
OTHER_SERVICE: Final = list_successor('a/other')
UNNAMED_SERVICE: Final = list_successor('another writer', 5)


def read_list(state: State, now: float, entries: tuple[Entry, ...]) -> None:
    """Let the daemon hear of records, and tick if it asks for that."""
    revision = max(entry.revision for entry in entries)
    reduce(
        state,
        events.StoreWatched(now=now, revision=revision, entries=entries),
    )
    reduce(state, events.Tick(now=now))


def refuse(state: State, now: float, attempt: str, identity: str) -> Effects:
    """Let the upstream refuse a request as it is another than expected."""
    return reduce(
        state,
        events.UpstreamFailed(
            now=now,
            attempt_id=AttemptId(attempt),
            may_have_run=False,
            is_reset=False,
            reason='another upstream has the address',
            is_refusal=True,
            identity=identity,
        ),
    )


def list_dispatches(effects: Effects) -> list[tuple[str, str]]:
    """Return each attempt that is sent, with the identity that it names."""
    return [
        (effect.attempt_id, effect.expected_identity)
        for effect in effects
        if isinstance(effect, Dispatch)
    ]


def list_refusals(effects: Effects) -> list[tuple[str, str, str]]:
    """Return each answer of the owner: its attempt, verdict and reason."""
    return [
        (
            effect.answer.attempt_id,
            effect.answer.verdict.value,
            effect.answer.reason,
        )
        for effect in effects
        if isinstance(effect, SendAnswer)
    ]


class ForeignUpstreamTest(unittest.TestCase):
    """Check the owner whose upstream was replaced."""

    # Guards against a request that is run by an upstream of another service,
    # which has the address of the one that ended (ROUTE).
    @params(
        ((), False),
        ((OWN_SERVICE,), True),
        ((OTHER_SERVICE,), False),
        ((UNNAMED_SERVICE,), False),
        # Another writer replaces the record, and the upstream writes it again.
        ((OWN_SERVICE, UNNAMED_SERVICE), False),
        ((OWN_SERVICE, UNNAMED_SERVICE, list_successor('a/s', 6)), True),
        # The first list may lag, so the deletion has no grace period.
        ((OWN_SERVICE, delete_successor()), False),
        ((OTHER_SERVICE, delete_successor()), False),
    )
    def test_only_an_upstream_listed_in_the_service_gets_requests(
        self, entries: tuple[Entry, ...], is_used: bool
    ) -> None:
        """Let a probe find the successor before or after its records."""
        for is_probed_first in (True, False):
            state = make_daemon()
            if is_probed_first:
                probe(state, 1.1, SUCCESSOR)
            for number, entry in enumerate(entries):
                read_list(state, 1.2 + number / 100, (entry,))
            if not is_probed_first:
                probe(state, 1.3, SUCCESSOR)
            sent = list_dispatches(send(state, 1.4, 'b.b1.1'))
            self.assertEqual(sent, [('b.b1.1', SUCCESSOR)] if is_used else [])

    # Guards against a refusal that states nothing of the cause, or that is
    # taken for a request that may have run.
    def test_refusal_names_the_cause(self) -> None:
        state = make_daemon()
        probe(state, 1.1, SUCCESSOR)
        self.assertEqual(
            list_refusals(send(state, 1.2, 'b.b1.1')),
            [('b.b1.1', 'not-run', UNVERIFIED)],
        )

    # Guards against attempts in the queue that are sent to the upstream that
    # refused the one before, without a check (ROUTE).
    @params(
        ((), [], [('b.b1.2', 'not-run', UNVERIFIED)]),
        ((OTHER_SERVICE,), [], [('b.b1.2', 'not-run', UNVERIFIED)]),
        ((OWN_SERVICE,), [('b.b1.2', SUCCESSOR)], []),
    )
    def test_queue_is_checked_when_the_upstream_is_another_one(
        self,
        entries: tuple[Entry, ...],
        sent: list[tuple[str, str]],
        refused: list[tuple[str, str, str]],
    ) -> None:
        state = make_daemon()
        if entries:
            read_list(state, 1.1, entries)
        self.assertEqual(
            list_dispatches(send(state, 1.2, 'b.b1.1')), [('b.b1.1', ENDED)]
        )
        self.assertEqual(list_dispatches(send(state, 1.2, 'b.b1.2')), [])
        effects = refuse(state, 1.3, 'b.b1.1', SUCCESSOR)
        replaced = ('b.b1.1', 'not-run', reasons.UPSTREAM_REPLACED.code)
        self.assertEqual(list_dispatches(effects), sent)
        self.assertEqual(list_refusals(effects), [replaced, *refused])

    # Guards against attempts that wait until their deadlines at an upstream
    # of which a probe shows that they can't be sent there.
    def test_queue_is_refused_at_once_after_a_probe(self) -> None:
        state = make_daemon()
        send(state, 1.2, 'b.b1.1')
        send(state, 1.2, 'b.b1.2')
        self.assertEqual(
            list_refusals(probe(state, 1.3, SUCCESSOR)),
            [('b.b1.2', 'not-run', UNVERIFIED)],
        )

    # Guards against a start of the queue at an upstream that the list has
    # moved to another service since its attempts were checked (ROUTE).
    def test_queue_is_refused_after_a_change_of_the_list(self) -> None:
        state = make_daemon()
        read_list(state, 1.1, (OWN_SERVICE,))
        probe(state, 1.15, SUCCESSOR)
        send(state, 1.2, 'b.b1.1')
        send(state, 1.2, 'b.b1.2')
        moved = (list_successor('a/other', 5),)
        reduce(
            state,
            events.StoreWatched(now=1.3, revision=Revision(5), entries=moved),
        )
        effects = reduce(state, events.Tick(now=1.3))
        self.assertEqual(list_dispatches(effects), [])
        self.assertEqual(
            list_refusals(effects), [('b.b1.2', 'not-run', UNVERIFIED)]
        )

    # Guards against a daemon that starts beside the successor and takes it for
    # an upstream of its own service (ROUTE).
    @params(((), False), ((OTHER_SERVICE,), False), ((OWN_SERVICE,), True))
    def test_restarted_daemon_asks_the_list(
        self, entries: tuple[Entry, ...], is_used: bool
    ) -> None:
        state = make_state(drain_seconds=1)
        subtree = Entry(key='teams/a', revision=Revision(1), value=SUBTREE)
        reduce(
            state,
            events.StoreRead(
                now=1,
                prefix='',
                revision=Revision(4),
                entries=(subtree, make_record(PEER, 3), *entries),
            ),
        )
        connect_peer(state, 1)
        probe(state, 1.1, SUCCESSOR)
        sent = list_dispatches(send(state, 1.2, 'b.b1.1'))
        self.assertEqual(sent, [('b.b1.1', SUCCESSOR)] if is_used else [])

    # Guards against an upstream that is refused while its record has only
    # lapsed, as it does while the store is away, or was restored from a copy.
    @params((0.5, ''), (1.5, reasons.OUT_OF_SERVICE.code))
    def test_lapsed_record_still_verifies_its_upstream(
        self, seconds: float, reason: str
    ) -> None:
        state = make_daemon()
        # Without ticks the daemon would take the time for a pause of its own.
        for tick in range(2, 11):
            reduce(state, events.Tick(now=tick / 2))
        read_list(state, 5, (make_record(OWN, 4, None),))
        now = 5 + seconds
        reduce(state, events.Tick(now=now))
        effects = send(state, now, 'b.b1.1')
        refused = [code for _, _, code in list_refusals(effects)]
        self.assertEqual(refused, [reason] if reason else [])
        self.assertEqual(bool(list_dispatches(effects)), not reason)

    # Guards against an upstream that operators see as open although it gets no
    # requests.
    @params(((), 'unlisted'), ((OTHER_SERVICE,), 'other-service'))
    def test_status_and_log_tell_the_listing(
        self, entries: tuple[Entry, ...], listing: str
    ) -> None:
        state = make_daemon()
        if entries:
            read_list(state, 1.1, entries)
        effects = probe(state, 1.2, SUCCESSOR)
        lines = [
            dict(effect.fields)
            for effect in effects
            if isinstance(effect, WriteLog)
            and effect.code == 'upstream-identity'
        ]
        fields = {'upstream': SUCCESSOR, 'previous': ENDED, 'evidence': 'probe'}
        self.assertEqual(lines, [{**fields, 'listing': listing}])
        counted = [
            dict(effect.attributes)
            for effect in effects
            if isinstance(effect, Count)
            and effect.name == 'upstream_identity_changes'
        ]
        self.assertEqual(counted, [{'evidence': 'probe', 'listing': listing}])
        upstream = describe(state)['upstream']
        assert isinstance(upstream, dict)
        self.assertEqual(
            (upstream['open'], upstream['identity'], upstream['listing']),
            (False, SUCCESSOR, listing),
        )
