"""Stand-ins for a plain service, a scoring service and the weight store."""

from __future__ import annotations

import asyncio
import uuid

from aiohttp import web

from apricotvale.hashing import hash32

STORE_CONCURRENT = 4


class PlainService:
    """Echoes requests and counts how often each body's `id` was run by a POST."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.instance = uuid.uuid4().hex
        self.runs: dict[str, int] = {}
        self.calls = 0

    async def on_any(self, request: web.Request) -> web.Response:
        """Answer a call with what it asked."""
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
        """Return how often each body was run."""
        return web.json_response({"instance": self.instance, "runs": self.runs})


class Scorer:
    """Scores a sample by its text."""

    async def on_score(self, request: web.Request) -> web.Response:
        """Return a score between 0 and 1."""
        body = await request.json()
        score = hash32(body["text"]) / 2**32
        return web.json_response({"score": score})


class WeightStore:
    """Serves weights, a few at a time; the rest are told to come back."""

    def __init__(self, seconds: float = 0.1, concurrent: int = STORE_CONCURRENT) -> None:
        self.seconds = seconds
        self.concurrent = concurrent
        self.active = 0

    async def on_weights(self, request: web.Request) -> web.Response:
        """Return weights, or 429 above the limit."""
        if self.active >= self.concurrent:
            return web.Response(status=429, headers={"Retry-After": "1"})
        self.active += 1
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self.active -= 1
        return web.Response(body=b"w" * 1024)


async def on_health(request: web.Request) -> web.Response:
    """Say that the stand-in runs."""
    return web.Response(text="ok\n")


def make_service_app(service: PlainService) -> web.Application:
    """Return the application of a plain service."""
    app = web.Application()
    app.add_routes(
        [
            web.get("/healthz", on_health),
            web.get("/runs", service.on_runs),
            web.route("*", "/{path:.*}", service.on_any),
        ]
    )
    return app


def make_scorer_app(scorer: Scorer) -> web.Application:
    """Return the application of a scorer."""
    app = web.Application()
    app.add_routes([web.get("/healthz", on_health), web.post("/score", scorer.on_score)])
    return app


def make_store_app(store: WeightStore) -> web.Application:
    """Return the application of a weight store."""
    app = web.Application()
    app.add_routes([web.get("/weights/{model}/{version}", store.on_weights)])
    return app
