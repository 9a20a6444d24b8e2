"""Reports for operators, read from a replica's applied state."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from apricotvale.control import calls


def report(replica: Any, topic: str) -> calls.Report:
    """Return the report on a topic of `calls.Query`."""
    state = replica.state
    node = replica.node
    base = calls.Report(leader=replica.name, term=node.term, commit_index=node.commit_index)
    config = state.config.state
    rollout = state.rollout.state
    members = list(state.roster.state.members.values())
    match topic:
        case "config":
            return evolve(base, revision=config.revision, document=config.document)
        case "history":
            return evolve(base, revision=config.revision, history=list(config.history))
        case "force":
            return evolve(base, revision=config.revision)
        case "weights":
            grants = list(rollout.grants.values())
            return evolve(base, targets=dict(rollout.targets), grants=grants, members=members)
        case "samples":
            return evolve(base, trainers=trainers(state))
        case "group":
            return evolve(base, replicas=replicas(replica))
        case _:
            return evolve(
                base, revision=config.revision, members=members, replicas=replicas(replica)
            )


def with_force(found: calls.Report, force: list[calls.MemberForce], lease_ms: int) -> calls.Report:
    """Return a report with the revision in force at each member."""
    return evolve(found, force=force, lease_ms=lease_ms)


def replicas(replica: Any) -> list[calls.ReplicaInfo]:
    """Return the control replicas and how far each is."""
    node = replica.node
    found = []
    for member in node.group.members:
        is_self = member.data_id == node.data_id
        progress = node.progress.get(member.data_id)
        match_index = node.log.last_index if is_self else progress.match_index if progress else 0
        role = "leader" if is_self else "follower" if member.voter else "learner"
        found.append(
            calls.ReplicaInfo(
                member.name, member.address, member.voter, role, match_index, member.data_id
            )
        )
    return found


def trainers(state: Any) -> list[calls.TrainerInfo]:
    """Return the open steps of each trainer."""
    found = []
    for name, trainer in state.ledger.state.trainers.items():
        for key, step in trainer.steps.items():
            handed = sum(1 for item in step.handed if item.fill is not None)
            found.append(
                calls.TrainerInfo(
                    name,
                    trainer.version,
                    int(key),
                    step.spec.slots,
                    step.acknowledged,
                    handed,
                    len(step.filled),
                    step.owner,
                )
            )
    return found
