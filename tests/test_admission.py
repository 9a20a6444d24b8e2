"""Tests of refusals for lack of capacity: jobs, reward calls and second copies of requests."""

from __future__ import annotations

import asyncio
import json
import random

import pytest
from attrs import evolve

from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.daemons.forwarder import FULL_S, SHORTAGE_S, Forwarder
from apricotvale.daemons.job_runner import JobRunner
from apricotvale.daemons.permits import LeaderPermits
from apricotvale.discovery import RegistryView, Standing, Upstream, UpstreamDelta
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Item, Job
from apricotvale.jobs.admission import MIN_RETRY_S, refuse, spread
from apricotvale.jobs.planning import GroupWork, Room
from apricotvale.jobs.scheduling import sort_by_priority
from apricotvale.limits.permits import PermitIssuer
from apricotvale.outcomes import Reason, not_run
from apricotvale.platform import names
from apricotvale.requests.calls import Answer, Call
from apricotvale.routes import Backend, Route, RouteKind, RouteTable
from tests.platform_site import item, job, table

GROUP = GroupWork("open", "g", 0, ("", "m"), 8.0, 12.0, 4.0, 4.0, 1.0)
NEW = evolve(GROUP, job_id="new")
BUSY = Room(4, (1.0, 1.0, 1.0, 1.0))


def retry_after(open_groups=20, new=NEW, room=BUSY, **changes):
    """Return the answer for one new group beside a number of open groups of four run seconds."""
    works = [evolve(GROUP, group=f"g{n}", has_begun=True, **changes) for n in range(open_groups)]
    needed = {"open": open_groups, "new": 30}
    return refuse(works, [new], needed, room, {}, 0.0)


def test_a_job_is_refused_if_none_of_its_groups_can_be_complete():
    """Load pattern: jobs arrive for minutes faster than they can be run."""
    assert retry_after(open_groups=5) is None
    # Of the 48 s of slots until the trainer gives up, runs take 4 s and 11 open groups the rest.
    assert retry_after(open_groups=20) == pytest.approx((4 + 11 * 4 + 4) / 4 - 12)
    assert retry_after(open_groups=0, new=evolve(NEW, longest_s=13.0)) is not None


@pytest.mark.parametrize(
    ("new", "room"),
    [
        (NEW, Room(5, (1.0,) * 4)),
        (NEW, Room(0)),
        (evolve(NEW, give_up_at=float("inf")), BUSY),
        (evolve(NEW, urgency=7), BUSY),
    ],
    ids=["free slots", "no engine", "no deadline", "guaranteed share"],
)
def test_a_job_is_not_refused(new, room):
    """Guards against refusals of jobs that can be served, or of which nothing is known."""
    assert retry_after(new=new, room=room) is None


def test_the_guaranteed_share_carries_only_so_much():
    """Guards against a less urgent class whose jobs are all accepted and none completed."""
    urgent = [evolve(GROUP, group=f"u{n}", has_begun=True) for n in range(20)]
    less = [evolve(GROUP, job_id="l", group=f"l{n}", urgency=7, has_begun=True) for n in range(20)]
    needed = {"open": 20, "l": 20, "new": 30}
    assert refuse(urgent + less, [evolve(NEW, urgency=7)], needed, BUSY, {}, 0.0) is not None


def test_callers_that_come_back_together_are_spread():
    """Load pattern: many callers are refused at the same time."""
    rng = random.Random(1)
    delays = [spread(2.0, rng.random()) for _ in range(1_000)]
    assert min(delays) >= 2.0 and max(delays) <= 3.0
    in_each_tenth = [sum(2.0 + n / 10 <= d < 2.1 + n / 10 for d in delays) for n in range(10)]
    assert max(in_each_tenth) < 200


# Over real sockets


async def submit(site, job_id, document):
    fields = {"Host": "desk.example", names.REQUEST_ID: job_id}
    body = json.dumps(document).encode()
    async with site.session.post(site.url + "/drafts/jobs", headers=fields, data=body) as response:
        return response.status, response.headers, await response.read()


