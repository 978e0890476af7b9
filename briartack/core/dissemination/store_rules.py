"""Rules that limit the load of daemons on the store of a deployment."""

from typing import Final, final

import msgspec

from briartack.core.dissemination.dialling import REDIAL_INTERVAL_SECONDS

# Long enough for three rounds of suspicion, each of which tries only two peers.
ORPHAN_SECONDS: Final = 6.0
OVERDUE_SECONDS: Final = 6.0


@final
class StoreRules(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the rules and times that differ between stores."""

    # Upper bound of the random delay of the first read. With 2 s, 2,600 daemons
    # that start at once make 1,300 reads per second.
    start_jitter_seconds: float = 2.0
    # Upper bound of the backoff of daemons on duty, that is, those that watch
    # the store. As few daemons are on duty, the bound may be short.
    duty_backoff_seconds: float = 30.0
    # Time after which the store answers a watch without changes. An answer that
    # is later than this by more than the grace time counts as a failure, so
    # the sum bounds how long a silent store goes unnoticed.
    watch_wait_seconds: float = 20.0
    watch_grace_seconds: float = 5.0
    # Interval at which children in the tree, suspected peers and instances that
    # said goodbye are dialled. A daemon that starts while the store is down
    # learns of other daemons only if they dial it.
    redial_seconds: float = REDIAL_INTERVAL_SECONDS
    # A daemon that hears no parent for this time watches the store itself.
    orphan_seconds: float = ORPHAN_SECONDS
    # A root that lacks, for this time, a configuration that a peer announces
    # reads all keys itself.
    overdue_seconds: float = OVERDUE_SECONDS
    # Whether only the roots nearest to the store watch the store, so that its
    # answers cross no link between regions.
    is_duty_by_distance: bool = False
    # Whether the list of instances may be read from a replica that lags.
    reads_stale_list: bool = False


DEFAULT_STORE_RULES: Final = StoreRules()
