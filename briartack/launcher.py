"""Start the program briartackd.

The modules of the daemon take a few tenths of a second to load, in which a
signal that has no handler yet would end the process. So this module imports
nothing that is not built in before it has set the handlers.
"""

# The module `signal` loads `enum`, which takes as long as half of the start of
# the interpreter.
import _signal  # type: ignore[import-not-found]
import sys
from posix import _exit  # noqa: WPS436

_HANDLED_SIGNALS = (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT)
# Where the build command of the deploy file installs the libraries.
_LIBRARIES = 'target/deps'


def main() -> None:
    """Run a daemon and exit with its exit code."""
    # A changed settings file needs no notice yet: the daemon reads it later.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    # Nothing has been accepted yet, so a stop has nothing to wait for.
    _signal.signal(_signal.SIGTERM, _exit_at_once)
    _signal.signal(_signal.SIGINT, _exit_at_once)
    # A process inherits blocked signals; a stop would never arrive.
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, _HANDLED_SIGNALS)
    root = __file__.removesuffix('briartack/launcher.py')
    # Last, so that libraries on the path that the start states go first.
    sys.path.append(f'{root}{_LIBRARIES}')
    from importlib import import_module  # noqa: PLC0415, WPS433

    try:
        program = import_module('briartack.main')
    except ImportError as error:
        libraries = import_module('briartack.libraries')
        sys.exit(libraries.report_missing(error, sys.path[-1]))
    program.main()


def _exit_at_once(number: int, frame: object) -> None:
    # An exception could be caught by the module that is being loaded.
    _exit(0)


if __name__ == '__main__':
    main()
