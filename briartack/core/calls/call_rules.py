"""What the platform of a deployment bounds or asks of the call path.

The defaults are those of the product's own dialect; a platform's settings
replace them.
"""

from typing import Final, final

import msgspec

# Attempts that owners refused without running them, for each call.
MAX_FREE_REFUSALS: Final = 4


@final
class CallRules(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the rules that differ between platforms."""

    # The upstream is probed this often while nothing calls for a probe.
    probe_seconds: float = 1.0
    # Requests name the upstream that they are for, so one must be known.
    needs_identity: bool = False
    # The daemon that a caller chose may pass a request on to its home regions.
    relays_outside_home: bool = False
    # Paths that upstreams may normalise are refused.
    refuses_ambiguous_paths: bool = True
    # A refusal of an owner costs an attempt and a retry token, although it
    # has not reached an upstream.
    counts_refusals: bool = True
    # Retries of all daemons together, for each service: a share of its calls
    # and a number within the window. Without them, policies bound retries.
    retry_ratio: float | None = None
    retry_extra: float = 0.0
    # How far the rate of a cold upstream may be exceeded in one second.
    cold_overage: float = 1.0
    cold_slack: float = 1.0
    # The load of near upstreams above which farther ones are chosen; above 1
    # a request waits for a slot.
    full_load: float = 1.0
    full_load_large: float = 1.0  # for large bodies
    # A daemon that stops serves its callers for so long, until the platform
    # has seen that it is not ready.
    linger_seconds: float = 0.0


DEFAULT_RULES: Final = CallRules()
