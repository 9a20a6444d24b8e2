"""A minimal aiohttp reverse proxy, the baseline for the cost of entry and sidecar."""

from __future__ import annotations

import sys

import aiohttp
import uvloop
from aiohttp import web


async def main(listen: str, target: str) -> None:
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def forward(request: web.Request) -> web.Response:
        body = await request.read()
        url = f"http://{target}{request.path_qs}"
        async with session.request(request.method, url, data=body) as reply:
            content = await reply.read()
            return web.Response(
                status=reply.status,
                body=content,
                headers={"Content-Type": reply.headers["Content-Type"]},
            )

    app = web.Application()
    app.add_routes([web.route("*", "/{path:.*}", forward)])
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    import asyncio

    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], sys.argv[2]))
