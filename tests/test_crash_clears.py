"""An answer clears a request only after the crashes under which it was seen are recorded."""

from __future__ import annotations

import asyncio

from apricotvale import clock
from apricotvale.crashes import calls
from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.discovery import RegistryView
from apricotvale.requests.calls import Call


async def test_an_answer_is_reported_after_the_crash_whose_report_is_under_way():
    """Guards against neighbours of a crash that stay suspected although they were answered."""
    asked = []

    async def ask(request, deadline):
        asked.append(type(request))

    guard = CrashGuard("entry-1", RegistryView(), None, ask, lambda: True)
    call = Call("POST", "/score", "desk", "r-1", b"body", clock.now() + 1.0, caller="")
    async with guard.tasks:
        async with guard.reporting_lock:
            guard.end_trial(call, answered=True)
            await asyncio.sleep(0.05)
            assert asked == []
        await asyncio.sleep(0.05)
        assert asked == [calls.EndTrial]
