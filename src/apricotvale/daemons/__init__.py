"""The daemons: they own sockets, clocks and files, and carry out what the aggregates decide."""
