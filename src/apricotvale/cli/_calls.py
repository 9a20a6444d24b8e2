"""Calls of the commands to control, and printing of their answers."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import click

from apricotvale.codec import converter
from apricotvale.control import calls
from apricotvale.daemons.link import ControlClient
from apricotvale.exceptions import UnreachableError
from apricotvale.outcomes import Refusal

CALL_S = 10.0

control_option = click.option(
    "--control",
    "control",
    required=True,
    envvar="APRICOTVALE_CONTROL",
    help="Addresses of the control replicas, separated by commas.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


async def call(control: str, request: Any, timeout_s: float = CALL_S) -> Any:
    """Send a call to the leader; raise UnreachableError if none answers."""
    client = ControlClient([address.strip() for address in control.split(",")])
    try:
        reply = await client.call(request, time.monotonic() + timeout_s)
    finally:
        client.close()
    if isinstance(reply, Refusal):
        raise UnreachableError(f"{reply.reason.value}: {reply.detail}")
    return reply


def query(control: str, topic: str) -> calls.Report:
    """Return the report on a topic."""
    return asyncio.run(call(control, calls.Query(topic)))


def print_json(value: Any) -> None:
    """Print a message as JSON."""
    click.echo(json.dumps(converter.unstructure(value), indent=2, default=str))


def print_table(titles: list[str], rows: list[list[Any]]) -> None:
    """Print rows under titles."""
    cells = [titles, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(titles))]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(line.rstrip())
