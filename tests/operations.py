"""Operations of the control replicas, each run under every fault at every step."""

from __future__ import annotations

import itertools

from attrs import evolve

from apricotvale.consensus.messages import Group, HardState, Snapshot
from apricotvale.consensus.types import GroupPolicy
from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigApplied, ConfigConflict, ConfigDocument
from apricotvale.discovery import Standing, Upstream
from apricotvale.fleet import commands as f
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Item, ItemState, Job, Result
from tests.replicas import SEND_FAULTS, WRITE_FAULTS, Injector, Replicas

RESULT_HELD = "held"
LONG_TEXT = 4000
HEARTBEATS = ("heartbeat", "heartbeat reply")
HEARTBEATS_KEPT = 6
OPEN_POLICY = GroupPolicy(open=True, voters=3, learners=1, replace_after_s=1.5)
# Each change of leader, which two faults can cause twice, begins the wait for the silent one anew.
AWAY_S = 12.0
JOB = Job("j-1", "host", "/run/", tuple(Item(f"i-{n}", "/run/", {}, b"body") for n in range(2)))
UPSTREAM = Upstream("e-1", 1, 1, "lm", "10.0.0.1:80", "a", 8, Standing.READY, models={"m": 3})


def start(injector, seed=0):
    group = Replicas(seed=seed, injector=injector)
    assert group.run_until(lambda: group.leader() is not None)
    group.run(0.3)
    return group


def open_group(seed=0, injector=None):
    """Return an open group of three voters, in which an empty spare replica is the learner."""
    group = Replicas(("a", "b", "c", "d"), seed=seed, injector=injector, policy=OPEN_POLICY)
    members = group.hosts["a"].storage.stored.snapshot.group.members
    founding = Snapshot(1, 1, 0, Group(tuple(m for m in members if m.name != "d")), b"")
    for name in "abc":
        host = group.hosts[name]
        host.storage.save_snapshot(founding, HardState(1), [])
        group.boot(host)
    group.wipe(group.hosts["d"])
    assert group.run_until(lambda: is_whole(group))
    return group


def is_whole(group):
    """Return whether an open group has its members, all known to its leader's majority."""
    leader = group.leader()
    if leader is None:
        return False
    members = leader.node.group.members
    ids = {host.node.data_id for host in group.hosts.values() if host.node}
    return (
        sum(member.voter for member in members) == OPEN_POLICY.voters
        and {member.data_id for member in members} == ids
        and leader.node.commit_index >= leader.node.groups[-1][0]
    )


def apply_config(operation, expected, text):
    return c.ApplyConfig(operation, expected, ConfigDocument(text))


def config_race(injector):
    """Two operators change the configuration under equal numbers; one resends."""
    group = start(injector)
    injector.armed = True
    calls = {name: group.call(apply_config(name, 0, name)) for name in ("one", "two")}
    done = group.run_until(lambda: all(call.result is not None for call in calls.values()))
    injector.armed = False
    assert done, "an operator got no answer"
    resent = group.call(apply_config("one", 0, "one"))
    assert group.run_until(lambda: resent.result is not None), "a resend got no answer"
    assert group.settle(), "the replicas do not agree"
    results = [call.result for call in calls.values()]
    applied = [result for result in results if isinstance(result, ConfigApplied)]
    conflicts = [result for result in results if isinstance(result, ConfigConflict)]
    assert len(applied) == 1 and len(conflicts) == 1, f"{results}"
    assert resent.result == calls["one"].result, "a resend was answered otherwise"
    winner = next(n for n, call in calls.items() if isinstance(call.result, ConfigApplied))
    check_states(group, revision=1, text=winner)


