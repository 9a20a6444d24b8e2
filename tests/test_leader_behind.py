"""A leader that has not applied the entries of former terms, and one whose disk has failed."""

from __future__ import annotations

import asyncio

from apricotvale.fleet import calls
from tests.platform_site import item, job, table
from tests.refusing_disk import RefusingDisk

CALL_TIMEOUT_S = 1.0
READ_WAIT_MS = 4000


def leading(site):
    return next(control for control in site.controls if control.replica.leads)


async def test_a_watch_is_not_answered_before_the_entries_of_former_terms_are_applied(site):
    """Entries would take the state of the leader's snapshot for one that a quorum confirms."""
    control = leading(site)
    node = control.replica.node
    node.term_start_index = node.applied_index + 1_000_000
    watch = calls.Watch(control.state.registry.state.position + 1, 0, False, 300, -1)
    try:
        reply = await asyncio.wait_for(control.on_call(watch), CALL_TIMEOUT_S)
    except TimeoutError:
        return
    assert not isinstance(reply, calls.WatchReply)


async def test_a_read_of_results_that_waits_while_the_disk_fails_does_not_miss_the_job(site):
    """The state goes back to the last snapshot when the replica reopens its data folder."""
    await site.submit_until_accepted("j", job(item("i"), min_version=99))
    control = leading(site)
    others = [n for n, other in enumerate(site.controls) if other is not control]
    read = asyncio.create_task(control.on_call(calls.ReadResults("j", 0, READ_WAIT_MS)))
    await asyncio.sleep(0.1)
    for other in others:
        site.tasks[other].cancel()
    control.disk.__class__ = RefusingDisk
    control.disk.refuses = True
    await site.put_table(table(2), at=site.controls.index(control))

    async def has_failed():
        return control.replica.storage.failed is not None

    async def works():
        return control.replica.storage.failed is None

    await site.wait_until(has_failed, bool)
    control.disk.refuses = False
    await site.wait_until(works, bool)
    assert not isinstance(await read, calls.NotFound)
