"""Commands that check, apply and show the configuration."""

from __future__ import annotations

import asyncio
import getpass
import time
import uuid
from pathlib import Path

import click

from apricotvale.cli._calls import (
    call_control,
    control_option,
    json_option,
    print_json,
    print_table,
    query_control,
)
from apricotvale.control import calls
from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigApplied, ConfigConflict, ConfigDocument
from apricotvale.exceptions import RejectedError, UnreachableError
from apricotvale.settings.loader import load_deployment
from apricotvale.settings.pages import settings_page

IN_FORCE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05

overlay_option = click.option(
    "--overlay",
    "overlays",
    multiple=True,
    type=click.Path(path_type=Path),
    help="Overlay file of a site; repeatable.",
)
base_argument = click.argument("base", type=click.Path(path_type=Path))


@click.group()
def config() -> None:
    """Check, apply and show the configuration."""


@config.command()
@base_argument
@overlay_option
def check(base: Path, overlays: tuple[Path, ...]) -> None:
    """Validate a BASE file and its overlays without a running system."""
    _, overlay_texts = load_deployment(base, list(overlays))
    click.echo(f"ok: {base} with {len(overlay_texts)} overlay(s)")


@config.command()
def describe() -> None:
    """Print the settings reference as Markdown."""
    click.echo(settings_page(), nl=False)


@config.command()
@base_argument
@overlay_option
@control_option
@json_option
@click.option("--expect", type=int, help="Revision to replace; the current one by default.")
@click.option("--operation", help="Operation id; reuse it to retry a call safely.")
@click.option(
    "--wait", is_flag=True, help="Wait until the revision is in force at every live process."
)
def apply(
    base: Path,
    overlays: tuple[Path, ...],
    control: str,
    as_json: bool,
    expect: int | None,
    operation: str | None,
    wait: bool,
) -> None:
    """Apply a BASE file and its overlays as a single revision."""
    base_text, overlay_texts = load_deployment(base, list(overlays))
    expected = query_control(control, "config").revision if expect is None else expect
    command = c.ApplyConfig(
        operation or uuid.uuid4().hex,
        expected,
        ConfigDocument(base_text, overlay_texts),
        getpass.getuser(),
    )
    started = time.monotonic()
    reply = asyncio.run(call_control(control, calls.Propose(command)))
    if isinstance(reply, calls.Invalid):
        raise RejectedError({"type": "invalid", "detail": "; ".join(reply.problems)})
    result = reply.result
    if isinstance(result, ConfigConflict):
        detail = f"revision is {result.revision}, set by operation {result.operation_id}"
        raise RejectedError({"type": "conflict", "detail": detail})
    assert isinstance(result, ConfigApplied)
    if wait:
        wait_in_force(control, result.revision)
    if as_json:
        print_json(result)
    else:
        state = f"in force after {time.monotonic() - started:.2f} s" if wait else "accepted"
        click.echo(f"revision {result.revision} {state}")


def wait_in_force(control: str, revision: int) -> None:
    """Wait until every live member has a revision in force.

    :raises UnreachableError: if a member still has an older one after `IN_FORCE_TIMEOUT_S`.
    """
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while time.monotonic() < deadline:
        behind = [m for m in query_control(control, "force").force if m.revision < revision]
        if not behind:
            return
        time.sleep(POLL_INTERVAL_S)
    names = ", ".join(member.name for member in behind)
    raise UnreachableError(f"revision {revision} was accepted but is not yet in force at {names}")


@config.command()
@control_option
@json_option
def show(control: str, as_json: bool) -> None:
    """Show the current configuration."""
    report = query_control(control, "config")
    if as_json:
        print_json(report)
        return
    click.echo(f"# revision {report.revision}")
    if report.document is not None:
        click.echo(report.document.base)
        for site, overlay in report.document.overlays.items():
            click.echo(f"# overlay of {site}\n{overlay}")


@config.command()
@control_option
@json_option
def history(control: str, as_json: bool) -> None:
    """List the accepted configuration changes."""
    report = query_control(control, "history")
    if as_json:
        print_json(report.history)
        return
    rows = [
        [change.revision, change.operation_id, change.author, change.at_ms]
        for change in report.history
    ]
    print_table(["REVISION", "OPERATION", "AUTHOR", "AT_MS"], rows)


@config.command("status")
@control_option
@json_option
def config_status(control: str, as_json: bool) -> None:
    """Show the revision in force at each process."""
    report = query_control(control, "force")
    if as_json:
        print_json(report)
        return
    click.echo(f"revision {report.revision}, lease {report.lease_ms} ms")
    rows = [
        [m.name, m.site, m.revision, "silent" if m.heard_ms_ago < 0 else f"{m.heard_ms_ago} ms"]
        for m in report.force
    ]
    print_table(["PROCESS", "SITE", "REVISION", "HEARD"], rows)
