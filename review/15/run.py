"""A replica sends the answer to a reward call once more, where the next answer is expected."""

from __future__ import annotations

import asyncio
import base64
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit3"))

from deployment import HOST, CannotRunError, make_config, make_item, make_route, play  # noqa: E402
from upstreams import Engine, PlainService  # noqa: E402

# One answer of about 43 is sent twice, which is less than 3 in 100.
GOOD_ITEMS = 40
EVENT_S = 0.036
# Numbers of events: of the items that are whole soon, and of those that their trainer doesn't wait
# for, which take 6 s.
SHORT, MIDDLE, LONG = 5, 10, 170
CARRIED = "e5b2907c14da6fff"


class Generator(Engine):
    """A model replica whose texts have given lengths, by the id of the item."""

    def __init__(self, deployment, upstream_id, lengths):
        super().__init__(deployment, upstream_id, "lm-pool", SHORT, EVENT_S)
        self.lengths = lengths

    def length_of(self, request_id):
        return self.lengths.get(request_id, SHORT)


class Scorer(PlainService):
    """A plain replica that scores texts.

    :param sends_copy: whether it sends the first answer to the carried item's call twice.
    """

    def __init__(self, *arguments, sends_copy):
        super().__init__(*arguments)
        self.sends_copy = sends_copy
        # When the call of each receipt arrived, by the receipt.
        self.arrived_at = {}
        # Channels on which a second copy of an answer is due, with that copy.
        self.copies = {}

    async def on_request(self, method, path, fields, body, writer):
        copy = self.copies.pop(writer, None)
        if copy is not None:
            self.note(f"second copy of an answer before the answer to {fields['request-id']}")
            writer.write(copy)
            await writer.drain()
        return await super().on_request(method, path, fields, body, writer)

    async def run(self, path, fields, body, writer):
        request_id, arrived_at = fields["request-id"], time.monotonic()
        self.note(f"runs {request_id} {path}")
        await asyncio.sleep(self.work_s)
        stamp = f"3e1b.07.{len(self.arrived_at):03}"
        self.arrived_at[stamp] = arrived_at
        self.note(f"answers {request_id} with the receipt {stamp}")
        lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}", f"Server-Stamp: {stamp}"]
        answer = "\r\n".join([*lines, "Content-Length: 2", "", "ok"]).encode()
        writer.write(answer)
        await writer.drain()
        if self.sends_copy and request_id == f"{CARRIED}.score":
            self.sends_copy = False
            self.copies[writer] = answer
        return True


def scored_item(name, group):
    """Return an item with a reward call whose id is made from its own."""
    body = base64.b64encode(b"text").decode()
    scorer = {"id": f"{name}.score", "hostname": HOST, "path": f"/scores/{name}", "body": body}
    return make_item(name, f"/drafts/{name}/91c4", group=group, scorer=scorer)


async def case(deployment, trouble):
    await deployment.start()
    fields = {"run_deadline_ms": 7500, "keep_s": 40}
    scores = make_route("scores", "/scores/", "safe", "queue-app", timeout_ms=3000, max_attempts=4)
    routes = [make_route("drafts", "/drafts/", "rollout", "lm-pool", **fields), scores]
    await deployment.put_config(make_config(1, routes, engines=["lm-pool"], services=["queue-app"]))
    await deployment.wait_ready()
    slow = {"e5b2907c14da6ff0": LONG, "e5b2907c14da6ff1": LONG}
    engine = Generator(deployment, "i-0", {CARRIED: MIDDLE, **slow})
    scorer = Scorer(deployment, "d-0", "queue-app", 0.02, sends_copy=trouble)
    for upstream in (engine, scorer):
        await upstream.start()
    # A new leader gives no orders before the lease of a former one is over.
    await asyncio.sleep(4.0)

    async def submit(step, min_version, items, target):
        lot = f"7c41e09b52d6a3{step:02}"
        batch = {"step": step, "model": "m0", "min_version": min_version, "items": items}
        await deployment.submit("/drafts/7c41e0", lot, {**batch, "target_groups": target})
        return lot

    for step in range(GOOD_ITEMS):
        lot = await submit(step, 1, [scored_item(f"e5b2907c14da6f{step:02}", "g")], 1)
        if len(await deployment.read_results(lot, 1, 10.0)) != 1:
            raise CannotRunError("a step of one item was not served")
    # The trainer waits for one group. The other one, of which an item is whole already, comes again
    # in the next step.
    carried = [scored_item(CARRIED, "g-carried"), scored_item("e5b2907c14da6ff0", "g-carried")]
    items = [scored_item("e5b2907c14da6ff2", "g-first"), *carried]
    lot = await submit(GOOD_ITEMS, 1, items, 1)
    if len(await deployment.read_results(lot, 2, 5.0)) != 2:
        raise CannotRunError("the first group and the whole item were not listed")
    await deployment.end_lot(lot)
    await deployment.name_version("m0", 2)
    await asyncio.sleep(2.0)
    began_at = time.monotonic()
    items = [*carried, scored_item("e5b2907c14da6ff1", "g-other")]
    lot = await submit(GOOD_ITEMS + 1, 1, items, 2)
    found = await deployment.read_results(lot, 1, 5.0)
    await deployment.end_lot(lot)
    if not found or found[0]["id"] != CARRIED:
        raise CannotRunError("the carried item was not listed")
    result = found[0]
    arrived_at = scorer.arrived_at.get(result["score"])
    deployment.note(f"score {result['score']} of a text with the versions {result['versions']}")
    if arrived_at is None or arrived_at < began_at:
        return [
            f"MIXED: the score {result['score']} of {CARRIED} in its second step is the receipt of "
            "a call that reached its replica before that step was submitted"
        ]
    return []


play(case, FOLDER / "record.txt")
