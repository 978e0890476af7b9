"""Rules of the call path that depend on the platform of a deployment.

The defaults are those of the product's own dialect; a platform's settings
replace them.
"""

from typing import Final, final

import msgspec

# Bounds the refusals of one call that count neither as an attempt nor as a
# retry, because owners refused the request before it ran.
MAX_FREE_REFUSALS: Final = 4


@final
class CallRules(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the rules that differ between platforms."""

    # Interval between routine health probes of the upstream.
    probe_seconds: float = 1.0
    # Each request names its upstream by identity, so the identity must be known
    # before the upstream is used.
    requires_identity: bool = False
    # A daemon outside a request's home regions may forward the request to them.
    relays_outside_home: bool = False
    # Refuse paths that an upstream may normalise.
    refuses_ambiguous_paths: bool = True
    # A refusal by an owner costs an attempt and a retry token, although the
    # request has not reached an upstream.
    counts_refusals: bool = True
    # Retry budget of each service, shared by all daemons: a ratio to its calls,
    # and a number of extra retries within the platform's window. If the ratio
    # is `None`, the policies of the routes bound retries.
    retry_ratio: float | None = None
    retry_burst: float = 0.0
    # Bounds of how far the rate of a cold upstream may be exceeded within one
    # second: a factor on the rate, and a burst of requests on top.
    cold_overage: float = 1.0
    cold_slack: float = 1.0
    # Factor by which requests for which no other upstream has room may exceed
    # the rate that an upstream says it takes.
    stated_limit_overage: float = 1.0
    # Load of near upstreams from which farther ones are chosen. At a load
    # above 1, requests wait for a slot.
    full_load: float = 1.0
    large_body_full_load: float = 1.0  # for large bodies and answers
    # Choose instances by expected completion where owners state enough for it,
    # instead of by load.
    chooses_by_completion: bool = True
    # Rate of this daemon's link; `None` if the platform states none.
    link_bytes_per_second: float | None = None
    # A stopping daemon serves its callers for this time, until the platform
    # has observed that the daemon is not ready.
    linger_seconds: float = 0.0


DEFAULT_RULES: Final = CallRules()
