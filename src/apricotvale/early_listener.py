"""Opens the address for callers before the rest of the process is imported.

The module imports little, so that callers find an open port soon after the start of the process:
importing the rest takes half a second or more on a small VM. Their connections wait in the queue
of the kernel until the server accepts them.
"""

from __future__ import annotations

import socket
import tomllib
from pathlib import Path

# Connections that may wait until the process is ready.
BACKLOG = 512
ADDRESS_FIELD = "requests"


def open_listener(settings_file: str) -> socket.socket | None:
    """Listen on the address for callers that a settings file names.

    :returns: the listening socket; None if the file has no such address, or if the file or the
        address cannot be used, which the start of the process then reports.
    """
    try:
        settings = tomllib.loads(Path(settings_file).read_text())
        host, _, port = str(settings.get(ADDRESS_FIELD, "")).rpartition(":")
        if not host:
            return None
        return socket.create_server((host, int(port)), backlog=BACKLOG, reuse_port=False)
    except (OSError, ValueError, OverflowError):
        return None
