"""Compares the callers' outcomes with the requests that upstreams ran."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from benchmarks.figures import Figures
from benchmarks.load import REQUEST_ID, Outcome
from benchmarks.regional_jobs import HOME_REGIONS, PURCHASE
from briartack.core.verdict import Verdict
from standins.deployment import Deployment

REFUSED_STATUS: Final = 503
MAX_LISTED_ERRORS: Final = 5


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallRecord:
    """Represent a call's outcome and the instances that ran its request."""

    outcome: Outcome
    ran_at: tuple[str, ...]  # one entry per run

    @property
    def is_verdict_correct(self) -> bool:
        """Return whether the verdict agrees with the runs."""
        verdict = self.outcome.verdict
        if verdict == Verdict.NOT_RUN.value:
            return not self.ran_at
        if verdict == Verdict.RAN.value:
            return bool(self.ran_at)
        return verdict == Verdict.UNKNOWN.value


def collect_call_records(
    deployment: Deployment,
    outcomes: Iterable[Outcome],
) -> list[CallRecord]:
    """Query all upstreams for their runs and match them to the outcomes."""
    ran_at: dict[str, list[str]] = defaultdict(list)
    for instance in deployment.site.instance_sites:
        runs = deployment.control_upstream(instance, 'runs')
        for request_id, times in runs.items():
            ran_at[request_id].extend(itertools.repeat(instance, int(times)))
    return [
        CallRecord(
            outcome=outcome,
            ran_at=tuple(ran_at[outcome.job.headers[REQUEST_ID]]),
        )
        for outcome in outcomes
    ]


def summarise_calls(
    deployment: Deployment, records: list[CallRecord]
) -> Figures:
    """Count the calls by kind and by failure."""
    failed = [record for record in records if not record.outcome.is_success]
    answered = [record for record in failed if record.outcome.status]
    refused = [record for record in answered if _is_refused(record)]
    repeated = [record for record in records if len(record.ran_at) > 1]
    return {
        'calls': len(records),
        'calls_by_kind': Counter(record.outcome.job.kind for record in records),
        'failed': len(answered) - len(refused),
        'refused': len(refused),
        'without_answer': len(failed) - len(answered),
        'repeated': len(repeated),
        'repeated_purchases': len(
            [
                record
                for record in repeated
                if record.outcome.job.kind == PURCHASE
            ],
        ),
        'untruthful': len(
            [
                record
                for record in records
                if record.outcome.status and not record.is_verdict_correct
            ],
        ),
        'misplaced': len(
            [
                record
                for record in records
                if not _ran_in_home_regions(deployment, record)
            ],
        ),
        'crossed_answers': len(
            [record for record in records if record.outcome.is_foreign_answer],
        ),
        'errors': Counter(map(_describe_error, failed)).most_common(
            MAX_LISTED_ERRORS
        ),
        'cross_region_calls_with_warm_up': _count_cross_region_runs(
            deployment, records
        ),
    }


def _is_refused(record: CallRecord) -> bool:
    outcome = record.outcome
    return (
        outcome.status == REFUSED_STATUS
        and outcome.verdict == Verdict.NOT_RUN.value
    )


def _ran_in_home_regions(deployment: Deployment, record: CallRecord) -> bool:
    tenant = record.outcome.job.headers.get('X-Tenant')
    if tenant is None:
        return True
    return all(
        deployment.site.instance_sites[instance].plan.region
        in HOME_REGIONS[tenant]
        for instance in record.ran_at
    )


def _describe_error(record: CallRecord) -> str:
    outcome = record.outcome
    kind = outcome.job.kind
    return f'{kind}: {outcome.status} {outcome.verdict} {outcome.error}'


def _count_cross_region_runs(
    deployment: Deployment, records: list[CallRecord]
) -> int:
    """Count the runs outside the caller's region."""
    instance_sites = deployment.site.instance_sites
    return sum(
        instance_sites[instance].plan.region != record.outcome.job.region
        for record in records
        for instance in record.ran_at
    )
