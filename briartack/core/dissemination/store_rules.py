"""How hard daemons may press the store of a deployment."""

from typing import Final, final

import msgspec

from briartack.core.dissemination.dialling import REDIAL_SECONDS

# Three rounds of suspicion have passed, and each round only tries two peers.
ORPHAN_SECONDS: Final = 6.0


@final
class StoreRules(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the rules that differ between stores."""

    # 2,600 daemons that start at once make 1,300 reads a second.
    start_jitter_seconds: float = 2.0
    # A daemon on duty tries a store that fails again after this at most; few
    # daemons are on duty.
    duty_backoff_seconds: float = 30.0
    # Children in the tree, and instances that said goodbye, are dialled again
    # after this time. A daemon that starts while the store is away hears of
    # the fleet by that alone.
    redial_seconds: float = REDIAL_SECONDS
    # A daemon that hears no parent for so long watches the store itself.
    orphan_seconds: float = ORPHAN_SECONDS
    # Roots of other regions leave the watch to the roots nearest to the store,
    # so that its answers cross no link between regions.
    is_duty_by_distance: bool = False
    # The list of instances may be read from a copy that lags.
    reads_stale_list: bool = False


DEFAULT_STORE_RULES: Final = StoreRules()
