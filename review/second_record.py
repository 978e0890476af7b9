"""Write the record of a case, and run its checks."""

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, final

from review.second_site import CannotRunError, Site

EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_CANNOT_RUN: Final = 2
HAS_TROUBLE: Final = os.environ.get('TROUBLE', '1') != '0'


@final
class Record:
    """Collect lines with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Set the file that gets the lines at the end."""
        self._path = path
        self._began_at = time.monotonic()
        self._lines: list[str] = []
        self.broken: list[str] = []
        self.unserved: set[str] = set()  # ids of attempts without success

    @property
    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append(f'{self.seconds:8.3f} {text}')

    def break_rule(self, text: str) -> None:
        """Add a line on a request or process that broke the rule."""
        self.broken.append(text)
        self.add(f'RULE BROKEN: {text}')

    def close(self, outcome: str) -> None:
        """Write all lines and the outcome."""
        self.add(outcome)
        self._path.write_text('\n'.join((*self._lines, '')), 'utf-8')
        sys.stdout.write(f'{outcome}\n')


def run_case(
    folder: Path, site: Site, play: Callable[[Site, Record], None]
) -> int:
    """Start a site, play a case on it, and return the exit code."""
    record = Record(folder / 'record.txt')
    record.add(f'trouble: {HAS_TROUBLE}')
    try:
        site.start()
        play(site, record)
    except CannotRunError as error:
        record.close(f'the case could not run: {error}')
        return EXIT_CANNOT_RUN
    finally:
        site.stop()
    if record.broken:
        record.close(f'the rule was broken {len(record.broken)} times')
        return EXIT_BROKEN
    record.close('the rule held')
    return EXIT_HELD
