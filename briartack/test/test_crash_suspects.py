"""Test which requests are suspected to crash their upstreams.

A suspect is refused. A sound request that is refused for long, or a deadly
one that is sent to one upstream after another, are the failures to prevent.
"""

import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core.calls.crash_detection import (
    MAX_COMPLETIONS,
    CrashDetector,
)
from briartack.core.calls.crash_suspects import (
    MAX_ENDS,
    MAX_RECORDS,
    MAX_REFUSAL_SECONDS,
    MAX_STANDING_RECORDS,
    MAX_SUSPECTS,
    REFUSAL_FACTOR,
    REFUSAL_SECONDS,
    RETENTION_SECONDS,
    CrashSuspects,
)
from briartack.core.calls.crash_watch import CrashWatch
from briartack.core.calls.fingerprint import Fingerprint, compute_fingerprint
from briartack.core.effects import Count, Effects
from briartack.core.events import UpstreamFailed, UpstreamProbed
from briartack.core.messages import Attempt, CrashEvidence
from briartack.core.units import AttemptId, Digest, Incarnation

DEADLY: Final = Fingerprint(b'deadly--')
SOUND: Final = Fingerprint(b'sound---')


def number_end(number: int) -> bytes:
    """Return the id of one end of an upstream."""
    return number.to_bytes(8, 'big')


def count_names(effects: Effects) -> list[str]:
    """Return the names of the counters that effects add to."""
    return [effect.name for effect in effects if isinstance(effect, Count)]


def take_all(suspects: CrashSuspects, now: float) -> tuple[CrashEvidence, ...]:
    """Return all evidence that a daemon sends to its neighbours by a tick."""
    return (
        *suspects.take_changes(now, is_tick=True),
        *suspects.take_learned(now),
    )


def suspect_after(*ended_at: float) -> CrashSuspects:
    """Make suspects after the ends of upstreams that ran `DEADLY`."""
    suspects = CrashSuspects()
    for number, now in enumerate(ended_at):
        suspects.record_end(now, number_end(number), [DEADLY])
    return suspects


