"""Generates calls to Pacífico Enlace's services from all regions."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

from benchmarks.load import REQUEST_ID, Job
from standins.deployment_site import InstanceSite

UPLOAD_BYTES: Final = 20_000
# One tenant per region; the region is among the tenant's home regions.
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
# Calls name a tenant in one round out of this many.
TENANT_INTERVAL: Final = 4
# A purchase must never run twice.
PURCHASE: Final = 'purchase'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _CallKind:
    name: str
    method: str
    path: str
    body: bytes = b''


CALL_KINDS: Final = (
    _CallKind(name='balance', method='GET', path='/saldo/cuentas/1'),
    _CallKind(
        name=PURCHASE, method='POST', path='/compras/paquetes', body=b'{}'
    ),
    _CallKind(
        name='upload',
        method='PUT',
        path='/bitacora/motores/1',
        body=b'x' * UPLOAD_BYTES,
    ),
)


def generate_regional_jobs(
    instance_sites: dict[str, InstanceSite],
    prefix: str,
    service_ms: float,
) -> Iterator[Job]:
    """Yield an endless series of calls, over regions and daemons in turn."""
    regions: dict[str, list[str]] = {}
    for instance_site in instance_sites.values():
        addresses = regions.setdefault(instance_site.plan.region, [])
        addresses.append(instance_site.caller_address)
    for number in itertools.count():
        round_number, kind = divmod(number, len(CALL_KINDS))
        region = tuple(regions)[round_number % len(regions)]
        round_number //= len(regions)
        yield _create_job(
            CALL_KINDS[kind],
            region=region,
            addresses=_rotate(regions[region], round_number),
            request_id=f'{prefix}-{number}',
            has_tenant=round_number % TENANT_INTERVAL == 0,
            service_ms=service_ms,
        )


def _rotate(addresses: list[str], round_number: int) -> tuple[str, ...]:
    first = round_number % len(addresses)
    return (*addresses[first:], *addresses[:first])


def _create_job(
    kind: _CallKind,
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
