"""Test that a daemon follows a changed service in its settings file.

The address of an ended upstream may pass to one of another service while the
daemon beside it goes on.
"""

import signal
import unittest
import uuid
from typing import Final

from nose2.tools import params

from briartack.core import events
from briartack.core.calls import reasons
from briartack.core.calls.call_rules import CallRules
from briartack.core.effects import Effects, WriteAudit
from briartack.core.entries import Entry
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import Revision
from briartack.test.daemon_pair import probe, send
from briartack.test.started_site import start_site
from briartack.test.test_foreign_upstream import (
    OTHER_SERVICE,
    SUCCESSOR,
    list_dispatches,
    list_refusals,
    read_list,
)
from briartack.test.test_leaving_upstream import make_daemon
from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    Machine,
    PlatformSite,
    build_route,
    format_settings,
    send_consumer_request,
)

OTHER: Final = 'a/other'
SERVICES: Final = (
    '{"services": {"s": {"slots": 4, "connections": 9}, '
    '"other": {"slots": 4, "connections": 9}}}'
)
ROUTES: Final = (
    build_route('buys', '/buys/', 'buys', kind='non_idempotent'),
    build_route('new', '/new/', 'reads'),
)


def name_services(state: State) -> None:
    """Let the configuration name both services."""
    entry = Entry(key='teams/a', revision=Revision(3), value=SERVICES)
    reduce(
        state,
        events.StoreWatched(now=1.05, revision=Revision(3), entries=(entry,)),
    )


def reload(state: State, now: float, service: str) -> Effects:
    """Let the settings name a service, and tick as the daemon asks for."""
    effects = reduce(
        state,
        events.SettingsReloaded(
            now=now,
            rules=CallRules(requires_identity=True),
            drain_seconds=1,
            service=service,
        ),
    )
    return [*effects, *reduce(state, events.Tick(now=now))]


class ChangedServiceTest(unittest.TestCase):
    """Check the owner and the audit trail."""

    # Guards against attempts for the service of before that start at the
    # upstream of the new service (ROUTE).
    @params(
        (OTHER, [('b.b1.2', 'not-run', reasons.WRONG_SERVICE.code)]),
        ('a/s', []),
        ('', []),
    )
    def test_waiting_attempts_are_refused(
        self, service: str, refused: list[tuple[str, str, str]]
    ) -> None:
        state = make_daemon()
        name_services(state)
        read_list(state, 1.1, (OTHER_SERVICE,))
        send(state, 1.2, 'b.b1.1')
        send(state, 1.2, 'b.b1.2')
        effects = reload(state, 1.3, service)
        self.assertEqual(list_refusals(effects), refused)
        self.assertEqual(list_dispatches(effects), [])

    # Guards against a daemon that serves the service of before, or not the new
    # one, until it is restarted.
    @params(('a/s', []), (OTHER, [('b.b1.1', SUCCESSOR)]))
    def test_only_the_new_service_is_served(
        self, service: str, sent: list[tuple[str, str]]
    ) -> None:
        state = make_daemon()
        name_services(state)
        read_list(state, 1.1, (OTHER_SERVICE,))
        probe(state, 1.2, SUCCESSOR)
        reload(state, 1.3, OTHER)
        effects = send(state, 1.4, 'b.b1.1', service)
        self.assertEqual(list_dispatches(effects), sent)

    # Guards against a change of which the audit trail says nothing.
    @params((OTHER, 1), ('a/s', 0), ('', 0))
    def test_change_is_recorded_once(self, service: str, count: int) -> None:
        state = make_daemon()
        effects = [*reload(state, 1.2, service), *reload(state, 1.3, service)]
        recorded = [
            effect.record.fields
            for effect in effects
            if isinstance(effect, WriteAudit)
            and effect.record.kind == 'service_changed'
        ]
        fields = {'service': OTHER, 'previous': 'a/s'}
        self.assertEqual(recorded, [fields for _ in range(count)])


class CallerServiceTest(unittest.TestCase):
    """Check the daemon as a process."""

    # Guards against requests that name the service of before as their caller
    # (UNASKED).
    @params('signal', 'check')
    def test_requests_name_the_service_of_the_settings(
        self, notice: str
    ) -> None:
        site = start_site(self, ROUTES)
        machine = site.find_machine('east-1', 'buys')
        self.assertEqual(ask_for_caller(site, machine), 'buys')
        machine.settings.write_text(
            f'{format_settings()}service=reads\n', 'utf-8'
        )
        if notice == 'signal':
            machine.daemon.send_signal(signal.SIGHUP)
        self.assertTrue(
            becomes_true(lambda: ask_for_caller(site, machine) == 'reads')
        )


def ask_for_caller(site: PlatformSite, machine: Machine) -> str:
    """Send a request, and return the caller that its worker was told."""
    request = uuid.uuid4().hex
    send_consumer_request(machine, '/new/', attempt_id=request)
    callers = [
        headers['X-Caller-Service']
        for one in site.machines
        for attempt_id, _, headers in one.worker.received_requests
        if attempt_id == request
    ]
    return ' '.join(callers)
