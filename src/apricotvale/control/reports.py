"""Reports for operators, built from the applied state of a replica."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from apricotvale.control import calls


def report(replica: Any, topic: str) -> calls.Report:
    """Build the report on a topic of `calls.Query`; an unknown topic gives the members."""
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
            return evolve(base, trainers=trainer_infos(state))
        case "group":
            return evolve(base, replicas=replica_infos(replica))
        case _:
            return evolve(
                base, revision=config.revision, members=members, replicas=replica_infos(replica)
            )


def with_revisions_in_force(
    base: calls.Report, force: list[calls.MemberForce], lease_ms: int
) -> calls.Report:
    """Return a copy of a report with the revision in force at each member added."""
    return evolve(base, force=force, lease_ms=lease_ms)


def replica_infos(replica: Any) -> list[calls.ReplicaInfo]:
    """Return the control replicas with their roles and replication progress."""
    node = replica.node
    infos = []
    for member in node.group.members:
        is_self = member.data_id == node.data_id
        progress = node.progress.get(member.data_id)
        match_index = node.log.last_index if is_self else progress.match_index if progress else 0
        role = "leader" if is_self else "follower" if member.voter else "learner"
        infos.append(
            calls.ReplicaInfo(
                member.name, member.address, member.voter, role, match_index, member.data_id
            )
        )
    return infos


def trainer_infos(state: Any) -> list[calls.TrainerInfo]:
    """Return the progress of the open steps of all trainers."""
    infos = []
    for name, trainer in state.ledger.state.trainers.items():
        for key, step in trainer.steps.items():
            handed = sum(1 for item in step.handed if item.fill is not None)
            infos.append(
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
    return infos
