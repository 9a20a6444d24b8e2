"""Shared options, calls to the control replicas and output of the commands."""

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

CALL_TIMEOUT_S = 10.0

control_option = click.option(
    "--control",
    "control",
    required=True,
    envvar="APRICOTVALE_CONTROL",
    help="Addresses of the control replicas, separated by commas.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


async def call_control(control: str, request: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
    """Send a request to the control leader and return its reply.

    :param control: addresses of the control replicas, separated by commas.
    :raises UnreachableError: if no leader answers in time or the request is refused.
    """
    client = ControlClient([address.strip() for address in control.split(",")])
    try:
        reply = await client.call(request, time.monotonic() + timeout_s)
    finally:
        client.close()
    if isinstance(reply, Refusal):
        raise UnreachableError(f"{reply.reason.value}: {reply.detail}")
    return reply


def query_control(control: str, topic: str) -> calls.Report:
    """Return the control leader's report on a topic."""
    return asyncio.run(call_control(control, calls.Query(topic)))


def print_json(value: Any) -> None:
    """Print a reply or report as indented JSON."""
    click.echo(json.dumps(converter.unstructure(value), indent=2, default=str))


def print_table(titles: list[str], rows: list[list[Any]]) -> None:
    """Print rows in left-aligned columns below a line of titles."""
    cells = [titles, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(titles))]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(line.rstrip())
