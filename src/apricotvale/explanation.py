"""What the logs of all processes say about one request, job or item."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from attrs import frozen

from apricotvale import events

ID_FIELDS = ("request", "job", "item")
STANDARD_FIELDS = ("at", "level", "process", "event", "name")


@frozen
class Line:
    """One log line.

    :param at: the process's time of day, in seconds.
    """

    at: float
    process: str
    name: str
    fields: dict[str, Any]

    def format(self) -> str:
        """Return the line for a person."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.3f}  {self.process:20}  {self.name:16}  {fields}"


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the log lines among texts; anything before a line's brace is left out."""
    found = []
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
        found.append(Line(float(document["at"]), process, str(document["name"]), fields))
    return found


def about(lines: list[Line], wanted: str) -> list[Line]:
    """Return the lines that name an id, in the order of their times.

    An item's lines bring those of its reward call along, which has an id of its own.
    """
    ids = {wanted}
    for line in lines:
        is_item = line.fields.get("item") == wanted
        if is_item and line.name == events.REWARD_FAILED.name and "request" in line.fields:
            ids.add(str(line.fields["request"]))
    chosen = [line for line in lines if any(line.fields.get(name) in ids for name in ID_FIELDS)]
    return sorted(chosen, key=lambda line: line.at)


def cause(lines: list[Line]) -> str:
    """Return the most telling reason among the lines about one id."""
    if not lines:
        return "no process logged anything about it: it never arrived, or its lines were dropped"
    failures = [line for line in lines if line.name == events.ATTEMPT_FAILED.name]
    refused = [line for line in lines if line.name == events.REFUSED.name]
    if refused and failures:
        reasons = ", ".join(
            f"{line.fields.get('upstream')} {line.fields.get('reason')}" for line in failures
        )
        return f"refused ({refused[-1].fields.get('reason')}) after failed attempts: {reasons}"
    if refused:
        return f"refused without an attempt: {refused[-1].fields.get('reason')}"
    rewards = [line for line in lines if line.name == events.REWARD_FAILED.name]
    failed = [line for line in lines if line.fields.get("state") == "failed"]
    if rewards and failed:
        reward = rewards[-1].fields
        errors, status = reward.get("errors"), reward.get("why")
        return f"listed as failed: its reward call got {errors} answers of {status}"
    cuts = [line for line in lines if line.name == events.ITEM_CUT.name]
    listed = [line for line in lines if line.name == events.ITEM_LISTED.name]
    if cuts and not listed:
        return f"not finished; its last run ended early: {cuts[-1].fields.get('why')}"
    if failures or cuts:
        last = (failures or cuts)[-1]
        why = last.fields.get("reason") or last.fields.get("why")
        return f"answered after {len(failures) + len(cuts)} failed attempts, the last: {why}"
    leaders = list(
        dict.fromkeys(line.process for line in lines if line.name == events.ITEM_PLACED.name)
    )
    if len(leaders) > 1:
        return f"run again after leadership moved: {', then '.join(leaders)}"
    cancelled = [line for line in lines if line.name == events.CANCELLED.name]
    if cancelled:
        return f"cancelled: {cancelled[-1].fields.get('why')}"
    return "nothing failed"
