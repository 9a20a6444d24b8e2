"""What callers see of jobs and tables while processes fail, and the checkers' own tests."""

from __future__ import annotations

import pytest

from apricotvale.daemons.fleet_control import FleetControl
from apricotvale.fleet import calls
from tests import job_histories
from tests.job_histories import History, Players, Read, TableCall, check
from tests.platform_site import Site

READS = [Read("j", 0.0, 1.0, 0, 2, ("a", "b")), Read("j", 2.0, 3.0, 0, 3, ("a", "b", "c"))]
SOUND = History({"j": ["a", "b", "c"]}, READS, [TableCall("write", 1, 0.0, 1.0)])


def nothing(site):
    """No fault."""


def end_leader(site):
    """End the leader's process."""
    for control, task in zip(site.controls, site.tasks, strict=False):
        if control.replica.leads:
            task.cancel()
            return


def end_follower(site):
    """End a follower's process."""
    for control, task in zip(site.controls, site.tasks, strict=False):
        if not control.replica.leads:
            task.cancel()
            return


def cut_streams(site):
    """Let the engines break off their texts, then end the leader's process."""
    for engine in site.engines:
        engine.behaviour = "cut stream"
    end_leader(site)


@pytest.mark.parametrize("fault", [nothing, end_leader, end_follower, cut_streams])
async def test_what_callers_see_is_consistent(tmp_path, fault):
    async with Site(tmp_path) as site:
        await site.settle()
        for engine in site.engines:
            engine.event_s = 0.05
        history = await Players(site, seed=3).play(fault)
    assert not check(history)
    assert len(history.accepted) == job_histories.SUBMITTERS * job_histories.JOBS_EACH
    assert {call.kind for call in history.tables} == {"read", "write"}


async def test_a_job_that_is_acknowledged_too_early_is_found(tmp_path, monkeypatch):
    async def acknowledge(self, request):
        """A bug: the job is acknowledged, and then lost with the leader."""
        return calls.Accepted()

    monkeypatch.setattr(job_histories, "DONE_S", 1.0)
    monkeypatch.setattr(FleetControl, "on_submit", acknowledge)
    async with Site(tmp_path) as site:
        await site.settle()
        history = await Players(site, seed=3).play(end_leader)
    assert check(history)


def test_a_sound_history_is_accepted():
    assert not check(SOUND)


@pytest.mark.parametrize(
    "reads, tables",
    [
        ([Read("j", 4.0, 5.0, 0, 3, ("b", "a", "c"))], []),
        ([Read("j", 4.0, 5.0, 0, 1, ("a",))], []),
        ([Read("j", 4.0, 5.0, 3, 4, ("a",))], []),
        ([Read("j", 4.0, 5.0, 3, 4, ("x",))], []),
        ([], [TableCall("read", 0, 2.0, 3.0)]),
    ],
    ids=["moved", "shrunk", "doubled", "foreign", "reverted"],
)
def test_a_flaw_in_a_history_is_found(reads, tables):
    flawed = History(SOUND.accepted, [*SOUND.reads, *reads], [*SOUND.tables, *tables])
    assert check(flawed)
