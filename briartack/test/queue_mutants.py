"""List the mutants of the owner's queue, its estimates and caller clocks.

Each patches one rule out and names the test that must then fail. The mutants
of the invariants, which traces find, are in `mutants`.
"""

from dataclasses import dataclass
from typing import Any, Final, final

from msgspec.structs import replace

from briartack.core.calls.service_times import ServiceTimes
from briartack.core.calls.slot_queue import SlotQueue, SlotRequest
from briartack.test.mutants import make_stub, make_stub_property

NEVER: Final = 1.0e15


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class QueueMutant:
    """Describe a rule, the patches that remove it and the test that fails.

    `test` names module, class and method.
    """

    guard: str
    test: str
    patches: dict[str, object]


def order_by_rank_first(request: SlotRequest, arrival: float) -> Any:
    """Return the order of earlier releases: by rank, then awaited by a run."""
    return request.rank, not request.is_awaited_by_run, False, arrival


def order_by_lateness_first(request: SlotRequest, arrival: float) -> Any:
    """Return an order in which lateness counts before the rank."""
    is_awaited = request.is_awaited_by_run
    return not is_awaited, request.is_late, request.rank, arrival


def order_without_rank(request: SlotRequest, arrival: float) -> Any:
    """Return an order in which all ranks are equal."""
    return not request.is_awaited_by_run, 0, request.is_late, arrival


def order_without_lateness(request: SlotRequest, arrival: float) -> Any:
    """Return an order in which late attempts equal those in time."""
    return not request.is_awaited_by_run, request.rank, False, arrival


def move_late_to_the_end(queue: SlotQueue, now: float) -> None:
    """Give attempts that become late a new place among the late ones."""
    for attempt_id in queue._targets.pop_due(now):
        key = queue._keys_by_id.get(attempt_id)
        if key is not None:
            request = queue._requests[key]
            queue.remove(attempt_id)
            queue.add(replace(request, is_late=True))


def bound_late_by_target(
    request: SlotRequest, starts_at: float, latest_start: float
) -> bool:
    """Refuse late attempts that can't start at once, as for earlier ones."""
    return starts_at > min(request.deadline, request.useful_until, latest_start)


def estimate_without_bound(
    times: ServiceTimes, now: float, route: str, _: float
) -> float:
    """Estimate a run without the bound by the longest one."""
    return times._routes[route].mean_seconds * times.slowdown(now)


# Removes the part of the owner and the sender that this work added.
WHOLE_PART: Final[dict[str, object]] = {
    'caller_clocks.CallerClocks.measure_elapsed_seconds': make_stub(None),
    'service_times.ServiceTimes.record_report': make_stub(None),
    'slot_queue._make_key': order_by_rank_first,
}

_ORDER: Final = 'test_queue_order.QueueOrderTest'
_SHARES: Final = 'test_load_shares.LoadSharesTest'
_ESTIMATES: Final = 'test_service_times.RunEstimateTest'
_STATED: Final = 'test_service_times.StatedEstimateTest'
_SLOWDOWN: Final = 'test_service_times.SlowdownTest'
_CLOCKS: Final = 'test_caller_clocks.CallerClocksTest'

