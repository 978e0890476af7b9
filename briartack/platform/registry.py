"""Registered servers as records of instances."""

from collections.abc import Mapping
from typing import Annotated, Final, final

import msgspec
from msgspec import Meta

from briartack.addresses import format_address, parse_address
from briartack.core.configuration.settings import InstanceRecord, InstanceState
from briartack.platform.names import qualified

SERVERS: Final = 'servers/'
_MAX_SLOTS: Final = 100_000  # the product's bound of such a setting
_STATES: Final = {
    'ready': InstanceState.LIVE,
    'draining': InstanceState.LEAVING,
}


class _Info(msgspec.Struct, frozen=True, kw_only=True):
    service: Annotated[str, Meta(min_length=1)]
    zone: str
    slots: Annotated[int, Meta(ge=1, le=_MAX_SLOTS)]


class _Status(msgspec.Struct, frozen=True, kw_only=True):
    state: str


class _Server(msgspec.Struct, frozen=True, kw_only=True):
    address: str  # of the upstream; the daemon has the same IP number
    info: _Info
    status: _Status


@final
class Registry:
    """Decode what servers write of themselves."""

    __slots__ = ('_regions', '_peer_port')

    def __init__(self, *, regions: Mapping[str, str], peer_port: int) -> None:
        """Find regions by zone and daemons by their common port."""
        self._regions = regions
        self._peer_port = peer_port

    def record_of(self, payload: bytes) -> str:
        """Return the record of an instance as JSON; raise ValueError."""
        server = msgspec.json.decode(payload, type=_Server)
        state = _STATES.get(server.status.state)
        if state is None:
            raise ValueError(f'unknown state {server.status.state!r}')
        region = self._regions.get(server.info.zone)
        if region is None:
            raise ValueError(f'unknown zone {server.info.zone!r}')
        host, _ = parse_address(server.address)
        record = InstanceRecord(
            service=qualified(server.info.service),
            data_centre=server.info.zone,
            region=region,
            peer_address=format_address((host, self._peer_port)),
            state=state,
            instance=host,
            slots=server.info.slots,
        )
        return msgspec.json.encode(record).decode()
