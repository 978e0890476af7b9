"""Choice of the instance at which a call is expected to complete in time.

Used by `endpoint_choice` where owners state how fast their upstreams work, and
for bodies that need a grant.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import chain
from random import Random
from typing import Final, TypeAlias, final

from briartack.core.calls.call_context import Member
from briartack.core.calls.choice_types import AttemptNeeds, SelectionFailure
from briartack.core.calls.expected_times import CompletionEstimator
from briartack.core.calls.routing import Scopes
from briartack.core.calls.stated_times import ServiceTimes

# Shares of the time left to the target within which the nearest scope is kept.
# Half leaves time for another attempt elsewhere.
KEPT_SHARE: Final = 0.5
# Large bodies and answers would take as long on any other link.
KEPT_SHARE_LARGE: Final = 0.9
# Below the share at which calls leave, so that a scope that has just recovered
# is not filled at once by all that return.
RETURN_SHARE: Final = 0.4

# An instance and the seconds until the completion there.
Candidate: TypeAlias = tuple[Member | None, float]
NO_CANDIDATE: Final[Candidate] = (None, float('inf'))


@final
class CompletionChooser:
    """Choose the instance of one attempt by its expected completion.

    `is_available` says whether an instance may be chosen at all.
    """

    __slots__ = (
        '_random',
        '_estimator',
        '_is_available',
        '_needs',
        '_target_seconds',
        '_deadline_seconds',
        '_left_seconds',
        '_max_wait_seconds',
        '_excluded',
        '_has_passed_over',
    )

    def __init__(
        self,
        *,
        random: Random,
        now: float,
        estimator: CompletionEstimator,
        is_available: Callable[[Member], bool],
        needs: AttemptNeeds,
    ) -> None:
        self._random = random
        self._estimator = estimator
        self._is_available = is_available
        self._needs = needs
        self._deadline_seconds = needs.deadline - now
        self._target_seconds = min(needs.target_at, needs.deadline) - now
        # A call that has missed its target is served until its deadline.
        self._left_seconds = self._target_seconds
        if self._target_seconds <= 0:
            self._left_seconds = self._deadline_seconds
        self._max_wait_seconds = float('inf')
        if needs.has_met_overload:
            self._max_wait_seconds = self._left_seconds
        self._excluded = needs.tried_instances
        self._has_passed_over = False

    def choose(
        self, scopes: Scopes, times: ServiceTimes
    ) -> Member | SelectionFailure | None:
        """Choose an instance, untried ones first.

        Return `OVERLOAD` if none would answer by the deadline, and `None` if
        none may be chosen.
        """
        choice = self._choose(scopes, times)
        if choice is None and self._excluded and self._needs.allows_tried:
            self._excluded = ()
            choice = self._choose(scopes, times)
        if choice is None and self._has_passed_over:
            return SelectionFailure.OVERLOAD
        return choice

    def _choose(
        self, scopes: Scopes, times: ServiceTimes
    ) -> Member | SelectionFailure | None:
        best, best_seconds = self._choose_scope(scopes, times)
        if best is None or best_seconds <= self._deadline_seconds:
            return best
        best, best_seconds = self._find_earliest(chain.from_iterable(scopes))
        if best is None or best_seconds <= self._deadline_seconds:
            return best
        if self._estimator.compute_wait_seconds(best) <= 0:
            # The mean run time proves nothing about this call.
            return best
        return SelectionFailure.OVERLOAD

    def _choose_scope(self, scopes: Scopes, times: ServiceTimes) -> Candidate:
        """Return the best candidate, from the nearest scope in time.

        If no scope is in time, the call stays in the nearest: in a shortage
        everywhere, a farther queue is no shorter.
        """
        share = KEPT_SHARE_LARGE if self._needs.is_large else KEPT_SHARE
        kept_seconds = self._left_seconds * share
        home_seconds = kept_seconds
        if times.is_away:
            home_seconds = self._left_seconds * RETURN_SHARE
        remaining = iter(scopes)
        home = NO_CANDIDATE
        while home is NO_CANDIDATE:
            scope = next(remaining, None)
            if scope is None:
                return NO_CANDIDATE
            home = self._choose_in_home(scope, home_seconds)
        if home[1] <= home_seconds:
            self._record_scope(times, is_away=False)
            return home
        best = self._choose_farther(remaining, home, kept_seconds)
        if best is not home:
            self._record_scope(times, is_away=True)
        return best

    def _record_scope(self, times: ServiceTimes, *, is_away: bool) -> None:
        """Record where the calls of the service go.

        Late calls and those that were refused say nothing about the others.
        """
        is_first = not self._needs.tried_instances
        if is_first and self._target_seconds > 0:
            times.is_away = is_away

    def _choose_in_home(
        self, scope: tuple[Member, ...], kept_seconds: float
    ) -> Candidate:
        """Return the candidate of the nearest scope.

        The whole scope is searched only if two of it are too late.
        """
        picked = self._pick_earlier(scope)
        if picked[0] is None or picked[1] <= kept_seconds:
            return picked
        return self._find_earliest(scope)

    def _choose_farther(
        self,
        scopes: Iterator[tuple[Member, ...]],
        home: Candidate,
        kept_seconds: float,
    ) -> Candidate:
        """Return the candidate of the first scope that is well in time.

        Otherwise return one that is just in time if the home candidate is not.
        A farther scope has to complete earlier by more than its round trip.
        """
        best = home
        for scope in scopes:
            member, seconds = self._pick_earlier(scope)
            if member is None:
                continue
            if seconds + self._estimator.get_round_trip(member) >= best[1]:
                continue
            if seconds <= kept_seconds:
                return member, seconds
            if seconds <= self._left_seconds < home[1]:
                best = member, seconds
        return best

    def _pick_earlier(self, scope: tuple[Member, ...]) -> Candidate:
        """Return the earlier of two random instances that may be chosen."""
        left, left_seconds = self._pick_available(scope)
        if left is None:
            return NO_CANDIDATE
        if len(scope) == 1:
            return left, left_seconds
        right, right_seconds = self._pick_available(scope)
        if right_seconds < left_seconds:
            return right, right_seconds
        return left, left_seconds

    def _pick_available(self, scope: tuple[Member, ...]) -> Candidate:
        """Return the first available instance from a random position on."""
        size = len(scope)
        start = int(self._random.random() * size)
        for offset in range(size):
            member = scope[(start + offset) % size]
            seconds = self._compute_seconds(member)
            if seconds is not None:
                return member, seconds
        return NO_CANDIDATE

    def _find_earliest(self, members: Iterable[Member]) -> Candidate:
        """Return the instance with the earliest completion."""
        best = NO_CANDIDATE
        for member in members:
            seconds = self._compute_seconds(member)
            if seconds is not None and seconds < best[1]:
                best = member, seconds
        return best

    def _compute_seconds(self, member: Member) -> float | None:
        """Return the expected completion, `None` if it may not be chosen.

        Once an owner has refused the call for overload, an owner that states a
        wait beyond the target would refuse it too.
        """
        if member.instance in self._excluded:
            return None
        if not self._is_available(member):
            return None
        if self._max_wait_seconds < float('inf'):
            wait = self._estimator.compute_wait_seconds(member)
            wait += self._estimator.get_round_trip(member)
            if wait > self._max_wait_seconds:
                self._has_passed_over = True
                return None
        return self._estimator.compute_seconds(member)
