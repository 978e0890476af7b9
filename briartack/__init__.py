"""Run a service mesh daemon: distribute configuration and route calls."""
