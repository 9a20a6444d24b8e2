"""Numbered log events. `docs/events.md` is the catalogue made from this module."""

from __future__ import annotations

import json
import sys
from typing import Any

from attrs import frozen
from loguru import logger


@frozen
class Event:
    """A kind of log line."""

    number: int
    name: str
    level: str
    summary: str


CATALOGUE: dict[int, Event] = {}


def event(number: int, name: str, level: str, summary: str) -> Event:
    """Add an event to the catalogue."""
    if number in CATALOGUE:
        raise ValueError(f"event {number} is defined twice")
    CATALOGUE[number] = Event(number, name, level, summary)
    return CATALOGUE[number]


STARTED = event(100, "started", "INFO", "A process listens.")
READY = event(101, "ready", "INFO", "A process has a confirmed configuration and serves.")
STOPPING = event(102, "stopping", "INFO", "A graceful shutdown begins.")
STOPPED = event(103, "stopped", "INFO", "A process has finished its work and exits.")
TASK_FAILED = event(104, "task-failed", "ERROR", "A background task ended by an error.")
RELOADED = event(105, "reloaded", "INFO", "A process has read its settings again.")
RELOAD_FAILED = event(106, "reload-failed", "ERROR", "Settings read again cannot be used.")
LINES_DROPPED = event(107, "lines-dropped", "WARNING", "More log lines came than are written.")

ROUTED = event(200, "routed", "INFO", "An upstream was chosen, with the candidates and why.")
REFUSED = event(201, "refused", "INFO", "A request was refused, with the reason.")
RETRIED = event(202, "retried", "INFO", "A request goes to another upstream.")
EJECTED = event(203, "ejected", "WARNING", "An upstream failed repeatedly and is left out.")
HEDGED = event(204, "hedged", "INFO", "A second copy of an idempotent request was sent.")
ANSWERED = event(209, "answered", "INFO", "A request got its final answer.")
STREAM_CUT = event(205, "stream-cut", "WARNING", "A stream ended before its end marker.")
CANCELLED = event(206, "cancelled", "INFO", "A caller went away and the work was cancelled.")
PREEMPTED = event(207, "preempted", "INFO", "A sample made room for interactive work.")

ATTEMPT_FAILED = event(208, "attempt-failed", "INFO", "An upstream did not answer a request.")

CLAIM_GRANTED = event(300, "claim-granted", "INFO", "A non-idempotent request may run once.")
CLAIM_REPLAYED = event(301, "claim-replayed", "INFO", "A resend got the recorded outcome.")
CLAIM_RESOLVED = event(302, "claim-resolved", "INFO", "A resend asked the sidecar that holds it.")
TOKEN_TOMBSTONED = event(303, "token-tombstoned", "INFO", "An unseen token was closed for good.")

SAMPLE_PLACED = event(400, "sample-placed", "INFO", "A sample was sent to an engine, and why.")
SAMPLE_FILLED = event(401, "sample-filled", "DEBUG", "A sample's slot was filled.")
SAMPLE_FAILED = event(402, "sample-failed", "INFO", "A sample's attempt failed and is repeated.")
STEP_OPENED = event(403, "step-opened", "INFO", "A trainer opened a step.")
STEP_ADOPTED = event(404, "step-adopted", "WARNING", "An entry took over a step.")
STEP_CLOSED = event(405, "step-closed", "INFO", "A trainer closed a step.")
STRAGGLER = event(406, "straggler", "INFO", "A slow sample was sent to a second engine.")
SAMPLE_STOPPED = event(407, "sample-stopped", "INFO", "Generation was stopped as not needed.")

JOB_ACCEPTED = event(410, "job-accepted", "INFO", "A job was committed, or was held already.")
JOB_ENDED = event(411, "job-ended", "INFO", "A job was ended by its caller.")
ITEM_PLACED = event(412, "item-placed", "INFO", "An item was sent to an engine, and why.")
ITEM_CUT = event(413, "item-cut", "INFO", "A run of an item ended early; it goes on elsewhere.")
ITEM_LISTED = event(414, "item-listed", "INFO", "An item's result has its position.")
REWARD_FAILED = event(415, "reward-failed", "INFO", "A reward call was not answered well.")
ITEM_MOVED = event(418, "item-moved", "INFO", "A run goes on at a much faster engine.")
RUNNER_STARTED = event(416, "runner-started", "INFO", "A leader starts to run open jobs.")
RUNNER_STOPPED = event(417, "runner-stopped", "INFO", "A former leader stopped all its runs.")

