"""A route with `single_version` moves to another service while its items run."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit3"))

from deployment import make_config, make_item, make_route, play  # noqa: E402
from upstreams import Engine  # noqa: E402

# A run of 175 events takes 6.3 s. The site file has runs of up to 184 events of 55 tokens, and
# 0.647 ms for a token.
EVENTS, EVENT_S = 175, 0.036
ITEMS = 8


def config(version, service):
    fields = {"single_version": True, "run_deadline_ms": 7500, "keep_s": 40}
    route = make_route("drafts", "/drafts/", "rollout", service, **fields)
    return make_config(version, [route], engines=["lm-pool", "lm-pool-b"])


async def case(deployment, trouble):
    await deployment.start()
    await deployment.put_config(config(1, "lm-pool"))
    await deployment.wait_ready()
    engines = [Engine(deployment, f"i-a{n}", "lm-pool", EVENTS, EVENT_S) for n in range(3)]
    engines.append(Engine(deployment, "i-b0", "lm-pool-b", EVENTS, EVENT_S))
    for engine in engines:
        await engine.start()
    await asyncio.sleep(1.5)
    items = [
        make_item(f"e5b2907c14da6f{n:02}", f"/drafts/{n}/91c4", group=f"g{n // 4}")
        for n in range(ITEMS)
    ]
    batch = {"step": 0, "model": "m0", "min_version": 1, "target_groups": 2, "items": items}
    await deployment.submit("/drafts/7c41e0", "7c41e09b52d6a3f8", batch)
    await asyncio.sleep(0.3)
    if trouble:
        await deployment.put_config(config(2, "lm-pool-b"))
    await deployment.name_version("m0", 2)
    results = await deployment.read_results("7c41e09b52d6a3f8", ITEMS, 30.0)
    if len(results) < ITEMS:
        return [f"only {len(results)} results came"]
    breaks = []
    for result in results:
        if len(result.get("versions", [])) > 1:
            breaks.append(f"VERSION: {result['id']} has versions {result['versions']}")
    return breaks


play(case, FOLDER / "record.txt")
