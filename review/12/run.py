"""An entry is stopped as planned while callers begin streams on channels that they keep open."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit3"))

from deployment import (  # noqa: E402
    GRACE_S,
    HOST,
    make_config,
    make_route,
    play,
    read_answer,
    read_chunks,
    read_head,
    request_bytes,
)
from upstreams import Engine, PlainService  # noqa: E402

# A stream of 138 events takes 5 s, within its time budget of 10 s.
EVENTS, EVENT_S = 138, 0.036
BUDGET_MS = 10000
# A new stream each 0.05 s, from 2.5 s after SIGTERM to 4 s after it.
FIRST_S, LAST_S, GAP_S = 2.5, 4.0, 0.05
# Streams that are sent no later than 3 s after SIGTERM may be cut at the end of the grace time. The
# rest is a margin for the time at which the signal arrives.
EXCUSED_S = 3.05


class Caller:
    """A client with one channel, which it keeps open."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.sent_s = None
        self.outcome = ""

    async def open(self):
        entry = self.deployment.entries[0]
        self.reader, self.writer = await asyncio.open_connection(entry.ip, self.deployment.requests)
        fields = {"Host": HOST, "Request-Id": f"fee{self.number}", "Deadline-Ms": "1500"}
        self.writer.write(request_bytes("POST", f"/fees/{self.number}", fields, b"quote"))
        answer = await read_answer(self.reader)
        assert answer.status == 200, answer.status

    async def stream(self, stopped_at):
        """Send a request for a stream and read it to its end."""
        request_id = f"stream{self.number:02}"
        fields = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": f"{BUDGET_MS}"}
        fields |= {"Model": "m0", "Token-Usage": "271,640", "Prompt-Prefix": "9c2e41:271"}
        pieces = 0
        self.writer.write(request_bytes("POST", f"/chat/{self.number}", fields, b"prompt"))
        self.sent_s = time.monotonic() - stopped_at
        try:
            first, fields = await read_head(self.reader)
            status = int(first.split(" ")[1])
            if status == 200:
                async for _ in read_chunks(self.reader):
                    pieces += 1
                self.outcome = "complete"
            else:
                self.outcome = f"status {status}"
        except (OSError, asyncio.IncompleteReadError):
            self.outcome = "cut"
        ended_s = time.monotonic() - stopped_at
        self.deployment.note(
            f"client: {request_id} sent {self.sent_s:.3f} s after SIGTERM, {self.outcome} "
            f"at {ended_s:.3f} s with {pieces} pieces"
        )
        self.writer.close()


async def case(deployment, trouble):
    await deployment.start()
    routes = [
        make_route("chat", "/chat/", "streaming", "lm-pool", session_affinity=True),
        make_route("fees", "/fees/", "safe", "queue-app", timeout_ms=1500, target_latency_ms=192),
    ]
    await deployment.put_config(make_config(1, routes, engines=["lm-pool"], services=["queue-app"]))
    await deployment.wait_ready()
    engines = [Engine(deployment, f"i-{n}", "lm-pool", EVENTS, EVENT_S) for n in range(5)]
    desk = PlainService(deployment, "d-0", "queue-app", 0.02)
    for upstream in [*engines, desk]:
        await upstream.start()
    await asyncio.sleep(1.5)
    callers = [Caller(deployment, n) for n in range(round((LAST_S - FIRST_S) / GAP_S) + 1)]
    for caller in callers:
        await caller.open()
    deployment.note(f"{len(callers)} channels are open")
    stopped_at = time.monotonic()
    if trouble:
        deployment.entries[0].send_signal(signal.SIGTERM)
        deployment.note("SIGTERM to edge-0")
    tasks = []
    for number, caller in enumerate(callers):
        at = stopped_at + FIRST_S + number * GAP_S
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        tasks.append(asyncio.create_task(caller.stream(stopped_at)))
    if trouble:
        await asyncio.sleep(stopped_at + GRACE_S - time.monotonic())
        # The platform ends a process that is still there.
        deployment.entries[0].send_signal(signal.SIGKILL)
    await asyncio.wait(tasks, timeout=20)
    passed_on = {request_id for engine in engines for request_id in engine.made}
    breaks = []
    for caller in callers:
        request_id = f"stream{caller.number:02}"
        if caller.sent_s > EXCUSED_S and caller.outcome == "cut" and request_id in passed_on:
            breaks.append(
                f"LOST: {request_id}, sent {caller.sent_s:.3f} s after SIGTERM, was passed on to a "
                "replica and its channel ended without a complete answer"
            )
    return breaks


play(case, FOLDER / "record.txt")
