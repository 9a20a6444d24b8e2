"""Check whether an address accepts connections."""

from __future__ import annotations

import asyncio


async def accepts_connections(address: str, timeout_s: float) -> bool | None:
    """Return whether an address accepts connections, None if that is not known.

    :param address: `host:port`.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    except (OSError, ValueError):
        return None
    writer.close()
    return True
