"""Daemon processes: sockets, timers and files around the I/O-free state machines."""
