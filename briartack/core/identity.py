"""Identity and location of this daemon, fixed for one incarnation."""

from dataclasses import dataclass
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
