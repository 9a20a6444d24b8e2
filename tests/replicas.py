"""Simulated control replicas: real nodes, storage and state machines on in-memory disks and a bus.

All replicas run in one thread on virtual time. Faults are injected at numbered steps; a step is a
write to a disk or the sending of a message.
"""

from __future__ import annotations

import errno
import random
from functools import partial

from attrs import define, field

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    Group,
    GroupMember,
    HardState,
    InstallRequest,
    JoinRequest,
    Snapshot,
)
from apricotvale.consensus.node import Node
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import NotLeader, Role, Timing
from apricotvale.control import commands as c
from apricotvale.control.state import ControlState
from apricotvale.exceptions import DiskError

TICK_S = 0.02
LATENCY_S = 0.001
TIMING = Timing(heartbeat_s=0.1, election_timeout_s=0.5)
CLIENT_RETRY_S = 1.0
RESTART_DELAY_S = 0.4
PARTITION_S = 2.0
PAUSE_S = 1.2
DELAY_S = 1.0

WRITE_FAULTS = ("crash before write", "torn write", "crash after sync", "disk error")
SEND_FAULTS = (
    "crash before send",
    "message lost",
    "message duplicated",
    "message delayed",
    "message reordered",
    "sender partitioned",
    "sender paused",
)


class Crash(Exception):
    """Simulated crash of the replica's process."""


class MemoryDisk:
    """In-memory files; only synced data survives a crash."""

    def __init__(self):
        self.files = {}
        self.next_append = None

    def read(self, name):
        return bytes(self.files[name]) if name in self.files else None

    def names(self):
        return sorted(self.files)

    def copy(self):
        disk = MemoryDisk()
        disk.files = {name: bytearray(content) for name, content in self.files.items()}
        return disk

    def append(self, name, data):
        written_bytes = len(data)
        fault, self.next_append = self.next_append, None
        if fault == "disk error":
            raise OSError(errno.ENOSPC, "no space left")
        if fault == "crash before write":
            raise Crash
        if fault == "torn write":
            written_bytes //= 2
        self.files.setdefault(name, bytearray()).extend(data[:written_bytes])
        if fault in ("torn write", "crash after sync"):
            raise Crash

    def replace(self, name, data, syncs_name=True):
        self.files[name] = bytearray(data)

    def sync_names(self):
        pass

    def sync(self, name):
        pass

    def truncate(self, name, size):
        del self.files[name][size:]

    def remove(self, name):
        self.files.pop(name, None)


@define
class Injector:
    """Injects faults at the given steps and records every step while armed.

    :param faults: fault by step number.
    :param kinds: kind of each step so far, "write" or "send".
    :param labels: label of each step so far.
    """

    faults: dict[int, str] = field(factory=dict)
    armed: bool = False
    kinds: list[str] = field(factory=list)
    labels: list[str] = field(factory=list)

    def next_fault(self, kind, label):
        if not self.armed:
            return None
        self.kinds.append(kind)
        self.labels.append(label)
        return self.faults.get(len(self.kinds) - 1)


@define
class Write:
    """A write in progress.

    :param last: index and term of the last entry of the log when it began.
    :param messages: messages that depend on the records being on disk.
    """

    records: list
    last: tuple
    messages: list
    ends_at: float = 0.0


@define
class Host:
    """One replica and its disk."""

    name: str
    disk: MemoryDisk
    node: Node | None = None
    storage: Storage | None = None
    state: ControlState | None = None
    restart_at: float = 0.0
    paused_until: float = 0.0
    results: dict = field(factory=dict)
    reads: dict = field(factory=dict)
    inbox: list = field(factory=list)
    write: Write | None = None


@define
class Call:
    """A client's command, resent until it is answered.

    :param proposal: name of the replica that took the command, and the entry's (index, term).
    """

    payload: bytes
    result: object = None
    proposal: tuple | None = None
    sent_at: float = 0.0
    started: float = 0.0
    finished: float = 0.0


