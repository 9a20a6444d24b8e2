"""A replica sends the answer to a failed attempt once more, where the next answer is expected."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit3"))

from deployment import make_config, make_item, make_route, play  # noqa: E402
from upstreams import Engine  # noqa: E402

EVENTS, EVENT_S = 5, 0.01
# One answer of 41 is sent twice, which is less than 3 in 100.
GOOD_ITEMS = 40
MAX_ATTEMPTS = 2
FAILING = "e5b2907c14da6fff"


class FaultyEngine(Engine):
    """A replica that fails the first attempt of one item.

    :param sends_copy: whether it sends that answer twice.
    """

    def __init__(self, *arguments, sends_copy):
        super().__init__(*arguments)
        self.sends_copy = sends_copy
        self.errors = 0
        # Channels on which a second copy of an answer is due, with that copy.
        self.copies = {}

    async def on_request(self, method, path, fields, body, writer):
        copy = self.copies.pop(writer, None)
        if copy is not None:
            self.note(f"second copy of the answer to {FAILING} before the answer to {path}")
            writer.write(copy)
            await writer.drain()
        return await super().on_request(method, path, fields, body, writer)

    async def run(self, path, fields, body, writer):
        request_id = fields.get("request-id", "")
        if request_id != FAILING or self.errors:
            return await super().run(path, fields, body, writer)
        self.errors += 1
        self.note(f"runs {request_id} {path}, answers 500")
        lines = [
            "HTTP/1.1 500 Failed",
            f"Request-Id: {request_id}",
            f"Server-Stamp: s.{request_id}",
        ]
        answer = "\r\n".join([*lines, "Content-Length: 6", "", "failed"]).encode()
        writer.write(answer)
        await writer.drain()
        if self.sends_copy:
            self.copies[writer] = answer
        return True


async def case(deployment, trouble):
    await deployment.start()
    fields = {"run_deadline_ms": 7500, "keep_s": 40, "max_attempts": MAX_ATTEMPTS}
    route = make_route("drafts", "/drafts/", "rollout", "lm-pool", **fields)
    await deployment.put_config(make_config(1, [route], engines=["lm-pool"]))
    await deployment.wait_ready()
    engine = FaultyEngine(deployment, "i-0", "lm-pool", EVENTS, EVENT_S, sends_copy=trouble)
    await engine.start()
    await asyncio.sleep(1.5)
    names = [f"e5b2907c14da6f{n:02}" for n in range(GOOD_ITEMS)] + [FAILING]
    found = []
    for number, name in enumerate(names):
        lot = f"7c41e09b52d6a3{number:02}"
        batch = {"step": number, "model": "m0", "min_version": 1, "target_groups": 1}
        batch["items"] = [make_item(name, f"/drafts/{number}/91c4")]
        await deployment.submit("/drafts/7c41e0", lot, batch)
        found += await deployment.read_results(lot, 1, 15.0)
    if len(found) < len(names):
        return [f"only {len(found)} results came"]
    deployment.note(f"answers of 500 to {FAILING}: {engine.errors}")
    if found[-1]["state"] == "errored" and engine.errors < MAX_ATTEMPTS:
        return [
            f"MIXED: {FAILING} is errored after {engine.errors} answer of 500, max_attempts is "
            f"{MAX_ATTEMPTS}"
        ]
    return []


play(case, FOLDER / "record.txt")
