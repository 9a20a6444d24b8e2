"""Replication to a follower that was unreachable."""

from __future__ import annotations

from apricotvale.consensus.messages import AppendReply, AppendRequest
from apricotvale.control import commands as c
from tests.replicas import Replicas


def entries_sent(node, now):
    ready = node.take_ready(now)
    messages = [*ready.messages, *ready.messages_after_sync]
    return sum(len(m.entries) for m in messages if isinstance(m, AppendRequest))


def test_stale_failure_replies_do_not_resend_entries():
    group = Replicas()
    assert group.run_until(lambda: group.leader() is not None)
    call = group.call(c.Publish("trainer", "model", 1))
    assert group.run_until(lambda: call.result is not None)
    leader = group.leader()
    node = leader.node
    follower = next(host for host in group.hosts.values() if host is not leader)
    for number in range(5):
        node.propose(b"", number)
    node.broadcast(group.now)
    entries_sent(node, group.now)
    failures = [
        AppendReply(follower.node.data_id, node.data_id, node.term, False, 2, sequence)
        for sequence in range(node.sequence - 9, node.sequence + 1)
    ]
    for failure in failures:
        node.receive(failure, group.now)
    missing = node.log.last_index - 2
    assert entries_sent(node, group.now) <= missing
