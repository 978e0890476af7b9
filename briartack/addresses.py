"""Parse and format network addresses.

Every setting and every instance record writes an address as IP:PORT.
"""

import ipaddress
from typing import Final, TypeAlias

Address: TypeAlias = tuple[str, int]

_MAX_PORT: Final = 65535


def parse_address(text: str) -> Address:
    """Parse IP:PORT into host and port; brackets enclose an IPv6 host.

    Raises ValueError with a message for operators.
    """
    host, separator, port_text = text.rpartition(':')
    if not separator:
        raise ValueError(f'{text!r} has no port; write IP:PORT')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            f'{host!r} is not an IP address; write IP:PORT',
        ) from None
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError(f'{port_text!r} is not a port number')
    port = int(port_text)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'port {port} is out of the range 1 to {_MAX_PORT}')
    return host, port


def format_address(address: Address) -> str:
    """Return the address as IP:PORT, with brackets around an IPv6 host."""
    host, port = address
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
