"""Measures the choice of an instance by completion beside that by load.

No processes or sockets are involved. One daemon has a stream to each instance
of the fleet, and chooses among those of one service.
"""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final, final

import msgspec

from benchmarks.figures import Figures, run_as_program
from briartack.core import events
from briartack.core.calls.call_checks import route_call
from briartack.core.calls.call_context import CallContext, Member
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.call_table import Call
from briartack.core.calls.expected_times import ExpectedTimes
from briartack.core.entries import Entry
from briartack.core.identity import Identity
from briartack.core.messages import PROTOCOL_VERSION, Answer, Hello
from briartack.core.reducer import make_call_context, reduce
from briartack.core.state import State
from briartack.core.units import (
    AttemptId,
    CallId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict

DECISIONS: Final = 20_000
# The deployments send a daemon about so many calls a second.
CALLS_PER_SECOND: Final = 54
# The time of the decisions advances by a fifth of a second, so statements have
# different ages, and the target of the call lies beyond.
CALLS_IN_TURN: Final = 12
NOW: Final = 100.0
REGIONS: Final = 3
RULES: Final = CallRules(
    counts_refusals=False, full_load=1.25, large_body_full_load=4.0
)
# A call takes 1.9 ms, of which the new decisions may add a twentieth.
TARGET_ADDED_US: Final = 95.0
MICROSECONDS: Final = 1_000_000
SERVICE: Final = 'team-0/main'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Hold the size of a fleet."""

    instances: int
    services: int
    data_centres: int


SIZES: Final = (
    Size(instances=80, services=4, data_centres=6),
    Size(instances=2600, services=210, data_centres=19),
)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """Hold a daemon, a call and the instances that it may go to."""

    state: State
    context: CallContext
    call: Call
    members: tuple[Member, ...]

    @property
    def expected_times(self) -> ExpectedTimes:
        """Return what owners have stated."""
        return self.state.calls.sender.chooser.expected_times


def run(arguments: list[str]) -> Figures:
    """Measure both choices at both sizes; takes no options."""
    sizes = {str(size.instances): _measure_size(size) for size in SIZES}
    return {
        'benchmark': 'choice',
        'decisions': DECISIONS,
        'instances': sizes,
        'target': {'added_us': TARGET_ADDED_US},
        'met': all(
            one['added_us'] <= TARGET_ADDED_US
            and one['added_full_us'] <= TARGET_ADDED_US
            for one in sizes.values()
        ),
    }


def _measure_size(size: Size) -> dict[str, float]:
    """Return microseconds for each decision, and bytes of the daemon."""
    before = _measure_choice(_make_site(size))
    full_before = _measure_choice(_make_site(size, load=2))
    idle = _make_site(size, slowdown=1)
    after = _measure_choice(idle)
    full = _measure_choice(_make_site(size, slowdown=1, wait=0.3, load=2))
    refused = _measure_choice(_make_site(size, slowdown=1, wait=5, load=4))
    statement = _measure_statements(idle)
    return {
        'by_load_us': before,
        'by_load_full_us': full_before,
        'by_completion_us': after,
        'by_completion_full_us': full,
        'refused_early_us': refused,
        'statement_us': statement,
        'added_us': round(after + statement - before, 1),
        'added_full_us': round(full + statement - full_before, 1),
        'bytes': _measure_bytes(size),
    }


def _measure_choice(site: Site) -> float:
    chooser = site.state.calls.sender.chooser
    return _measure_microseconds(
        lambda number: chooser.choose_for_call(
            site.context,
            NOW + number % CALLS_IN_TURN / CALLS_PER_SECOND,
            site.call,
        )
    )


def _measure_statements(site: Site) -> float:
    """Return the microseconds that a sent attempt and its answer add."""
    answer = _make_answer(slowdown=1)
    slots = site.call.share.limits.slots

    def record(number: int) -> None:  # noqa: WPS430
        member = site.members[number % len(site.members)]
        times = site.expected_times
        times.record_attempt_start(NOW, SERVICE, member, slots)
        times.record_attempt_end(SERVICE)
        times.record_answer(
            site.context, NOW, member.instance, answer, site.call
        )

    return _measure_microseconds(record)


def _measure_microseconds(action: Callable[[int], object]) -> float:
    began_at = time.perf_counter()
    for number in range(DECISIONS):
        action(number)
    seconds = time.perf_counter() - began_at
    return round(seconds / DECISIONS * MICROSECONDS, 2)


def _measure_bytes(size: Size) -> int:
    """Return the bytes of the statements of all instances of the fleet."""
    state = _make_state(size)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    _state_times(state, size, _make_answer(slowdown=1))
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown


def _make_site(
    size: Size, *, slowdown: float = 0, wait: float = 0, load: float = 0.5
) -> Site:
    state = _make_state(size)
    answer = _make_answer(slowdown=slowdown, wait=wait, load=load)
    _state_times(state, size, answer)
    context = make_call_context(state)
    arrival = events.CallArrived(
        now=NOW,
        call_id=CallId('c'),
        method='GET',
        target='/team-0/x',
        headers=(),
    )
    call = route_call(
        context, arrival, state.calls.routing, is_parent_running=False
    )
    assert isinstance(call, Call)
    return Site(
        state=state,
        context=context,
        call=call,
        members=state.membership.live_members_of(SERVICE),
    )


def _make_state(size: Size) -> State:
    """Make a daemon that has a stream to each instance."""
    identity = Identity(
        instance=InstanceId('caller'),
        incarnation=Incarnation('first'),
        service='other/main',
        data_centre='dc-0',
        region='region-0',
    )
    state = State(
        identity=identity, random=Random(1), drain_seconds=1, rules=RULES
    )
    reduce(state, events.Started(now=NOW, incarnation=identity.incarnation))
    entries = _create_entries(size)
    stored = events.StoreRead(
        now=NOW, prefix='', revision=entries[-1].revision, entries=entries
    )
    reduce(state, stored)
    for number in range(size.instances):
        hello = Hello(
            protocol_version=PROTOCOL_VERSION,
            instance=InstanceId(f'i-{number}'),
            incarnation=Incarnation('first'),
            service=_name_service(size, number),
            data_centre=f'dc-{number % size.data_centres}',
            region=f'region-{number % REGIONS}',
            clock=NOW,
        )
        connected = events.PeerConnected(
            now=NOW, peer=hello.instance, hello=hello
        )
        reduce(state, connected)
    return state


def _state_times(state: State, size: Size, answer: Answer) -> None:
    for number in range(size.instances):
        event = events.PeerMessageReceived(
            now=NOW, peer=InstanceId(f'i-{number}'), message=answer
        )
        reduce(state, event)


def _make_answer(
    *, slowdown: float, wait: float = 0, load: float = 0.5
) -> Answer:
    return Answer(
        attempt_id=AttemptId('late'),
        verdict=Verdict.RAN,
        status=200,
        reason='',
        headers=(),
        body_bytes=0,
        body_digest=Digest(b''),
        load=load,
        owner_clock=NOW,
        run_seconds=0.04,
        slowdown=slowdown,
        wait_seconds=wait,
    )


def _name_service(size: Size, number: int) -> str:
    # Data centres repeat with the number, so services take blocks of it.
    return f'team-{number * size.services // size.instances}/main'


def _create_entries(size: Size) -> tuple[Entry, ...]:
    settings = {
        'services': {'main': {'slots': 12, 'connections': 120}},
        'policies': {'p': {'timeout_ms': 2000, 'target_ms': 400}},
        'routes': [
            {
                'name': 'r',
                'path_prefix': '/team-0/',
                'service': 'main',
                'policy': 'p',
            }
        ],
    }
    values = {
        f'instances/i-{number}': {
            'service': _name_service(size, number),
            'data_centre': f'dc-{number % size.data_centres}',
            'region': f'region-{number % REGIONS}',
            'peer_address': f'10.0.{number // 250}.{number % 250}:7000',
        }
        for number in range(size.instances)
    }
    return tuple(
        Entry(
            key=key,
            revision=Revision(revision),
            value=msgspec.json.encode(value).decode(),
        )
        for revision, (key, value) in enumerate(
            {'teams/team-0': settings, **values}.items(), start=1
        )
    )


if __name__ == '__main__':
    run_as_program(run)
