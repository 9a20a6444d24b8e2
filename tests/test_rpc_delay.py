"""Calls between processes are sent at once."""

from __future__ import annotations

import socket

from apricotvale.daemons.rpc import RpcClient
from apricotvale.fleet.calls import FLEET
from tests.platform_site import Site


async def test_a_call_does_not_wait_for_the_acknowledgement_of_its_header(tmp_path):
    """Guards against sockets that hold back small writes for some 40 ms."""
    async with Site(tmp_path) as site:
        await site.wait_until_ready()
        client = RpcClient(site.controls[0].settings.internal_address, FLEET)
        try:
            await client.channel.__connect__()
            sock = client.channel.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
        finally:
            client.close()
