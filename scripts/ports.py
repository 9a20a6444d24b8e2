"""Free ports and addresses for servers that the demo and the tests start."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

# The range is below the ephemeral ports: an outgoing connection could otherwise take a port between
# its choice here and the start of the server.
FIRST_PORT = 20_000
PORT_COUNT = 12_000
# Ports of each of several processes that start servers at the same time.
PORTS_PER_WORKER = 1_000
# Each port is returned only once: its server may not have started when the next one is chosen.
used: set[int] = set()


def use_share(worker: int) -> None:
    """Choose ports only from the share of one of several processes that run at the same time.

    :param worker: number of the process, from 0.
    :raises ValueError: if there is no share of this number.
    """
    global FIRST_PORT, PORT_COUNT
    if not 0 <= worker < PORT_COUNT // PORTS_PER_WORKER:
        raise ValueError(f"no share of the ports for process {worker}")
    FIRST_PORT += worker * PORTS_PER_WORKER
    PORT_COUNT = PORTS_PER_WORKER


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port on which no server listens."""
    while True:
        port = FIRST_PORT + random.randrange(PORT_COUNT)
        if port in used:
            continue
        with suppress(OSError), socket.socket() as probe:
            probe.bind((host, port))
            used.add(port)
            return port


def free_address(host: str = "127.0.0.1") -> str:
    """Return an address on which no server listens."""
    return f"{host}:{free_port(host)}"
