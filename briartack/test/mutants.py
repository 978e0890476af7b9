"""List the mutants of the reducer for the mutation test.

Each mutant patches one check of the reducer out and names the trace whose
replay must then fail. Where either of two checks would prevent the failure, the
mutant patches out both.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final, final

from msgspec.structs import replace

from briartack.core.calls import dedup, owner_runner, sender
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.configuration.versions import Version
from briartack.core.messages import Answer
from briartack.core.tenants.identification import UNKEYED

ORIGINAL_BIND: Final = dedup.DedupState.register
ORIGINAL_ANSWERED: Final = sender.SenderState.handle_answer
ORIGINAL_FAILED: Final = owner_runner.OwnerRunner.handle_failure


def make_stub(answer: object) -> Any:
    """Make a function that returns `answer` for any arguments."""
    return lambda *_, **_named: answer


def make_stub_property(answer: object) -> property:
    """Make a property that always reads as `answer`; setting has no effect."""
    return property(make_stub(answer), make_stub(None))


def select_latest_arrival(
    key: str,
    versions: Iterable[Version],
    fallback: Version | None,
) -> Version | None:
    """Return the version of a key that arrived last, whatever its revision."""
    candidates = [version for version in versions if version.key == key]
    return candidates[0] if candidates else fallback


def allow_all_slots(_: object, limits: ServiceLimits) -> int:
    """Return all slots as the limit, as if the upstream were warm."""
    return limits.slots


def bind_any_incarnation(
    state: dedup.DedupState,
    attempt: Any,
    _: object,
    now: float,
) -> object:
    """Bind an attempt to whatever owner incarnation the attempt names."""
    return ORIGINAL_BIND(state, attempt, attempt.owner_incarnation, now)


def accept_answer_from_any_peer(
    state: sender.SenderState,
    context: Any,
    now: float,
    peer: Any,
    answer: Answer,
    *more: Any,
    **named: Any,
) -> object:
    """Accept an answer from any peer, not only from the peer of the attempt."""
    call = state._table.find_by_attempt(answer.attempt_id)
    if call is not None and call.peer is not None:
        peer = call.peer
    return ORIGINAL_ANSWERED(state, context, now, peer, answer, *more, **named)


def treat_failure_as_unsent(state: Any, event: Any, record: Any) -> object:
    """Treat every upstream failure as one before the first byte was sent."""
    return ORIGINAL_FAILED(state, replace(event, may_have_run=False), record)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """Describe a check, the patches that remove it and the failure to expect.

    `invariant` is the invariant that the check protects; `trace` is the name of
    the trace to replay with the patches.
    """

    guard: str
    invariant: str
    trace: str
    caught_by: str  # part of the text of an expected failure
    patches: dict[str, object]


MUTANTS: Final = (
    Mutant(
        guard='the higher revision wins',
        invariant='I1',
        trace='crossed_and_stale_store_answers',
        caught_by='I1 at',
        patches={
            'batch_decoder.KeySlot.is_before_active': make_stub(False),
            'accepted_configuration._select_highest': select_latest_arrival,
        },
    ),
    Mutant(
        guard='a store answer older than an earlier one is reported',
        invariant='I1',
        trace='crossed_and_stale_store_answers',
        caught_by='no WriteLog',
        patches={
            'store_reads.StoreReadsState.is_behind_seen': make_stub(False)
        },
    ),
    Mutant(
        guard='a version waits for the resources that it refers to',
        invariant='I2',
        trace='unresolved_reference_waits',
        caught_by='KeyError',
        patches={
            'accepted_configuration.select_resolvable': lambda candidates, _: (
                tuple(candidates)
            ),
        },
    ),
    Mutant(
        guard='a removed resource is kept while it is referred to',
        invariant='I2',
        trace='unresolved_reference_waits',
        caught_by='KeyError',
        patches={
            'accepted_configuration.AcceptedConfiguration._update_pool': (
                make_stub(None)
            )
        },
    ),
    Mutant(
        guard='a reference to a missing resource of the same team is malformed',
        invariant='I3',
        trace='bad_version_between_good_ones',
        caught_by='KeyError',
        patches={'validation._find_own_reference_problems': make_stub(())},
    ),
    Mutant(
        guard='a malformed route refuses the whole version',
        invariant='I3',
        trace='bad_version_between_good_ones',
        caught_by="holds {'teams/compras': 5, 'teams/saldo': 7}",
        patches={'validation._find_route_problems': make_stub(())},
    ),
    Mutant(
        guard='a cold upstream has one slot',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='I4 at',
        patches={'slow_start.SlowStartState.limit': allow_all_slots},
    ),
    Mutant(
        guard='a new upstream identity restarts the slow start',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='I4 at',
        patches={'slow_start.SlowStartState.update_identity': make_stub(False)},
    ),
    Mutant(
        guard='a restarted slow start returns to one slot',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='I4 at',
        patches={'slow_start.SlowStartState.restart': make_stub(None)},
    ),
    Mutant(
        guard='answers from before a cold start do not raise the limit',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='Dispatch',
        patches={'slow_start.SlowStartState.generation': make_stub_property(0)},
    ),
    Mutant(
        guard='senders choose no endpoint that is out of service',
        invariant='I5',
        trace='data_centre_out_during_partition',
        caught_by='I5 at',
        patches={'routing.is_out_of_service': make_stub(False)},
    ),
    Mutant(
        guard='an owner that is out of service refuses attempts',
        invariant='I5',
        trace='data_centre_out_during_partition',
        caught_by='no SendAnswer',
        patches={
            'owner_checks.is_own_instance_out_of_service': make_stub(False)
        },
    ),
    Mutant(
        guard='a sender chooses only endpoints in the home regions',
        invariant='I6',
        trace='request_outside_home_regions',
        caught_by='I6 at',
        patches={'placement.may_hold': make_stub(True)},
    ),
    Mutant(
        guard='the home regions of tenant and route are intersected',
        invariant='I6',
        trace='request_outside_home_regions',
        caught_by="'call_id': 'c3'",
        patches={'placement.intersect': lambda left, right: right or left},
    ),
    Mutant(
        guard='the home regions of a tenant with an API key bind',
        invariant='I6',
        trace='keys_of_tenants',
        caught_by="'call_id': 'c5'",
        patches={
            'resolved_snapshot._intersect': make_stub(None),
            'identification.CallOrigin.home_regions': make_stub_property(None),
        },
    ),
    Mutant(
        guard='a caller with an API key cannot state another tenant',
        invariant='I6',
        trace='keys_of_tenants',
        caught_by='no SendAttempt',
        patches={
            'call_checks.replace_tenant_header': lambda headers, _: headers
        },
    ),
    Mutant(
        guard='a version that withdraws an API key refuses it',
        invariant='I12',
        trace='keys_of_tenants',
        caught_by="'call_id': 'c6'",
        patches={'call_checks.identify': make_stub(UNKEYED)},
    ),
    Mutant(
        guard='an owner outside the home regions refuses the attempt',
        invariant='I6',
        trace='owner_outside_home_regions',
        caught_by='Dispatch occurred',
        patches={'placement.may_hold': make_stub(True)},
    ),
    Mutant(
        guard='an attempt that has ended is removed from the call table',
        invariant='I7',
        trace='late_answer_after_retry',
        caught_by='I7 at',
        patches={'call_table.CallTable.end_attempt': make_stub(None)},
    ),
    Mutant(
        guard='an answer is accepted only from the peer of its attempt',
        invariant='I7',
        trace='late_answer_after_retry',
        caught_by='AnswerCall occurred',
        patches={
            'sender.SenderState.handle_answer': accept_answer_from_any_peer
        },
    ),
    Mutant(
        guard='a call whose attempt was sent may have run',
        invariant='I8',
        trace='cut_after_purchase_was_read',
        caught_by='I8 at',
        patches={'call_table.Call.may_have_run': make_stub_property(False)},
    ),
    Mutant(
        guard='a request that the local upstream is reading may have run',
        invariant='I8',
        trace='cut_upstream_at_owner',
        caught_by='I8 at',
        patches={'owner.OwnerState.may_have_run': make_stub(False)},
    ),
    Mutant(
        guard='a failure after the first byte has the verdict unknown',
        invariant='I8',
        trace='cut_upstream_at_owner',
        caught_by='I8 at',
        patches={
            'owner_runner.OwnerRunner.handle_failure': treat_failure_as_unsent
        },
    ),
    Mutant(
        guard='a non-repeatable request that may have run is not retried',
        invariant='I9',
        trace='cut_after_purchase_was_read',
        caught_by='SendAttempt occurred',
        patches={'retry.may_repeat': make_stub(True)},
    ),
    Mutant(
        guard='a repeated attempt id is recognised',
        invariant='I9',
        trace='duplicate_and_old_attempts',
        caught_by='I9 at',
        patches={'dedup.DedupState.is_known': make_stub(False)},
    ),
    Mutant(
        guard='an attempt is bound to the incarnation of its owner',
        invariant='I9',
        trace='duplicate_and_old_attempts',
        caught_by='stale-incarnation',
        patches={'dedup.DedupState.register': bind_any_incarnation},
    ),
    Mutant(
        guard='an attempt with an old reading of the owner clock is refused',
        invariant='I9',
        trace='duplicate_and_old_attempts',
        caught_by='stale-clock',
        patches={'dedup.DEDUP_WINDOW_SECONDS': 1.0e15},
    ),
    Mutant(
        guard='a pause ends the attempts whose deadline has passed',
        invariant='I9',
        trace='paused_daemon_resumes',
        caught_by="'reason': 'paused'",
        patches={'call_handlers.on_pause': make_stub([])},
    ),
    Mutant(
        guard='a pause discards the clock readings of peers',
        invariant='I9',
        trace='paused_daemon_resumes',
        caught_by='no SendAttempt',
        patches={'endpoints.EndpointsState.reset_readings': make_stub(None)},
    ),
    Mutant(
        guard='new calls wait for a confirmed configuration after a pause',
        invariant='I1',
        trace='paused_daemon_resumes',
        caught_by="'call_id': 'c3'",
        patches={'dissemination.is_confirmed': make_stub(True)},
    ),
    Mutant(
        guard='a call that outlasts a pause is not sent again before that',
        invariant='I1',
        trace='pause_with_call_at_peer',
        caught_by='SendAttempt occurred',
        patches={'dissemination.is_confirmed': make_stub(True)},
    ),
    Mutant(
        guard='the answer to a watch from before a pause does not confirm',
        invariant='I1',
        trace='paused_daemon_resumes',
        caught_by="'call_id': 'c4'",
        patches={
            'store_reads.StoreReadsState.is_caught_up': make_stub_property(True)
        },
    ),
    Mutant(
        guard='a leaving instance gets no new attempts',
        invariant='I10',
        trace='goodbye_of_stopping_peer',
        caught_by="'peer': 'compras-2'",
        patches={'membership.MembershipState.is_leaving': make_stub(False)},
    ),
    Mutant(
        guard='a peer that said goodbye gets no new attempts',
        invariant='I10',
        trace='goodbye_during_upload',
        caught_by="'peer': 'compras-2'",
        patches={
            'membership.MembershipState.mark_leaving': make_stub(None),
            'endpoints.EndpointsState.mark_draining': make_stub(None),
        },
    ),
    Mutant(
        guard='a new incarnation clears the leaving mark of a goodbye',
        invariant='I12',
        trace='goodbye_of_stopping_peer',
        caught_by="'peer': 'compras-1'",
        patches={
            'membership.MembershipState.record_incarnation': make_stub(None)
        },
    ),
    Mutant(
        guard='a planned stop waits for the calls of local callers',
        invariant='I11',
        trace='planned_stop_with_work_in_flight',
        caught_by='Exit occurred',
        patches={'sender.SenderState.is_idle': make_stub_property(True)},
    ),
    Mutant(
        guard='a planned stop waits for the attempts of peers',
        invariant='I11',
        trace='planned_stop_reaches_its_bound',
        caught_by='Exit occurred',
        patches={'owner.OwnerState.in_flight': make_stub_property(0)},
    ),
    Mutant(
        guard='a planned stop gives back what waits and may be aborted',
        invariant='I11',
        trace='planned_stop_reaches_its_bound',
        caught_by="no SendAnswer with {'answer.1': 'p3'",
        patches={'owner.OwnerState.begin_stop': make_stub(())},
    ),
    Mutant(
        guard='a planned stop ends no call before its time limit',
        invariant='I11',
        trace='planned_stop_with_work_in_flight',
        caught_by='AnswerCall occurred',
        patches={
            'drain.DrainState.has_deadline_passed': (
                lambda state, _: state.is_draining
            ),
        },
    ),
    Mutant(
        guard='a planned stop sends goodbye to its peers',
        invariant='I10',
        trace='planned_stop_with_work_in_flight',
        caught_by='no SendMessage',
        patches={'endpoints.EndpointsState.__iter__': lambda _: iter(())},
    ),
    Mutant(
        guard='a token bucket limits the reads of the store',
        invariant='I12',
        trace='mass_restart',
        caught_by='ReadStore',
        patches={'store_reads.TokenBucket.take': make_stub(True)},
    ),
    Mutant(
        guard='a daemon without a snapshot pulls it from a peer',
        invariant='I12',
        trace='mass_restart',
        caught_by='no SendMessage',
        patches={'peer_sync.PeerSyncState.send_due_requests': make_stub([])},
    ),
    Mutant(
        guard='a refusal that waits for the local sender is recognised',
        invariant='I8',
        trace='cut_upstream_at_owner',
        caught_by="'call_id': 'c2'",
        patches={'owned_attempts.OwnerAnswers.is_refused': make_stub(False)},
    ),
    Mutant(
        guard='attempts queued during a pause are refused, not started',
        invariant='I9',
        trace='pause_with_local_call',
        caught_by='Dispatch occurred',
        patches={'owner.OwnerState.expire_all': make_stub([])},
    ),
    Mutant(
        guard='reaching the time limit of a planned stop starts no attempt',
        invariant='I11',
        trace='planned_stop_bound_with_local_call',
        caught_by='Dispatch occurred',
        patches={'owner.OwnerState.expire_all': make_stub([])},
    ),
)
