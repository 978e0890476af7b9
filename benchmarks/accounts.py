"""What became of calls, by their answers and by what the upstreams ran."""

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
SHOWN_ERRORS: Final = 5


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """Pair an outcome with the instances that ran its request."""

    outcome: Outcome
    ran_at: tuple[str, ...]  # one for each run

    @property
    def is_truthful(self) -> bool:
        """Tell whether the verdict agrees with the runs."""
        verdict = self.outcome.verdict
        if verdict == Verdict.NOT_RUN.value:
            return not self.ran_at
        if verdict == Verdict.RAN.value:
            return bool(self.ran_at)
        return verdict == Verdict.UNKNOWN.value


def accounts(
    deployment: Deployment,
    outcomes: Iterable[Outcome],
) -> list[Account]:
    """Ask all upstreams what they ran."""
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


def summary(deployment: Deployment, made: list[Account]) -> Figures:
    """Count the calls by what went wrong with them."""
    failed = [one for one in made if not one.outcome.is_success]
    answered = [one for one in failed if one.outcome.status]
    refused = [one for one in answered if _is_refused(one)]
    doubled = [one for one in made if len(one.ran_at) > 1]
    return {
        'calls': len(made),
        'calls_by_kind': Counter(one.outcome.job.kind for one in made),
        'failed': len(answered) - len(refused),
        'refused': len(refused),
        'without_answer': len(failed) - len(answered),
        'repeated': len(doubled),
        'repeated_purchases': len(
            [one for one in doubled if one.outcome.job.kind == PURCHASE],
        ),
        'untruthful': len(
            [one for one in made if one.outcome.status and not one.is_truthful],
        ),
        'misplaced': len(
            [one for one in made if not _is_at_home(deployment, one)],
        ),
        'crossed_answers': len(
            [one for one in made if one.outcome.is_crossed],
        ),
        'errors': Counter(map(_error, failed)).most_common(SHOWN_ERRORS),
        'cross_region_calls': _cross_region(deployment, made),
    }


def _is_refused(account: Account) -> bool:
    outcome = account.outcome
    return (
        outcome.status == REFUSED_STATUS
        and outcome.verdict == Verdict.NOT_RUN.value
    )


def _is_at_home(deployment: Deployment, account: Account) -> bool:
    tenant = account.outcome.job.headers.get('X-Tenant')
    if tenant is None:
        return True
    return all(
        deployment.site.wirings[instance].plan.region in HOME_REGIONS[tenant]
        for instance in account.ran_at
    )


def _error(account: Account) -> str:
    outcome = account.outcome
    kind = outcome.job.kind
    return f'{kind}: {outcome.status} {outcome.verdict} {outcome.error}'


def _cross_region(deployment: Deployment, made: list[Account]) -> int:
    """Count the runs in another region than the caller's."""
    wirings = deployment.site.wirings
    return sum(
        wirings[instance].plan.region != account.outcome.job.region
        for account in made
        for instance in account.ran_at
    )
