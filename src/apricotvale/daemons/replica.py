"""Run a control replica: its consensus node, its data folder and the links to its peers."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, Protocol, TypeVar

import attrs
from attrs import define, field, frozen
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from apricotvale import clock, events, metrics
from apricotvale.codec import decode, encode
from apricotvale.consensus.calls import JoinProbe, PartRead, ProbeReply, ReadPart
from apricotvale.consensus.messages import (
    Entry,
    Group,
    GroupMember,
    HardState,
    InstallRequest,
    JoinRequest,
    Part,
    PeerBatch,
    PeerMessage,
    Snapshot,
)
from apricotvale.consensus.node import Node
from apricotvale.consensus.storage import Record, Storage, Stored
from apricotvale.consensus.types import NotLeader, Ready, Role, Timing
from apricotvale.daemons.peers import PEER_TIMEOUT_S, PeerLink, Peers
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.exceptions import DataFolderError, DiskError, GroupMismatchError
from apricotvale.hashing import digest

T = TypeVar("T")

MAX_EVENT_WAIT_S = 0.25
PROBE_INTERVAL_S = 0.2
# A replica that the group needs no member of asks less often.
SPARE_PROBE_INTERVAL_S = 1.0
# In an open group, a replica that has heard no leader for this long asks to join again.
LEADER_SILENCE_S = 1.0
# A replica whose disk has failed tries this often to load its data folder again.
DISK_RETRY_S = 1.0
FIRST_INDEX = 1
FIRST_TERM = 1
# A snapshot is saved once this much has been applied since the last one.
SNAPSHOT_AFTER_BYTES = 4 * 1024 * 1024
SNAPSHOT_AFTER_ENTRIES = 10_000
# Bytes of a snapshot's parts that may wait in memory until they are written.
MAX_UNWRITTEN_BYTES = 8 * 1024 * 1024
# Time for which parts are encoded before the next events are processed, in seconds.
ENCODING_SLICE_S = 0.05


@frozen
class LostLeadership:
    """Leadership was lost before a command was confirmed; it may still have been committed."""


@define
class ProposeEvent:
    """A request to commit a command."""

    payload: bytes
    future: asyncio.Future[Any]


@define
class ReadEvent:
    """A request to confirm with a quorum that this replica leads."""

    future: asyncio.Future[Any]


@define
class TransferEvent:
    """A request to transfer leadership to a peer."""

    future: asyncio.Future[bool]


@frozen
class LeaderDownEvent:
    """Notice that no process listens at the address of the leader."""

    leader_id: str


@define
class EncodedParts:
    """The parts of a state, for a snapshot.

    :param parts: all of them, in their order.
    :param unwritten: those that are not on the disk yet, with their content.
    :param unwritten_bytes: size of these contents.
    :param new_bytes: size of all parts that were not on the disk before.
    """

    parts: list[Part] = field(factory=list)
    unwritten: list[tuple[Part, bytes]] = field(factory=list)
    unwritten_bytes: int = 0
    new_bytes: int = 0

    def add(self, part: Part, content: bytes | None) -> None:
        """Add the next part; its content is None if it is on the disk."""
        self.parts.append(part)
        if content is not None:
            self.unwritten.append((part, content))
            self.unwritten_bytes += part.size
            self.new_bytes += part.size

    def forget_content(self) -> None:
        """Drop the contents, which are on the disk now."""
        self.unwritten = []
        self.unwritten_bytes = 0


class StateMachine(Protocol):
    """The state that committed entries are applied to."""

    def apply(self, entry: Entry) -> Any:
        """Apply a committed entry; return its result."""

    def dump(self) -> bytes:
        """Serialize the root of a snapshot: the state that is in none of its parts."""

    def dump_parts(self, has_part: Callable[[Part], bool]) -> Iterator[tuple[Part, bytes | None]]:
        """Yield the parts of a snapshot with their contents, None for those already stored.

        :param has_part: returns whether a part is already stored.
        """

    def restore(self, content: bytes, parts: Iterable[bytes] = ()) -> None:
        """Load the state from a snapshot; an empty root is the state before the first entry."""


class Replica:
    """Run one consensus node: feed it events and carry out the work that it returns.

    :param peers: the replicas to form or join a group with.
    :param storage: the replica's data folder.
    :param timing: protocol periods.
    :param on_applied: called after each batch of committed entries and each installed snapshot.
    :param state: the state machine that committed entries are applied to.
    :raises GroupMismatchError: if the settings and the data folder name different replicas.
    """

    def __init__(
        self,
        peers: Peers,
        storage: Storage,
        timing: Timing,
        on_applied: Callable[[], None],
        state: StateMachine,
    ) -> None:
        self.peers = peers
        self.name = peers.name
        self.storage = storage
        self.timing = timing
        self.on_applied = on_applied
        self.state = state
        self.events: deque[Any] = deque()
        self.wake = asyncio.Event()
        self.links: dict[str, PeerLink] = {}
        self.heard_addresses: list[str] = []
        self.spare_names: set[str] = set()
        self.proposals: dict[tuple[int, int], asyncio.Future[Any]] = {}
        self.reads: dict[int, asyncio.Future[Any]] = {}
        self.disk_thread = ThreadPoolExecutor(1, "disk")
        self.applied_bytes = 0
        self.applied_entries = 0
        self.replaces_parts = False
        self.fetch: asyncio.Task[None] | None = None
        self.tasks = TaskGroup()
        self.stopped = False
        self.logged_group = Group()
        self.logged_role: tuple[Role, int, str] = (Role.FOLLOWER, 0, "")
        self.logged_standing: dict[str, str] = {}
        self.node = self.make_node(storage.stored)
        self.check_group()

    def check_group(self) -> None:
        """Raise GroupMismatchError if the settings and the data folder name different replicas."""
        if not self.peers.replicas:
            return
        stored = sorted({member.name for member in self.node.group.members})
        if stored and stored != sorted(self.peers.replicas):
            raise GroupMismatchError(stored, sorted(self.peers.replicas))

    # Calls from the daemon

    @property
    def leads(self) -> bool:
        """Whether this replica leads, after advancing the node to the current time."""
        if self.stopped or self.storage.failed is not None:
            return False
        self.node.tick(clock.now())
        return self.node.role is Role.LEADER

    def leader_address(self) -> str:
        """Return the leader's address; empty if it is unknown or this replica leads."""
        if self.node.leader_id == self.node.data_id:
            return ""
        leader = self.node.group.find(self.node.leader_id)
        return self.address_of(leader) if leader else ""

    def address_of(self, member: GroupMember) -> str:
        """Return a member's address; a fixed table of names takes precedence over the group."""
        return self.peers.replicas.get(member.name, member.address)

    def addresses(self) -> list[str]:
        """Return the known addresses of all members, the leader's first."""
        found = [self.address_of(member) for member in self.node.group.members]
        leader = self.leader_address() or (self.peers.address if self.is_leader else "")
        found.sort(key=lambda address: address != leader)
        return found

    @property
    def is_leader(self) -> bool:
        """Whether the node is in the leader role, without advancing its time."""
        return self.node.role is Role.LEADER

    async def propose(self, payload: bytes) -> Any:
        """Commit an encoded command; return its result, `NotLeader` or `LostLeadership`."""
        future = asyncio.get_running_loop().create_future()
        self.post(ProposeEvent(payload, future))
        return await future

    async def confirm(self) -> bool:
        """Return whether a quorum confirms that this replica still leads."""
        future = asyncio.get_running_loop().create_future()
        self.post(ReadEvent(future))
        return await future

    async def transfer(self) -> bool:
        """Transfer leadership to a peer; return whether a peer was asked to take over."""
        future = asyncio.get_running_loop().create_future()
        self.post(TransferEvent(future))
        return await future

    def post_transfer(self) -> None:
        """Start a leadership transfer without waiting for its result."""
        self.post(TransferEvent(asyncio.get_running_loop().create_future()))

    def receive_batch(self, batch: PeerBatch) -> None:
        """Queue the messages of a batch from a peer.

        A snapshot is queued once its parts are stored.
        """
        for message in batch.messages:
            if isinstance(message, InstallRequest) and message.snapshot.parts:
                self.start_fetch(message)
            else:
                self.post(message)

    async def read_part(self, request: ReadPart) -> PartRead:
        """Return a part of this replica's snapshot to a replica that installs it."""
        part = Part(request.digest, 0)
        if not self.storage.has_part(part):
            return PartRead(b"")
        try:
            content = await self.run_on_disk(partial(self.storage.load_part, part))
        except (DataFolderError, OSError) as error:
            events.emit(events.PART_UNAVAILABLE, part=part.digest, error=str(error))
            return PartRead(b"")
        return PartRead(content)

    def probe(self, probe: JoinProbe) -> ProbeReply:
        """Answer the join probe of an empty replica with this replica's view of the group."""
        node = self.node
        self.spare_names.add(probe.name)
        return ProbeReply(
            self.name, node.data_id, self.is_empty(), node.leader_id, self.addresses()
        )

    def post(self, event: Any) -> None:
        """Queue an event for the event loop; reject it if the replica has stopped."""
        self.events.append(event)
        self.wake.set()
        if self.stopped:
            self.reject_pending()

    # Event loop

    async def run(self) -> None:
        """Run the replica until it is cancelled or one of its tasks fails."""
        async with self.tasks:
            tasks = {
                self.tasks.start(self.run_event_loop()),
                self.tasks.start(self.maintain_membership()),
            }
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
                for task in done:
                    task.result()
            finally:
                self.stopped = True
                self.reject_pending()

    async def run_event_loop(self) -> None:
        """Process events; after a disk failure, reject all of them until the disk works again."""
        while True:
            try:
                await self.process_events()
            except DiskError as error:
                events.emit(events.DISK_FAILED, detail=str(error), code=error.code)
            self.node.become_follower(self.node.term, "", clock.now())
            await self.reopen_storage()

    async def reopen_storage(self) -> None:
        """Load the data folder again, and restart the node with it, once the disk accepts writes.

        Load pattern: a disk that is full or refuses writes for some seconds. A replica that stayed
        out for good would count as lost, although all that it has acknowledged is on its disk.

        :raises DataFolderError: if the folder is damaged.
        """
        while True:
            await self.reject_until(clock.now() + DISK_RETRY_S)
            try:
                storage = await self.run_on_disk(self.load_again)
            except DiskError as error:
                events.emit(events.DISK_FAILED, detail=str(error), code=error.code)
                continue
            break
        self.storage = storage
        self.node = self.make_node(storage.stored)
        self.applied_bytes = self.applied_entries = 0
        self.on_applied()
        events.emit(events.DISK_RECOVERED, last_index=self.node.log.last_index)

    def load_again(self) -> Storage:
        """Load the data folder after a failure, and write the log anew.

        After a failed sync, data that is not on the disk can still be read, and another sync
        succeeds without writing it.

        :raises DiskError: if the disk still fails.
        """
        storage = Storage(self.storage.disk, self.name)
        storage.rewrite()
        return storage

    async def process_events(self) -> None:
        """Feed events and the time to the node, and carry out the work it returns."""
        while True:
            if not self.events and not self.node.has_work():
                await self.wait_for_events()
            now = self.handle_events()
            await self.process_ready(self.node.take_ready(now))
            self.log_changes()

    def handle_events(self) -> float:
        """Feed the queued events and the time to the node; return the time."""
        self.wake.clear()
        now = clock.now()
        self.node.tick(now)
        while self.events:
            self.handle_event(self.events.popleft(), now)
        return now

    async def wait_for_events(self) -> None:
        """Wait for an event, the node's next timer or `MAX_EVENT_WAIT_S`."""
        loop = asyncio.get_running_loop()
        wait_s = min(MAX_EVENT_WAIT_S, self.node.next_deadline() - clock.now())
        timer = loop.call_later(max(0.0, wait_s), self.wake.set)
        try:
            await self.wake.wait()
        finally:
            timer.cancel()

    async def reject_until(self, deadline: float) -> None:
        """Answer every call as a replica that does not lead.

        :param deadline: on `clock.now`, in seconds.
        """
        timer = asyncio.get_running_loop().call_later(deadline - clock.now(), self.wake.set)
        try:
            while clock.now() < deadline:
                self.reject_pending()
                await self.wake.wait()
                self.wake.clear()
        finally:
            timer.cancel()

    def reject_pending(self) -> None:
        """Answer all pending and queued calls as a replica that does not lead."""
        self.fail_pending()
        while self.events:
            event = self.events.popleft()
            if isinstance(event, ProposeEvent):
                resolve(event.future, NotLeader())
            elif isinstance(event, ReadEvent | TransferEvent):
                resolve(event.future, False)

    def handle_event(self, event: Any, now: float) -> None:
        """Pass one event to the node."""
        if isinstance(event, ProposeEvent):
            entry = self.node.propose(event.payload, wall_clock_ms())
            if isinstance(entry, NotLeader):
                resolve(event.future, entry)
            else:
                self.proposals[entry.index, entry.term] = event.future
        elif isinstance(event, ReadEvent):
            ticket = self.node.read()
            if isinstance(ticket, NotLeader):
                resolve(event.future, False)
            else:
                self.reads[ticket] = event.future
        elif isinstance(event, TransferEvent):
            resolve(event.future, self.node.transfer(now))
        elif isinstance(event, LeaderDownEvent):
            self.node.on_leader_down(event.leader_id, now)
        elif not isinstance(event, InstallRequest) or self.has_parts(event.snapshot):
            self.node.receive(event, now)

    def has_parts(self, snapshot: Snapshot) -> bool:
        """Return whether all parts of a snapshot are stored and stay so.

        A snapshot of this replica's own that was saved in the meantime may have removed some, or
        is about to. The leader then sends its snapshot again.
        """
        return not self.replaces_parts and all(
            self.storage.has_part(part) for part in snapshot.parts
        )

    async def process_ready(self, ready: Ready) -> None:
        """Process the node's pending work.

        Sends `messages`, applies the committed entries, answers reads and persists the records,
        then sends the messages that depend on the records being on disk.
        """
        self.send_messages(ready.messages)
        if ready.snapshot is not None:
            await self.install_snapshot(ready.snapshot)
        self.finish_committed(ready)
        if ready.records:
            await self.write_records(ready.records)
        self.send_messages(ready.messages_after_sync)
        if self.is_snapshot_due():
            await self.save_snapshot()

    def is_snapshot_due(self) -> bool:
        """Return whether to save a snapshot of the own state.

        A leader's snapshot that arrived during a write is installed first: the log already ends
        with it, and the state is still the old one.
        """
        if self.node.ready.snapshot is not None:
            return False
        return (
            self.applied_bytes > SNAPSHOT_AFTER_BYTES
            or self.applied_entries > SNAPSHOT_AFTER_ENTRIES
        )

    async def write_records(self, records: list[Record]) -> None:
        """Persist records, and meanwhile process what does not depend on them."""
        last_index, last_term = self.node.log.last_index, self.node.log.last_term
        with metrics.WRITE_SECONDS.time():
            await self.run_beside_events(partial(self.storage.append, records))
        self.node.synced(last_index, last_term)

    async def run_beside_events(self, work: Callable[[], None]) -> None:
        """Run a disk operation, and meanwhile process what does not depend on the disk.

        Load pattern: a slow disk, or little processor time for the thread that writes. A leader
        that sent no heartbeats during a write would lose its office to it.
        """
        write = asyncio.get_running_loop().run_in_executor(self.disk_thread, work)
        write.add_done_callback(lambda _: self.wake.set())
        while not write.done():
            await self.wait_for_events()
            ready = self.node.take_ready(self.handle_events(), disk_is_busy=True)
            self.send_messages(ready.messages)
            self.finish_committed(ready)
            self.log_changes()
        write.result()

    def finish_committed(self, ready: Ready) -> None:
        """Apply committed entries and answer reads."""
        self.apply_entries(ready.committed)
        for ticket in ready.reads:
            resolve(self.reads.pop(ticket, None), True)
        for ticket in ready.failed_reads:
            resolve(self.reads.pop(ticket, None), False)
        if self.node.role is not Role.LEADER and self.proposals:
            self.fail_pending()

    async def run_on_disk(self, work: Callable[[], T]) -> T:
        """Run a disk operation outside the event loop; return its result."""
        return await asyncio.get_running_loop().run_in_executor(self.disk_thread, work)

    def send_messages(self, messages: list[PeerMessage]) -> None:
        """Queue messages to their peers.

        A message to a data folder outside the known groups is sent to every contact; replicas
        other than its target ignore it.
        """
        for message in messages:
            member = self.node.find_member(message.target)
            addresses = [self.address_of(member)] if member else self.contacts()
            for address in addresses:
                self.link(address).send(message)

    def link(self, address: str) -> PeerLink:
        """Return the link to a peer's address; start one if there is none."""
        if address not in self.links:
            self.links[address] = PeerLink(address, self.peers.interface, self.on_refused)
            self.tasks.start(self.links[address].run())
        return self.links[address]

    def on_refused(self, address: str) -> None:
        """Tell the node if the address at which no process listens is the leader's."""
        if address == self.leader_address():
            self.post(LeaderDownEvent(self.node.leader_id))

    def contacts(self) -> list[str]:
        """Return the addresses of all known replicas except this one.

        An empty replica knows the group, and where its leader is, only by replies to its probes.
        """
        heard = self.heard_addresses if self.is_empty() else []
        electorate = [self.address_of(member) for member in self.node.electorate()]
        found = dict.fromkeys([*self.peers.contacts, *self.addresses(), *electorate, *heard])
        found.pop(self.peers.address, None)
        return list(found)

    def apply_entries(self, entries: list[Entry]) -> None:
        """Apply committed entries and resolve their pending proposals."""
        for entry in entries:
            result = self.state.apply(entry)
            resolve(self.proposals.pop((entry.index, entry.term), None), result)
            self.applied_bytes += len(entry.payload)
        self.applied_entries += len(entries)
        if entries:
            self.on_applied()

    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the stored log and the state with a snapshot from the leader."""
        save = partial(self.storage.save_snapshot, snapshot, self.node.hard_state, [])
        await self.run_on_disk(save)
        self.state.restore(snapshot.state, self.storage.load_parts(snapshot))
        self.applied_bytes = self.applied_entries = 0
        events.emit(
            events.SNAPSHOT_INSTALLED,
            index=snapshot.index,
            bytes=snapshot.size,
            parts=len(snapshot.parts),
        )
        self.on_applied()

    async def save_snapshot(self) -> None:
        """Save a snapshot of the state and compact the log, unless the leader sends a newer one.

        Load pattern: a slow disk or little processor time, and a state of many parts. Entries are
        applied while the parts are written, as their content is kept in memory until then.
        """
        node = self.node
        index = node.applied_index
        entry = node.log.slice(index, index)[0]
        group = [group for at, group in node.groups if at <= index][-1]
        node.holds_committed, held_at = True, clock.now()
        try:
            encoded = await self.encode_parts()
            root = self.state.dump()
        finally:
            node.holds_committed = False
        held_s = clock.now() - held_at
        if encoded is None:
            return
        self.applied_bytes = self.applied_entries = 0
        if not await self.write_parts(encoded.unwritten):
            return
        snapshot = Snapshot(index, entry.term, entry.at_ms, group, root, tuple(encoded.parts))
        entries = list(node.compact(snapshot))
        self.replaces_parts = True
        try:
            await self.run_beside_events(
                partial(self.storage.save_snapshot, snapshot, node.hard_state, entries)
            )
        finally:
            self.replaces_parts = False
        events.emit(
            events.SNAPSHOT_SAVED,
            index=index,
            bytes=snapshot.size,
            parts=len(encoded.parts),
            written_bytes=encoded.new_bytes + len(root),
            held_ms=round(held_s * 1000),
        )

    async def encode_parts(self) -> EncodedParts | None:
        """Encode the parts of the state that are not stored yet.

        No entries are applied meanwhile, so the state stays the same while its parts are encoded
        one by one; other events are processed each `ENCODING_SLICE_S`. Parts are written here only
        when more than `MAX_UNWRITTEN_BYTES` of them wait. Return None once a snapshot of the leader
        has arrived.
        """
        pause_at = clock.now() + ENCODING_SLICE_S
        encoded = EncodedParts()
        for part, content in self.state.dump_parts(self.storage.has_part):
            encoded.add(part, content)
            if encoded.unwritten_bytes > MAX_UNWRITTEN_BYTES:
                if not await self.write_parts(encoded.unwritten):
                    return None
                encoded.forget_content()
            if clock.now() < pause_at:
                continue
            await asyncio.sleep(0)
            pause_at = clock.now() + ENCODING_SLICE_S
            ready = self.node.take_ready(self.handle_events(), disk_is_busy=True)
            self.send_messages(ready.messages)
            self.finish_committed(ready)
            self.log_changes()
            if self.node.ready.snapshot is not None:
                return None
        return encoded

    async def write_parts(self, unwritten: list[tuple[Part, bytes]]) -> bool:
        """Write parts, and before each the records that are due.

        Return False once a snapshot of the leader has arrived.
        """
        for part, content in unwritten:
            now = self.handle_events()
            if self.node.ready.snapshot is not None:
                return False
            ready = self.node.take_ready(now)
            self.send_messages(ready.messages)
            self.finish_committed(ready)
            if ready.records:
                await self.write_records(ready.records)
            self.send_messages(ready.messages_after_sync)
            if self.node.ready.snapshot is not None:
                return False
            await self.run_beside_events(partial(self.storage.save_part, part, content))
        return self.node.ready.snapshot is None

    # Parts of snapshots from the leader

    def start_fetch(self, request: InstallRequest) -> None:
        """Fetch the parts of the leader's snapshot, unless a fetch is already running."""
        if request.target == self.node.data_id and self.fetch is None:
            self.fetch = self.tasks.start(self.fetch_parts(request))

    async def fetch_parts(self, request: InstallRequest) -> None:
        """Store the missing parts of a snapshot, then queue the snapshot.

        Parts that were fetched remain stored if others cannot be, so that the next request of the
        leader continues from there.
        """
        try:
            for part in request.snapshot.parts:
                if self.storage.has_part(part):
                    continue
                content = await self.fetch_part(part)
                if content is None:
                    events.emit(
                        events.PART_UNAVAILABLE, part=part.digest, index=request.snapshot.index
                    )
                    return
                await self.run_on_disk(partial(self.storage.save_part, part, content))
            self.post(request)
        except DiskError as error:
            events.emit(events.DISK_FAILED, detail=str(error), code=error.code)
        finally:
            self.fetch = None

    async def fetch_part(self, part: Part) -> bytes | None:
        """Return a part from the first replica that has it, or None if no replica does."""
        addresses = dict.fromkeys([self.leader_address(), *self.heard_addresses, *self.contacts()])
        for address in addresses:
            if address and address != self.peers.address:
                reply = await self.call_peer(address, ReadPart(part.digest))
                if isinstance(reply, PartRead) and digest(reply.content) == part.digest:
                    return reply.content
        return None

    def fail_pending(self) -> None:
        """Resolve pending proposals with `LostLeadership` and pending reads with False."""
        for future in self.proposals.values():
            resolve(future, LostLeadership())
        self.proposals.clear()
        for future in self.reads.values():
            resolve(future, False)
        self.reads.clear()

    def log_changes(self) -> None:
        """Log a change of the role, term, leader or group since the last call."""
        node = self.node
        current = (node.role, node.term, node.leader_name)
        if current != self.logged_role:
            self.logged_role = current
            events.emit(
                events.ROLE_CHANGED, role=node.role, term=node.term, leader=node.leader_name
            )
            if node.role is Role.LEADER and node.recovered_from:
                events.emit(
                    events.GROUP_RECOVERED,
                    term=node.term,
                    last_index=node.log.last_index,
                    successors=node.recovered_from,
                )
        if node.leader_id:
            self.logged_standing = {}
        if node.group != self.logged_group:
            self.logged_group = node.group
            members = {member.name: member.voter for member in node.group.members}
            events.emit(events.GROUP_CHANGED, voters=members)

    def log_missing_leader(self, replies: list[ProbeReply]) -> None:
        """Log what is known of each voter while no leader is heard, whenever that changes."""
        node = self.node
        standing = {
            member.data_id[:8]: f"{member.name} {self.voter_standing(member, replies)}"
            for member in node.electorate()
            if member.voter
        }
        if standing != self.logged_standing:
            self.logged_standing = standing
            log = node.log
            events.emit(
                events.NO_LEADER,
                term=node.term,
                last_index=log.last_index,
                last_term=log.last_term,
                quorum=node.group.quorum(),
                voters=standing,
            )

    def voter_standing(self, member: GroupMember, replies: list[ProbeReply]) -> str:
        """Return whether a voter answers, has lost its data folder or gives no answer."""
        if member.data_id == self.node.data_id:
            return "answers"
        address = self.address_of(member)
        for reply in replies:
            if reply.data_id == member.data_id:
                return "answers"
            if reply.address == address:
                return "lost its data folder, " + ("empty" if reply.empty else "joined")
        return "does not answer"

    # Forming and joining a group

    def is_empty(self) -> bool:
        """Return whether the replica's log is empty."""
        return self.node.log.last_index == 0

    async def maintain_membership(self) -> None:
        """Form the first group if every replica is empty, otherwise ask to join as a learner.

        A replica with a new data folder must never vote in place of its predecessor, so it forms
        a group only if all other replicas report that they are empty too. In an open group, a
        replica that hears no leader asks to join again, since it may have been replaced.
        """
        while True:
            if self.storage.failed is not None:
                # A member that cannot store the log would take the place of one that can.
                pass
            elif self.is_empty():
                await self.form_or_join()
            elif self.has_no_leader():
                replies = await self.probe_peers()
                self.log_missing_leader(replies)
                if self.peers.policy.open or not self.is_member():
                    await self.ask_to_join(replies)
            await asyncio.sleep(self.probe_interval_s())

    def probe_interval_s(self) -> float:
        """Return the time until the next probe, in seconds.

        A spare replica, which belongs to no known group, is needed only once a member is lost. The
        group has learners to replace it at once, so spare replicas need not ask often.
        """
        is_spare = self.is_empty() and bool(self.heard_addresses)
        if not is_spare or self.peers.address in self.heard_addresses:
            return PROBE_INTERVAL_S
        return SPARE_PROBE_INTERVAL_S * (0.5 + random.random())

    def is_member(self) -> bool:
        """Return whether the group that this replica knows includes it."""
        return self.node.group.find(self.node.data_id) is not None

    def has_no_leader(self) -> bool:
        """Return whether the replica neither leads nor has heard a leader recently."""
        node = self.node
        return not self.is_leader and clock.now() > node.leader_heard_at + LEADER_SILENCE_S

    async def form_or_join(self) -> None:
        """Probe the peers of an empty replica once, then form a group or ask to join one."""
        replies = await self.probe_peers()
        if any(not reply.empty for reply in replies):
            await self.ask_to_join(replies)
            return
        others = [address for address in self.peers.contacts if address != self.peers.address]
        is_founder = self.peers.founds and self.peers.address == min(self.peers.contacts)
        if is_founder and {reply.address for reply in replies}.issuperset(others):
            await self.form_group(replies)

    async def probe_peers(self) -> list[ProbeReply]:
        """Probe every contact; return the replies received."""
        request = JoinProbe(self.name, self.node.data_id)
        known = dict.fromkeys([*self.contacts(), *self.heard_addresses])
        known.pop(self.peers.address, None)
        calls = [self.probe_peer(address, request) for address in known]
        replies = [reply for reply in await asyncio.gather(*calls) if reply is not None]
        heard = dict.fromkeys(address for reply in replies for address in reply.addresses)
        self.heard_addresses = list(heard) or self.heard_addresses
        return replies

    async def probe_peer(self, address: str, request: JoinProbe) -> ProbeReply | None:
        """Probe one contact; return None if it does not answer."""
        reply = await self.call_peer(address, request)
        return attrs.evolve(reply, address=address) if isinstance(reply, ProbeReply) else None

    async def call_peer(self, address: str, request: JoinProbe | ReadPart) -> Any | None:
        """Call a peer; return its reply, or None if it does not answer."""
        try:
            return await self.link(address).client.call(request, PEER_TIMEOUT_S)
        except (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError) as error:
            self.link(address).set_reachable(False, repr(error))
            return None

    async def ask_to_join(self, replies: list[ProbeReply]) -> None:
        """Send a request to join as a learner to every known address."""
        events.emit(events.JOINING, data_id=self.node.data_id)
        known = [address for reply in replies for address in reply.addresses]
        request = JoinRequest(self.node.data_id, "", self.name, self.peers.address)
        for address in dict.fromkeys([*self.contacts(), *known]):
            if address != self.peers.address:
                self.link(address).send(request)

    async def form_group(self, replies: list[ProbeReply]) -> None:
        """Store the first group and restart the node with it, so that it can start an election."""
        members = [GroupMember(reply.name, reply.data_id, reply.address) for reply in replies]
        members.append(GroupMember(self.name, self.node.data_id, self.peers.address))
        members.sort(key=lambda member: member.name)
        snapshot = Snapshot(FIRST_INDEX, FIRST_TERM, 0, Group(tuple(members)), b"")
        hard_state = HardState(FIRST_TERM, "")
        await self.run_on_disk(partial(self.storage.save_snapshot, snapshot, hard_state, []))
        self.node = self.make_node(Stored(hard_state, snapshot, []))
        events.emit(events.GROUP_FORMED, members=[member.name for member in members])

    def make_node(self, stored: Stored) -> Node:
        """Create a node from stored data, and restore the state from the stored snapshot."""
        root = stored.snapshot.state if stored.snapshot else b""
        self.state.restore(root, self.storage.load_parts(stored.snapshot))
        return Node(
            self.storage.meta.data_id,
            stored,
            self.timing,
            partial(encode, kind=Group),
            partial(decode, kind=Group),
            random.random,
            clock.now(),
            self.name,
            self.peers.policy,
        )


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds.

    Log entries carry it as their timestamp, by which the control state expires claims, grants and
    steps. The consensus protocol and the fleet's state do not depend on it.
    """
    return int(time.time() * 1000)


def resolve(future: asyncio.Future[Any] | None, value: Any) -> None:
    """Set a future's result unless it is missing, done or cancelled by its caller."""
    if future is not None and not future.done():
        future.set_result(value)
