"""Explains the outcome of a request, job or item from the logs of all processes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from attrs import frozen

from apricotvale import events

ID_FIELDS = ("request", "job", "item")
STANDARD_FIELDS = ("at", "level", "process", "event", "name")


@frozen
class LogLine:
    """One parsed log line.

    :param at: wall-clock time of the process, in seconds since the epoch.
    """

    at: float
    process: str
    name: str
    fields: dict[str, Any]

    def format(self) -> str:
        """Return the line in readable form."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.3f}  {self.process:20}  {self.name:16}  {fields}"


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse JSON log lines; skip other texts and any prefix before the first brace."""
    parsed = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if not isinstance(document, dict) or "name" not in document or "at" not in document:
            continue
        fields = {key: value for key, value in document.items() if key not in STANDARD_FIELDS}
        process = str(document.get("process", ""))
        parsed.append(LogLine(float(document["at"]), process, str(document["name"]), fields))
    return parsed


def lines_about(lines: list[LogLine], wanted: str) -> list[LogLine]:
    """Return the lines about a request, job or item, sorted by time.

    The lines about an item include those about its reward calls, which have their own request ids.
    Those about a request that was stopped include the crashes of its other submissions.

    :param wanted: id of the request, job or item.
    """
    ids = {wanted}
    for line in lines:
        is_item = line.fields.get("item") == wanted
        if is_item and line.name == events.REWARD_FAILED.name and "request" in line.fields:
            ids.add(str(line.fields["request"]))
    identities = {
        line.fields["identity"]
        for line in lines
        if line.name == events.REQUEST_STOPPED.name and line.fields.get("request") == wanted
    }
    matching = [
        line
        for line in lines
        if any(line.fields.get(name) in ids for name in ID_FIELDS)
        or (line.name == events.CRASH_FOUND.name and line.fields.get("identity") in identities)
    ]
    return sorted(matching, key=lambda line: line.at)


def format_crash(crash: dict[str, Any]) -> str:
    """Return a crash of a stopped request in readable form."""
    at = datetime.fromtimestamp(float(crash.get("at", 0)), UTC).isoformat(timespec="milliseconds")
    return (
        f"{crash.get('upstream')} at {at}, seen by {crash.get('process')}, "
        f"submission {crash.get('request')}"
    )


def find_cause(lines: list[LogLine]) -> str:
    """Return the most specific cause of failure that the lines about one id show."""
    if not lines:
        return "no process logged anything about it: it never arrived, or its lines were dropped"
    stopped = [line for line in lines if line.name == events.REQUEST_STOPPED.name]
    if stopped:
        crashes = "; ".join(map(format_crash, stopped[-1].fields.get("crashes", [])))
        return f"refused, since upstreams ended while they ran this request: {crashes}"
    failures = [line for line in lines if line.name == events.ATTEMPT_FAILED.name]
    refused = [line for line in lines if line.name == events.REFUSED.name]
    if refused and failures:
        reasons = ", ".join(
            f"{line.fields.get('upstream')} {line.fields.get('reason')}" for line in failures
        )
        return f"refused ({refused[-1].fields.get('reason')}) after failed attempts: {reasons}"
    if refused:
        return f"refused without an attempt: {refused[-1].fields.get('reason')}"
    reward_failures = [line for line in lines if line.name == events.REWARD_FAILED.name]
    failed = [line for line in lines if line.fields.get("state") == "failed"]
    if reward_failures and failed:
        fields = reward_failures[-1].fields
        errors, why = fields.get("errors"), fields.get("why")
        return f"listed as failed: its reward call failed {errors} times, the last with {why}"
    early_ends = [line for line in lines if line.name == events.ITEM_CUT.name]
    listed = [line for line in lines if line.name == events.ITEM_LISTED.name]
    if early_ends and not listed:
        return f"not finished; its last run ended early: {early_ends[-1].fields.get('why')}"
    if failures or early_ends:
        last = (failures or early_ends)[-1]
        why = last.fields.get("reason") or last.fields.get("why")
        return f"answered after {len(failures) + len(early_ends)} failed attempts, the last: {why}"
    leaders = list(
        dict.fromkeys(line.process for line in lines if line.name == events.ITEM_PLACED.name)
    )
    if len(leaders) > 1:
        return f"run again after leadership moved: {', then '.join(leaders)}"
    cancelled = [line for line in lines if line.name == events.CANCELLED.name]
    if cancelled:
        return f"cancelled: {cancelled[-1].fields.get('why')}"
    return "nothing failed"
