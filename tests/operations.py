"""Operations of the control replicas, each run under every fault at every step."""

from __future__ import annotations

import itertools

from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigApplied, ConfigConflict, ConfigDocument
from tests.replicas import SEND_FAULTS, WRITE_FAULTS, Injector, Replicas

RESULT_HELD = "held"
LONG_TEXT = 4000
HEARTBEATS = ("heartbeat", "heartbeat reply")
HEARTBEATS_KEPT = 6


def start(injector, seed=0):
    group = Replicas(seed=seed, injector=injector)
    assert group.run_until(lambda: group.leader() is not None)
    group.run(0.3)
    return group


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
