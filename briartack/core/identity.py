"""The place of this daemon in the mesh, fixed for one incarnation."""

from dataclasses import dataclass
from typing import final

from briartack.core.units import Incarnation, InstanceId


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Name this daemon, its service and where it runs."""

    instance: InstanceId
    incarnation: Incarnation
    service: str
    data_centre: str
    region: str
