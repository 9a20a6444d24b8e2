"""Load patterns with too little capacity, replayed in virtual time."""

from __future__ import annotations

import random
from collections import Counter

from attrs import define, field

from apricotvale.jobs import Item, ItemState, Job, Result
from apricotvale.jobs.backlog import OpenJob, group_work, plan_items
from apricotvale.jobs.planning import LATE_S, Overload, Room, overload_ratio
from apricotvale.jobs.scheduling import sort_by_priority, waiting_items
from apricotvale.jobs.shares import Shares
from apricotvale.routes import Backend, Route, RouteKind

ROUTE = Route(
    "drafts", "host", "/run/", RouteKind.JOB, (Backend("lm", 1),), 10_000, job_deadline_ms=7_500
)
TICK_S = 0.05
DUE_S = 7.5
IN_TIME_S = DUE_S + LATE_S
GIVE_UP_S = 12.0
SECONDS_PER_TOKEN = 0.0009
# Mean factor of a log-normal distribution with this sigma, which the measured pace contains.
SIGMA = 0.8
MEAN_FACTOR = 1.377


@define
class Replay:
    """Open jobs on a number of slots, with the decisions of the leader.

    :param plans: whether the plan orders the items during overload.
    :param finished_at: time of the last result, by job and complete group.
    """

    slots: int
    plans: bool
    rng: random.Random
    now: float = 0.0
    jobs: dict = field(factory=dict)
    submitted_at: dict = field(factory=dict)
    results: dict = field(factory=dict)
    running: dict = field(factory=dict)
    finished_at: dict = field(factory=dict)
    overload: Overload = field(factory=Overload)
    shares: Shares = field(factory=Shares)

    def submit(self, job, urgency=0):
        self.jobs[job.job_id] = OpenJob(job, ROUTE, self.now, urgency)
        self.submitted_at[job.job_id] = self.now
        self.results[job.job_id] = []

    def tick(self):
        self.finish_runs()
        pace = SECONDS_PER_TOKEN * MEAN_FACTOR
        elapsed = {key: self.now - run[0] for key, run in self.running.items()}
        works, running_s = group_work(self.jobs.values(), elapsed, self.running, pace)
        room = Room(self.slots, tuple(running_s))
        self.overload.update(overload_ratio(works, room, self.now), self.now)
        if self.plans and self.overload.is_active:
            served = self.shares.by_owner(pace)
            order, _ = plan_items(self.jobs, works, room, self.running, {}, served, self.now)
        else:
            order = self.order_without_plan(pace)
        for waiting in order[: self.slots - len(self.running)]:
            seconds = waiting.item.expected_tokens * SECONDS_PER_TOKEN
            ends_at = self.now + seconds * self.rng.lognormvariate(0, SIGMA)
            self.running[waiting.job.job_id, waiting.item.item_id] = (self.now, ends_at)
        self.shares.decay(self.now)
        for job_id, _ in self.running:
            if job_id in self.jobs:
                self.shares.add(0, self.jobs[job_id].owner, TICK_S / pace)
        self.now += TICK_S

    def order_without_plan(self, pace):
        found = []
        for job_id, held in self.jobs.items():
            items = [item for group in held.groups.values() for item in group.items]
            items = [item for item in held.job.items if item.item_id in set(items)]
            items = [item for item in items if (job_id, item.item_id) not in self.running]
            due_at = self.submitted_at[job_id] + DUE_S
            found += waiting_items(held.job, items, ROUTE, due_at, pace)
        return sort_by_priority(found)

    def finish_runs(self):
        for key in [key for key, run in self.running.items() if run[1] <= self.now]:
            ends_at = self.running.pop(key)[1]
            held = self.jobs.get(key[0])
            if held is None:
                continue
            group = held.group_of[key[1]]
            self.results[key[0]].append(Result(key[1], ItemState.COMPLETED))
            held.apply(self.results[key[0]])
            if group not in held.groups:
                self.finished_at[key[0], group] = ends_at - self.submitted_at[key[0]]
            if held.needed <= 0:
                del self.jobs[key[0]]


def make_job(name, rng, groups=10, size=8, model="m", customer="", wanted=None, scale=1.0):
    """Return a step: half of its items take under 0.5 s, a few take seconds."""
    items = []
    for group in range(groups):
        for number in range(size):
            tokens = int(scale * min(5_000, max(150, rng.lognormvariate(6.3, 0.7))))
            name_of = f"{name}-{group}-{number}"
            items.append(Item(name_of, "/run/", {}, b"", 9_000, tokens, f"{group}", None, 300))
    wanted = wanted or -(-groups * 9 // 10)
    return Job(name, "host", "/run/", tuple(items), 0, model or customer, 0, wanted)


def expected_seconds(job):
    return sum(item.expected_tokens for item in job.items) * SECONDS_PER_TOKEN * MEAN_FACTOR


def run_steps(load, plans, seed, models=("a", "b", "c"), steps=6):
    """Return the share of wanted groups complete in time, by model, with a step each 4 s."""
    rng = random.Random(seed)
    sizes = dict(zip(models, (6, 12, 20), strict=False))
    jobs = [
        (4.0 * step, make_job(f"{model}-{step}", rng, size, 8 if size < 20 else 16, model))
        for step in range(steps)
        for model, size in sizes.items()
    ]
    work = sum(expected_seconds(job) for _, job in jobs)
    replay = Replay(round(work / (4.0 * steps) / load), plans, rng)
    pending = list(jobs)
    while replay.now < 4.0 * steps + GIVE_UP_S:
        while pending and pending[0][0] <= replay.now:
            replay.submit(pending.pop(0)[1])
        replay.tick()
    shares = {}
    for model in models:
        wanted = sum(job.wanted_groups for _, job in jobs if job.model == model)
        done = Counter(job_id for (job_id, _), t in replay.finished_at.items() if t <= IN_TIME_S)
        counts = sum(
            min(job.wanted_groups, done[job.job_id]) for _, job in jobs if job.model == model
        )
        shares[model] = counts / wanted
    return shares
