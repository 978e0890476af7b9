"""Create the dialects of a daemon on the platform."""

from briartack.dialects import Dialects
from briartack.options import Options
from briartack.platform.callers import PlatformCallerDialect
from briartack.platform.names import strip_team
from briartack.platform.registry import RegistrationDecoder
from briartack.platform.settings import ProcessSettings
from briartack.platform.store import PlatformStoreDialect
from briartack.platform.upstream import PlatformUpstreamDialect


def create_platform_dialects(
    options: Options, settings: ProcessSettings
) -> Dialects:
    """Create the platform's dialects for one daemon."""
    registry = RegistrationDecoder(
        regions=settings.regions,
        peer_port=options.peer_address[1],
    )
    return Dialects(
        callers=PlatformCallerDialect(service=strip_team(options.service)),
        upstream=PlatformUpstreamDialect(),
        store=PlatformStoreDialect(registry=registry),
    )
