"""Ordinary steps of a trainer, and the check of the rule on steps that run out of time."""

from __future__ import annotations

import asyncio
import time

from deployment import item, job

BUDGET_S = 12.0
NOWHERE_S = 5.0
SHORT_RUN_S = 1.0


class Step:
    """An ordinary step of a trainer: it is sent until accepted, read, and ended at its budget."""

    def __init__(self, site, record, number, size):
        self.site, self.record, self.number, self.size = site, record, number, size
        self.job_id = f"step-{number}"
        self.ids = [f"s{number}-{n}" for n in range(size)]
        self.listed = set()
        self.sent_at = self.accepted_at = None

    async def run(self):
        items = [item(name, group=f"g{n // 4}") for n, name in enumerate(self.ids)]
        document = job(items, self.number, target_groups=self.size // 4)
        self.sent_at = time.monotonic()
        self.ends_at = self.sent_at + BUDGET_S
        turn = self.number
        while time.monotonic() < self.ends_at and self.accepted_at is None:
            answer = await self.site.submit(self.job_id, document, turn, timeout_s=3.0)
            turn += 1
            if answer is not None and answer[0] == 202:
                self.accepted_at = time.monotonic()
            else:
                await asyncio.sleep(0.3)
        while time.monotonic() < self.ends_at and len(self.listed) < self.size:
            status, page = await self.site.results(self.job_id, 0, turn, timeout_s=2.0)
            turn += 1
            if status == 200:
                self.listed |= {result["id"] for result in page["results"]}
            await asyncio.sleep(0.4)
        self.read_at = time.monotonic()
        took_s = self.read_at - self.sent_at
        self.record(f"{self.job_id}: {len(self.listed)} of {self.size} listed in {took_s:.2f} s")
        for attempt in range(3):
            path = f"/api/lots/{self.job_id}"
            answer = await self.site.request(path, "", attempt, method="DELETE", timeout_s=3.0)
            if answer is not None and answer[0] == 200:
                break

    def breaks(self, engines):
        """Return the items that break the rule on steps that run out of time."""
        if self.accepted_at is None or len(self.listed) == self.size:
            return []
        runs = [
            (begin, request_id, end or time.monotonic())
            for engine in engines
            for begin, request_id, _, end in engine.runs
        ]
        counted = [run for run in runs if run[2] - run[0] >= SHORT_RUN_S]
        finished = set().union(*(engine.finished for engine in engines))
        half = sum(engine.capacity for engine in engines) / 2
        broken = []
        for name in self.ids:
            if name in finished or name in self.listed:
                continue
            own = sorted((b, e) for b, request_id, e in counted if request_id == name)
            edges = [self.accepted_at, *(t for b, e in own for t in (b, e)), self.ends_at]
            gaps = list(zip(edges[::2], edges[1::2], strict=True))
            for begin, end in gaps:
                if end - begin < NOWHERE_S:
                    continue
                starts = [begin, *(e for _, _, e in runs if begin < e <= end - NOWHERE_S)]
                if any(
                    busiest(runs, at, at + NOWHERE_S) < half
                    and any(b < at + NOWHERE_S and r in self.ids and r != name for b, r, _ in runs)
                    for at in starts
                ):
                    broken.append((name, end - begin))
                    break
        return broken


def busiest(runs, begin, end):
    """Return the largest number of runs at the same time in an interval."""
    inside = [run for run in runs if run[2] > begin and run[0] < end]
    times = [begin, *(run[0] for run in inside)]
    return max(sum(b <= at < e for b, _, e in inside) for at in times)


async def send_requests(site, served):
    """Send safe requests at all entries, as interactive callers do, and count those served."""
    count = 0
    while True:
        count += 1
        answer = await site.request(
            f"/fees/{count}", f"f-{count}", count, fields=[("Deadline-Ms", "1500")], timeout_s=2.0
        )
        served.append(answer is not None and answer[0] == 200)
        await asyncio.sleep(0.03)


def starved(record, steps, served):
    """Return the break of the rule on starved kinds of request, if there is one."""
    listed = sum(len(step.listed) for step in steps)
    asked = sum(step.size for step in steps)
    accepted = sum(step.accepted_at is not None for step in steps)
    share = listed / asked
    all_share = (sum(served) + listed) / (len(served) + asked)
    record(f"steps: {accepted} of {len(steps)} accepted; items: {share:.3f} of them were served")
    record(f"safe requests: {sum(served)} of {len(served)} served; all: {all_share:.3f}")
    if share >= all_share / 4:
        return []
    return [
        f"Starved: the items of steps were served {share:.3f} as often as asked for, all "
        f"requests {all_share:.3f}"
    ]