QUEUE_MUTANTS: Final = (
    *(
        QueueMutant(
            guard=f'the whole part, for {name}',
            test=f'{_SHARES}.{name}',
            patches=WHOLE_PART,
        )
        for name in (
            'test_peak_with_callers_that_return',
            'test_nested_calls_against_uploads',
            'test_slow_spells',
            'test_two_ranks_in_a_long_shortage',
        )
    ),
    QueueMutant(
        guard='calls of runs go before new work of any rank',
        test=f'{_ORDER}.test_calls_of_runs_go_before_urgent_new_work',
        patches={'slot_queue._make_key': order_by_rank_first},
    ),
    QueueMutant(
        guard='calls of runs go before uploads under load',
        test=f'{_SHARES}.test_nested_calls_against_uploads',
        patches={'slot_queue._make_key': order_by_rank_first},
    ),
    QueueMutant(
        guard='rank counts before lateness',
        test=f'{_ORDER}.test_rank_counts_before_lateness',
        patches={'slot_queue._make_key': order_by_lateness_first},
    ),
    QueueMutant(
        guard='a lower rank goes first',
        test=f'{_SHARES}.test_two_ranks_in_a_long_shortage',
        patches={'slot_queue._make_key': order_without_rank},
    ),
    QueueMutant(
        guard='attempts in time go before late ones',
        test=f'{_SHARES}.test_late_attempt_goes_behind_one_in_time',
        patches={'slot_queue._make_key': order_without_lateness},
    ),
    QueueMutant(
        guard='an attempt whose target passes while it waits becomes late',
        test=f'{_SHARES}.test_late_attempt_goes_behind_one_in_time',
        patches={'slot_queue.SlotQueue.mark_late': make_stub(None)},
    ),
    QueueMutant(
        guard='an attempt that becomes late keeps its time of arrival',
        test=f'{_ORDER}.test_first_come_goes_first_among_late_ones',
        patches={'slot_queue.SlotQueue.mark_late': move_late_to_the_end},
    ),
    QueueMutant(
        guard='the order stays where no load is stated',
        test=f'{_SHARES}.test_order_stays_without_a_stated_load',
        patches={
            'service_times.ServiceTimes.has_load_report': (
                make_stub_property(True)
            )
        },
    ),
    QueueMutant(
        guard='a late attempt may wait until its deadline',
        test=f'{_ORDER}.test_late_attempt_waits_until_its_deadline',
        patches={'admission._is_too_late': bound_late_by_target},
    ),
    QueueMutant(
        guard='what cannot start in time leaves the queue at once',
        test=f'{_ORDER}.test_queue_is_shortened_from_the_tail',
        patches={
            'admission.AdmissionState._drop_overdue': lambda *_: [],
        },
    ),
    QueueMutant(
        guard='a full queue evicts the last in the order',
        test=f'{_ORDER}.test_full_queue_evicts_the_last_in_the_order',
        patches={'admission.AdmissionState._find_evicted': make_stub(None)},
    ),
    QueueMutant(
        guard='the wait is 0 beside a free slot',
        test='test_service_times.WaitTest.'
        'test_wait_leaves_out_those_who_take_a_free_slot',
        patches={'admission.AdmissionState.running': make_stub_property(2)},
    ),
    QueueMutant(
        guard='answers and refusals state the wait',
        test=f'{_STATED}.test_answers_and_refusals_state_slowdown_and_wait',
        patches={'local_upstream.LocalUpstream.wait_seconds': make_stub(0)},
    ),
    QueueMutant(
        guard='reports in refusals and probes count',
        test=f'{_STATED}.test_reports_in_refusals_and_probes_count',
        patches={'service_times.ServiceTimes.record_report': make_stub(None)},
    ),
    QueueMutant(
        guard='a run takes the work of its route times the slowdown',
        test=f'{_ESTIMATES}.test_work_follows_the_slowdown',
        patches={'service_times.ServiceTimes.slowdown': make_stub(1)},
    ),
    QueueMutant(
        guard='the estimate of a run is bounded by the longest known',
        test=f'{_ESTIMATES}.test_estimate_is_bounded_by_the_longest_run',
        patches={
            'service_times.ServiceTimes.run_seconds': estimate_without_bound
        },
    ),
    QueueMutant(
        guard='ten runs are known before an estimate is used',
        test=f'{_ESTIMATES}.test_too_few_runs_say_nothing',
        patches={'service_times.MIN_RUNS': 0},
    ),
    QueueMutant(
        guard='the number of routes with an estimate is bounded',
        test=f'{_ESTIMATES}.test_least_recently_used_route_is_evicted',
        patches={'service_times.MAX_ROUTES': NEVER},
    ),
    QueueMutant(
        guard='the time between starts follows recent runs',
        test=f'{_ESTIMATES}.test_mean_follows_recent_runs',
        patches={
            'service_times.ServiceTimes.mean_seconds': lambda *named: named[-1]
        },
    ),
    QueueMutant(
        guard='a reported slowdown decays towards the mean',
        test=f'{_SLOWDOWN}.test_mean_counts_times_and_not_reports',
        patches={'service_times.SLOWDOWN_HALF_LIFE_SECONDS': NEVER},
    ),
    QueueMutant(
        guard='an old report counts as unknown',
        test=f'{_SLOWDOWN}.test_old_report_counts_as_unknown',
        patches={'service_times.REPORT_MAX_AGE_SECONDS': NEVER},
    ),
    QueueMutant(
        guard='lateness is measured from the first try of the caller',
        test=f'{_SHARES}.test_peak_with_callers_that_return',
        patches={
            'caller_clocks.CallerClocks.measure_elapsed_seconds': (
                make_stub(None)
            )
        },
    ),
    QueueMutant(
        guard='the sender says that an attempt is late',
        test='test_caller_clocks.SentAttemptTest.'
        'test_returning_call_is_sent_as_late',
        patches={'attempt_sender._is_late': make_stub(False)},
    ),
    QueueMutant(
        guard='ten calls are known before a first try is assumed',
        test=f'{_CLOCKS}.test_few_calls_say_nothing',
        patches={'caller_clocks.MIN_CALLS': 1},
    ),
    QueueMutant(
        guard='a caller with a shorter time-out is not late',
        test=f'{_CLOCKS}.test_shorter_time_out_is_not_late',
        patches={'caller_clocks.MIN_LEFT_RATIO': 0},
    ),
    QueueMutant(
        guard='calls of more than 30 s ago say nothing',
        test=f'{_CLOCKS}.test_old_calls_say_nothing',
        patches={'caller_clocks.WINDOW_SECONDS': 1000},
    ),
    QueueMutant(
        guard='the number of routes with a first try is bounded',
        test=f'{_CLOCKS}.test_routes_are_separate_and_bounded',
        patches={'caller_clocks.MAX_ROUTES': NEVER},
    ),
)
