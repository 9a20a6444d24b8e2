"""A stand-in model engine: continuous batching, a prefix cache, versions, orders, faults.

Its text is a function of the prompt, so that a reader can check that an answer is whole and its
own. Each streamed token states the weight version that produced it.
"""

from __future__ import annotations

import asyncio
import json
import random
import uuid
from collections import OrderedDict
from typing import Any

import aiohttp
from aiohttp import web
from attrs import define, field, frozen

from apricotvale.hashing import hash32

PREFILL_TOKENS_A_STEP = 64
MIN_SAMPLE_SHARE = 0.1


@frozen
class EngineSpec:
    """What the stand-in is like.

    :param step_s: time of one batch step, in seconds.
    :param slots: sequences in a batch.
    :param cache_prompts: prompts whose prefix stays cached.
    :param checks_fencing: whether orders with an old number are refused.
    :param store: address of the weight store, host:port; empty is none.
    """

    models: tuple[str, ...]
    step_s: float = 0.005
    slots: int = 16
    cache_prompts: int = 64
    checks_fencing: bool = False
    store: str = ""
    swap_s: float = 0.05


@define(eq=False)
class Sequence:
    """A request in the batch."""

    request_id: str
    model: str
    prompt: str
    length: int
    priority: int
    arrival: int
    prefill: int
    produced: int = 0
    out: asyncio.Queue[tuple[str, int]] = field(factory=asyncio.Queue)


@define
class Faults:
    """Faults that the stand-in shows on command.

    `cut_after` cuts each stream after that many tokens, `garble` sends no valid JSON,
    `fail_loads` refuses that many loads, `stall` stops the batch.
    """

    cut_after: int = 0
    garble: bool = False
    fail_loads: int = 0
    stall: bool = False


def token_text(prompt: str, index: int) -> str:
    """Return the text of one token of a prompt's completion."""
    return f"{hash32(prompt) % 65536:04x}{index} "


def completion_text(prompt: str, length: int) -> str:
    """Return the whole text of a completion."""
    return "".join(token_text(prompt, index) for index in range(length))


def sample_length(seed: int, most: int) -> int:
    """Return a heavy-tailed length for a sample: most are short and a few take all tokens."""
    draw = random.Random(seed).paretovariate(1.6) * MIN_SAMPLE_SHARE
    return max(1, min(most, int(most * draw)))


class Engine:
    """State of the stand-in."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.instance = uuid.uuid4().hex
        self.versions = dict.fromkeys(spec.models, 0)
        self.fence = (0, 0)
        self.batch: list[Sequence] = []
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.faults = Faults()
        self.arrivals = 0
        self.produced = 0
        self.cancelled = 0
        self.work = asyncio.Event()

    async def run(self) -> None:
        """Produce a token for each sequence of the batch in every step."""
        while True:
            if not self.batch or self.faults.stall:
                self.work.clear()
                await self.work.wait()
            await asyncio.sleep(self.spec.step_s)
            self.batch.sort(key=lambda s: (s.priority, s.arrival))
            for sequence in self.batch[: self.spec.slots]:
                self.advance(sequence)
            self.batch = [s for s in self.batch if s.produced < s.length]

    def advance(self, sequence: Sequence) -> None:
        """Prefill a sequence further, or produce its next token."""
        if sequence.prefill > 0:
            sequence.prefill -= PREFILL_TOKENS_A_STEP
            return
        text = token_text(sequence.prompt, sequence.produced)
        sequence.out.put_nowait((text, self.versions[sequence.model]))
        sequence.produced += 1
        self.produced += 1

    def add(self, body: dict[str, Any]) -> Sequence:
        """Put a request into the batch."""
        prompt, most = body["prompt"], int(body["max_tokens"])
        seed = body.get("seed")
        length = most if seed is None else sample_length(int(seed), most)
        self.arrivals += 1
        sequence = Sequence(
            request_id=str(body.get("request_id", "")),
            model=body["model"],
            prompt=prompt,
            length=length,
            priority=int(body.get("priority", 0)),
            arrival=self.arrivals,
            prefill=0 if prompt in self.cache else len(prompt) // 4,
            produced=int(body.get("resume_at", 0)),
        )
        self.cache[prompt] = None
        self.cache.move_to_end(prompt)
        while len(self.cache) > self.spec.cache_prompts:
            self.cache.popitem(last=False)
        self.batch.append(sequence)
        self.work.set()
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Take a sequence out of the batch."""
        if sequence in self.batch:
            self.batch.remove(sequence)
            self.cancelled += 1

    async def load(self, model: str, version: int, fence: tuple[int, int]) -> web.Response:
        """Load a version; it takes effect in the middle of running streams."""
        if self.spec.checks_fencing and fence < self.fence:
            return web.json_response({"error": "old fence"}, status=409)
        self.fence = max(self.fence, fence)
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            return web.json_response({"error": "load failed"}, status=500)
        if self.spec.store:
            url = f"http://{self.spec.store}/weights/{model}/{version}"
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                if response.status != 200:
                    return web.json_response({"error": "store"}, status=503)
                await response.read()
        await asyncio.sleep(self.spec.swap_s)
        self.versions[model] = version
        return web.json_response({"model": model, "version": version})

    # -- HTTP

    async def on_completion(self, request: web.Request) -> web.StreamResponse:
        """Stream a completion as server-sent events."""
        body = await request.json()
        if body.get("model") not in self.versions:
            return web.json_response({"error": "no such model"}, status=404)
        sequence = self.add(body)
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        try:
            await self.stream(sequence, response)
        finally:
            self.cancel(sequence)
        return response

    async def stream(self, sequence: Sequence, response: web.StreamResponse) -> None:
        """Write the tokens of a sequence and its end marker."""
        sent = sequence.produced
        while sent < sequence.length:
            text, version = await sequence.out.get()
            if self.faults.cut_after and sent >= self.faults.cut_after:
                transport = response._req.transport if response._req else None
                if transport is not None:
                    transport.abort()
                raise ConnectionResetError
            event = {"token": sent, "text": text, "version": version}
            line = "data: {garbled\n\n" if self.faults.garble else f"data: {json.dumps(event)}\n\n"
            await response.write(line.encode())
            sent += 1
        usage = {"completion_tokens": sent}
        final = {"finish_reason": "stop", "usage": usage}
        await response.write(f"data: {json.dumps(final)}\n\ndata: [DONE]\n\n".encode())

    async def on_state(self, request: web.Request) -> web.Response:
        """State versions and load."""
        return web.json_response(
            {
                "instance": self.instance,
                "models": self.versions,
                "active": min(len(self.batch), self.spec.slots),
                "queued": max(0, len(self.batch) - self.spec.slots),
                "produced": self.produced,
                "cancelled": self.cancelled,
            }
        )

    async def on_load(self, request: web.Request) -> web.Response:
        """Carry out an order to load a version."""
        body = await request.json()
        term, index = body["fence"]
        return await self.load(body["model"], int(body["version"]), (term, index))

    async def on_fault(self, request: web.Request) -> web.Response:
        """Set faults."""
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        self.work.set()
        return web.json_response({"ok": True})


def make_app(engine: Engine) -> web.Application:
    """Return the stand-in's HTTP application."""
    app = web.Application()
    app.add_routes(
        [
            web.post("/v1/completions", engine.on_completion),
            web.get("/v1/state", engine.on_state),
            web.post("/v1/orders/load", engine.on_load),
            web.post("/faults", engine.on_fault),
        ]
    )

    async def background(app: web.Application) -> Any:
        task = asyncio.create_task(engine.run())
        yield
        task.cancel()

    app.cleanup_ctx.append(background)
    return app