class SuspicionTest(unittest.TestCase):
    @params(
        ((), 0, False),
        ((0,), 0, False),
        ((0, 1), 1, True),
        ((0, 1), 1 + REFUSAL_SECONDS - 0.1, True),
        # A trial is allowed again.
        ((0, 1), 1 + REFUSAL_SECONDS, False),
        ((0, 1, 32), 32 + REFUSAL_SECONDS, True),
        ((0, 1, 32), 32 + REFUSAL_FACTOR * REFUSAL_SECONDS, False),
        (tuple(range(MAX_ENDS)), MAX_ENDS - 2 + MAX_REFUSAL_SECONDS, True),
        (tuple(range(MAX_ENDS)), MAX_ENDS - 1 + MAX_REFUSAL_SECONDS, False),
        (tuple(range(99)), 50, True),
    )
    def test_refusal_follows_the_ends(
        self, ended_at: tuple[float, ...], now: float, is_refused: bool
    ) -> None:
        """Guard against refusal after one end, and against more trials."""
        suspects = suspect_after(*ended_at)
        self.assertEqual(suspects.is_refused(DEADLY, now), is_refused)
        self.assertFalse(suspects.is_refused(SOUND, now))

    def test_one_end_counts_once(self) -> None:
        """Guard against two copies of a request at one upstream."""
        suspects = CrashSuspects()
        for now in (0, 0.1, 0.2):
            suspects.record_end(now, number_end(1), [DEADLY, DEADLY])
        self.assertFalse(suspects.is_refused(DEADLY, 0.2))

    def test_two_deadly_requests_are_both_refused(self) -> None:
        """Guard against a deadly request that another one conceals."""
        suspects = CrashSuspects()
        other = Fingerprint(b'other---')
        suspects.record_end(0, number_end(0), [DEADLY, other, SOUND])
        suspects.record_end(1, number_end(1), [DEADLY])
        suspects.record_end(2, number_end(2), [other])
        refused = [
            suspects.is_refused(one, 2) for one in (DEADLY, other, SOUND)
        ]
        self.assertEqual(refused, [True, True, False])

    @params('completed', 'operator')
    def test_cleared_request_is_served(self, cause: str) -> None:
        """Guard against a sound request that stays refused."""
        suspects = suspect_after(0, 1)
        self.assertEqual(
            count_names(suspects.clear(DEADLY, cause)), ['suspects_cleared']
        )
        self.assertFalse(suspects.is_refused(DEADLY, 1))
        self.assertEqual(suspects.clear(DEADLY, cause), [])
        # Later ends count afresh.
        suspects.record_end(2, number_end(8), [DEADLY])
        self.assertFalse(suspects.is_refused(DEADLY, 2))
        suspects.record_end(3, number_end(9), [DEADLY])
        self.assertTrue(suspects.is_refused(DEADLY, 3))

    def test_ends_count_after_many_were_cleared(self) -> None:
        """Guard against a full list of ends that can take no new one."""
        suspects = CrashSuspects()
        for number in range(50):
            suspects.record_end(number, number_end(number), [DEADLY])
            suspects.clear(DEADLY, 'completed')
        for number in (50, 51):
            suspects.record_end(number, number_end(number), [DEADLY])
        self.assertTrue(suspects.is_refused(DEADLY, 51))

    def test_evidence_ends_with_time(self) -> None:
        """Guard against evidence that stays for ever."""
        suspects = suspect_after(0, 1)
        last = 1 + REFUSAL_SECONDS + RETENTION_SECONDS
        self.assertEqual(suspects.expire(last - 0.1), [])
        self.assertEqual(
            count_names(suspects.expire(last)), ['suspects_cleared']
        )
        self.assertEqual(len(suspects), 0)

    def test_memory_is_bounded(self) -> None:
        """Guard against callers that fill the memory with suspects.

        Requests with more evidence stay while there are others to remove.
        """
        suspects = suspect_after(0, 0)
        for number in range(100_000):
            one = Fingerprint(number_end(number))
            suspects.record_end(1, number_end(number), [one])
        self.assertEqual(len(suspects), MAX_SUSPECTS)
        self.assertTrue(suspects.is_refused(DEADLY, 1))
        for end in range(2):
            for number in range(5000):
                one = Fingerprint(number_end(number))
                suspects.record_end(2, number_end(200_000 + end), [one])
        self.assertLessEqual(len(suspects), MAX_SUSPECTS)
        records = suspects.take_changes(2, is_tick=True)
        self.assertLessEqual(len(records), MAX_RECORDS)
        self.assertLessEqual(
            len(suspects.list_standing(2)), MAX_STANDING_RECORDS
        )


