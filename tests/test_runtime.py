"""Daemon runtime: a daemon shuts down when a required task ends."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale.daemons.replica import ProposeEvent, ReadEvent, TransferEvent
from apricotvale.daemons.runtime import TaskGroup, wait_until_stopped
from tests.platform_site import Site

TASK_DURATION_S = 30.0


async def fail():
    raise RuntimeError("injected failure")


async def test_a_daemon_runs_until_the_stop_event():
    stop = asyncio.Event()
    async with TaskGroup() as tasks:
        daemon_task = asyncio.create_task(
            wait_until_stopped(stop, tasks.start(asyncio.sleep(TASK_DURATION_S)))
        )
        await asyncio.sleep(0.02)
        assert not daemon_task.done()
        stop.set()
        await asyncio.wait_for(daemon_task, 1.0)


async def test_a_daemon_ends_when_a_required_task_fails():
    async with TaskGroup() as tasks:
        required = tasks.start(fail())
        await asyncio.wait_for(wait_until_stopped(asyncio.Event(), required), 1.0)


@pytest.mark.parametrize("owner, name", [("load_scheduler", "tick"), ("replica", "has_no_leader")])
async def test_a_control_replica_ends_when_a_required_task_fails(
    tmp_path, monkeypatch, owner, name
):
    async with Site(tmp_path) as site:
        await site.wait_until_ready()
        i, control = next((i, c) for i, c in enumerate(site.controls) if c.leading_term)
        monkeypatch.setattr(getattr(control, owner), name, lambda *_: 1 / 0)
        await asyncio.wait_for(site.tasks[i], 5.0)


def propose_event(future):
    return ProposeEvent(b"command", future)


@pytest.mark.parametrize("make_event", [propose_event, ReadEvent, TransferEvent])
async def test_a_cancelled_caller_does_not_end_a_replica(tmp_path, make_event):
    async with Site(tmp_path) as site:
        await site.wait_until_ready()
        i, control = next((i, c) for i, c in enumerate(site.controls) if not c.replica.leads)
        cancelled = asyncio.get_running_loop().create_future()
        cancelled.cancel()
        control.replica.post(make_event(cancelled))
        await asyncio.sleep(0.1)
        assert not control.replica.stopped
        assert not site.tasks[i].done()
