"""Elections whose votes arrive slowly, as between processes that get little processor time."""

from __future__ import annotations

import random

import pytest

from tests.lost_disks import make_group
from tests.replicas import MemoryDisk

# One way, so that an answer takes up to an election timeout and more.
MESSAGE_S = (0.1, 0.3)
# Callers wait 12 s at most for what they had accepted; a third of that is left to the election.
ELECTED_WITHIN_S = 4.0


@pytest.mark.parametrize("seed", range(8))
def test_slow_votes_do_not_delay_a_recovery(seed):
    group = make_group(3, True, seed)
    post, rng = group.post, random.Random(seed)
    group.post = lambda source, message, delay: post(
        source, message, delay + rng.uniform(*MESSAGE_S)
    )
    leader = group.leader()
    for host in group.hosts.values():
        group.crash(host, 0.3)
        if host is not leader:
            host.disk = MemoryDisk()
    group.run(0.35)
    elected = group.run_until(
        lambda: group.leader() is not None
        and group.leader().node.commit_index >= group.leader().node.term_start_index,
        ELECTED_WITHIN_S,
    )
    assert elected, f"term {max(host.node.term for host in group.hosts.values())}"
