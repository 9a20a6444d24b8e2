"""An answer clears a request, whenever the evidence of a crash beside it arrives."""

from __future__ import annotations

import asyncio

from apricotvale import clock
from apricotvale.crashes import calls
from apricotvale.crashes.evidence import Loss
from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.daemons.supervision import Supervision
from apricotvale.discovery import RegistryView
from apricotvale.requests.calls import Call
from tests.test_crash_records import UPSTREAM


def make_call():
    return Call("POST", "/score", "desk", "r-1", b"body", clock.now() + 1.0, caller="")


async def test_an_answer_is_reported_after_the_crash_whose_report_is_under_way():
    """Guards against neighbours of a crash that stay suspected although they were answered."""
    asked = []

    async def ask(request, deadline):
        asked.append(type(request))

    guard = CrashGuard("entry-1", RegistryView(), None, ask, lambda: True)
    call = make_call()
    async with guard.tasks:
        async with guard.reporting_lock:
            guard.end_trial(call, answered=True)
            await asyncio.sleep(0.05)
            assert asked == []
        await asyncio.sleep(0.05)
        assert asked == [calls.EndTrial]


async def test_evidence_that_comes_after_the_answer_is_not_held_against_a_request():
    """The upstream accepts connections again, and only its new registration shows that it ended."""
    guard = CrashGuard("entry-1", RegistryView(), None, None, lambda: True)
    call = make_call()
    supervision = Supervision(guard, call, asyncio.get_running_loop().create_future())
    guard.losses.add(Loss(call.identity, "r-1", UPSTREAM, 0, clock.now() + 5.0, False))
    guard.losses.add(Loss(call.identity, "r-2", UPSTREAM, 0, clock.now() + 5.0, False))
    supervision.finish_copy(answered=True)
    assert [loss.request_id for loss in guard.losses.pending] == ["r-2"]
