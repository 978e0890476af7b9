"""Explanation of a choice by expected completion, for operators.

Nothing here changes the state of the choice: it works on copies of the random
generator and of what is known of the service.
"""

from functools import partial
from random import Random
from typing import Final, final

from briartack.core.calls.body_arrivals import may_need_grant, order_for_body
from briartack.core.calls.body_waits import AwaitedBody
from briartack.core.calls.call_context import Member
from briartack.core.calls.choice_types import AttemptNeeds, SelectionFailure
from briartack.core.calls.completion_choice import (
    KEPT_SHARE,
    KEPT_SHARE_LARGE,
    RETURN_SHARE,
    CompletionChooser,
)
from briartack.core.calls.expected_times import CompletionEstimator
from briartack.core.calls.routing import Scopes
from briartack.core.calls.stated_times import ServiceTimes
from briartack.core.configuration.resolved_snapshot import ResolvedRoute
from briartack.core.reducer import make_call_context
from briartack.core.service_status import round_milliseconds
from briartack.core.state import State
from briartack.core.units import MILLISECONDS_PER_SECOND

SCOPE_NAMES: Final = ('data centre', 'region', 'fleet')


@final
class ChoiceExplanation:
    """Explain the choice of an instance for the first attempt of a call.

    The call is one of a caller that states no time of its own.
    """

    __slots__ = (
        '_context',
        '_now',
        '_needs',
        '_times',
        '_estimator',
        '_may_take',
        '_scopes',
        '_ordered',
    )

    def __init__(
        self,
        state: State,
        route: ResolvedRoute,
        scopes: Scopes,
        body_bytes: int,
    ) -> None:
        """Read what a choice at the time of the last event would read."""
        self._scopes = scopes
        self._now = state.last_event_at
        self._context = make_call_context(state)
        self._needs = _collect_needs(self._now, route, body_bytes)
        chooser = state.calls.sender.chooser
        self._times = chooser.expected_times.get(route.service)
        self._estimator = chooser.expected_times.preview(
            self._context, self._now, self._needs
        )
        self._may_take = partial(
            chooser.may_take,
            self._context,
            self._now,
            self._needs,
            self._needs.deadline,
        )
        self._ordered = scopes
        if body_bytes and may_need_grant(
            body_bytes, scopes, state.calls.endpoints
        ):
            self._ordered = order_for_body(
                state.calls.endpoints,
                self._now,
                self._make_awaited_body(route),
                scopes,
                load_of=self._find_load,
                has_room=partial(chooser.has_body_room, self._now, self._needs),
            )

    def is_available(self, member: Member) -> bool:
        """Return whether an instance may get an attempt now."""
        return self._may_take(member)

    def describe_expected(self, member: Member) -> dict[str, int] | None:
        """Return the expected completion and its parts in milliseconds.

        Return `None` if the choice goes by load.
        """
        if self._estimator is None:
            return None
        parts = self._estimator.compute_parts(member)
        return {
            'total_ms': round_milliseconds(
                self._estimator.compute_seconds(member)
            ),
            'way_ms': round_milliseconds(parts.way),
            'wait_ms': round_milliseconds(parts.wait),
            'body_ms': round_milliseconds(parts.body),
            'run_ms': round_milliseconds(parts.run),
        }

    def describe_choice(self) -> str | None:
        """Return which instance is chosen and why.

        Return `None` if the choice goes by load.
        """
        if not self._ordered:
            return 'refused: no endpoint would get the body in time'
        if self._estimator is None or self._times is None:
            return None
        random = Random(0)
        random.setstate(self._context.random.getstate())
        # The chooser reads and records here only whether calls go away.
        times = ServiceTimes()
        times.is_away = self._times.is_away
        chooser = CompletionChooser(
            random=random,
            now=self._now,
            estimator=self._estimator,
            is_available=self._may_take,
            needs=self._needs,
        )
        chosen = chooser.choose(self._ordered, times)
        if chosen is None:
            return None
        if isinstance(chosen, SelectionFailure):
            return 'refused: no endpoint would complete by the deadline'
        return self._describe_chosen(self._estimator, chosen)

    def _describe_chosen(
        self, estimator: CompletionEstimator, chosen: Member
    ) -> str:
        chosen_ms = round_milliseconds(estimator.compute_seconds(chosen))
        home = self._find_home()
        reason = self._describe_reason(estimator, chosen, home)
        return (
            f'{chosen.instance} in the {self._name_scope(chosen)}, '
            f'in {chosen_ms} ms: {reason}'
        )

    def _describe_reason(
        self,
        estimator: CompletionEstimator,
        chosen: Member,
        home: list[Member],
    ) -> str:
        needs = self._needs
        left_seconds = min(needs.target_at, needs.deadline) - self._now
        share = KEPT_SHARE_LARGE if needs.is_large else KEPT_SHARE
        if self._times is not None and self._times.is_away:
            share = RETURN_SHARE
        bound = (
            f'{round_milliseconds(left_seconds * share)} of '
            f'{round_milliseconds(left_seconds)} ms'
        )
        if chosen not in home:
            home_ms = round_milliseconds(
                min(map(estimator.compute_seconds, home))
            )
            return (
                f'the {self._name_scope(home[0])} needs {home_ms} ms, and '
                f'calls stay there up to {bound}'
            )
        if estimator.compute_seconds(chosen) <= left_seconds * share:
            return f'the earlier of two; calls stay there up to {bound}'
        return (
            f'calls stay there up to {bound}, but no farther scope is earlier '
            'by more than its round trip and in time'
        )

    def _name_scope(self, member: Member) -> str:
        """Return the name of the scope that holds an instance."""
        return next(
            name
            for name, scope in zip(SCOPE_NAMES, self._scopes, strict=True)
            if member in scope
        )

    def _find_home(self) -> list[Member]:
        """Return the available instances of the first scope with any."""
        available = (
            list(filter(self._may_take, scope)) for scope in self._ordered
        )
        return next(filter(None, available))

    def _find_load(self, member: Member) -> float | None:
        """Return 0 for an available instance: no load orders the uploads."""
        return 0 if self._may_take(member) else None

    def _make_awaited_body(self, route: ResolvedRoute) -> AwaitedBody:
        needs = self._needs
        deadline_seconds = needs.deadline - self._now
        return AwaitedBody(
            size=needs.body_bytes,
            urgency=(True, route.policy.rank),
            target_seconds=min(needs.target_at - self._now, deadline_seconds),
            deadline_seconds=deadline_seconds,
            link_rate=self._context.rules.link_bytes_per_second,
            own_instance=self._context.identity.instance,
        )


def _collect_needs(
    now: float, route: ResolvedRoute, body_bytes: int
) -> AttemptNeeds:
    policy = route.policy
    target_at = float('inf')
    if policy.target_ms is not None:
        target_at = now + policy.target_ms / MILLISECONDS_PER_SECOND
    return AttemptNeeds(
        limits=route.limits,
        service=route.service,
        route=route.name,
        target_at=target_at,
        deadline=now + policy.timeout_ms / MILLISECONDS_PER_SECOND,
        body_bytes=body_bytes,
        has_large_answers=policy.has_large_answers is True,
    )
