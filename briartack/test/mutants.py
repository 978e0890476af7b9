"""The guards of the reducer, how each is taken out, and what must then fail.

Where two guards cover each other, a mutant takes out both.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final, final

from msgspec.structs import replace

from briartack.core.calls import dedup, owner_runner, sender
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.configuration.versions import Version
from briartack.core.messages import Answer

BIND: Final = dedup.DedupState.register
TAKE_ANSWER: Final = sender.SenderState.handle_answer
TAKE_FAILURE: Final = owner_runner.OwnerRunner.handle_failure


def always(answer: object) -> Any:
    """Make a function that ignores what it is given."""
    return lambda *_, **_named: answer


def fixed(answer: object) -> property:
    """Make a property that keeps its answer whatever is set."""
    return property(always(answer), always(None))


def newest_arrival(
    key: str,
    versions: Iterable[Version],
    least: Version | None,
) -> Version | None:
    """Choose the version that arrived last, whatever its revision."""
    found = [version for version in versions if version.key == key]
    return found[0] if found else least


def whole_limit(_: object, limits: ServiceLimits) -> int:
    """Allow all slots at once."""
    return limits.slots


def bind_any_incarnation(
    state: dedup.DedupState,
    attempt: Any,
    _: object,
    now: float,
) -> object:
    """Take the incarnation of the attempt for the own one."""
    return BIND(state, attempt, attempt.owner_incarnation, now)


def answered_by_anyone(
    state: sender.SenderState,
    context: Any,
    now: float,
    peer: Any,
    answer: Answer,
    *more: Any,
    **named: Any,
) -> object:
    """Take an answer from whichever peer sends it."""
    call = state._table.find_by_attempt(answer.attempt_id)
    if call is not None and call.peer is not None:
        peer = call.peer
    return TAKE_ANSWER(state, context, now, peer, answer, *more, **named)


def failed_unsent(state: Any, event: Any, record: Any) -> object:
    """Take every failure for one before the first byte."""
    return TAKE_FAILURE(state, replace(event, may_have_run=False), record)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """Name a guard, how it is taken out and what must then fail."""

    guard: str
    invariant: str
    trace: str
    caught_by: str  # part of a failure: a violated invariant or an outcome
    patches: dict[str, object]


MUTANTS: Final = (
    Mutant(
        guard='the higher revision wins',
        invariant='I1',
        trace='crossed_and_stale_store_answers',
        caught_by='I1 at',
        patches={
            'batch_decoder.KeySlot.is_below_active': always(False),
            'accepted_configuration._select_highest': newest_arrival,
        },
    ),
    Mutant(
        guard='an answer older than one before is reported',
        invariant='I1',
        trace='crossed_and_stale_store_answers',
        caught_by='no WriteLog',
        patches={'store_reads.StoreReadsState.is_behind_seen': always(False)},
    ),
    Mutant(
        guard='a version waits for what it refers to',
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
            'accepted_configuration.AcceptedConfiguration._update_pool': always(
                None
            )
        },
    ),
    Mutant(
        guard='a reference to a missing resource of its own is malformed',
        invariant='I3',
        trace='bad_version_between_good_ones',
        caught_by='KeyError',
        patches={'validation._find_own_reference_problems': always(())},
    ),
    Mutant(
        guard='a malformed route refuses the whole version',
        invariant='I3',
        trace='bad_version_between_good_ones',
        caught_by="holds {'teams/compras': 5, 'teams/saldo': 7}",
        patches={'validation._find_route_problems': always(())},
    ),
    Mutant(
        guard='a cold upstream has one slot',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='I4 at',
        patches={'ramp.RampState.limit': whole_limit},
    ),
    Mutant(
        guard='another identity restarts the slow start',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='I4 at',
        patches={'ramp.RampState.update_identity': always(False)},
    ),
    Mutant(
        guard='a restart returns to one slot',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='I4 at',
        patches={'ramp.RampState.restart': always(None)},
    ),
    Mutant(
        guard='answers from before a cold start do not count',
        invariant='I4',
        trace='cold_start_under_load',
        caught_by='Dispatch',
        patches={'ramp.RampState.generation': fixed(0)},
    ),
    Mutant(
        guard='senders leave out what is out of service',
        invariant='I5',
        trace='data_centre_out_during_partition',
        caught_by='I5 at',
        patches={'routing.is_out_of_service': always(False)},
    ),
    Mutant(
        guard='an owner out of service refuses',
        invariant='I5',
        trace='data_centre_out_during_partition',
        caught_by='no SendAnswer',
        patches={'owner_checks.is_own_instance_out_of_service': always(False)},
    ),
    Mutant(
        guard='a sender keeps a request in its home regions',
        invariant='I6',
        trace='request_outside_home_regions',
        caught_by='I6 at',
        patches={'placement.may_hold': always(True)},
    ),
    Mutant(
        guard='the home regions of tenant and route are intersected',
        invariant='I6',
        trace='request_outside_home_regions',
        caught_by="'call_id': 'c3'",
        patches={'placement.intersect': lambda left, right: right or left},
    ),
    Mutant(
        guard='an owner outside the home regions refuses',
        invariant='I6',
        trace='owner_outside_home_regions',
        caught_by='Dispatch occurred',
        patches={'placement.may_hold': always(True)},
    ),
    Mutant(
        guard='an attempt that ended is forgotten',
        invariant='I7',
        trace='late_answer_after_retry',
        caught_by='I7 at',
        patches={'call_table.CallTable.end_attempt': always(None)},
    ),
    Mutant(
        guard='only the peer of an attempt answers it',
        invariant='I7',
        trace='late_answer_after_retry',
        caught_by='AnswerCall occurred',
        patches={'sender.SenderState.handle_answer': answered_by_anyone},
    ),
    Mutant(
        guard='a call that was sent may have run',
        invariant='I8',
        trace='cut_after_purchase_was_read',
        caught_by='I8 at',
        patches={'call_table.Call.may_have_run': fixed(False)},
    ),
    Mutant(
        guard='a request that the local upstream reads may have run',
        invariant='I8',
        trace='cut_upstream_at_owner',
        caught_by='I8 at',
        patches={'owner.OwnerState.may_have_run': always(False)},
    ),
    Mutant(
        guard='a failure after the first byte is unknown',
        invariant='I8',
        trace='cut_upstream_at_owner',
        caught_by='I8 at',
        patches={'owner_runner.OwnerRunner.handle_failure': failed_unsent},
    ),
    Mutant(
        guard='what may not be repeated is not retried',
        invariant='I9',
        trace='cut_after_purchase_was_read',
        caught_by='SendAttempt occurred',
        patches={'retry.may_repeat': always(True)},
    ),
    Mutant(
        guard='a repeated attempt is known',
        invariant='I9',
        trace='duplicate_and_old_attempts',
        caught_by='I9 at',
        patches={'dedup.DedupState.is_known': always(False)},
    ),
    Mutant(
        guard='an attempt is bound to the incarnation of its owner',
        invariant='I9',
        trace='duplicate_and_old_attempts',
        caught_by='stale-incarnation',
        patches={'dedup.DedupState.register': bind_any_incarnation},
    ),
    Mutant(
        guard='an attempt is bound to a young reading of the clock',
        invariant='I9',
        trace='duplicate_and_old_attempts',
        caught_by='stale-clock',
        patches={'dedup.DEDUP_WINDOW_SECONDS': 1.0e15},
    ),
    Mutant(
        guard='a pause ends what is older',
        invariant='I9',
        trace='paused_daemon_resumes',
        caught_by="'reason': 'paused'",
        patches={'call_handlers.on_pause': always([])},
    ),
    Mutant(
        guard='a pause drops the readings of clocks',
        invariant='I9',
        trace='paused_daemon_resumes',
        caught_by='no SendAttempt',
        patches={'endpoints.EndpointsState.reset_readings': always(None)},
    ),
    Mutant(
        guard='new calls wait for confirmation after a pause',
        invariant='I1',
        trace='paused_daemon_resumes',
        caught_by="'call_id': 'c3'",
        patches={'dissemination.is_confirmed': always(True)},
    ),
    Mutant(
        guard='an answer of the watch from before a pause confirms nothing',
        invariant='I1',
        trace='paused_daemon_resumes',
        caught_by="'call_id': 'c4'",
        patches={'store_reads.StoreReadsState.is_caught_up': fixed(True)},
    ),
    Mutant(
        guard='a leaving instance gets nothing new',
        invariant='I10',
        trace='goodbye_of_stopping_peer',
        caught_by="'peer': 'compras-2'",
        patches={'membership.MembershipState.is_leaving': always(False)},
    ),
    Mutant(
        guard='a goodbye ends new work',
        invariant='I10',
        trace='goodbye_during_upload',
        caught_by="'peer': 'compras-2'",
        patches={
            'membership.MembershipState.mark_leaving': always(None),
            'endpoints.EndpointsState.mark_draining': always(None),
        },
    ),
    Mutant(
        guard='a new incarnation ends the mark of a goodbye',
        invariant='I12',
        trace='goodbye_of_stopping_peer',
        caught_by="'peer': 'compras-1'",
        patches={'membership.MembershipState.record_incarnation': always(None)},
    ),
    Mutant(
        guard='a planned stop waits for the calls of callers',
        invariant='I11',
        trace='planned_stop_with_work_in_flight',
        caught_by='Exit occurred',
        patches={'sender.SenderState.is_idle': fixed(True)},
    ),
    Mutant(
        guard='a planned stop waits for the attempts of peers',
        invariant='I11',
        trace='planned_stop_reaches_its_bound',
        caught_by='Exit occurred',
        patches={'owner.OwnerState.is_idle': fixed(True)},
    ),
    Mutant(
        guard='a planned stop cuts nothing before its bound',
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
        guard='a planned stop says goodbye',
        invariant='I10',
        trace='planned_stop_with_work_in_flight',
        caught_by='no SendMessage',
        patches={'endpoints.EndpointsState.__iter__': lambda _: iter(())},
    ),
    Mutant(
        guard='a budget bounds the reads of the store',
        invariant='I12',
        trace='mass_restart',
        caught_by='ReadStore',
        patches={'rate_limits.TokenBucket.take': always(True)},
    ),
    Mutant(
        guard='a daemon without a snapshot pulls it from a peer',
        invariant='I12',
        trace='mass_restart',
        caught_by='no SendMessage',
        patches={'peer_sync.PeerSyncState.due': always([])},
    ),
    Mutant(
        guard='a refusal that the sender has not seen yet is known',
        invariant='I8',
        trace='cut_upstream_at_owner',
        caught_by="'call_id': 'c2'",
        patches={'owned_attempts.OwnerAnswers.is_refused': always(False)},
    ),
    Mutant(
        guard='what waited during a pause is refused, not started',
        invariant='I9',
        trace='pause_with_local_call',
        caught_by='Dispatch occurred',
        patches={'owner.OwnerState.expire_all': always([])},
    ),
    Mutant(
        guard='the bound of a planned stop starts nothing',
        invariant='I11',
        trace='planned_stop_bound_with_local_call',
        caught_by='Dispatch occurred',
        patches={'owner.OwnerState.expire_all': always([])},
    ),
)
