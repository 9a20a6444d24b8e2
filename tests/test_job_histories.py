"""Tests of the consistency of jobs and tables under process failures, and of the checkers."""

from __future__ import annotations

import pytest

from apricotvale.daemons.fleet_control import FleetControl
from apricotvale.fleet import calls
from tests import job_histories
from tests.job_histories import History, Read, TableCall, Workload, find_violations
from tests.platform_site import Site

CONSISTENT_READS = [
    Read("j", 0.0, 1.0, 0, 2, ("a", "b")),
    Read("j", 2.0, 3.0, 0, 3, ("a", "b", "c")),
]
CONSISTENT_HISTORY = History(
    {"j": ["a", "b", "c"]}, CONSISTENT_READS, [TableCall("write", 1, 0.0, 1.0)]
)


def inject_nothing(site):
    """Inject no fault."""


def stop_leader(site):
    """Stop the leader's process."""
    for control, task in zip(site.controls, site.tasks, strict=False):
        if control.replica.leads:
            task.cancel()
            return


def stop_follower(site):
    """Stop a follower's process."""
    for control, task in zip(site.controls, site.tasks, strict=False):
        if not control.replica.leads:
            task.cancel()
            return


def cut_streams(site):
    """Make the engines cut their streams, then stop the leader's process."""
    for engine in site.engines:
        engine.behaviour = "cut stream"
    stop_leader(site)


@pytest.mark.parametrize("fault", [inject_nothing, stop_leader, stop_follower, cut_streams])
async def test_histories_are_consistent_under_faults(tmp_path, fault):
    async with Site(tmp_path) as site:
        await site.wait_until_ready()
        for engine in site.engines:
            engine.event_s = 0.05
        history = await Workload(site, seed=3).run(fault)
    assert not find_violations(history)
    assert len(history.accepted) == job_histories.SUBMITTERS * job_histories.JOBS_PER_SUBMITTER
    assert {call.kind for call in history.tables} == {"read", "write"}


async def test_a_job_acknowledged_before_its_commit_is_detected(tmp_path, monkeypatch):
    async def accept_without_commit(self, request):
        """Simulate a bug: acknowledge the job without committing it."""
        return calls.Accepted()

    monkeypatch.setattr(job_histories, "COMPLETION_TIMEOUT_S", 1.0)
    monkeypatch.setattr(FleetControl, "on_submit", accept_without_commit)
    async with Site(tmp_path) as site:
        await site.wait_until_ready()
        history = await Workload(site, seed=3).run(stop_leader)
    assert find_violations(history)


def test_a_consistent_history_is_accepted():
    assert not find_violations(CONSISTENT_HISTORY)


@pytest.mark.parametrize(
    "reads, tables",
    [
        ([Read("j", 4.0, 5.0, 0, 3, ("b", "a", "c"))], []),
        ([Read("j", 4.0, 5.0, 0, 1, ("a",))], []),
        ([Read("j", 4.0, 5.0, 3, 4, ("a",))], []),
        ([Read("j", 4.0, 5.0, 3, 4, ("x",))], []),
        ([], [TableCall("read", 0, 2.0, 3.0)]),
    ],
    ids=["moved", "shrunk", "duplicated", "unknown-item", "reverted"],
)
def test_an_inconsistent_history_is_detected(reads, tables):
    inconsistent = History(
        CONSISTENT_HISTORY.accepted,
        [*CONSISTENT_HISTORY.reads, *reads],
        [*CONSISTENT_HISTORY.tables, *tables],
    )
    assert find_violations(inconsistent)
