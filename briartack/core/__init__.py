"""The decisions of the daemon, free of input, output and clocks."""
