"""Start a daemon from a checkout.

Running a file spares the interpreter the modules that `python3 -m` loads first,
in which a signal would end the process.
"""

from briartack.launcher import main

if __name__ == '__main__':
    main()
