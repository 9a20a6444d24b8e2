"""Measures what the record of a stream's origin adds to the time of its first event.

`python -m bench.first_events` prints a line for each time that the upstream takes for the first
event. Streams that need a record and streams that need none alternate in one run; compare times
only within one run.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from pathlib import Path

from apricotvale import events
from tests.platform_site import Site
from tests.stream_callers import put_chats, read_stream, set_versions, wait_for_usual_origin

ROUNDS = 40
STREAMS_PER_ROUND = 10
FIRST_EVENT_S = (0.0, 0.02, 0.1)


async def measure(site: Site, first_s: float) -> dict[str, list[float]]:
    """Return the times to the first event in seconds, by the version that generated it."""
    for engine in site.engines:
        engine.first_s, engine.events = first_s, 1
    times: dict[str, list[float]] = {}
    for number in range(ROUNDS):
        streams = [
            read_stream(site.session, site.url, f"r-{first_s}-{number}-{n}")
            for n in range(STREAMS_PER_ROUND)
        ]
        for received in await asyncio.gather(*streams):
            (version,) = received.versions
            times.setdefault(version, []).append(received.first_at - received.sent_at)
    return times


async def run(folder: Path) -> None:
    """Measure a deployment with two engines of different versions."""
    async with Site(folder) as site:
        await site.wait_until_ready()
        site.keep_sending_heartbeats()
        await put_chats(site)
        usual = await wait_for_usual_origin(site)
        await set_versions(site, "v1", "v2")
        await measure(site, 0.0)
        for first_s in FIRST_EVENT_S:
            times = await measure(site, first_s)
            plain = times.pop(usual)
            (recorded,) = times.values()
            figures = [statistics.median(plain) * 1000, statistics.median(recorded) * 1000]
            tails = [statistics.quantiles(found, n=20)[-1] * 1000 for found in (plain, recorded)]
            print(
                f"upstream {first_s * 1000:.0f} ms: without a record {figures[0]:.1f} ms "
                f"(p95 {tails[0]:.1f}, {len(plain)}), with {figures[1]:.1f} ms "
                f"(p95 {tails[1]:.1f}, {len(recorded)}), ratio {figures[1] / figures[0]:.2f}"
            )


def main() -> None:
    """Run the measurement."""
    events.configure("bench", level="CRITICAL")
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder)))


if __name__ == "__main__":
    main()
