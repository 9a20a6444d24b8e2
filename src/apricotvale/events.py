"""Numbered log events. The catalogue in `docs/events.md` is generated from this module."""

from __future__ import annotations

import json
import sys
from typing import Any

from attrs import frozen
from loguru import logger


@frozen
class Event:
    """The definition of a log event.

    :param summary: meaning of the event, as shown in the catalogue.
    """

    number: int
    name: str
    level: str
    summary: str


CATALOGUE: dict[int, Event] = {}


def event(number: int, name: str, level: str, summary: str) -> Event:
    """Define an event and add it to the catalogue.

    :raises ValueError: if the number is already in use.
    """
    if number in CATALOGUE:
        raise ValueError(f"event number {number} of {name!r} is already in use")
    CATALOGUE[number] = Event(number, name, level, summary)
    return CATALOGUE[number]


STARTED = event(100, "started", "INFO", "A process listens on its address.")
READY = event(101, "ready", "INFO", "An entry has its first confirmed configuration and serves.")
STOPPING = event(102, "stopping", "INFO", "A graceful shutdown or a drain by an operator begins.")
STOPPED = event(103, "stopped", "INFO", "A process has finished its work and exits.")
TASK_FAILED = event(
    104, "task-failed", "ERROR", "A background task failed, or a route table is invalid."
)
RELOADED = event(105, "reloaded", "INFO", "A process reloaded its settings.")
RELOAD_FAILED = event(
    106, "reload-failed", "ERROR", "Reloaded settings are invalid; the old ones stay."
)
LINES_DROPPED = event(107, "lines-dropped", "WARNING", "Log lines over the limit were dropped.")

ROUTED = event(200, "routed", "INFO", "An upstream was chosen, with candidates and reason.")
REFUSED = event(201, "refused", "INFO", "A request was refused, with the reason.")
RETRIED = event(202, "retried", "INFO", "A request is retried on another upstream.")
EJECTED = event(203, "ejected", "WARNING", "An upstream failed repeatedly and was ejected.")
HEDGED = event(204, "hedged", "INFO", "A second copy of an idempotent request was sent.")
ANSWERED = event(209, "answered", "INFO", "A request got its final answer.")
STREAM_CUT = event(205, "stream-cut", "WARNING", "A stream ended before its end marker.")
CANCELLED = event(206, "cancelled", "INFO", "A caller disconnected, or the drain deadline passed.")
CONNECTION_LOST = event(
    210,
    "connection-lost",
    "INFO",
    "An upstream closed the connection of a request; whether it accepts new ones, None if unknown.",
)
PREEMPTED = event(207, "preempted", "INFO", "A sample was preempted by interactive requests.")

ATTEMPT_FAILED = event(208, "attempt-failed", "INFO", "An attempt at an upstream failed.")

CLAIM_GRANTED = event(300, "claim-granted", "INFO", "A non-idempotent request may run once.")
STREAM_RESUMED = event(
    211, "stream-resumed", "INFO", "A broken stream goes on at another upstream of its version."
)
STREAM_TAKEN_UP = event(
    212, "stream-taken-up", "INFO", "A caller takes a stream up; its origin, or why it is refused."
)
CLAIM_REPLAYED = event(301, "claim-replayed", "INFO", "A resent request got the recorded outcome.")
CLAIM_RESOLVED = event(
    302,
    "claim-resolved",
    "INFO",
    "The claim's sidecar is asked for the outcome of a resent request.",
)
TOKEN_TOMBSTONED = event(303, "token-tombstoned", "INFO", "A token not seen before was tombstoned.")

CRASH_FOUND = event(
    360,
    "crash-found",
    "WARNING",
    "An upstream ended without notice while requests were in flight there, with the evidence.",
)
CRASHES_RECORDED = event(
    361,
    "crashes-recorded",
    "WARNING",
    "Control recorded ends of upstreams against requests, with the number of ends of each.",
)
SUSPECTS_CLEARED = event(
    362,
    "suspects-cleared",
    "INFO",
    "Requests are not under suspicion any more: they were answered, or their records ended.",
)
TRIAL_BEGUN = event(
    363,
    "trial-begun",
    "INFO",
    "Control let one submission of a request under suspicion be in flight.",
)
TRIAL_DENIED = event(
    364,
    "trial-denied",
    "INFO",
    "A submission of a request under suspicion has to wait, or is not sent any more.",
)
REQUEST_STOPPED = event(
    365,
    "request-stopped",
    "WARNING",
    "A request was refused for the ends of upstreams that had it in flight, which are listed.",
)
COPY_WITHDRAWN = event(
    366,
    "copy-withdrawn",
    "INFO",
    "A copy in flight was cancelled: another submission of the request under suspicion runs.",
)
REQUEST_OUTLASTED = event(
    367,
    "request-outlasted",
    "INFO",
    "A stream ran longer than those of its request under which upstreams ended, and clears it.",
)