def election(injector):
    """The leader is lost; what it had accepted stays."""
    group = start(injector)
    first = group.call(apply_config("first", 0, "first"))
    assert group.run_until(lambda: first.result is not None)
    injector.armed = True
    group.crash(group.leader(), down_s=3.0)
    second = group.call(apply_config("second", 1, "second"))
    assert group.run_until(lambda: second.result is not None), "no new leader"
    injector.armed = False
    assert group.settle(), "the replicas do not agree"
    check_states(group, revision=2, text="second")


def snapshot_install(injector):
    """A replica that missed everything since its crash gets a snapshot."""
    group = start(injector)
    behind = next(host for host in group.hosts.values() if host is not group.leader())
    behind_index = behind.node.log.last_index
    group.crash(behind, down_s=1.5)
    for revision in range(12):
        text = f"text{revision} " + "x" * LONG_TEXT
        call = group.call(apply_config(f"op{revision}", revision, text))
        assert group.run_until(lambda call=call: call.result is not None)
    for host in group.hosts.values():
        if host.node is not None:
            group.compact(host)
            assert host.node.log.start_index > behind_index, "the log was not cut"
    injector.armed = True
    group.run_until(lambda: behind.node and behind.node.applied_index > behind_index)
    injector.armed = False
    assert group.settle(), "the replicas do not agree"
    check_states(group, revision=12, text=text)


def group_change(injector):
    """A replica's machine is replaced by one with an empty disk, then another is lost."""
    group = start(injector)
    first = group.call(apply_config("first", 0, "first"))
    assert group.run_until(lambda: first.result is not None)
    replaced = next(host for host in group.hosts.values() if host is not group.leader())
    old_id = replaced.node.data_id
    injector.armed = True
    group.wipe(replaced)

    def joined():
        leader = group.leader()
        node = replaced.node
        return (
            leader is not None
            and node is not None
            and node.data_id in leader.node.group.voters()
            and len(leader.node.group.voters()) == 3
            and leader.node.commit_index >= leader.node.groups[-1][0]
        )

    assert group.run_until(joined), "the new replica got no vote"
    injector.armed = False
    assert group.settle(), "the replicas do not agree"
    assert old_id not in group.leader().node.group.voters(), "the old folder kept its vote"
    other = next(h for h in group.hosts.values() if h not in (replaced, group.leader()))
    group.crash(other, down_s=60.0)
    second = group.call(apply_config("second", 1, "second"))
    assert group.run_until(lambda: second.result is not None), "no quorum after the repair"
    group.crash(other, down_s=0.0)
    assert group.settle(), "the replicas do not agree"
    check_states(group, revision=2, text="second")


def open_group_wipe(injector):
    """A voter of an open group loses its disk: the spare takes its place, it becomes the spare."""
    group = open_group(injector=injector)
    first = group.call(apply_config("first", 0, "first"))
    assert group.run_until(lambda: first.result is not None)
    wiped = next(host for host in voters(group) if host is not group.leader())
    old_id = wiped.node.data_id
    injector.armed = True
    group.wipe(wiped)
    assert group.run_until(lambda: wiped.node and is_whole(group)), "the group is not whole again"
    injector.armed = False
    assert not group.leader().node.group.find(old_id), "the lost folder kept its place"
    finish_open_group(group)


def open_group_silence(injector):
    """A voter of an open group is away for long: the spare takes its place."""
    group = open_group(injector=injector)
    first = group.call(apply_config("first", 0, "first"))
    assert group.run_until(lambda: first.result is not None)
    away = next(host for host in voters(group) if host is not group.leader())
    old_id = away.node.data_id
    injector.armed = True
    group.crash(away, down_s=AWAY_S)
    replaced = group.run_until(
        lambda: group.leader() and old_id not in group.leader().node.group.voters(), AWAY_S
    )
    assert replaced, "a voter that is away kept its place"
    assert group.run_until(lambda: is_whole(group)), "the group is not whole again"
    injector.armed = False
    finish_open_group(group)


def voters(group):
    """Return the hosts that have a vote."""
    ids = group.leader().node.group.voters()
    return [host for host in group.hosts.values() if host.node and host.node.data_id in ids]


