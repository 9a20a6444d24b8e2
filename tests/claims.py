"""A non-idempotent request with resends, under every fault at every crossing."""

from __future__ import annotations

import asyncio

from apricotvale.daemons.upstreams import Answer
from tests.world import CONTROL_FAULTS, SIDECAR_FAULTS, World, is_not_run

RESULT_HELD = "held"
KEY = "key"


async def resend_after(world):
    """Send, resend through another entry, then through the first, then late messages arrive."""
    answers = []
    for name in ("entry-1", "entry-2", "entry-1"):
        answers.append(await checked(world, name))
        world.report_outcomes()
    await world.release_delayed()
    return answers


async def resend_at_once(world):
    """Send through two entries at the same time, then once more."""
    answers = list(await asyncio.gather(checked(world, "entry-1"), checked(world, "entry-2")))
    await world.release_delayed()
    answers.append(await checked(world, "entry-1"))
    world.report_outcomes()
    return answers


async def give_up(world):
    """Send once; then late messages arrive."""
    answers = [await checked(world, "entry-1")]
    await world.release_delayed()
    return answers


async def checked(world, name):
    """Send through an entry; a refusal as not run must be true at that moment."""
    answer = await world.request(world.claimant(name, seed=len(world.labels)), KEY)
    if is_not_run(answer) and not world.is_shared:
        assert world.runs.get(KEY, 0) == 0, "refused as not run, but it ran"
    return answer


FLOWS = {
    "resend after": resend_after,
    "resend at once": resend_at_once,
    "give up": give_up,
}


class ClaimWorld(World):
    """A world that knows whether requests overlap."""

    is_shared = False


def run_flow(name, faults, world_class=ClaimWorld):
    """Run a flow with faults by crossing; return the world and 'held' or what broke."""
    world = world_class(dict(faults))
    world.is_shared = name == "resend at once"
    try:
        answers = asyncio.run(FLOWS[name](world))
        check(world, answers)
    except AssertionError as error:
        return world, str(error) or "broken"
    return world, RESULT_HELD


def check(world, answers):
    runs = world.runs.get(KEY, 0)
    assert runs <= 1, f"ran {runs} times"
    given = [answer for answer in answers if isinstance(answer, Answer)]
    assert len({answer.body for answer in given}) <= 1, "two answers differ"
    if given:
        assert runs == 1, "answered, but it did not run"
    if answers and all(is_not_run(answer) for answer in answers):
        assert runs == 0, "refused as not run, but it ran"


def faults_of(kind):
    return CONTROL_FAULTS if kind == "control" else SIDECAR_FAULTS


def crossings(name):
    """Return the crossings of a flow when nothing fails."""
    world, result = run_flow(name, {})
    assert result == RESULT_HELD, result
    return list(enumerate(world.labels))


def single_faults(name):
    """Return every fault at every crossing."""
    return [(at, fault) for at, kind in crossings(name) for fault in faults_of(kind)]


def pairs_of_faults(name):
    """Return every second fault behind every first one, at the crossings that are then passed."""
    for first in single_faults(name):
        world, _ = run_flow(name, [first])
        for at, kind in enumerate(world.labels):
            if at > first[0]:
                for fault in faults_of(kind):
                    yield first, (at, fault)