class ExchangeTest(unittest.TestCase):
    def test_ends_at_two_owners_add_up(self) -> None:
        """Guard against evidence that only the owners know."""
        third = CrashSuspects()
        for number in range(2):
            owner = CrashSuspects()
            owner.record_end(number, number_end(number), [DEADLY, SOUND])
            if number:
                owner.clear(SOUND, 'completed')
            third.merge(1, owner.take_changes(1, is_tick=False))
        self.assertTrue(third.is_refused(DEADLY, 1))
        self.assertFalse(third.is_refused(SOUND, 1))
        # The third daemon passes on what neither owner knows.
        self.assertTrue(third.take_learned(1))

    def test_known_evidence_is_not_passed_on(self) -> None:
        """Guard against messages without end between daemons."""
        first, second = suspect_after(0, 1), CrashSuspects()
        second.merge(1, take_all(first, 1))
        first.merge(1, take_all(second, 1))
        second.merge(1, first.list_standing(1))
        for one in (first, second):
            self.assertEqual(take_all(one, 1), ())

    # Guards against messages that grow with the square of the fleet: every
    # daemon told all others what one of them had told all.
    def test_only_the_owner_tells_all_peers(self) -> None:
        owners = [suspect_after(0), suspect_after(0)]
        owners[1].record_end(0, number_end(9), [DEADLY])
        others = [CrashSuspects() for _ in range(50)]
        for owner in owners:
            records = owner.take_changes(0, is_tick=False)
            for other in others:
                other.merge(0, records)
        for other in others:
            self.assertTrue(other.is_refused(DEADLY, 0))
            self.assertEqual(other.take_changes(0, is_tick=True), ())

    def test_clearing_reaches_a_daemon_that_missed_it(self) -> None:
        """Guard against a daemon that revives cleared evidence."""
        first, second = suspect_after(0, 1), CrashSuspects()
        second.merge(1, first.take_changes(1, is_tick=False))
        second.take_changes(1, is_tick=True)
        first.clear(DEADLY, 'completed')
        first.take_changes(1, is_tick=True)
        first.merge(2, second.list_standing(2))
        self.assertFalse(first.is_refused(DEADLY, 2))
        second.merge(2, take_all(first, 2))
        self.assertFalse(second.is_refused(DEADLY, 2))

    def test_exchange_does_not_renew_evidence(self) -> None:
        """Guard against a suspicion that two daemons keep alive."""
        first, second = suspect_after(0, 1), CrashSuspects()
        for now in range(2, 200):
            second.merge(now, first.list_standing(now))
            first.expire(now)
            first.merge(now, second.list_standing(now))
            second.expire(now)
        self.assertEqual((len(first), len(second)), (0, 0))

    def test_restarted_daemon_learns_the_suspects(self) -> None:
        """Guard against a restart that frees a deadly request."""
        restarted = CrashSuspects()
        restarted.merge(9, suspect_after(0, 1).list_standing(9))
        self.assertTrue(restarted.is_refused(DEADLY, 9))
        self.assertAlmostEqual(
            restarted.refused_seconds(DEADLY, 9), REFUSAL_SECONDS - 8
        )

    @params(
        CrashEvidence(fingerprint=b'', ends=(b'a' * 8, b'b' * 8)),
        CrashEvidence(fingerprint=b'x' * 9, ends=(b'a' * 8, b'b' * 8)),
        CrashEvidence(fingerprint=DEADLY, ends=(b'a', b'b')),
        CrashEvidence(
            fingerprint=DEADLY, ends=tuple(map(number_end, range(999)))
        ),
        CrashEvidence(
            fingerprint=DEADLY,
            ends=(b'a' * 8, b'b' * 8),
            age_seconds=float('nan'),
        ),
        CrashEvidence(
            fingerprint=DEADLY, ends=(b'a' * 8, b'b' * 8), age_seconds=-1e9
        ),
        CrashEvidence(
            fingerprint=DEADLY, ends=(b'a' * 8, b'b' * 8), age_seconds=1e9
        ),
    )
    def test_malformed_or_old_record_is_left_out(
        self, record: CrashEvidence
    ) -> None:
        """Guard against a peer that fills the memory or blocks requests."""
        suspects = CrashSuspects()
        self.assertEqual(suspects.merge(5, (record,)), [])
        self.assertEqual(len(suspects), 0)


def make_attempt(target: str, body: bytes = b'') -> Attempt:
    """Make an attempt to run a request."""
    return Attempt(
        attempt_id=AttemptId('a.1'),
        owner_incarnation=Incarnation('a1'),
        owner_clock=0,
        remaining_ms=1000,
        service='s',
        method='GET',
        target=target,
        headers=(),
        body_bytes=len(body),
        body_digest=Digest(body),
        interactive=True,
    )


def probe(now: float, identity: str, *, is_healthy: bool) -> UpstreamProbed:
    """Make the result of a probe; a failed one names no identity."""
    return UpstreamProbed(
        now=now,
        is_healthy=is_healthy,
        is_draining=False,
        identity=identity,
        reported_load=None,
    )


def fail(now: float) -> UpstreamFailed:
    """Make the failure of a running request by a reset."""
    return UpstreamFailed(
        now=now,
        attempt_id=AttemptId('a.1'),
        may_have_run=True,
        is_reset=True,
        reason='reset',
    )