KEY_REJECTED = event(
    320, "key-rejected", "INFO", "A request was refused: its key is missing or not known."
)
JOB_DENIED = event(
    321, "job-denied", "INFO", "A caller named a job that belongs to another customer."
)
USAGE_BEGUN = event(330, "usage-begun", "INFO", "The first window of usage to report was set.")
USAGE_CLOSED = event(331, "usage-closed", "INFO", "A window of usage is closed, with its sum.")
USAGE_REPORTED = event(
    332, "usage-reported", "INFO", "The infrastructure accepted a window of usage."
)
USAGE_FAILED = event(
    333, "usage-failed", "WARNING", "A call to report usage failed and is made again later."
)
USAGE_LATE = event(
    334, "usage-late", "WARNING", "Requests were counted too late and are not reported."
)
USAGE_FENCED_OFF = event(
    335,
    "usage-fenced-off",
    "WARNING",
    "The infrastructure knows a newer holder; this leader reports no usage in its term.",
)
USAGE_GIVEN_UP = event(
    336, "usage-given-up", "ERROR", "A window of usage was not accepted in time."
)
TRUE_TIME_CORRECTED = event(
    337, "true-time-corrected", "INFO", "A process adopted the agreed true time."
)
REQUEST_COUNTED = event(338, "request-counted", "DEBUG", "A request was counted for its customer.")

SAMPLE_PLACED = event(
    400, "sample-placed", "INFO", "A sample was sent to an engine, with the reason."
)
SAMPLE_FILLED = event(401, "sample-filled", "DEBUG", "A sample's slot was filled.")
SAMPLE_FAILED = event(402, "sample-failed", "INFO", "A sample's attempt failed and is retried.")
STEP_OPENED = event(403, "step-opened", "INFO", "A trainer opened a step.")
STEP_ADOPTED = event(
    404, "step-adopted", "WARNING", "A step without a live owner was assigned to an entry."
)
STEP_CLOSED = event(405, "step-closed", "INFO", "A trainer closed a step.")
STRAGGLER = event(406, "straggler", "INFO", "A slow sample was sent to a second engine.")
SAMPLE_STOPPED = event(
    407,
    "sample-stopped",
    "INFO",
    "An attempt was cancelled: it became stale or its slot was filled.",
)

JOB_ACCEPTED = event(410, "job-accepted", "INFO", "A job was committed, now or in an earlier call.")
JOB_ENDED = event(411, "job-ended", "INFO", "A caller asked to end a job, with the outcome.")
JOB_REJECTED = event(
    419, "job-rejected", "WARNING", "A job was rejected: the jobs held leave no room for it."
)
ITEM_PLACED = event(
    412, "item-placed", "INFO", "An item was sent to an engine, with the engine's load."
)
ITEM_CUT = event(413, "item-cut", "INFO", "A run of an item ended early or with an error status.")
ITEM_LISTED = event(414, "item-listed", "INFO", "An item's result was added to the job's results.")
REWARD_FAILED = event(415, "reward-failed", "INFO", "A reward call got no valid answer.")
OUTPUT_DISCARDED = event(
    425,
    "output-discarded",
    "INFO",
    "An output begins anew, under another software or weight version.",
)
ITEM_MOVED = event(418, "item-moved", "INFO", "A run was moved to another engine.")
INCARNATION_UNCONFIRMED = event(
    442, "incarnation-unconfirmed", "INFO", "A stream may come from a later start of its upstream."
)
SOFTWARE_DISPUTED = event(
    443, "software-disputed", "WARNING", "A heartbeat states other software than the first one."
)
ORIGIN_FOUND = event(440, "origin-found", "INFO", "Control named the origin of a stream.")
USUAL_ORIGIN_CHANGED = event(
    441, "usual-origin-changed", "INFO", "The origin of a route's streams without a record."
)
RUNNER_STARTED = event(416, "runner-started", "INFO", "A new leader starts to run the open jobs.")
RUNNER_STOPPED = event(417, "runner-stopped", "INFO", "A former leader stopped all its runs.")
OVERLOAD_BEGAN = event(
    420, "overload-began", "WARNING", "More work is due than fits; whole groups are planned."
)
OVERLOAD_ENDED = event(421, "overload-ended", "INFO", "The work due fits again.")
GROUP_POSTPONED = event(
    422, "group-postponed", "INFO", "A group cannot be complete in time, with what it would need."
)
JOB_REFUSED = event(
    423, "job-refused", "WARNING", "A job was refused: no group of it can be complete in time."
)
HEDGE_WITHHELD = event(
    424, "hedge-withheld", "INFO", "No second copy was sent: all slots of the service are taken."
)

