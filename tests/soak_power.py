"""What a loss of power takes back from a recorded disk, and what a data folder holds."""

from __future__ import annotations

import json
import os
from collections import Counter

from attrs import define

from apricotvale.codec import decode
from apricotvale.consensus.messages import EntryKind, Group
from apricotvale.consensus.storage import Storage
from apricotvale.fleet.state import FleetState


def read_record(folder):
    """Return what is not durable: sizes by file, new names, changed names and truncated files."""
    sizes, created, changes, cuts = {}, set(), [], {}
    path = folder / "record"
    for line in path.read_bytes().splitlines() if path.exists() else []:
        kind, *fields = json.loads(line)
        match kind:
            case "create":
                sizes[fields[0]] = 0
                created.add(fields[0])
            case "sync":
                sizes[fields[0]] = fields[1]
                created.discard(fields[0])
                cuts.pop(fields[0], None)
            case "folder":
                created.clear()
                changes.clear()
            case "rename":
                sizes[fields[1]] = sizes.pop(fields[0], 0)
                changes.append((kind, *fields))
            case "remove":
                sizes.pop(fields[0], None)
                changes.append((kind, *fields))
            case "cut":
                cuts[fields[0]] = fields[1]
    return sizes, created, changes, cuts


def lose_power(data, record, rng):
    """Apply a loss of power to the folder of a process that has ended; return what was lost.

    Each write, name and truncation that was not synced is kept or lost independently, and a write
    may also be torn; at some losses of power all of them are lost.
    """
    sizes, created, changes, cuts = read_record(record)
    outcomes = ["lost"] if rng.random() < 0.3 else ["lost", "kept", "torn", "zeros"]
    found = Counter()

    def is_lost():
        return rng.choice(outcomes) == "lost"

    for name, kept in cuts.items():
        if is_lost():
            os.replace(record / kept, data / name)
            found["truncation lost"] += 1
    for name, size in sizes.items():
        path = data / name
        content = path.read_bytes() if path.exists() and name != "lock" else b""
        if len(content) > size and name not in cuts:
            how = rng.choice(outcomes)
            cut = rng.randrange(size, len(content))
            if how != "kept":
                zeros = bytes(len(content) - cut) if how == "zeros" else b""
                path.write_bytes(content[: size if how == "lost" else cut] + zeros)
            found[f"write {how}"] += 1
    for name in sorted(created - {"lock"}):
        if (data / name).exists() and is_lost():
            (data / name).unlink()
            found["new name lost"] += 1
    for kind, name, *fields in reversed(changes):
        kept = fields[-1]
        if kind == "remove" and kept and not (data / name).exists() and is_lost():
            os.link(record / kept, data / name)
            found["removal lost"] += 1
        elif kind == "rename" and not (data / name).exists() and is_lost():
            if (data / fields[0]).exists():
                os.replace(data / fields[0], data / name)
            if kept:
                os.link(record / kept, data / fields[0])
            found["rename lost"] += 1
    for path in record.iterdir() if record.exists() else []:
        if path.name != "delay":
            path.unlink()
    return dict(found)


@define
class ReadOnlyDisk:
    """A data folder that is read and not changed."""

    folder: object

    def read(self, name):
        path = self.folder / name
        return path.read_bytes() if path.exists() else None

    def names(self):
        found = (path.name for path in self.folder.iterdir() if path.suffix != ".new")
        return sorted(name for name in found if name != "lock")

    def truncate(self, name, size):
        pass

    def sync(self, name):
        pass


@define
class Held:
    """What a data folder holds, including what may not be committed.

    :param problem: why it cannot be read, empty if it can.
    """

    problem: str = ""
    data_id: str = ""
    term: int = 0
    index: int = 0
    entry_term: int = 0
    voters: str = ""
    version: int = 0
    jobs: frozenset = frozenset()

    def __str__(self):
        if self.problem:
            return self.problem
        return (
            f"id {self.data_id[:6]} term {self.term} log {self.index}@{self.entry_term} "
            f"voters [{self.voters}] configuration {self.version} jobs {len(self.jobs)}"
        )


def read_held(folder, name):
    """Return what the data folder of a control replica holds."""
    if not (folder / "meta").exists():
        return Held("empty")
    try:
        storage = Storage(ReadOnlyDisk(folder), name)
        stored, state = storage.stored, FleetState()
        group, index, entry_term = Group(()), 0, 0
        if stored.snapshot:
            state.restore(stored.snapshot.state, storage.load_parts(stored.snapshot))
            group, index = stored.snapshot.group, stored.snapshot.index
            entry_term = stored.snapshot.term
        for entry in stored.entries:
            if entry.index > index:
                state.apply(entry)
                index, entry_term = entry.index, entry.term
                if entry.kind is EntryKind.GROUP:
                    group = decode(entry.payload, Group)
    except Exception as error:
        return Held(f"unreadable: {error!r}")
    return Held(
        "",
        storage.meta.data_id,
        stored.hard_state.term,
        index,
        entry_term,
        " ".join(
            f"{m.name}={m.data_id[:6]}{'' if m.voter else '(learner)'}" for m in group.members
        ),
        state.table.version,
        frozenset(state.jobs.state.records),
    )
