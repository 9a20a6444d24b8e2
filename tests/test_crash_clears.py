"""An answer clears a request, whenever the evidence of a crash beside it arrives."""

from __future__ import annotations

import asyncio

from apricotvale import clock
from apricotvale.crashes import calls
from apricotvale.crashes.book import Crash, Suspect, SuspectNotice
from apricotvale.crashes.evidence import Loss
from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.daemons.supervision import Supervision, TrialState
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


async def test_a_trial_is_asked_for_after_the_crash_whose_report_is_under_way():
    """Guards against control that says of a crash which it has not recorded that there is none."""
    asked = []

    async def ask(request, deadline):
        asked.append(type(request))
        return calls.TrialGranted("d-1@1")

    guard = CrashGuard("entry-1", RegistryView(), None, ask, lambda: True)
    with guard.supervise(make_call()) as supervision:
        async with guard.reporting_lock:
            asking = asyncio.create_task(guard.begin_trial(supervision, ["d-1@1"], False))
            await asyncio.sleep(0.05)
            assert asked == []
        await asking
    assert asked == [calls.BeginTrial] and supervision.trial is TrialState.GRANTED


async def test_a_request_that_is_recorded_while_control_answers_stays_suspected():
    """Guards against neighbours of a crash whose answers do not clear them, as nobody knows them.

    Control has answered that the request is not suspected before it recorded the crash.
    """
    call = make_call()
    crash = Crash(UPSTREAM.incarnation, "entry-1", "r-1", 1000, 100)

    async def ask(request, deadline):
        guard.known.learn(SuspectNotice(Suspect(call.identity, [crash]), 60_000), clock.now())
        return calls.NotSuspected()

    guard = CrashGuard("entry-1", RegistryView(), None, ask, lambda: True)
    guard.known.add_own(call.identity, crash, False, clock.now())
    supervision = Supervision(guard, call, asyncio.get_running_loop().create_future())
    await guard.begin_trial(supervision, ["d-1@1"], True)
    assert supervision.trial is TrialState.DENIED
    assert supervision.suspicion(clock.now()).crashes == (crash,)