UPSTREAM_LEAVING = event(
    350,
    "upstream-leaving",
    "INFO",
    "An upstream stated in an answer that it leaves; this process sends it no new work.",
)
LEAVING_COMMITTED = event(
    351, "leaving-committed", "INFO", "Control marked an upstream as leaving, with the outcome."
)
LIMIT_STATED = event(
    355,
    "limit-stated",
    "INFO",
    "An upstream named, changed or ended its limit in an answer, with the requests in a second.",
)
LIMIT_COMMITTED = event(
    356, "limit-committed", "INFO", "Control recorded the limit of an upstream, or its end."
)
PERMIT_REFUSED = event(
    357,
    "permit-refused",
    "INFO",
    "A request was not sent to an upstream, whose limit leaves no room for it now.",
)
BYTES_REFUSED = event(
    352,
    "bytes-refused",
    "WARNING",
    "A request was refused unread: the entry holds too many bytes, or the body stalled.",
)
UPSTREAM_BYTES_FULL = event(
    353,
    "upstream-bytes-full",
    "WARNING",
    "No upstream of a service may get a request now: too many bytes are in flight to each.",
)
CALLER_CUT = event(
    354,
    "caller-cut",
    "WARNING",
    "A caller that read nothing for some seconds, or slowly while there was no room, was "
    "disconnected, with the bytes left.",
)
CONNECTION_CLOSED = event(
    358,
    "connection-closed",
    "WARNING",
    "A connection was closed: its peer exceeded a bound, or others needed its room.",
)

PROMPT_PARTS_IGNORED = event(
    430, "prompt-parts-ignored", "WARNING", "Items of a job state malformed parts of their prompts."
)

ROLE_CHANGED = event(500, "role-changed", "INFO", "A control replica's role or term changed.")
JOINING = event(501, "joining", "WARNING", "A replica with a new data folder asks to join.")
GROUP_FORMED = event(502, "group-formed", "INFO", "The first group of replicas was formed.")
SNAPSHOT_SAVED = event(
    503, "snapshot-saved", "DEBUG", "A snapshot was saved and the log compacted."
)
SNAPSHOT_INSTALLED = event(
    504, "snapshot-installed", "INFO", "A snapshot from the leader was installed."
)
DISK_FAILED = event(
    505, "disk-failed", "ERROR", "A disk write or sync failed; the replica stops voting."
)
DISK_RECOVERED = event(
    516, "disk-recovered", "INFO", "A replica loaded its data folder again; its disk works."
)
PEER_LOST = event(507, "peer-lost", "WARNING", "A control replica does not answer a peer.")
PEER_FOUND = event(508, "peer-found", "INFO", "A control replica answers a peer again.")
GROUP_CHANGED = event(506, "group-changed", "INFO", "The group of control replicas changed.")
GROUP_TOO_SMALL = event(
    513,
    "group-too-small",
    "ERROR",
    "The group has fewer voters than the losses that it has to bear need, and no replica joins.",
)
NO_LEADER = event(
    514,
    "no-leader",
    "WARNING",
    "A control replica hears no leader; which voters answer, and which data folders are gone.",
)
GROUP_RECOVERED = event(
    515,
    "group-recovered",
    "WARNING",
    "A control replica leads without a majority of the voters: the others lost their data folders.",
)
PART_UNAVAILABLE = event(
    509, "part-unavailable", "WARNING", "A part of a snapshot could not be read or fetched."
)

COPY_MISSED = event(
    511,
    "copy-missed",
    "INFO",
    "A nearby replica did not have listed results; they are read from the leader.",
)
MESSAGE_TOO_LARGE = event(
    512, "message-too-large", "WARNING", "A message between processes exceeded the size limit."
)
ENTRY_SKIPPED = event(
    510, "entry-skipped", "ERROR", "A committed command could not be decoded and has no effect."
)

