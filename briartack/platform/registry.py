"""Translate the platform's registered servers to instance records."""

from collections.abc import Mapping
from typing import Annotated, Final, final

import msgspec
from msgspec import Meta

from briartack.addresses import format_address, parse_address
from briartack.core.configuration.settings import (
    MAX_COUNT,
    MAX_MILLISECONDS,
    InstanceRecord,
    InstanceState,
)
from briartack.core.entries import StatedOrder
from briartack.core.json_decoding import decode_json
from briartack.core.messages import MAX_INTEGER
from briartack.platform.names import encode_name, qualify_service

SERVER_PREFIX: Final = 'servers/'
_INSTANCE_STATES: Final = {
    'ready': InstanceState.LIVE,
    'draining': InstanceState.LEAVING,
}


class _Info(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the static properties of a server."""

    service: Annotated[str, Meta(min_length=1)]
    # Not used; an entry without it is not one of a server.
    version: str
    zone: str
    slots: Annotated[int, Meta(ge=1)]


class _Status(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the status of a server."""

    state: str
    sequence: int  # counts the server's writes since its start
    cold_left_ms: float  # how much longer the server is slow


class _Server(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the registration of a server."""

    address: str  # of the upstream; its daemon has the same IP address
    info: _Info
    status: _Status
    # Unix milliseconds of the server's start.
    born: Annotated[int, Meta(ge=0, le=MAX_INTEGER)] | None = None


_SERVER_DECODER: Final = msgspec.json.Decoder(_Server)


@final
class RegistrationDecoder:
    """Decode the registrations that servers write to the store."""

    __slots__ = ('_regions', '_peer_port')

    def __init__(self, *, regions: Mapping[str, str], peer_port: int) -> None:
        """Set the region of each zone and the peer port of all daemons."""
        self._regions = regions
        self._peer_port = peer_port

    def translate_server(self, payload: bytes) -> tuple[str, StatedOrder]:
        """Translate a registration to the JSON of an instance record.

        Returns the record and its place among the writes of the server. Raises
        ValueError if the registration is malformed.
        """
        server = decode_json(payload, _SERVER_DECODER)
        state = _INSTANCE_STATES.get(server.status.state)
        if state is None:
            raise ValueError(f'unknown state {server.status.state!r}')
        region = self._regions.get(server.info.zone)
        if region is None:
            raise ValueError(f'unknown zone {server.info.zone!r}')
        host, _ = parse_address(server.address)
        record = InstanceRecord(
            service=qualify_service(server.info.service),
            data_centre=server.info.zone,
            region=encode_name(region),
            peer_address=format_address((host, self._peer_port)),
            state=state,
            instance=host,
            slots=min(server.info.slots, MAX_COUNT),
            started_ms=server.born,
            cold_ms=_find_cold_ms(server.status.cold_left_ms),
        )
        return msgspec.json.encode(record).decode(), _find_order(server)


def _find_cold_ms(left_ms: float) -> int:
    """Return the milliseconds for which a server is cold; 0 if unusable."""
    return round(left_ms) if 0 < left_ms <= MAX_MILLISECONDS else 0


def _find_order(server: _Server) -> StatedOrder:
    sequence = server.status.sequence
    if server.born is None:
        return ()
    if not 0 <= sequence <= MAX_INTEGER:
        return ()
    return (server.born, sequence)
