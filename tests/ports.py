"""Ports for servers that tests start."""

import random
import socket
from contextlib import suppress

# Below the range from which the system gives ports to outgoing connections, which would otherwise
# take a port between its choice here and the server's start.
LEAST_PORT = 20_000
PORTS = 12_000
# A port is given once: its server may not have started when the next one is chosen.
given = set()


def free_port(host="127.0.0.1"):
    """Return a port that nobody listens on."""
    while True:
        port = LEAST_PORT + random.randrange(PORTS)
        if port in given:
            continue
        with suppress(OSError), socket.socket() as probe:
            probe.bind((host, port))
            given.add(port)
            return port


def free_address(host="127.0.0.1"):
    """Return an address that nobody listens on."""
    return f"{host}:{free_port(host)}"
