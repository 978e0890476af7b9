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
class Account:
    """Represent a call's outcome and the instances that ran its request."""

    outcome: Outcome
    ran_at: tuple[str, ...]  # one entry per run

    @property
    def is_truthful(self) -> bool:
        """Return whether the verdict agrees with the runs."""
        verdict = self.outcome.verdict
        if verdict == Verdict.NOT_RUN.value:
            return not self.ran_at
        if verdict == Verdict.RAN.value:
            return bool(self.ran_at)
        return verdict == Verdict.UNKNOWN.value


def collect_accounts(
    deployment: Deployment,
    outcomes: Iterable[Outcome],
) -> list[Account]:
    """Query all upstreams for their runs and match them to the outcomes."""
    ran_at: dict[str, list[str]] = defaultdict(list)
    for instance in deployment.site.wirings:
        runs = deployment.control_upstream(instance, 'runs')
        for request_id, times in runs.items():
            ran_at[request_id].extend(itertools.repeat(instance, int(times)))
    return [
        Account(
            outcome=outcome,
            ran_at=tuple(ran_at[outcome.job.headers[REQUEST_ID]]),
        )
        for outcome in outcomes
    ]


def summarise_calls(deployment: Deployment, accounts: list[Account]) -> Figures:
    """Count the calls by kind and by failure."""
    failed = [account for account in accounts if not account.outcome.is_success]
    answered = [account for account in failed if account.outcome.status]
    refused = [account for account in answered if _is_refused(account)]
    repeated = [account for account in accounts if len(account.ran_at) > 1]
    return {
        'calls': len(accounts),
        'calls_by_kind': Counter(
            account.outcome.job.kind for account in accounts
        ),
        'failed': len(answered) - len(refused),
        'refused': len(refused),
        'without_answer': len(failed) - len(answered),
        'repeated': len(repeated),
        'repeated_purchases': len(
            [
                account
                for account in repeated
                if account.outcome.job.kind == PURCHASE
            ],
        ),
        'untruthful': len(
            [
                account
                for account in accounts
                if account.outcome.status and not account.is_truthful
            ],
        ),
        'misplaced': len(
            [
                account
                for account in accounts
                if not _ran_in_home_regions(deployment, account)
            ],
        ),
        'crossed_answers': len(
            [
                account
                for account in accounts
                if account.outcome.is_foreign_answer
            ],
        ),
        'errors': Counter(map(_describe_error, failed)).most_common(
            MAX_LISTED_ERRORS
        ),
        'cross_region_calls_with_warm_up': _count_cross_region_runs(
            deployment, accounts
        ),
    }


def _is_refused(account: Account) -> bool:
    outcome = account.outcome
    return (
        outcome.status == REFUSED_STATUS
        and outcome.verdict == Verdict.NOT_RUN.value
    )


def _ran_in_home_regions(deployment: Deployment, account: Account) -> bool:
    tenant = account.outcome.job.headers.get('X-Tenant')
    if tenant is None:
        return True
    return all(
        deployment.site.wirings[instance].plan.region in HOME_REGIONS[tenant]
        for instance in account.ran_at
    )


def _describe_error(account: Account) -> str:
    outcome = account.outcome
    kind = outcome.job.kind
    return f'{kind}: {outcome.status} {outcome.verdict} {outcome.error}'


def _count_cross_region_runs(
    deployment: Deployment, accounts: list[Account]
) -> int:
    """Count the runs outside the caller's region."""
    wirings = deployment.site.wirings
    return sum(
        wirings[instance].plan.region != account.outcome.job.region
        for account in accounts
        for instance in account.ran_at
    )
