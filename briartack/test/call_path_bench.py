"""Drive the call path of one daemon in tests.

Steps of a test case become events of the call path; the effects that the
handlers return become lines of text, which the test compares.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import cache
from random import Random
from types import MappingProxyType
from typing import Any, Final

from briartack.core import effects, events, messages
from briartack.core.calls import call_handlers
from briartack.core.calls.call_context import CallContext, Member, Regions
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.calls_state import CallsState
from briartack.core.configuration.settings import (
    CallerLimits,
    PlatformSettings,
    Policy,
    ServiceLimits,
)
from briartack.core.identity import Identity
from briartack.core.tenants.tenant_table import NO_TENANTS, TenantTable
from briartack.core.units import (
    AttemptId,
    CallId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict
from briartack.test.effect_lines import format_effect

EMPTY_DIGEST: Final = Digest(b'')
Step = Mapping[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class FakeMember:
    """Fake the record of one instance in the instance list."""

    instance: InstanceId
    data_centre: str
    region: str
    service: str = 's'
    peer_address: str = '127.0.0.1:1'
    slots: int | None = None
    cold_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FakeShare:
    """Fake one service of a route, with its limits and weight."""

    service: str = 's'
    limits: ServiceLimits
    weight: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FakeRoute:
    """Fake a route whose references have been resolved."""

    name: str = 't/r'
    path_prefix: str = '/s/'
    host: str = ''
    methods: frozenset[str] = frozenset()
    shares: tuple[FakeShare, ...]
    policy: Policy
    home_regions: Regions = None
    is_public: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FakeSnapshot:
    """Fake the active configuration snapshot."""

    routes: tuple[FakeRoute, ...]
    services: Mapping[str, ServiceLimits]
    tenant_regions: Mapping[str, frozenset[str]]
    platform: PlatformSettings
    tenants: TenantTable = NO_TENANTS
    highest: Revision = Revision(1)  # noqa: RUF009
    caller_limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(slots=True, kw_only=True)
class FakeMembers:
    """Fake the instance list; all of its members run service `s`."""

    members: tuple[Member, ...]
    leaving: frozenset[str] = frozenset()

    @property
    def instance_count(self) -> int:
        return len(self.members)

    def live_members(self) -> tuple[Member, ...]:
        return self.members

    def find_upstream(self, record_id: str) -> None:
        """Find nothing: no upstream here is listed under an id of its own."""

    def is_upstream_leaving(self, record_id: str) -> bool:
        """Return false: no upstream here is listed under an id of its own."""
        return False

    def live_members_of(self, service: str) -> tuple[Member, ...]:
        return self.members if service == 's' else ()

    def get(self, instance: InstanceId) -> Member | None:
        found = [
            member for member in self.members if member.instance == instance
        ]
        return found[0] if found else None

    def is_leaving(self, instance: InstanceId) -> bool:
        return instance in self.leaving


LOCATIONS: Final = MappingProxyType(
    {
        'a': ('costa-1', 'costa'),
        'b': ('costa-1', 'costa'),
        'c': ('costa-2', 'costa'),
        'd': ('sierra-1', 'sierra'),
    },
)


def make_member(name: str) -> FakeMember:
    """Make the fake record of one of the four instances in `LOCATIONS`."""
    data_centre, region = LOCATIONS[name]
    return FakeMember(
        instance=InstanceId(name),
        data_centre=data_centre,
        region=region,
    )


@cache
def make_members(names: str, cold_ms: int = 0) -> tuple[Member, ...]:
    """Make the members of a list, one for each letter of `names`.

    All of them are listed as cold for `cold_ms`. Equal arguments give the
    identical tuple, because the instance list returns the identical tuple until
    it changes.
    """
    return tuple(replace(make_member(name), cold_ms=cold_ms) for name in names)


@dataclass(slots=True, kw_only=True)
class CallPathBench:
    """Run the call path of instance `a` with fakes for all that it reads.

    `setup` holds the settings of a test case; the defaults of the settings
    that it leaves out are in `_make_context`. For each value of `do` in a
    step, the method of that name with a leading underscore makes the event.
    """

    setup: dict[str, Any]
    state: CallsState = field(
        default_factory=lambda: CallsState(drain_seconds=5),
    )
    random: Random = field(default_factory=lambda: Random(1))
    _context: CallContext | None = None

    def __post_init__(self) -> None:
        """Set the rate of the link, if the setup states one."""
        link_rate = self.setup.get('link')
        if link_rate is not None:
            rules = CallRules(link_bytes_per_second=link_rate)
            self.state.replace_rules(rules, 5)

    @property
    def context(self) -> CallContext:
        """Return the context for the current setup; cached until `change`."""
        if self._context is None:
            self._context = self._make_context()
        return self._context

    def update_setup(self, setup: Mapping[str, Any]) -> None:
        """Update the setup and discard the context made from the old one.

        The setup covers the configuration, the instance list and whether the
        configuration is confirmed.
        """
        self.setup.update(setup)
        self._context = None

    def apply_step(self, step: Step) -> list[str]:
        """Apply one step and return the lines of text for its effects."""
        if step['do'] == 'change':
            self.update_setup(step['setup'])
            return []
        produced = getattr(self, f'_{step["do"]}')(step['at'], step)
        return [text for text in map(format_effect, produced) if text]

    def _make_context(self) -> CallContext:
        setup = self.setup
        limits = ServiceLimits(
            **{
                'slots': 4,
                'connections': 9,
                'queue_length': 2,
                'ramp_seconds': 0,
                **setup.get('limits', {}),
            },
        )
        policy = Policy(**{'max_attempts': 3, **setup.get('policy', {})})
        homes = setup.get('home_regions')
        route = FakeRoute(
            shares=(FakeShare(limits=limits),),
            policy=policy,
            home_regions=None if homes is None else frozenset(homes),
        )
        tenants = setup.get('tenant_regions', {})
        snapshot = FakeSnapshot(
            caller_limits=CallerLimits(**setup.get('caller_limits', {})),
            routes=(route,),
            services={'s': limits},
            tenant_regions={
                name: frozenset(homes) for name, homes in tenants.items()
            },
            platform=PlatformSettings(**setup.get('platform', {})),
        )
        data_centre, region = LOCATIONS['a']
        return CallContext(
            identity=Identity(
                instance=InstanceId('a'),
                incarnation=Incarnation('i1'),
                service='s',
                data_centre=data_centre,
                region=region,
            ),
            snapshot=snapshot if setup.get('has_snapshot', True) else None,
            members=FakeMembers(
                members=make_members(
                    setup.get('members', 'a'), setup.get('cold_ms', 0)
                ),
                leaving=frozenset(setup.get('leaving', '')),
            ),
            random=self.random,
            is_confirmed=setup.get('is_confirmed', True),
            rules=CallRules(**setup.get('rules', {})),
        )

    def _arrive(self, now: float, step: Step) -> effects.Effects:
        event = events.CallArrived(
            now=now,
            call_id=CallId(step['call']),
            method='GET',
            target=step.get('target', '/s/x?q'),
            headers=tuple(map(tuple, step.get('headers', ()))),
            tenant=step.get('tenant', ''),
            idempotency_key=step.get('key', ''),
            deadline_ms=step.get('deadline_ms'),
            is_nested=step.get('is_nested', False),
            body_bytes=step.get('bytes', 0),
            has_room=step.get('has_room', True),
        )
        return call_handlers.on_call_arrived(self.state, self.context, event)

    def _body(self, now: float, step: Step) -> effects.Effects:
        event = events.CallBodyRead(
            now=now,
            call_id=CallId(step['call']),
            body_bytes=step.get('bytes', 9),
            body_digest=EMPTY_DIGEST,
            has_room=step.get('has_room', True),
        )
        return call_handlers.on_call_body_read(self.state, self.context, event)

    def _leave(self, now: float, step: Step) -> effects.Effects:
        event = events.CallCancelled(now=now, call_id=CallId(step['call']))
        return call_handlers.on_call_cancelled(self.state, self.context, event)

    def _key(self, now: float, step: Step) -> effects.Effects:
        event = events.KeyRequested(
            now=now,
            call_id=CallId(step['call']),
            service=step.get('service', 's'),
        )
        return call_handlers.on_key_requested(self.state, self.context, event)

    def _attempt(self, now: float, step: Step) -> effects.Effects:
        message = messages.Attempt(
            attempt_id=AttemptId(step['attempt']),
            owner_incarnation=Incarnation(step.get('incarnation', 'i1')),
            owner_clock=step.get('clock', now),
            remaining_ms=step.get('remaining_ms', 1000),
            service=step.get('service', 's'),
            method='GET',
            # Same target as the calls: a repeat through another daemon has it.
            target=step.get('target', '/s/x?q'),
            headers=tuple(map(tuple, step.get('headers', ()))),
            body_bytes=step.get('bytes', 0),
            body_digest=EMPTY_DIGEST,
            interactive=step.get('interactive', True),
            home_regions=tuple(step.get('home_regions', ())),
            idempotency_key=step.get('key', ''),
            request_id=step.get('request', ''),
            rank=step.get('rank', 0),
            is_last_resort=step.get('last_resort', False),
            awaits_grant=step.get('awaits_grant', False),
            target_ms=step.get('target_ms'),
        )
        return self._handle_message(
            call_handlers.on_attempt, now, step, message
        )

    def _attempt_body(self, now: float, step: Step) -> effects.Effects:
        event = events.AttemptBodyRead(
            now=now,
            peer=InstanceId(step.get('peer', 'b')),
            attempt_id=AttemptId(step['attempt']),
        )
        return call_handlers.on_attempt_body_read(
            self.state, self.context, event
        )

    def _no_memory(self, now: float, step: Step) -> effects.Effects:
        event = events.BodyRoomMissing(
            now=now,
            peer=InstanceId(step.get('peer', 'b')),
            attempt_id=AttemptId(step['attempt']),
        )
        return call_handlers.on_body_room_missing(
            self.state, self.context, event
        )

    def _answer(self, now: float, step: Step) -> effects.Effects:
        message = messages.Answer(
            attempt_id=AttemptId(step['attempt']),
            verdict=Verdict(step.get('verdict', 'ran')),
            status=step.get('status', 200),
            reason=step.get('reason', ''),
            headers=(),
            body_bytes=step.get('bytes', 0),
            body_digest=EMPTY_DIGEST,
            load=step.get('load', 0),
            owner_clock=step.get('clock', now),
            run_seconds=step.get('run_seconds', 0),
            body_wait_seconds=step.get('body_wait', 0),
        )
        return self._handle_message(call_handlers.on_answer, now, step, message)

    def _cancel(self, now: float, step: Step) -> effects.Effects:
        message = messages.Cancel(attempt_id=AttemptId(step['attempt']))
        return self._handle_message(call_handlers.on_cancel, now, step, message)

    def _goodbye(self, now: float, step: Step) -> effects.Effects:
        incarnation = Incarnation(step.get('incarnation', 'j1'))
        message = messages.Goodbye(incarnation=incarnation)
        return self._handle_message(
            call_handlers.on_goodbye, now, step, message
        )

    def _summary(self, now: float, step: Step) -> effects.Effects:
        message = messages.Summary(
            incarnation=Incarnation(step.get('incarnation', 'j1')),
            highest=Revision(1),
            configuration_digest=EMPTY_DIGEST,
            instances_digest=EMPTY_DIGEST,
            clock=step['clock'],
        )
        return self._handle_message(
            call_handlers.on_summary, now, step, message
        )

    def _connect(self, now: float, step: Step) -> effects.Effects:
        peer = make_member(step['peer'])
        hello = messages.Hello(
            protocol_version=messages.PROTOCOL_VERSION,
            instance=peer.instance,
            incarnation=Incarnation(step.get('incarnation', 'j1')),
            service=peer.service,
            data_centre=peer.data_centre,
            region=peer.region,
            clock=step.get('clock', now),
            ungranted_body_bytes=step.get('ungranted_bytes'),
            **step.get('hello', {}),
        )
        event = events.PeerConnected(now=now, peer=peer.instance, hello=hello)
        return call_handlers.on_peer_connected(self.state, self.context, event)

    def _disconnect(self, now: float, step: Step) -> effects.Effects:
        event = events.PeerDisconnected(
            now=now,
            peer=InstanceId(step['peer']),
            reason='',
        )
        return call_handlers.on_peer_disconnected(
            self.state, self.context, event
        )

    def _upstream(self, now: float, step: Step) -> effects.Effects:
        event = events.UpstreamAnswered(
            now=now,
            attempt_id=AttemptId(step['attempt']),
            status=step.get('status', 200),
            headers=(),
            body_bytes=step.get('bytes', 0),
            body_digest=EMPTY_DIGEST,
            elapsed_seconds=step.get('elapsed', 0.1),
        )
        return call_handlers.on_upstream_answered(
            self.state, self.context, event
        )

    def _fail(self, now: float, step: Step) -> effects.Effects:
        event = events.UpstreamFailed(
            now=now,
            attempt_id=AttemptId(step['attempt']),
            may_have_run=step['may_have_run'],
            is_reset=step.get('is_reset', False),
            reason='',
        )
        return call_handlers.on_upstream_failed(self.state, self.context, event)

    def _probe(self, now: float, step: Step) -> effects.Effects:
        event = events.UpstreamProbed(
            now=now,
            is_healthy=step.get('is_healthy', True),
            is_draining=step.get('is_draining', False),
            identity=step.get('identity', ''),
            reported_load=step.get('load'),
            cold_seconds=step.get('cold_seconds'),
        )
        return call_handlers.on_upstream_probed(self.state, self.context, event)

    def _tick(self, now: float, step: Step) -> effects.Effects:
        return call_handlers.on_tick(
            self.state, self.context, events.Tick(now=now)
        )

    def _gap(self, now: float, step: Step) -> effects.Effects:
        return call_handlers.on_pause(self.state, self.context, now)

    def _stop(self, now: float, step: Step) -> effects.Effects:
        event = events.StopRequested(now=now)
        return call_handlers.on_stop_requested(self.state, self.context, event)

    def _handle_message(
        self,
        handler: Callable[..., effects.Effects],
        now: float,
        step: Step,
        message: messages.PeerMessage,
    ) -> effects.Effects:
        event = events.PeerMessageReceived(
            now=now,
            peer=InstanceId(step.get('peer', 'b')),
            message=message,
            has_room=step.get('has_room', True),
        )
        return handler(self.state, self.context, event, message)
