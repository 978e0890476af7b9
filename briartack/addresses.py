"""Addresses in the form IP:PORT, which every setting and record uses."""

import ipaddress
from typing import Final, TypeAlias

Address: TypeAlias = tuple[str, int]

_MAX_PORT: Final = 65535


def parse_address(text: str) -> Address:
    """Split an address; an IPv6 address stands in brackets.

    Raises ValueError with a text for operators.
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
        raise ValueError(f'port {port} is not in 1 to {_MAX_PORT}')
    return host, port


def format_address(address: Address) -> str:
    """Join an address; an IPv6 address gets brackets."""
    host, port = address
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
