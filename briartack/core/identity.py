"""Identity and location of this daemon.

All but the service is fixed for one incarnation.
"""

from dataclasses import dataclass, replace
from typing import final

from briartack.core.units import Incarnation, InstanceId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identify this daemon, its service and its location."""

    instance: InstanceId
    incarnation: Incarnation
    service: str
    data_centre: str
    region: str

    def with_service(self, service: str) -> 'Identity':
        """Return this identity with another service."""
        return replace(self, service=service)