async def test_a_refused_job_has_not_run_and_may_come_back(site):
    """Load pattern: all slots are taken by long items until after the trainer gives up.

    Guards against a refusal of a job of which some items ran, and of a job id seen before.
    """
    document = table(8)
    document["routes"][1]["run_deadline_ms"] = 7_500
    assert await site.put_table(document) == 200
    for engine in site.engines:
        engine.events, engine.event_s = 2_000, 0.01
    long = [{**item(f"i-{n}", f"g-{n}", False), "tokens": 40_000} for n in range(20)]

    async def running():
        return sum(len(engine.requests) for engine in site.engines)

    assert (await submit(site, "j-1", job(*long)))[0] == 202
    await site.wait_until(running, lambda count: count >= 16)
    await asyncio.sleep(1.0)
    status, headers, body = await submit(site, "j-2", job(item("late")))
    assert status == 429 and float(headers[names.RETRY_AFTER]) >= MIN_RETRY_S
    assert json.loads(body)["ran"] == "not_run"
    assert (await submit(site, "j-1", job(*long)))[0] == 202
    assert (await site.results("j-2"))[0] == 404
    async with site.session.delete(site.url + "/api/lots/j-1") as response:
        assert response.status == 200
    await asyncio.sleep(0.3)
    targets = [r.target for s in [*site.engines, *site.desks] for r in s.requests]
    assert not any("late" in target for target in targets)
    for engine in site.engines:
        engine.events = 5
    assert (await submit(site, "j-2", job(item("late"))))[0] == 202
    assert (await site.all_results("j-2", 1))["late"]["state"] == "completed"


# Reward calls and second copies


class FakeClient:
    """Answers each call with the result set for its upstream, after a delay."""

    def __init__(self, results, delay_s=0.0):
        self.results = results
        self.delay_s = delay_s
        self.sent = []

    async def call(self, upstream, call):
        self.sent.append(upstream.upstream_id)
        await asyncio.sleep(self.delay_s)
        return self.results[upstream.upstream_id]


FEES = Route("fees", "host", "/f/", RouteKind.SAFE, (Backend("desk", 1),), 1_500, 200.0, 4)
FULL = not_run(Reason.OVERLOADED)
OK = Answer(200, b"", (), "s")


def make_forwarder(results, delay_s=0.0, capacity=8):
    view = RegistryView()
    upstreams = [
        Upstream(name, 1, 1, "desk", f"x:{n}", "a", capacity, Standing.READY)
        for n, name in enumerate(results)
    ]
    view.apply(UpstreamDelta(1, True, upstreams))
    client, permits = FakeClient(results, delay_s), LeaderPermits(view, PermitIssuer())
    guard = CrashGuard("edge", view, client, None, lambda: True)
    return Forwarder("a", view, client, ignore, ignore, permits, guard)


def ignore(upstream):
    """Take an upstream that states that it leaves, or its limit."""


def make_call(deadline_s=0.3):
    return Call("POST", "/f/1", "host", "r-1", b"", asyncio.get_running_loop().time() + deadline_s)


async def test_reward_calls_use_half_of_the_slots_while_callers_are_refused(monkeypatch):
    """Load pattern: a burst of reward calls beside callers of the same service."""
    now = [100.0]
    monkeypatch.setattr("apricotvale.clock.now", lambda: now[0])
    forwarder = make_forwarder({"a": FULL, "b": FULL})
    runner = JobRunner(FleetState(), None, forwarder, forwarder.permits, None, "v")
    assert runner.reward_limit("desk") == 14
    await forwarder.forward(FEES, evolve(make_call(), deadline=101.0))
    assert runner.reward_limit("desk") == 8
    now[0] += SHORTAGE_S
    assert runner.reward_limit("desk") == 14


@pytest.mark.parametrize(("capacity", "copies"), [(2, 2), (1, 1)])
async def test_no_second_copy_is_sent_while_all_slots_are_taken(monkeypatch, capacity, copies):
    """Load pattern: callers fill every slot, so that each request is slow."""
    forwarder = make_forwarder({"a": OK, "b": OK}, 0.25, capacity)
    for upstream in forwarder.view.ready("desk"):
        forwarder.router.begin(upstream)
    forwarder.router.end(forwarder.view.ready("desk")[0])
    loop = asyncio.get_running_loop()
    monkeypatch.setattr("apricotvale.clock.now", loop.time)
    assert await forwarder.forward(FEES, make_call(1.0)) == OK
    assert len(forwarder.client.sent) == copies


async def test_an_upstream_that_refused_counts_as_full_for_a_short_time():
    """Guards against second copies to a service whose slots other processes have taken."""
    forwarder = make_forwarder({"a": FULL, "b": FULL})
    upstreams = forwarder.view.ready("desk")
    forwarder.full_since = {upstream.incarnation: 10.0 for upstream in upstreams}
    assert forwarder.is_service_full(upstreams, 10.0 + FULL_S / 2)
    assert not forwarder.is_service_full(upstreams, 10.0 + FULL_S)


