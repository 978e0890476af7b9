"""State of a daemon: one slice for each decision module."""

from random import Random
from typing import final

from briartack.core.audit_trail import AuditRecorder
from briartack.core.calls.call_rules import DEFAULT_RULES, CallRules
from briartack.core.calls.calls_state import CallsState
from briartack.core.configuration.snapshot import ConfigurationState
from briartack.core.dissemination.combined_holdings import CombinedHoldings
from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.store_rules import (
    DEFAULT_STORE_RULES,
    StoreRules,
)
from briartack.core.identity import Identity


@final
class State:
    """Hold all state slices; each slice is changed only by its own module."""

    __slots__ = (
        'calls',
        'dissemination',
        'holdings',
        'identity',
        'last_audit_repeat_at',
        'last_event_at',
        'membership',
        'random',
        'rules',
        'configuration',
        'is_stopping',
        'audit_trail',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        random: Random,
        drain_seconds: float,
        rules: CallRules = DEFAULT_RULES,
        store_rules: StoreRules = DEFAULT_STORE_RULES,
    ) -> None:
        """Create the state of a daemon that has just started.

        `random` comes with a known seed, so that a replay decides the same.
        """
        self.identity = identity
        self.random = random
        self.rules = rules
        self.configuration = ConfigurationState()
        self.membership = MembershipState()
        self.holdings = CombinedHoldings(
            configuration=self.configuration,
            membership=self.membership,
        )
        self.dissemination = DisseminationState(
            identity=identity,
            random=random,
            rules=store_rules,
        )
        self.calls = CallsState(drain_seconds=drain_seconds, rules=rules)
        self.audit_trail = AuditRecorder(
            instance=identity.instance,
            incarnation=identity.incarnation,
        )
        self.last_audit_repeat_at = 0.0
        self.last_event_at = 0.0
        self.is_stopping = False

    def replace_rules(self, rules: CallRules, drain_seconds: float) -> None:
        """Replace the call rules and the times of the next planned stop."""
        self.rules = rules
        self.calls.replace_rules(rules, drain_seconds)

    def replace_service(self, service: str) -> None:
        """Replace the service of this instance."""
        self.identity = self.identity.with_service(service)
