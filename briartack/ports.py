"""Types through which the parts of the shell reach the reducer and logs."""

from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from briartack.core.effects import LogLevel
from briartack.core.events import Event

Deliver: TypeAlias = Callable[[Event], None]
Clock: TypeAlias = Callable[[], float]
Attributes: TypeAlias = tuple[tuple[str, str], ...]

BACKLOG: Final = 1024


class Observer(Protocol):
    """Count and log what happens in the shell."""

    def count(self, name: str, **attributes: str) -> None:
        """Add one to a counter."""

    def add(self, name: str, amount: int, attributes: Attributes) -> None:
        """Add to a counter."""

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""

    def log(self, level: LogLevel, code: str, **fields: str) -> None:
        """Write one log line."""