MEMBER_JOINED = event(
    600, "member-joined", "INFO", "A process joined, or rejoined with a new incarnation."
)
MEMBER_LEFT = event(601, "member-left", "INFO", "A process left, or its lease expired.")
CONFIG_ACCEPTED = event(602, "config-accepted", "INFO", "A configuration was accepted.")
CONFIG_REJECTED = event(
    603, "config-rejected", "INFO", "A configuration conflicted with another change."
)
CONFIG_IN_FORCE = event(604, "config-in-force", "INFO", "A process applied a configuration.")
CONTROL_LOST = event(
    605,
    "control-lost",
    "WARNING",
    "No control replica confirmed the process's view or departure in time.",
)
CONTROL_FOUND = event(
    606,
    "control-found",
    "INFO",
    "Control confirms the process's view, for the first time or again.",
)

VIEW_CHANGED = event(607, "view-changed", "INFO", "An entry received a change of its upstreams.")
UPSTREAM_CHANGED = event(
    608,
    "upstream-changed",
    "INFO",
    "A change of an upstream's state was proposed, with the outcome.",
)
UPSTREAM_SILENT = event(609, "upstream-silent", "WARNING", "An upstream's heartbeats stopped.")
HEARTBEAT_LATE = event(610, "heartbeat-late", "INFO", "An outdated heartbeat was ignored.")
UPSTREAM_RESTORED = event(
    614,
    "upstream-restored",
    "WARNING",
    "An upstream whose heartbeats counted as out of date goes on sending them; it is in use again.",
)
INPUT_REJECTED = event(611, "input-rejected", "WARNING", "Malformed input was rejected.")
UPSTREAM_BYTES_REJECTED = event(
    613,
    "upstream-bytes-rejected",
    "WARNING",
    "Bytes of an upstream exceeded a bound or belonged to no request; its connection is closed.",
)
REPLICA_RETIRING = event(
    612, "replica-retiring", "INFO", "The retirement of a control replica begins."
)

WEIGHTS_PUBLISHED = event(700, "weights-published", "INFO", "A trainer published a version.")
SWAP_GRANTED = event(701, "swap-granted", "INFO", "Engines of a pool may load a new version.")
SWAP_DONE = event(
    702, "swap-done", "INFO", "An engine reported a change of the versions that it serves."
)
SWAP_FAILED = event(703, "swap-failed", "WARNING", "An engine could not load a version.")
ORDER_REFUSED = event(
    704, "order-refused", "WARNING", "A load order was refused as outdated or unconfirmed."
)
LOAD_ORDERED = event(705, "load-ordered", "INFO", "An engine accepted an order to load a version.")
LOAD_POSTPONED = event(
    706,
    "load-postponed",
    "INFO",
    "A load was not started, with the reason; it is planned again later.",
)


def configure(process: str, log_format: str = "json", level: str = "INFO") -> None:
    """Configure logging to standard error.

    :param process: process name to add to each line.
    :param log_format: `json` for one JSON object per line, `text` for a readable form.
    :param level: lowest level that is written.
    """
    logger.remove()
    writer = write_json if log_format == "json" else write_text
    logger.add(lambda message: writer(message, process), level=level, format="{message}")


def json_line(message: Any, process: str) -> str:
    """Format a log record as a JSON object on one line."""
    record = message.record
    line = {
        "at": round(record["time"].timestamp(), 3),
        "level": record["level"].name,
        "process": process,
        **record["extra"],
    }
    return json.dumps(line, default=str)


def write_json(message: Any, process: str) -> None:
    """Write a log record to standard error as JSON."""
    sys.stderr.write(json_line(message, process) + "\n")


def write_text(message: Any, process: str) -> None:
    """Write a log record to standard error in readable form."""
    record = message.record
    extra = dict(record["extra"])
    head = f"{extra.pop('event', '')} {extra.pop('name', '')}"
    fields = " ".join(f"{name}={value}" for name, value in extra.items())
    time = record["time"].strftime("%H:%M:%S.%f")[:-3]
    sys.stderr.write(f"{time} {record['level'].name:7} {process} {head} {fields}\n")


def emit(kind: Event, /, **fields: Any) -> None:
    """Log an event with its fields, which must not be called `event` or `name`."""
    head = {"event": kind.number, "name": kind.name}
    logger.bind(**(head | fields | head)).log(kind.level, "")


def catalogue_page() -> str:
    """Return the catalogue of events as Markdown."""
    lines = [
        "# Log events",
        "",
        "Generated by `apricotvale events --markdown`; CI compares it with the code.",
        "",
        "| number | name | level | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for number, kind in sorted(CATALOGUE.items()):
        lines.append(f"| {number} | {kind.name} | {kind.level} | {kind.summary} |")
    return "\n".join(lines) + "\n"