class Replicas:
    """A group of replicas with its clients, network and injected faults.

    :param max_write_s: longest time of a write; 0 for writes that take no time.
    """

    def __init__(
        self,
        names=("a", "b", "c"),
        seed=0,
        injector=None,
        formed=True,
        policy=None,
        make_state=ControlState,
        command=c.Command,
        max_write_s=0.0,
    ):
        self.now = 0.0
        self.max_write_s = max_write_s
        self.make_state = make_state
        self.command = command
        self.policy = policy
        self.rng = random.Random(seed)
        self.injector = injector or Injector()
        self.bus = []
        self.sequence = 0
        self.partitioned_until = {}
        self.half, self.split_until = frozenset(), 0.0
        self.held = []
        self.calls = []
        self.matched = {}
        self.hosts = {name: Host(name, MemoryDisk()) for name in names}
        for host in self.hosts.values():
            host.storage = Storage(host.disk, host.name)
        if formed:
            ids = {name: host.storage.meta.data_id for name, host in self.hosts.items()}
            group = Group(tuple(GroupMember(name, ids[name], name) for name in names))
            for host in self.hosts.values():
                host.storage.save_snapshot(Snapshot(1, 1, 0, group, b""), HardState(1), [])
        for host in self.hosts.values():
            self.boot(host)

    # Hosts

    def boot(self, host):
        """Start a replica from its disk."""
        host.storage = Storage(host.disk, host.name)
        stored = host.storage.stored
        host.state = self.make_state()
        root = stored.snapshot.state if stored.snapshot else b""
        host.state.restore(root, host.storage.load_parts(stored.snapshot))
        host.node = Node(
            host.storage.meta.data_id,
            stored,
            TIMING,
            partial(encode, kind=Group),
            partial(decode, kind=Group),
            self.rng.random,
            self.now,
            host.name,
            self.policy,
        )
        host.results, host.reads, host.inbox = {}, {}, []
        host.write = None

    def crash(self, host, down_s=RESTART_DELAY_S):
        """Crash a replica's process and restart it after `down_s`."""
        host.node = None
        host.restart_at = self.now + down_s

    def wipe(self, host):
        """Replace a replica's machine with one that has an empty disk."""
        host.disk = MemoryDisk()
        self.crash(host, 0.0)

    def leader(self):
        """Return the leader of the newest term."""
        leaders = [
            host for host in self.hosts.values() if host.node and host.node.role is Role.LEADER
        ]
        return max(leaders, key=lambda host: host.node.term, default=None)

    # Virtual time

    def run(self, seconds):
        """Advance time."""
        until = self.now + seconds
        while self.now < until:
            self.tick()

    def run_until(self, condition, seconds=20.0):
        """Advance time until a condition holds; return whether it does."""
        until = self.now + seconds
        while self.now < until:
            if condition():
                return True
            self.tick()
        return condition()

    def tick(self):
        """Advance time by one tick for every replica and client."""
        self.now += TICK_S
        for host in self.hosts.values():
            if host.node is None and self.now >= host.restart_at:
                self.boot(host)
            if host.node is not None and self.now >= host.paused_until:
                self.run_host(host)
        for _ in range(4):
            self.deliver()
        for call in self.calls:
            self.poll_call(call)

    def run_host(self, host):
        """Run a replica's timers, send its join requests and handle its inbox."""
        host.node.tick(self.now)
        empty = host.storage.stored.empty and host.node.log.last_index == 0
        leaderless = (
            host.node.role is not Role.LEADER and self.now > host.node.leader_heard_at + 1.0
        )
        is_member = host.node.group.find(host.node.data_id) is not None
        if empty or (leaderless and (self.policy is not None or not is_member)):
            for peer in self.hosts.values():
                if peer is host or self.is_partitioned(host.name, peer.name):
                    continue
                if peer.node and peer.node.role is Role.LEADER:
                    join = JoinRequest(host.node.data_id, "", host.name, host.name)
                    peer.inbox.append(join)
        inbox, host.inbox = host.inbox, []
        for message in inbox:
            if not isinstance(message, InstallRequest) or self.fetch_parts(host, message.snapshot):
                host.node.receive(message, self.now)
        self.process_ready(host)

    def fetch_parts(self, host, snapshot):
        """Copy the missing parts of a snapshot from other hosts; return whether all were found."""
        for part in snapshot.parts:
            if host.storage.has_part(part):
                continue
            source = next(
                (
                    peer
                    for peer in self.reachable()
                    if peer is not host and peer.storage.has_part(part)
                ),
                None,
            )
            if source is None:
                return False
            host.storage.save_part(part, source.storage.load_part(part))
        return True

    def deliver(self):
        """Deliver the messages that are due and run their receivers."""
        due = [item for item in self.bus if item[0] <= self.now]
        self.bus = [item for item in self.bus if item[0] > self.now]
        for _, _, source, addresses, message in sorted(due, key=lambda item: item[:2]):
            for host in map(self.hosts.get, addresses):
                if host.node is not None and not self.is_partitioned(source, host.name):
                    host.inbox.append(message)
        for host in self.hosts.values():
            if host.inbox and host.node and self.now >= host.paused_until:
                self.run_host(host)

    def split(self, half, seconds):
        """Cut the network between the named hosts and the others; clients reach both halves."""
        self.half, self.split_until = frozenset(half), self.now + seconds

    def is_partitioned(self, one, other):
        if self.now < self.split_until and (one in self.half) != (other in self.half):
            return True
        return any(self.now < self.partitioned_until.get(name, 0.0) for name in (one, other))

    # Work of the daemon

    def process_ready(self, host):
        """Persist, send and apply as the daemon does, with injected faults."""
        try:
            if host.write is not None and self.now >= host.write.ends_at:
                self.end_write(host)
            while self.is_idle(host) and host.node.has_work():
                self.apply_ready(host, host.node.take_ready(self.now))
            if self.is_idle(host):
                self.apply_ready(host, host.node.take_ready(self.now))
            if host.node is not None and host.write is not None:
                ready = host.node.take_ready(self.now, disk_is_busy=True)
                for message in ready.messages:
                    self.send(host, message)
                self.finish_committed(host, ready)
        except (Crash, DiskError):
            self.crash(host)

    def is_idle(self, host):
        return host.node is not None and host.write is None

    def apply_ready(self, host, ready):
        for message in ready.messages:
            self.send(host, message)
        if ready.snapshot is not None:
            host.storage.save_snapshot(ready.snapshot, host.node.hard_state, [])
            parts = host.storage.load_parts(ready.snapshot)
            host.state.restore(ready.snapshot.state, parts)
        self.finish_committed(host, ready)
        if ready.records:
            last = (host.node.log.last_index, host.node.log.last_term)
            host.write = Write(ready.records, last, ready.messages_after_sync)
            if self.max_write_s:
                host.write.ends_at = self.now + self.max_write_s * self.rng.random()
            else:
                self.end_write(host)
        else:
            for message in ready.messages_after_sync:
                self.send(host, message)

    def end_write(self, host):
        """Persist the records of the write in progress, then send what waited for it."""
        write, host.write = host.write, None
        kinds = "+".join(type(record).__name__ for record in write.records[:2])
        host.disk.next_append = self.injector.next_fault("write", kinds)
        host.storage.append(write.records)
        host.node.synced(*write.last)
        for message in write.messages:
            self.send(host, message)

    def finish_committed(self, host, ready):
        for entry in ready.committed:
            result = host.state.apply(entry)
            host.results[entry.index, entry.term] = result
        for ticket in ready.reads:
            host.reads[ticket] = True
        for ticket in ready.failed_reads:
            host.reads[ticket] = False

    def send(self, host, message):
        """Put a message on the bus, subject to the injected fault."""
        fault = self.injector.next_fault("send", self.label(message))
        if fault == "crash before send":
            raise Crash
        if fault == "message lost":
            return
        if fault == "sender partitioned":
            self.partitioned_until[host.name] = self.now + PARTITION_S
            return
        if fault == "sender paused":
            host.paused_until = self.now + PAUSE_S
        delay = DELAY_S if fault == "message delayed" else LATENCY_S
        if fault == "message reordered":
            delay = TICK_S * 3
        self.post(host.name, message, delay)
        if fault == "message duplicated":
            self.post(host.name, message, TICK_S * 2)

    def label(self, message):
        """Return a message's type, with heartbeats and their replies as types of their own."""
        if isinstance(message, AppendRequest) and not message.entries:
            return "heartbeat"
        if isinstance(message, AppendReply):
            known = self.matched.get(message.source)
            self.matched[message.source] = message.index
            return "heartbeat reply" if known == message.index else "append reply"
        return type(message).__name__

    def post(self, source, message, delay):
        self.sequence += 1
        addresses = self.addresses_for(self.hosts[source], message)
        self.bus.append((self.now + delay, self.sequence, source, addresses, message))

    def addresses_for(self, host, message):
        """Return the names of the hosts to which the daemon sends a message.

        A member's address stays the same when its machine is replaced, so that a message for a
        lost data folder reaches the replica that has its name now.
        """
        member = host.node.find_member(message.target)
        if member is not None:
            return [member.address]
        return [name for name in self.hosts if name != host.name]

    def compact(self, host):
        """Save a snapshot as the daemon does, after a write in progress."""
        if host.write is not None:
            self.end_write(host)
        node = host.node
        index = node.applied_index
        entry = node.log.slice(index, index)[0]
        group = [group for at, group in node.groups if at <= index][-1]
        parts = []
        for part, content in host.state.dump_parts(host.storage.has_part):
            parts.append(part)
            if content is not None:
                host.storage.save_part(part, content)
        root = host.state.dump()
        snapshot = Snapshot(index, entry.term, entry.at_ms, group, root, tuple(parts))
        host.storage.save_snapshot(snapshot, node.hard_state, list(node.compact(snapshot)))

    # Clients

    def call(self, command):
        """Start a client's command, which is resent until it is answered."""
        call = Call(encode(command, self.command), started=self.now, sent_at=self.now)
        self.calls.append(call)
        return call

    def poll_call(self, call):
        """Look for the answer to a client's command, or send the command again."""
        if call.result is not None:
            return
        if call.proposal is not None:
            name, key = call.proposal
            host = self.hosts[name]
            if host.node is not None and key in host.results:
                call.result, call.finished = host.results[key], self.now
                return
            if self.now < call.sent_at + CLIENT_RETRY_S:
                return
        for host in self.reachable():
            if host.node.role is Role.LEADER:
                entry = host.node.propose(call.payload, int(self.now * 1000))
                if not isinstance(entry, NotLeader):
                    call.proposal, call.sent_at = (host.name, (entry.index, entry.term)), self.now
                    self.process_ready(host)
                    return

    def reachable(self):
        return [
            host
            for host in self.hosts.values()
            if host.node is not None
            and self.now >= host.paused_until
            and self.now >= self.partitioned_until.get(host.name, 0.0)
        ]

    def read(self, host):
        """Start a confirmed read; return its ticket, or None if the replica is not the leader."""
        ticket = host.node.read()
        return None if isinstance(ticket, NotLeader) else ticket

    def converge(self):
        """Wait out partitions and until all replicas have the same log; return whether they do."""
        self.run(PARTITION_S)
        return self.run_until(self.has_converged, 10.0)

    def has_converged(self):
        nodes = [host.node for host in self.hosts.values()]
        if any(node is None for node in nodes) or self.leader() is None:
            return False
        applied = {node.applied_index for node in nodes}
        last = {node.log.last_index for node in nodes}
        return len(applied) == 1 and applied == last

    def states(self):
        return [
            (host.state.dump(), [part for part, _ in host.state.dump_parts(lambda part: False)])
            for host in self.hosts.values()
        ]


def count_logged_commands(host):
    """Return the number of commands in a replica's log."""
    return sum(entry.kind is EntryKind.COMMAND for entry in host.node.log.entries)
