"""Run one case of the review as a program."""

import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Final, TypeAlias

from review.site import Site

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2

# Takes the site and whether the disruption happens; returns whether the rule
# held.
RunCase: TypeAlias = Callable[[Site, bool], bool]


def run_program(
    run_case: RunCase,
    folder: Path,
    services: tuple[str, ...] = ('saldo', 'compras'),
) -> int:
    """Run a case and return the exit code of its program.

    The record is written to `record.txt` in the folder of the case.
    """
    has_trouble = os.environ.get('TROUBLE') != '0'
    with tempfile.TemporaryDirectory() as directory:
        site = Site(
            directory=Path(directory),
            record=folder / 'record.txt',
            services=services,
        )
        try:
            return HELD if run_case(site, has_trouble) else BROKEN
        except (OSError, RuntimeError) as error:
            site.note(f'the case could not run: {error}')
            return NOT_RUN
        finally:
            site.stop()
