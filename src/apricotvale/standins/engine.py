"""A stand-in model engine: continuous batching, a prefix cache, weight loads and faults.

The text of a completion is a function of its prompt, so that a caller can check that a reply is
complete and belongs to its request. Each streamed token carries the weight version that produced
it.
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

PREFILL_TOKENS_PER_STEP = 64
MIN_LENGTH_SHARE = 0.1


@frozen
class EngineSpec:
    """Settings of the stand-in engine.

    :param models: models to serve.
    :param step_s: duration of a batch step, in seconds.
    :param slots: maximum sequences in a batch.
    :param cache_prompts: maximum prompts in the prefix cache.
    :param checks_fencing: whether load orders with an old fencing token are rejected.
    :param store: address of the weight store, host:port; empty for none.
    :param swap_s: duration of a weight load without its download, in seconds.
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
    """A request in the batch or waiting for a slot in it."""

    request_id: str
    model: str
    prompt: str
    length: int
    priority: int
    arrival_number: int
    prefill_tokens: int
    produced: int = 0
    token_queue: asyncio.Queue[tuple[str, int]] = field(factory=asyncio.Queue)


@define
class Faults:
    """Faults that a caller can inject.

    :param cut_after: tokens after which each stream is aborted; 0 for never.
    :param garble: whether streams carry invalid JSON.
    :param fail_loads: number of weight loads that fail.
    :param stall: whether the batch makes no progress.
    """

    cut_after: int = 0
    garble: bool = False
    fail_loads: int = 0
    stall: bool = False


def token_text(prompt: str, index: int) -> str:
    """Return the text of the token at an index of a prompt's completion."""
    return f"{hash32(prompt) % 65536:04x}{index} "


def completion_text(prompt: str, length: int) -> str:
    """Return the text of a prompt's completion of `length` tokens."""
    return "".join(token_text(prompt, index) for index in range(length))


def sample_length(seed: int, max_tokens: int) -> int:
    """Return a heavy-tailed length: most samples are short, a few reach the maximum."""
    draw = random.Random(seed).paretovariate(1.6) * MIN_LENGTH_SHARE
    return max(1, min(max_tokens, int(max_tokens * draw)))


class Engine:
    """The stand-in engine: its batch, prefix cache and weight versions."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.instance = uuid.uuid4().hex
        self.versions = dict.fromkeys(spec.models, 0)
        self.fence = (0, 0)
        self.batch: list[Sequence] = []
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.faults = Faults()
        self.arrival_count = 0
        self.produced = 0
        self.cancelled = 0
        self.work_available = asyncio.Event()

    async def run(self) -> None:
        """Run batch steps while there are sequences, ordered by priority and arrival."""
        while True:
            if not self.batch or self.faults.stall:
                self.work_available.clear()
                await self.work_available.wait()
            await asyncio.sleep(self.spec.step_s)
            self.batch.sort(key=lambda s: (s.priority, s.arrival_number))
            for sequence in self.batch[: self.spec.slots]:
                self.run_sequence_step(sequence)
            self.batch = [s for s in self.batch if s.produced < s.length]

    def run_sequence_step(self, sequence: Sequence) -> None:
        """Run one step of a sequence: prefill more of its prompt or produce its next token."""
        if sequence.prefill_tokens > 0:
            sequence.prefill_tokens -= PREFILL_TOKENS_PER_STEP
            return
        text = token_text(sequence.prompt, sequence.produced)
        sequence.token_queue.put_nowait((text, self.versions[sequence.model]))
        sequence.produced += 1
        self.produced += 1

    def add(self, body: dict[str, Any]) -> Sequence:
        """Add a request to the batch; a prompt in the prefix cache needs no prefill."""
        prompt, max_tokens = body["prompt"], int(body["max_tokens"])
        seed = body.get("seed")
        length = max_tokens if seed is None else sample_length(int(seed), max_tokens)
        self.arrival_count += 1
        sequence = Sequence(
            request_id=str(body.get("request_id", "")),
            model=body["model"],
            prompt=prompt,
            length=length,
            priority=int(body.get("priority", 0)),
            arrival_number=self.arrival_count,
            prefill_tokens=0 if prompt in self.cache else len(prompt) // 4,
            produced=int(body.get("resume_at", 0)),
        )
        self.cache[prompt] = None
        self.cache.move_to_end(prompt)
        while len(self.cache) > self.spec.cache_prompts:
            self.cache.popitem(last=False)
        self.batch.append(sequence)
        self.work_available.set()
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Remove a sequence from the batch and count it as cancelled, if it has not ended."""
        if sequence in self.batch:
            self.batch.remove(sequence)
            self.cancelled += 1

    async def load(self, model: str, version: int, fence: tuple[int, int]) -> web.Response:
        """Load a weight version, which running streams use from their next token on."""
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

    # HTTP handlers

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
        """Write the tokens of a sequence, its usage and the end marker."""
        sent = sequence.produced
        while sent < sequence.length:
            text, version = await sequence.token_queue.get()
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
        """Return the weight versions, load and counters."""
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
        """Execute an order to load a weight version."""
        body = await request.json()
        term, index = body["fence"]
        return await self.load(body["model"], int(body["version"]), (term, index))

    async def on_fault(self, request: web.Request) -> web.Response:
        """Set the faults named in the request."""
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        self.work_available.set()
        return web.json_response({"ok": True})


def make_app(engine: Engine) -> web.Application:
    """Return the HTTP application of a stand-in engine."""
    app = web.Application()
    app.add_routes(
        [
            web.post("/v1/completions", engine.on_completion),
            web.get("/v1/state", engine.on_state),
            web.post("/v1/orders/load", engine.on_load),
            web.post("/faults", engine.on_fault),
        ]
    )

    async def run_engine(app: web.Application) -> Any:
        task = asyncio.create_task(engine.run())
        yield
        task.cancel()

    app.cleanup_ctx.append(run_engine)
    return app
