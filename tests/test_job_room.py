"""What jobs occupy, and which of them are accepted beside others."""

from __future__ import annotations

import pytest

from apricotvale.jobs import Item, ItemState, Job, Result, RewardCall
from apricotvale.jobs.store import JobBookState, JobStore

MIB = 1024 * 1024


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
        assert store.find_item("j", f"j-{number}").body
        store.append_result("j", Result(f"j-{number}", ItemState.COMPLETED, b"text"))
    items = store.state.records["j"].job.items
    assert [(entry.item_id, entry.body, entry.reward) for entry in items] == [
        (f"j-{number}", b"", None) for number in range(3)
    ]
    assert "j" in store.changed
