"""The deploy file runs enough control replicas for the losses that a deployment has to bear."""

from __future__ import annotations

import math
import tomllib
from collections import Counter

import pytest
from attrs import evolve

from apricotvale import events
from apricotvale.daemons import fleet_control
from tests.test_limits import find_leader


@pytest.fixture
def control_share(docs):
    document = tomllib.loads((docs.parent / "deploy" / "system.toml").read_text())
    return document["roles"]["control"]["share"]


@pytest.mark.parametrize(
    ("machines", "failures"),
    [
        ([1, 1, 1], 1),
        ([1, 1, 1, 1], 1),
        ([2, 2, 2], 2),
        ([2, 2, 2, 2], 2),
        ([2, 2, 2, 1], 2),
        ([4, 3, 3, 3], 2),
        ([5, 5, 4], 2),
        ([5] * 6, 2),
    ],
    ids=str,
)
def test_the_loss_of_as_many_disks_as_stated_leaves_a_quorum(control_share, machines, failures):
    """Guards against accepted state that a group with too few replicas loses with their disks.

    :param machines: storage machines in each failure domain.
    """
    replicas = sum(math.ceil(count * control_share) for count in machines)
    assert replicas >= 2 * failures + 1


async def test_a_group_that_is_too_small_for_its_losses_is_reported(site, monkeypatch):
    """Guards against a group that bears fewer losses than stated, of which nobody knows."""
    found = Counter()
    monkeypatch.setattr(events, "emit", lambda kind, **fields: found.update([kind.name]))
    monkeypatch.setattr(fleet_control, "GROUP_SETTLE_S", 0.2)
    leader = await find_leader(site)
    policy = leader.replica.peers.policy
    leader.replica.peers.policy = evolve(policy, voters=5, learners=2)

    async def reported():
        return found[events.GROUP_TOO_SMALL.name]

    await site.wait_until(reported, bool)
    assert found[events.GROUP_TOO_SMALL.name] == 1
