"""What jobs occupy, and which of them are accepted beside others."""

from __future__ import annotations

import pytest
from attrs import evolve

from apricotvale.jobs import Item, ItemState, Job, Result, RewardCall
from apricotvale.jobs.room import JobLimits, JobSize
from apricotvale.jobs.store import ITEM_OVERHEAD_BYTES, JobBookState, JobStore, size_of
from tests.platform_site import Site, item, job

MIB = 1024 * 1024
JOB_ITEMS = 80


def make_job(job_id, count, body=b""):
    reward = RewardCall("s", "h", "/s", body)
    items = [Item(f"{job_id}-{n}", "/x", {"Model": "m"}, body, reward=reward) for n in range(count)]
    return Job(job_id, "h", "/x", tuple(items))


@pytest.fixture
def store():
    return JobStore(JobBookState())


def test_a_job_whose_items_all_have_results_holds_no_bodies(store):
    """Guards against bodies that fill the memory of all replicas until their job expires."""
    store.accept(make_job("j", 3, b"x" * MIB), 1)
    for number in range(3):
        assert store.held_size().size_bytes > 2 * (3 - number) * MIB
        store.append_result("j", Result(f"j-{number}", ItemState.COMPLETED, b"text"))
    assert store.held_size() == JobSize(0, 3 * (ITEM_OVERHEAD_BYTES + 4))
    items = store.state.records["j"].job.items
    assert [(entry.item_id, entry.body, entry.reward) for entry in items] == [
        (f"j-{number}", b"", None) for number in range(3)
    ]
    assert "j" in store.changed


def test_items_count_besides_their_bodies(store):
    """Guards against many small items that occupy more than their bodies."""
    store.accept(make_job("j", 1_000), 1)
    assert store.held_size() == size_of(make_job("j", 1_000))
    assert store.held_size().size_bytes >= 1_000 * ITEM_OVERHEAD_BYTES
    store.end("j")
    assert store.held_size() == JobSize(0, 1_000 * ITEM_OVERHEAD_BYTES)


@pytest.mark.parametrize(
    ("needed", "held", "fits"),
    [
        (10, 70, True),
        (10, 71, False),
        (11, 0, True),
        (11, 29, True),
        (11, 30, False),
        (40, 0, True),
        (41, 0, False),
    ],
)
def test_large_jobs_leave_room_for_others(needed, held, fits):
    limits = JobLimits(JOB_ITEMS, 1_000)
    assert limits.fits(JobSize(needed, 0), JobSize(held, 0)) is fits
    assert not limits.fits(JobSize(needed, 1), JobSize(held, 1_000))


@pytest.fixture
async def site(tmp_path):
    async with Site(tmp_path) as site:
        for control in site.controls:
            control.settings = evolve(control.settings, job_items=JOB_ITEMS)
        await site.wait_until_ready()
        site.keep_sending_heartbeats()
        yield site


def waiting_job(name, count):
    """Return a job that waits for a version of its model that is never published."""
    items = [item(f"{name}-{n}", group=f"g{n}", scored=False) for n in range(count)]
    return {**job(*items), "min_version": 2}


async def test_large_jobs_are_refused_while_small_ones_run(site):
    """Guards against a client whose items take up the time of each leader."""
    await site.submit_until_accepted("large-0", waiting_job("large-0", 40))
    assert await site.submit("large-1", waiting_job("large-1", 40)) == 503
    assert await site.submit("larger", waiting_job("larger", 41)) == 413
    for number in range(3):
        await site.submit_until_accepted(f"step-{number}", job(item(f"i-{number}"), step=number))
        results = await site.all_results(f"step-{number}", 1)
        assert results[f"i-{number}"]["state"] == "completed"
