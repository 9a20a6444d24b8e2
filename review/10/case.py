"""An entry is told to stop while clients use their kept channels again."""

from __future__ import annotations

import asyncio
import random
import signal
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

from deployment import (
    HOST,
    Engine,
    Server,
    Site,
    config,
    read_body,
    read_head,
    run_case,
)  # noqa: E402

CLIENTS = 150
WORK_S = 1.5
BUDGET_S = 3.0
# A channel is used again after this time; the idle timeout of the configuration is 15 s.
PAUSE_S = (1.0, 12.0)
CALM_S = 14.0
GRACE_S = 8.0
PLANNED_S = GRACE_S + 1.0
EARLY_S = 3.0


class Sent:
    """A request on a kept channel of the entry that is told to stop."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None


async def use_channel(site, number, entry, requests):
    """Send requests on one channel, with pauses, until the entry closes it."""
    reader, writer = await asyncio.open_connection(entry.ip, site.request_port)
    try:
        for count in range(20):
            await asyncio.sleep(random.uniform(*PAUSE_S) if count else random.uniform(0.0, 1.0))
            if reader.at_eof() or writer.is_closing():
                return
            sent = Sent(f"k{number}-{count}")
            requests.append(sent)
            head = f"POST /check/{sent.request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            head += f"Request-Id: {sent.request_id}\r\nDeadline-Ms: {round(BUDGET_S * 1000)}\r\n"
            writer.write((head + "Content-Length: 0\r\n\r\n").encode())
            try:
                async with asyncio.timeout(BUDGET_S + 1.0):
                    first, fields = await read_head(reader)
                    await read_body(reader, fields)
                    sent.status = int(first.split(" ")[1])
            except (OSError, EOFError, TimeoutError, ValueError):
                return
            finally:
                sent.ended_at = time.monotonic()
            if fields.get("connection", "").lower() == "close":
                return
    finally:
        writer.close()


def lost(requests, servers, told_at):
    """Return the requests that were passed on and got no answer around the planned stop."""
    passed_on = {request.request_id for server in servers for request in server.requests}
    found = []
    for sent in requests:
        if sent.status is not None or sent.ended_at is None or sent.request_id not in passed_on:
            continue
        is_planned = told_at <= sent.ended_at <= told_at + PLANNED_S and sent.sent_at >= told_at
        is_expired = sent.ended_at >= sent.sent_at + BUDGET_S
        # The rule leaves these out if the server was at work in the last sixth of the time to stop.
        is_early = sent.sent_at <= told_at + EARLY_S
        if is_planned and not is_expired and not is_early:
            found.append(sent)
    return found


async def play(record, trouble):
    async with Site(record) as site:
        servers = []
        for number in range(4):
            server = Server(
                site, f"d-{number}", "desk", 10 + number, lambda request: WORK_S, capacity=16
            )
            servers.append(await server.start())
            await Engine(site, f"e-{number}", "lm", 20 + number, {"m0": 1}).start()
        if not await site.wait_until_ready(config(1)):
            return None
        entry = site.entries[0]
        requests = []
        for number in range(CLIENTS):
            site.spawn(use_channel(site, number, entry, requests))
        await asyncio.sleep(CALM_S)
        told_at = time.monotonic()
        if trouble:
            record(f"SIGTERM to {entry.name}")
            entry.signal(signal.SIGTERM)
        deadline = told_at + GRACE_S
        while entry.runs and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if trouble:
            how = "SIGKILL" if entry.runs else "it has ended"
            record(f"{how} {time.monotonic() - told_at:.2f} s after")
            entry.kill()
        await asyncio.sleep(2.0)
        after = [sent for sent in requests if sent.sent_at >= told_at]
        answered = sum(sent.status == 200 for sent in after)
        record(f"requests on kept channels since: {len(after)}, {answered} answered")
        breaks = []
        for sent in lost(requests, servers, told_at):
            breaks.append(
                f"LOST: {sent.request_id}, sent {sent.sent_at - told_at:.2f} s after SIGTERM and "
                f"passed on to a server, got no answer; its channel ended after "
                f"{sent.ended_at - sent.sent_at:.2f} s"
            )
        return breaks


run_case(play, FOLDER, trouble=os.environ.get("TROUBLE", "1") != "0")
