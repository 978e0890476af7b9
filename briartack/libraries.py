"""Report a library that a start of the daemon cannot load.

Only the standard library and modules without other libraries are imported.
"""

import contextlib
import sys
import sysconfig
from pathlib import Path
from typing import Final

from briartack.error_texts import LIBRARY_MISSING, get_error_text

EXIT_MISSING: Final = 1


def report_missing(error: ImportError, folder: str) -> int:
    """Write one line on a library that cannot be loaded; return an exit code.

    Raises the error again if a module of the daemon itself is missing.
    """
    if error.name is not None and error.name.split('.')[0] == 'briartack':
        raise error
    error_text = get_error_text(LIBRARY_MISSING)
    reason = ' '.join(str(error).split())
    state = _describe_folder(Path(folder))
    line = f'briartackd: {error_text.text} {error_text.fix} {reason}; {state}\n'
    if sys.stderr is not None:  # None if closed before the start
        with contextlib.suppress(OSError):
            sys.stderr.write(line)
    return EXIT_MISSING


def _describe_folder(folder: Path) -> str:
    """Return whether the libraries in a folder fit to this interpreter.

    The build command leaves a marker that names the interpreter and the kind
    of machine that the libraries were installed for.
    """
    if not folder.is_dir():
        return f'{folder} does not exist'
    interpreter = str(sysconfig.get_config_var('SOABI'))
    markers = sorted(marker.name[1:] for marker in folder.glob('.[!.]*'))
    if interpreter in markers:
        return f'{folder} has libraries of {interpreter}, as this interpreter'
    built_for = ', '.join(markers) or 'an unknown kind of machine'
    return f'{folder} has libraries of {built_for}, not for {interpreter}'