class DetectionTest(unittest.TestCase):
    @params(
        # No connection is accepted, or another process answers.
        ('', False, 0, True),
        ('i-2', True, 0, True),
        ('i-2', False, 3, True),
        # Resets of single connections.
        ('i-1', True, 0, False),
        ('i-1', False, 0, False),
        ('', True, 0, False),
        # Requests still run, so the probe failed for another reason.
        ('', False, 1, False),
    )
    def test_probe_tells_an_end(
        self, identity: str, is_healthy: bool, running: int, has_ended: bool
    ) -> None:
        """Guard against evidence from resets of single connections."""
        detector = CrashDetector()
        detector.record_reset(1, make_attempt('/x'))
        ended = detector.handle_probe(
            probe(1.1, identity, is_healthy=is_healthy), 'i-1', running
        )
        self.assertEqual(bool(ended), has_ended)

    # Guards against a live upstream that counts as ended, because one probe
    # failed after a reset. One that started again under its id is cold.
    @params(('i-1', None, False), ('i-1', 2.5, True), ('i-2', None, True))
    def test_later_answer_disproves_an_end(
        self, identity: str, cold_seconds: float | None, is_refused: bool
    ) -> None:
        watch = CrashWatch()
        for now in (1, 5):
            watch.handle_failure(fail(now), make_attempt('/x'))
            failed = probe(now + 0.1, '', is_healthy=False)
            watch.handle_probe(failed, 'i-1', 0)
            answer = msgspec.structs.replace(
                probe(now + 0.2, identity, is_healthy=True),
                cold_seconds=cold_seconds,
            )
            watch.handle_probe(answer, 'i-1', 0)
        self.assertEqual(watch.is_refused(make_attempt('/x'), 6), is_refused)

    # Guards against a sound request that all daemons refuse, because two of
    # the many upstreams that ran it were killed.
    @params((2.9, False), (3.05, False), (0.5, True))
    def test_completion_elsewhere_discounts_an_end(
        self, completed_at: float, is_refused: bool
    ) -> None:
        elsewhere = CrashWatch()
        request = make_attempt('/popular')
        elsewhere.handle_answer(completed_at, request)
        killed = [CrashWatch(), CrashWatch()]
        for number, watch in enumerate(killed):
            watch.handle_failure(fail(3), request)
            failed = probe(3.1, '', is_healthy=False)
            watch.handle_probe(failed, f'i-{number}', 0)
            evidence = watch.suspects.take_changes(3.1, is_tick=False)
            elsewhere.suspects.merge(3.12, evidence)
        told = take_all(elsewhere.suspects, 3.2)
        for watch in killed:
            watch.suspects.merge(3.2, told)
        self.assertEqual(
            {one.is_refused(request, 3.2) for one in (*killed, elsewhere)},
            {is_refused},
        )

    @params((0.5, False), (5, True))
    def test_recent_completion_is_no_evidence(
        self, seconds_before: float, is_evidence: bool
    ) -> None:
        """Guard against popular requests when many upstreams are killed."""
        detector = CrashDetector()
        detector.record_completion(9 - seconds_before, make_attempt('/'))
        detector.record_reset(9, make_attempt('/'))
        ended = detector.handle_probe(probe(9, '', is_healthy=False), 'i', 0)
        self.assertEqual(bool(ended), is_evidence)

    def test_late_resets_belong_to_the_same_end(self) -> None:
        """Guard against one end that counts twice."""
        detector = CrashDetector()
        ids = []
        for now in (1, 1.2):
            detector.record_reset(now, make_attempt(f'/{now}'))
            detector.handle_probe(probe(now, '', is_healthy=False), 'i-1', 0)
            ids.append(detector.end_id)
        detector.handle_probe(probe(4, 'i-2', is_healthy=True), 'i-1', 0)
        detector.record_reset(5, make_attempt('/5'))
        detector.handle_probe(probe(5, '', is_healthy=False), 'i-2', 0)
        ids.append(detector.end_id)
        self.assertEqual((ids[0] == ids[1], ids[1] == ids[2]), (True, False))

    def test_old_reset_is_no_evidence(self) -> None:
        """Guard against a reset long before the end."""
        detector = CrashDetector()
        detector.record_reset(1, make_attempt('/x'))
        ended = detector.handle_probe(probe(9, '', is_healthy=False), 'i-1', 0)
        self.assertEqual(ended, ())

    def test_memory_is_bounded(self) -> None:
        """Guard against the memory of an owner of many requests."""
        detector = CrashDetector()
        for number in range(2 * MAX_COMPLETIONS):
            detector.record_completion(1, make_attempt(f'/{number}'))
            detector.record_reset(5, make_attempt(f'/{number}'))
        ended = detector.handle_probe(probe(5, '', is_healthy=False), 'i', 0)
        self.assertEqual(len(ended), 64)

    def test_fingerprint_covers_the_whole_request(self) -> None:
        """Guard against refusal of other requests to the same route."""
        common = {'service': 's', 'method': 'GET', 'target': '/a'}
        found = {
            compute_fingerprint(
                **{**common, **change},
                body_bytes=len(body),
                body_digest=Digest(body),
            )
            for change, body in (
                ({}, b''),
                ({'service': 't'}, b''),
                ({'method': 'PUT'}, b''),
                ({'target': '/a?b'}, b''),
                ({}, b'1'),
                ({}, b'2'),
            )
        }
        self.assertEqual(len(found), 6)
