"""Histories under random schedules are linearizable; the checker detects seeded bugs."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from apricotvale.consensus.messages import HardState, VoteReply, VoteRequest
from apricotvale.consensus.node import Node
from apricotvale.consensus.storage import Storage
from tests.histories import ACTIONS, Event, Recorder, find_violations
from tests.operations import RESULT_HELD, config_race, run_with
from tests.replicas import Replicas

SEEDS = 40
SCHEDULE_LENGTH = 40


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(
    schedule=st.lists(st.sampled_from(ACTIONS), min_size=5, max_size=40), seed=st.integers(0, 99)
)
def test_history_is_linearizable(schedule, seed):
    assert find_violations(Recorder(seed).run(schedule)) == []


def test_checker_sees_a_revert():
    events = [Event("write", 2, "b", 0, 1), Event("read", 1, "a", 2, 3)]
    assert find_violations(events)


def test_checker_sees_a_revision_accepted_twice():
    events = [Event("write", 1, "a", 0, 1), Event("write", 1, "b", 0, 1)]
    assert find_violations(events)


def schedules():
    """Yield schedules that mix writes and reads with faults."""
    import random

    for seed in range(SEEDS):
        rng = random.Random(seed)
        yield seed, [
            rng.choice(("write", "read", "read", "pause", "partition", "crash", "write"))
            for _ in range(SCHEDULE_LENGTH)
        ]


def any_schedule_fails(replicas=Replicas):
    """Return whether any schedule's history has a violation or replicas diverge."""
    for seed, schedule in schedules():
        recorder = Recorder(seed, replicas)
        if find_violations(recorder.run(schedule)):
            return True
        config = [host.state.config.state for host in recorder.group.hosts.values() if host.state]
        by_revision = {}
        for state in config:
            for change in state.history:
                if by_revision.setdefault(change.revision, change) != change:
                    return True
    return False


def test_histories_without_a_bug_are_clean():
    assert not any_schedule_fails()


def test_checker_catches_a_read_without_a_quorum(monkeypatch):
    def confirm(node):
        node.ready.reads += [ticket for ticket, _, _ in node.unconfirmed_reads]
        node.unconfirmed_reads = []

    monkeypatch.setattr(Node, "confirm_reads", confirm)
    monkeypatch.setattr(Node, "has_active_quorum", lambda node, now: True)
    assert any_schedule_fails()


def test_checker_catches_an_ack_before_the_sync():
    class AckFirst(Replicas):
        def apply_ready(self, host, ready):
            for message in ready.messages_after_sync:
                self.send(host, message)
            ready.messages_after_sync = []
            if ready.records and self.rng.random() < 0.3:
                self.crash(host)
                return
            super().apply_ready(host, ready)

    assert any_schedule_fails(AckFirst)


def votes_twice():
    """Return whether a restarted voter votes for a second candidate in the same term."""
    group = Replicas()
    voter, one, two = group.hosts.values()
    granted = []
    for candidate in (one, two):
        group.now += 5.0
        last = candidate.node.log
        voter.node.receive(
            VoteRequest(
                candidate.node.data_id, voter.node.data_id, 7, last.last_index, last.last_term
            ),
            group.now,
        )
        ready = voter.node.take_ready(group.now)
        voter.storage.append(ready.records)
        granted += [
            message.granted
            for message in ready.messages_after_sync
            if isinstance(message, VoteReply)
        ]
        group.boot(voter)
    return granted == [True, True]


def test_a_restarted_voter_keeps_its_vote():
    assert not votes_twice()


def test_the_vote_check_catches_a_forgotten_vote(monkeypatch):
    original = Storage.append

    def drop_hard_state(storage, records):
        original(storage, [r for r in records if not isinstance(r, HardState)] or [HardState()])

    monkeypatch.setattr(Storage, "append", drop_hard_state)
    assert votes_twice()


def test_a_read_before_the_first_commit_does_not_spin():
    group = Replicas()
    host = next(iter(group.hosts.values()))
    host.node.campaign(1.0, pre=False)
    host.node.become_leader(1.0)
    host.node.take_ready(1.0)
    host.node.read()
    host.node.take_ready(1.0)
    assert not host.node.has_work()


def test_matrix_catches_a_commit_without_a_quorum(monkeypatch):
    """A leader that commits without a quorum loses accepted entries when it is partitioned."""
    original = Node.take_ready

    def take_ready(node, now):
        if node.role == "leader":
            node.commit_index = max(node.commit_index, node.log.last_index)
        return original(node, now)

    monkeypatch.setattr(Node, "take_ready", take_ready)
    results = {run_with(config_race, [(at, "sender partitioned")]) for at in range(14)}
    assert results != {RESULT_HELD}
