"""The fleet's replicated state machine, which applies committed commands."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from attrs import define, evolve, field

from apricotvale import events
from apricotvale.codec import decode, encode, unpack
from apricotvale.consensus.messages import Entry, EntryKind, Part
from apricotvale.crashes.book import CrashBook, CrashBookState
from apricotvale.crashes.commands import execute
from apricotvale.discovery import Registry, RegistryState
from apricotvale.duties.usage import UsageBook, UsageState
from apricotvale.exceptions import MessageError
from apricotvale.fleet import commands as c
from apricotvale.jobs.parts import JobParts
from apricotvale.jobs.store import JobBookState, JobStore
from apricotvale.origins import commands as origin_commands
from apricotvale.origins.book import OriginBook, OriginBookState


@define
class TableState:
    """The newest route table, as the document that was accepted."""

    version: int = 0
    document: bytes = b""


@define
class FleetImage:
    """The root of a snapshot; the jobs are in its parts.

    :param targets: newest weight version, by model.
    :param jobs: the jobs of a snapshot that was written before snapshots had parts.
    :param retiring: names of control replicas that are being retired.
    """

    table: TableState = field(factory=TableState)
    registry: RegistryState = field(factory=RegistryState)
    targets: dict[str, int] = field(factory=dict)
    jobs: JobBookState = field(factory=JobBookState)
    retiring: list[str] = field(factory=list)
    usage: UsageState = field(factory=UsageState)
    crashes: CrashBookState = field(factory=CrashBookState)
    origins: OriginBookState = field(factory=OriginBookState)


class FleetState:
    """The state of one replica, which only committed entries change."""

    def __init__(self) -> None:
        self.job_parts = JobParts()
        self.load(FleetImage())

    def load(self, image: FleetImage) -> None:
        """Replace the state by a snapshot's image."""
        self.table = image.table
        self.registry = Registry(image.registry)
        self.targets = image.targets
        self.jobs = JobStore(image.jobs)
        self.retiring = image.retiring
        self.usage = UsageBook(image.usage)
        self.crashes = CrashBook(image.crashes)
        self.origins = OriginBook(image.origins)

    def dump(self) -> bytes:
        """Return the root of a snapshot, which holds everything but the jobs."""
        image = FleetImage(
            self.table,
            self.registry.state,
            self.targets,
            JobBookState(),
            self.retiring,
            self.usage.state,
            self.crashes.state,
            self.origins.state,
        )
        return encode(image, FleetImage)

    def dump_parts(self, has_part: Callable[[Part], bool]) -> Iterator[tuple[Part, bytes | None]]:
        """Yield the parts of a snapshot, with None as content of those already stored."""
        return self.job_parts.dump(self.jobs, has_part)

    def restore(self, content: bytes, parts: Iterable[bytes] = ()) -> None:
        """Replace the state by a snapshot; an empty root stands for the initial state."""
        image = decode(content, FleetImage) if content else FleetImage()
        loaded = self.job_parts.load(parts)
        self.load(evolve(image, jobs=loaded) if loaded.records else image)

    def apply(self, entry: Entry) -> c.Applied | None:
        """Apply a committed entry; return the result of its command, None without one.

        A command that cannot be decoded has no effect. All replicas skip it alike; an error here
        would end each of them in turn.
        """
        if entry.kind is not EntryKind.COMMAND:
            return None
        try:
            command = unpack(entry.payload, c.Command)
        except MessageError as error:
            events.emit(events.ENTRY_SKIPPED, index=entry.index, error=error.format_message())
            return c.Applied(changed=False, known=False)
        return self.execute(command, entry.index)

    def execute(self, command: c.Command, index: int) -> c.Applied:
        """Apply a command that was committed at a log index."""
        match command:
            case c.PutTable():
                return self.put_table(command)
            case c.Announce():
                return c.Applied(self.registry.announce(command.upstream, index))
            case c.Depart():
                return c.Applied(self.registry.depart(command.upstream_id, index))
            case c.Restore():
                self.registry.restore(command.upstream, index)
                return c.Applied()
            case c.MarkLeaving():
                return c.Applied(
                    self.registry.mark_leaving(command.upstream_id, command.born_ms, index)
                )
            case c.SetLimit():
                return c.Applied(
                    self.registry.set_limit(
                        command.upstream_id, command.born_ms, command.rate, index
                    )
                )
            case c.Silence():
                return c.Applied(
                    self.registry.mark_silent(
                        command.upstream_id, command.born_ms, command.sequence, index
                    )
                )
            case c.RecordCrashes() | c.ClearSuspects():
                return c.Applied(execute(command, self.crashes, index))
            case c.RecordStreams() | c.TurnStreams() | c.ReplaceUsualOrigin():
                return c.Applied(origin_commands.execute(command, self.origins, index))
            case c.PublishVersion():
                return self.publish(command)
            case c.AcceptJob():
                return c.Applied(self.jobs.accept(command.job, index))
            case c.ListResult():
                added = self.jobs.append_result(
                    command.job_id, command.result, command.saved_events
                )
                return c.Applied(added)
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
            case c.BeginUsage():
                return c.Applied(self.usage.begin(command.window))
            case c.RecordUsage():
                self.usage.record(command.reports)
                return c.Applied()
            case c.CloseUsage():
                return c.Applied(self.usage.close(command.window))
            case c.ConfirmUsage():
                return c.Applied(self.usage.confirm(command.window))

    def put_table(self, command: c.PutTable) -> c.Applied:
        """Store a route table if it is newer than the current one."""
        if command.version <= self.table.version:
            return c.Applied(changed=False)
        self.table = TableState(command.version, command.document)
        return c.Applied()

    def publish(self, command: c.PublishVersion) -> c.Applied:
        """Raise a model's newest version if the published one is greater."""
        if command.version <= self.targets.get(command.model, 0):
            return c.Applied(changed=False)
        self.targets[command.model] = command.version
        return c.Applied()

    def retire(self, command: c.Retire) -> c.Applied:
        """Add a replica to those that are being retired."""
        if command.name in self.retiring:
            return c.Applied(changed=False)
        self.retiring.append(command.name)
        return c.Applied()