# The order of the runner


def make_runner(jobs, engines=2):
    state = FleetState()
    for number in range(engines):
        engine = Upstream(f"e-{number}", 1, 1, "lm", f"x:{number}", "a", 6, Standing.READY)
        state.registry.announce(engine, number + 1)
    for index, accepted in enumerate(jobs):
        state.jobs.accept(accepted, index + 10)
    forwarder = make_forwarder({"a": OK})
    runner = JobRunner(state, None, forwarder, forwarder.permits, None, "v")
    route = Route(
        "drafts", "host", "/run/", RouteKind.JOB, (Backend("lm", 1),), 10_000, job_deadline_ms=7_500
    )
    runner.table = RouteTable(1, (route,), {})
    return runner


def make_job(name, groups, tokens=1_000):
    items = [
        Item(f"{name}-{group}-{n}", "/run/", {}, b"", 9_000, tokens + n, f"g{group}")
        for group in range(groups)
        for n in range(8)
    ]
    return Job(name, "host", "/run/", tuple(items), 0, "m", 0, groups)


def waiting_of(runner, now):
    records = runner.state.jobs.open_records()
    for record in records:
        runner.seen_at.setdefault(record.job.job_id, now)
    return runner.find_waiting(records, now)


def test_the_runner_keeps_the_order_of_least_slack_without_overload():
    """Guards against a change of the order of items while there is no overload."""
    runner = make_runner([make_job("j-1", 2), make_job("j-2", 2)])
    waiting = waiting_of(runner, 100.0)
    assert waiting == sort_by_priority(waiting) and len(waiting) == 32
    assert len({candidate.item.group for candidate in waiting[:4]}) == 2


def test_the_runner_starts_whole_groups_during_overload():
    """Load pattern: a step of 40 groups on two engines; every group would get some slots."""
    runner = make_runner([make_job("j-1", 40)])
    waiting = waiting_of(runner, 100.0)
    assert len(waiting) == 320
    assert len({candidate.item.group for candidate in waiting[:16]}) == 2
    assert runner.capacity.pools[frozenset(["lm"])].overload.is_active


def test_the_runner_drops_ended_jobs_and_finished_items_from_its_plan():
    """Guards against a run of an item that has a result, while a plan is up to 50 ms old."""
    runner = make_runner([make_job("j-1", 40), make_job("j-2", 40)])
    waiting_of(runner, 100.0)
    runner.state.jobs.end("j-1")
    record = runner.state.jobs.state.records["j-2"]
    done = record.job.items[0].item_id
    runner.state.jobs.finished_items["j-2"].add(done)
    left = waiting_of(runner, 100.01)
    assert {candidate.job.job_id for candidate in left} == {"j-2"}
    assert done not in {candidate.item.item_id for candidate in left}


def test_a_new_leader_knows_how_long_jobs_have_been_open(monkeypatch):
    """Load pattern: a leader's first second with all jobs open.

    Guards against a step that is due now and counts as just submitted after a change of leader.
    """
    now = [100.0]
    monkeypatch.setattr("apricotvale.clock.now", lambda: now[0])
    runner = make_runner([make_job("j-1", 40)], engines=0)
    runner.tick(106.0)
    assert runner.seen_at["j-1"] == 100.0


def test_runs_of_a_job_past_its_give_up_time_stop_for_items_that_can_be_in_time():
    """Load pattern: the slots are full of items of a step whose trainer has given up."""
    old, new = make_job("j-1", 40), make_job("j-2", 40)
    runner = make_runner([old, new])
    runner.seen_at["j-1"] = 80.0
    for candidate in old.items[:11]:
        run = runner.runs["j-1", candidate.item_id] = runner.create_run(old, candidate)
        run.engine, run.started_at = Upstream("e-0", 1, 1, "lm", "x", "a", 6, Standing.READY), 99.0
    waiting_of(runner, 100.0)
    assert not any(run.move_requested for run in runner.runs.values())
    candidate = old.items[11]
    run = runner.runs["j-1", candidate.item_id] = runner.create_run(old, candidate)
    run.engine, run.started_at = Upstream("e-1", 1, 1, "lm", "x", "a", 6, Standing.READY), 99.0
    waiting_of(runner, 100.1)
    assert all(run.move_requested for run in runner.runs.values())
