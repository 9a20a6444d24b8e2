"""What all daemons share: a daemon ends when a part that it needs has ended."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale.daemons.replica import ProposeEvent, ReadEvent, TransferEvent
from apricotvale.daemons.runtime import TaskGroup, until_stopped
from tests.platform_site import Site

LONG_S = 30.0


async def fail():
    raise RuntimeError("a fault of ours")


async def test_a_daemon_runs_until_it_is_told_to_stop():
    stop = asyncio.Event()
    async with TaskGroup() as tasks:
        waiting = asyncio.create_task(until_stopped(stop, tasks.start(asyncio.sleep(LONG_S))))
        await asyncio.sleep(0.02)
        assert not waiting.done()
        stop.set()
        await asyncio.wait_for(waiting, 1.0)


async def test_a_daemon_ends_when_a_part_that_it_needs_fails():
    async with TaskGroup() as tasks:
        needed = tasks.start(fail())
        await asyncio.wait_for(until_stopped(asyncio.Event(), needed), 1.0)


@pytest.mark.parametrize("owner, name", [("tender", "tick"), ("replica", "is_alone")])
async def test_a_control_replica_does_not_go_on_without_a_part(tmp_path, monkeypatch, owner, name):
    async with Site(tmp_path) as site:
        await site.settle()
        at, control = next((i, c) for i, c in enumerate(site.controls) if c.led_term)
        monkeypatch.setattr(getattr(control, owner), name, lambda *_: 1 / 0)
        await asyncio.wait_for(site.tasks[at], 5.0)


def a_command(future):
    return ProposeEvent(b"command", future)


@pytest.mark.parametrize("make_event", [a_command, ReadEvent, TransferEvent])
async def test_a_caller_that_has_gone_does_not_end_a_replica(tmp_path, make_event):
    async with Site(tmp_path) as site:
        await site.settle()
        at, control = next((i, c) for i, c in enumerate(site.controls) if not c.replica.leads)
        gone = asyncio.get_running_loop().create_future()
        gone.cancel()
        control.replica.post(make_event(gone))
        await asyncio.sleep(0.1)
        assert not control.replica.ended
        assert not site.tasks[at].done()
