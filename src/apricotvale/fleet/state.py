"""The fleet's state machine: it routes each committed command to the aggregate it concerns."""

from __future__ import annotations

from attrs import define, field

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import Entry, EntryKind
from apricotvale.discovery import Registry, RegistryState
from apricotvale.fleet import commands as c
from apricotvale.jobs import JobBook, JobBookState


@define
class TableState:
    """The newest table, as the document that was accepted."""

    version: int = 0
    document: bytes = b""


@define
class FleetImage:
    """Everything that a snapshot holds."""

    table: TableState = field(factory=TableState)
    registry: RegistryState = field(factory=RegistryState)
    targets: dict[str, int] = field(factory=dict)
    jobs: JobBookState = field(factory=JobBookState)
    retiring: list[str] = field(factory=list)


class FleetState:
    """The aggregates of one replica, changed by committed entries only."""

    def __init__(self) -> None:
        self.load(FleetImage())

    def load(self, image: FleetImage) -> None:
        """Take the state from a snapshot's content."""
        self.table = image.table
        self.registry = Registry(image.registry)
        self.targets = image.targets
        self.jobs = JobBook(image.jobs)
        self.retiring = image.retiring

    def dump(self) -> bytes:
        """Return the state as a snapshot's content."""
        image = FleetImage(
            self.table, self.registry.state, self.targets, self.jobs.state, self.retiring
        )
        return encode(image, FleetImage)

    def restore(self, content: bytes) -> None:
        """Take the state from a snapshot; an empty one is the state before the first entry."""
        self.load(decode(content, FleetImage) if content else FleetImage())

    def apply(self, entry: Entry) -> c.Applied | None:
        """Apply a committed entry; return the command's result."""
        if entry.kind is not EntryKind.COMMAND:
            return None
        return self.execute(decode(entry.payload, c.Command), entry.index)

    def execute(self, command: c.Command, index: int) -> c.Applied:
        """Carry out a command."""
        match command:
            case c.PutTable():
                return self.put_table(command)
            case c.Announce():
                return c.Applied(self.registry.announce(command.upstream, index))
            case c.Depart():
                return c.Applied(self.registry.depart(command.upstream_id, index))
            case c.Silence():
                return c.Applied(
                    self.registry.silence(
                        command.upstream_id, command.born_ms, command.sequence, index
                    )
                )
            case c.PublishVersion():
                return self.publish(command)
            case c.AcceptJob():
                return c.Applied(self.jobs.accept(command.job, index))
            case c.ListResult():
                return c.Applied(self.jobs.list_result(command.job_id, command.result))
            case c.SaveProgress():
                for job in command.jobs:
                    for progress in job.items:
                        self.jobs.save_progress(job.job_id, progress)
                return c.Applied()
            case c.EndJob():
                known = self.jobs.end(command.job_id)
                return c.Applied(known, known)
            case c.ForgetJob():
                return c.Applied(self.jobs.forget(command.job_id))
            case c.Retire():
                return self.retire(command)

    def put_table(self, command: c.PutTable) -> c.Applied:
        """Store a table unless one as new or newer is held."""
        if command.version <= self.table.version:
            return c.Applied(changed=False)
        self.table = TableState(command.version, command.document)
        return c.Applied()

    def publish(self, command: c.PublishVersion) -> c.Applied:
        """Raise a model's newest version."""
        if command.version <= self.targets.get(command.model, 0):
            return c.Applied(changed=False)
        self.targets[command.model] = command.version
        return c.Applied()

    def retire(self, command: c.Retire) -> c.Applied:
        """Note a replica that is to be emptied."""
        if command.name in self.retiring:
            return c.Applied(changed=False)
        self.retiring.append(command.name)
        return c.Applied()
