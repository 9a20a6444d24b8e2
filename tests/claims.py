"""Flows of a non-idempotent request with resends, run with faults at each injection point.

An injection point is a call to control or a message to a sidecar.
"""

from __future__ import annotations

import asyncio

from apricotvale.daemons.upstreams import Answer
from tests.world import CONTROL_FAULTS, SIDECAR_FAULTS, FakeSite, is_not_run

RESULT_HELD = "held"
KEY = "key"


async def resend_after(site):
    """Send a request, resend it through both entries, then deliver delayed messages."""
    answers = []
    for name in ("entry-1", "entry-2", "entry-1"):
        answers.append(await send_checked(site, name))
        site.report_outcomes()
    await site.release_delayed()
    return answers


async def resend_at_once(site):
    """Send a request through two entries concurrently, then resend it."""
    answers = list(
        await asyncio.gather(send_checked(site, "entry-1"), send_checked(site, "entry-2"))
    )
    await site.release_delayed()
    answers.append(await send_checked(site, "entry-1"))
    site.report_outcomes()
    return answers


async def give_up(site):
    """Send a request once, then deliver delayed messages."""
    answers = [await send_checked(site, "entry-1")]
    await site.release_delayed()
    return answers


async def send_checked(site, name):
    """Send a request through an entry; a not-run refusal must be true when it arrives."""
    answer = await site.request(site.claim_runner(name, seed=len(site.injection_points)), KEY)
    if is_not_run(answer) and not site.has_concurrent_sends:
        assert site.runs.get(KEY, 0) == 0, f"refused as not run, but ran {site.runs[KEY]} times"
    return answer


FLOWS = {
    "resend after": resend_after,
    "resend at once": resend_at_once,
    "give up": give_up,
}


class ClaimSite(FakeSite):
    """A fake site that records whether requests run concurrently."""

    has_concurrent_sends = False


def run_flow(name, faults, site_class=ClaimSite):
    """Run a flow with faults by injection point.

    Return the site and RESULT_HELD or the violated guarantee.
    """
    site = site_class(dict(faults))
    site.has_concurrent_sends = name == "resend at once"
    try:
        answers = asyncio.run(FLOWS[name](site))
        check_guarantees(site, answers)
    except AssertionError as error:
        return site, str(error) or "broken"
    return site, RESULT_HELD


def check_guarantees(site, answers):
    runs = site.runs.get(KEY, 0)
    assert runs <= 1, f"ran {runs} times"
    answered = [answer for answer in answers if isinstance(answer, Answer)]
    assert len({answer.body for answer in answered}) <= 1, "answers differ"
    if answered:
        assert runs == 1, f"answered, but ran {runs} times"
    if answers and all(is_not_run(answer) for answer in answers):
        assert runs == 0, f"refused as not run, but ran {runs} times"


def faults_for_kind(kind):
    return CONTROL_FAULTS if kind == "control" else SIDECAR_FAULTS


def injection_points(name):
    """Return the numbered injection points of a flow without faults."""
    site, result = run_flow(name, {})
    assert result == RESULT_HELD, result
    return list(enumerate(site.injection_points))


def single_faults(name):
    """Return every fault at every injection point of a flow."""
    return [(at, fault) for at, kind in injection_points(name) for fault in faults_for_kind(kind)]


def pairs_of_faults(name):
    """Yield every pair of faults.

    The second fault is placed at each later injection point of the run with the first one.
    """
    for first in single_faults(name):
        site, _ = run_flow(name, [first])
        for at, kind in enumerate(site.injection_points):
            if at > first[0]:
                for fault in faults_for_kind(kind):
                    yield first, (at, fault)