ROLE_CHANGED = event(500, "role-changed", "INFO", "A control replica's role or term changed.")
JOINING = event(501, "joining", "WARNING", "A replica with a new data folder asks to join.")
GROUP_FORMED = event(502, "group-formed", "INFO", "The first group of replicas was formed.")
SNAPSHOT_SAVED = event(503, "snapshot-saved", "DEBUG", "The state was saved and the log cut.")
SNAPSHOT_INSTALLED = event(504, "snapshot-installed", "INFO", "A leader's snapshot was taken.")
DISK_FAILED = event(505, "disk-failed", "ERROR", "A write failed; the replica stops voting.")
PEER_LOST = event(507, "peer-lost", "WARNING", "A control replica does not answer a peer.")
PEER_FOUND = event(508, "peer-found", "INFO", "A control replica answers a peer again.")
GROUP_CHANGED = event(506, "group-changed", "INFO", "The group of control replicas changed.")

MEMBER_JOINED = event(600, "member-joined", "INFO", "A process announced itself.")
MEMBER_LEFT = event(601, "member-left", "INFO", "A process left, or its lease ran out.")
CONFIG_ACCEPTED = event(602, "config-accepted", "INFO", "A configuration was committed.")
CONFIG_REJECTED = event(603, "config-rejected", "INFO", "A configuration lost a race.")
CONFIG_IN_FORCE = event(604, "config-in-force", "INFO", "A process applied a configuration.")
CONTROL_LOST = event(605, "control-lost", "WARNING", "No control replica confirms the view.")
CONTROL_FOUND = event(606, "control-found", "INFO", "The view is confirmed again.")

VIEW_CHANGED = event(607, "view-changed", "INFO", "An entry learned of upstreams.")
UPSTREAM_CHANGED = event(608, "upstream-changed", "INFO", "An upstream's state was committed.")
UPSTREAM_SILENT = event(609, "upstream-silent", "WARNING", "An upstream was not heard for long.")
HEARTBEAT_LATE = event(610, "heartbeat-late", "INFO", "An old heartbeat was ignored.")
INPUT_REJECTED = event(611, "input-rejected", "WARNING", "Input that cannot be read was rejected.")
REPLICA_RETIRING = event(612, "replica-retiring", "INFO", "A control replica is to be emptied.")

WEIGHTS_PUBLISHED = event(700, "weights-published", "INFO", "A trainer published a version.")
SWAP_GRANTED = event(701, "swap-granted", "INFO", "An engine may load a version, and why now.")
SWAP_DONE = event(702, "swap-done", "INFO", "An engine states that it serves a version.")
SWAP_FAILED = event(703, "swap-failed", "WARNING", "An engine could not load a version.")
ORDER_REFUSED = event(704, "order-refused", "WARNING", "An order had an old fencing number.")
LOAD_ORDERED = event(705, "load-ordered", "INFO", "An engine was told to load a version.")
LOAD_POSTPONED = event(706, "load-postponed", "INFO", "An engine did not take a load order.")


def configure(process: str, log_format: str = "json", level: str = "INFO") -> None:
    """Send log lines to standard error.

    :param process: name put on each line.
    :param log_format: `json` for one JSON object a line, `text` for people.
    :param level: least severe level that is written.
    """
    logger.remove()
    writer = write_json if log_format == "json" else write_text
    logger.add(lambda message: writer(message, process), level=level, format="{message}")


def json_line(message: Any, process: str) -> str:
    """Return a line as JSON."""
    record = message.record
    line = {
        "at": round(record["time"].timestamp(), 3),
        "level": record["level"].name,
        "process": process,
        **record["extra"],
    }
    return json.dumps(line, default=str)


def write_json(message: Any, process: str) -> None:
    """Write a line as JSON."""
    sys.stderr.write(json_line(message, process) + "\n")


def write_text(message: Any, process: str) -> None:
    """Write a line for people."""
    record = message.record
    extra = dict(record["extra"])
    head = f"{extra.pop('event', '')} {extra.pop('name', '')}"
    fields = " ".join(f"{name}={value}" for name, value in extra.items())
    time = record["time"].strftime("%H:%M:%S.%f")[:-3]
    sys.stderr.write(f"{time} {record['level'].name:7} {process} {head} {fields}\n")


def emit(kind: Event, **fields: Any) -> None:
    """Write a log line of a kind."""
    logger.bind(event=kind.number, name=kind.name, **fields).log(kind.level, "")


def catalogue_page() -> str:
    """Return the catalogue as Markdown."""
    lines = [
        "# Log events",
        "",
        "Made by `apricotvale events --markdown`; CI compares it with the code.",
        "",
        "| number | name | level | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for number, kind in sorted(CATALOGUE.items()):
        lines.append(f"| {number} | {kind.name} | {kind.level} | {kind.summary} |")
    return "\n".join(lines) + "\n"
