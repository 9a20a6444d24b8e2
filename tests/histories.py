"""Concurrent histories of configuration writes and reads, with a linearizability checker."""

from __future__ import annotations

import random

from attrs import define, frozen

from apricotvale.control.configuration import ConfigApplied
from tests.operations import apply_config
from tests.replicas import Injector, Replicas

CLIENTS = 3
ACTIONS = ("write", "read", "crash", "partition", "pause", "wait", "torn_write")


@frozen
class Event:
    """A finished call with its result, start time and end time."""

    kind: str
    revision: int
    text: str
    started: float
    finished: float


@define
class PendingRead:
    """A read that awaits confirmation by a quorum."""

    host: object
    ticket: int
    started: float


def find_violations(events):
    """Return the violations in a history of a versioned register; empty if there are none."""
    writes = {}
    for event in events:
        if event.kind == "write":
            if event.revision in writes:
                return [f"revision {event.revision} was accepted twice"]
            writes[event.revision] = event
    found = []
    for read in (event for event in events if event.kind == "read"):
        write = writes.get(read.revision)
        if write is not None and write.text != read.text:
            found.append(f"revision {read.revision} was read as {read.text!r}")
    for before in events:
        for after in events:
            if before.finished < after.started and before.revision > after.revision:
                found.append(f"{before} reverted to {after}")
            is_write = after.kind == "write" and before.revision == after.revision
            if before.finished < after.started and is_write:
                found.append(f"{after} was accepted with a revision already seen")
    return found


class Recorder:
    """Runs a schedule of actions on replicas and records what clients observe."""

    def __init__(self, seed, replicas=Replicas):
        self.rng = random.Random(seed)
        self.group = replicas(seed=seed, injector=Injector())
        self.writes = []
        self.reads = []
        self.events = []
        self.write_count = 0

    def run(self, schedule):
        """Run a schedule of actions and return the history."""
        self.group.run_until(lambda: self.group.leader() is not None)
        for action in schedule:
            getattr(self, action)()
            for _ in range(self.rng.randrange(1, 25)):
                self.group.tick()
                self.collect()
        for _ in range(300):
            self.group.tick()
            self.collect()
        return self.events

    def random_host(self):
        return self.rng.choice(list(self.group.hosts.values()))

    def write(self):
        self.write_count += 1
        revision = max((event.revision for event in self.events), default=0)
        text = f"text{self.write_count}"
        call = self.group.call(apply_config(f"op{self.write_count}", revision, text))
        self.writes.append((call, text))

    def read(self):
        for host in self.group.reachable():
            ticket = self.group.read(host)
            if ticket is not None:
                self.reads.append(PendingRead(host, ticket, self.group.now))

    def crash(self):
        host = self.random_host()
        if host.node is not None:
            self.group.crash(host)

    def partition(self):
        self.group.partitioned_until[self.random_host().name] = self.group.now + 1.5

    def pause(self):
        self.random_host().paused_until = self.group.now + 1.2

    def torn_write(self):
        host = self.random_host()
        if host.node is not None:
            host.disk.next_append = "torn write"

    def wait(self):
        self.group.run(0.5)

    def collect(self):
        """Record the calls that have finished."""
        now = self.group.now
        for call, text in list(self.writes):
            if call.result is not None:
                self.writes.remove((call, text))
                if isinstance(call.result, ConfigApplied):
                    revision = call.result.revision
                    self.events.append(Event("write", revision, text, call.started, now))
        for read in list(self.reads):
            if read.host.node is None or read.ticket not in read.host.reads:
                continue
            self.reads.remove(read)
            if read.host.reads[read.ticket]:
                config = read.host.state.config.state
                text = config.document.base if config.document else ""
                self.events.append(Event("read", config.revision, text, read.started, now))
