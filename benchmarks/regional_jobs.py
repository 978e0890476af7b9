"""Calls of all services of Pacífico Enlace from callers in all regions."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

from benchmarks.load import REQUEST_ID, Job
from standins.wiring import Wiring

UPLOAD_BYTES: Final = 20_000
# Each of these tenants has home regions; its own region is among them.
TENANTS: Final = MappingProxyType(
    {
        'costa': 'litoral-telecom',
        'insular': 'galapagos-cruises',
        'sierra': 'andes-movil',
    },
)
HOME_REGIONS: Final = MappingProxyType(
    {
        'litoral-telecom': frozenset(('costa',)),
        'galapagos-cruises': frozenset(('insular',)),
        'andes-movil': frozenset(('sierra', 'costa')),
    },
)
# One call in this many names a tenant.
TENANT_EVERY: Final = 4
# This kind of call must never run twice.
PURCHASE: Final = 'purchase'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Kind:
    name: str
    method: str
    path: str
    body: bytes = b''


KINDS: Final = (
    _Kind(name='balance', method='GET', path='/saldo/cuentas/1'),
    _Kind(name=PURCHASE, method='POST', path='/compras/paquetes', body=b'{}'),
    _Kind(
        name='upload',
        method='PUT',
        path='/bitacora/motores/1',
        body=b'x' * UPLOAD_BYTES,
    ),
)


def regional_jobs(
    wirings: dict[str, Wiring],
    prefix: str,
    service_ms: float,
) -> Iterator[Job]:
    """Yield calls without end, over all regions and daemons in turn."""
    regions: dict[str, list[str]] = {}
    for wiring in wirings.values():
        addresses = regions.setdefault(wiring.plan.region, [])
        addresses.append(wiring.caller_address)
    for number in itertools.count():
        turn, kind = divmod(number, len(KINDS))
        region = tuple(regions)[turn % len(regions)]
        turn //= len(regions)
        yield _job(
            KINDS[kind],
            region=region,
            addresses=_rotated(regions[region], turn),
            request_id=f'{prefix}-{number}',
            has_tenant=turn % TENANT_EVERY == 0,
            service_ms=service_ms,
        )


def _rotated(addresses: list[str], turn: int) -> tuple[str, ...]:
    first = turn % len(addresses)
    return (*addresses[first:], *addresses[:first])


def _job(
    kind: _Kind,
    *,
    region: str,
    addresses: tuple[str, ...],
    request_id: str,
    has_tenant: bool,
    service_ms: float,
) -> Job:
    headers = {REQUEST_ID: request_id, 'X-Service-Ms': str(service_ms)}
    if has_tenant:
        headers['X-Tenant'] = TENANTS[region]
    return Job(
        kind=kind.name,
        region=region,
        addresses=addresses,
        method=kind.method,
        target=kind.path,
        headers=headers,
        body=kind.body,
    )
