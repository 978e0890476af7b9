"""Start the program briartackd.

The modules of the daemon take a few tenths of a second to load, in which a
signal that has no handler yet would end the process.
"""

import signal
from importlib import import_module


def main() -> None:
    """Run a daemon and exit with its exit code."""
    # A changed settings file needs no notice yet: the daemon reads it later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('briartack.main').main()


if __name__ == '__main__':
    main()
