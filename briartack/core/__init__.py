"""Decision logic of the daemon, free of input, output and clocks."""
