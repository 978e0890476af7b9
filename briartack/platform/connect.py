"""Create the dialects of a daemon on the platform."""

from briartack.dialects import Dialects
from briartack.options import Options
from briartack.platform.callers import PlatformCallerDialect
from briartack.platform.registry import RegistrationDecoder
from briartack.platform.settings import ProcessSettings
from briartack.platform.store import PlatformStoreDialect
from briartack.platform.upstream import PlatformUpstreamDialect


def create_platform_dialects(
    options: Options, settings: ProcessSettings, service: str
) -> Dialects:
    """Create the platform's dialects for the daemon of a service.

    The service has the platform's name.
    """
    registry = RegistrationDecoder(
        regions=settings.regions,
        peer_port=options.peer_address[1],
    )
    return Dialects(
        callers=PlatformCallerDialect(service=service),
        upstream=PlatformUpstreamDialect(),
        store=PlatformStoreDialect(registry=registry),
    )