def finish_open_group(group):
    """Check that a group that is whole again bears the loss of another voter."""
    assert group.run_until(lambda: is_whole(group) and group.agree()), "the replicas do not agree"
    other = next(host for host in voters(group) if host is not group.leader())
    group.crash(other, down_s=1.0)
    second = group.call(apply_config("second", 1, "second"))
    assert group.run_until(lambda: second.result is not None), "no quorum after the repair"
    assert group.run_until(lambda: is_whole(group) and group.agree()), "the replicas do not agree"
    check_states(group, revision=2, text="second")


def fleet(injector):
    """Jobs, results, tables and heartbeats of a fleet race, each sent until it is answered."""
    group = Replicas(injector=injector, make_state=FleetState, command=f.Command)
    assert group.run_until(lambda: group.leader() is not None)
    accepted = group.call(f.AcceptJob(JOB))
    assert group.run_until(lambda: accepted.result is not None)
    group.run(0.3)
    injector.armed = True
    racing = [
        f.ListResult(JOB.job_id, Result("i-0", ItemState.COMPLETED, b"one")),
        f.ListResult(JOB.job_id, Result("i-0", ItemState.COMPLETED, b"two")),
        f.PutTable(7, b"seven"),
        f.PutTable(5, b"five"),
        f.Announce(evolve(UPSTREAM, sequence=2, standing=Standing.DRAINING)),
        f.Announce(UPSTREAM),
        f.ListResult(JOB.job_id, Result("i-1", ItemState.FAILED)),
    ]
    calls = [group.call(command) for command in racing]
    assert group.run_until(lambda: all(call.result for call in calls)), "a call got no answer"
    held = group.leader().state.jobs.state.records[JOB.job_id].results[:1]
    resent = group.call(f.AcceptJob(JOB))
    assert group.run_until(lambda: resent.result is not None), "a resend got no answer"
    injector.armed = False
    assert group.settle(), "the replicas do not agree"
    states = group.states()
    assert all(state == states[0] for state in states), "the replicas' states differ"
    state = group.leader().state
    results = state.jobs.state.records[JOB.job_id].results
    assert results[:1] == held, "a position changed"
    assert sorted(result.item_id for result in results) == ["i-0", "i-1"], f"{results}"
    assert (state.table.version, state.table.document) == (7, b"seven"), f"{state.table}"
    standing = state.registry.state.upstreams["e-1"].standing
    assert standing is Standing.DRAINING, "an older heartbeat undid a newer one"


def check_states(group, revision, text):
    states = group.states()
    assert all(state == states[0] for state in states), "the replicas' states differ"
    config = next(iter(group.hosts.values())).state.config.state
    assert config.revision == revision, f"revision {config.revision}, not {revision}"
    assert config.document.base == text, f"document {config.document.base!r}, not {text!r}"


OPERATIONS = {
    "config race": config_race,
    "election": election,
    "snapshot install": snapshot_install,
    "group change": group_change,
    "fleet": fleet,
    "open group, disk lost": open_group_wipe,
    "open group, replica away": open_group_silence,
}


def steps_of(operation):
    """Return the steps of an operation when nothing fails, as (number, kind, label).

    Of the heartbeats, which are alike, only the first few are kept.
    """
    injector = Injector()
    operation(injector)
    steps = list(zip(itertools.count(), injector.kinds, injector.labels))
    beats = [step for step in steps if step[2] in HEARTBEATS]
    return [step for step in steps if step not in beats[HEARTBEATS_KEPT:]]


def faults_for(kind):
    return WRITE_FAULTS if kind == "write" else SEND_FAULTS


def run_with(operation, faults):
    """Run an operation with faults by step; return 'held' or what broke."""
    try:
        operation(Injector(dict(faults)))
    except AssertionError as error:
        return str(error) or "broken"
    return RESULT_HELD
