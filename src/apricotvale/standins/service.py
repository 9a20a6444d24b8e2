"""Stand-ins for a plain service, a scoring service and the weight store."""

from __future__ import annotations

import asyncio
import uuid

from aiohttp import web

from apricotvale.hashing import hash32

DEFAULT_MAX_DOWNLOADS = 4


class PlainService:
    """A service that echoes requests and counts the POST requests with each body."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.instance = uuid.uuid4().hex
        self.runs: dict[str, int] = {}
        self.calls = 0

    async def on_call(self, request: web.Request) -> web.Response:
        """Return the path, query and body of a request, after the configured delay."""
        body = await request.text()
        self.calls += 1
        if request.method == "POST":
            self.runs[body] = self.runs.get(body, 0) + 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return web.json_response(
            {"path": request.path, "query": dict(request.query), "body": body, "by": self.instance}
        )

    async def on_runs(self, request: web.Request) -> web.Response:
        """Return the number of runs of each body."""
        return web.json_response({"instance": self.instance, "runs": self.runs})


class Scorer:
    """A service that scores samples by a hash of their text."""

    async def on_score(self, request: web.Request) -> web.Response:
        """Return a score between 0 and 1."""
        body = await request.json()
        score = hash32(body["text"]) / 2**32
        return web.json_response({"score": score})


class WeightStore:
    """A weight store with a limit on concurrent downloads.

    :param download_s: duration of a download, in seconds.
    :param max_downloads: downloads at once; further ones get status 429.
    """

    def __init__(self, download_s: float = 0.1, max_downloads: int = DEFAULT_MAX_DOWNLOADS) -> None:
        self.download_s = download_s
        self.max_downloads = max_downloads
        self.active = 0

    async def on_weights(self, request: web.Request) -> web.Response:
        """Return weights, or status 429 above the limit of concurrent downloads."""
        if self.active >= self.max_downloads:
            return web.Response(status=429, headers={"Retry-After": "1"})
        self.active += 1
        try:
            await asyncio.sleep(self.download_s)
        finally:
            self.active -= 1
        return web.Response(body=b"w" * 1024)


async def on_health(request: web.Request) -> web.Response:
    """Return 200 to a health check."""
    return web.Response(text="ok\n")


def make_service_app(service: PlainService) -> web.Application:
    """Return the HTTP application of a plain service."""
    app = web.Application()
    app.add_routes(
        [
            web.get("/healthz", on_health),
            web.get("/runs", service.on_runs),
            web.route("*", "/{path:.*}", service.on_call),
        ]
    )
    return app


def make_scorer_app(scorer: Scorer) -> web.Application:
    """Return the HTTP application of a scorer."""
    app = web.Application()
    app.add_routes([web.get("/healthz", on_health), web.post("/score", scorer.on_score)])
    return app


def make_store_app(store: WeightStore) -> web.Application:
    """Return the HTTP application of a weight store."""
    app = web.Application()
    app.add_routes([web.get("/weights/{model}/{version}", store.on_weights)])
    return app
