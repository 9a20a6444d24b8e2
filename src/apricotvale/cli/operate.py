"""Commands for operators: status, drain, weights, samples and the event catalogue."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import click

from apricotvale import events
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
from apricotvale.exceptions import RejectedError, UnreachableError
from apricotvale.http_client import make_connector


@click.command()
@control_option
@json_option
def status(control: str, as_json: bool) -> None:
    """Show the control replicas, and the members with their model versions."""
    report = query_control(control, "members")
    if as_json:
        print_json(report)
        return
    click.echo(f"leader {report.leader}, term {report.term}, revision {report.revision}")
    replicas = [
        [r.name, r.address, r.role if r.voter else "learner", r.match_index, r.data_id[:8]]
        for r in report.replicas
    ]
    print_table(["REPLICA", "ADDRESS", "ROLE", "LOG", "DATA"], replicas)
    rows = [
        [m.name, m.kind, m.site, m.group, m.address, m.standing, format_versions(m.models)]
        for m in sorted(report.members, key=lambda m: m.name)
    ]
    print_table(["MEMBER", "KIND", "SITE", "GROUP", "ADDRESS", "STANDING", "VERSIONS"], rows)


def format_versions(models: dict[str, int]) -> str:
    """Return the version of each model as `model=version`, separated by spaces."""
    return " ".join(f"{model}={version}" for model, version in sorted(models.items()))


@click.command()
@click.argument("upstream")
@control_option
@json_option
def drain(upstream: str, control: str, as_json: bool) -> None:
    """Drain UPSTREAM: it gets no new requests and finishes those in flight."""
    matches = [m for m in query_control(control, "members").members if m.name == upstream]
    if not matches:
        raise RejectedError({"type": "unknown_upstream", "detail": upstream})
    answer = asyncio.run(post_empty(f"http://{matches[0].address}/drain"))
    if as_json:
        click.echo(json.dumps(answer))
    else:
        click.echo(f"{upstream} is draining; {answer['active']} request(s) in flight")


async def post_empty(url: str) -> dict[str, int]:
    """Send an empty POST and return the JSON reply; raise UnreachableError if it fails."""
    try:
        async with (
            aiohttp.ClientSession(connector=make_connector()) as session,
            session.post(url) as response,
        ):
            return await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise UnreachableError(repr(error)) from error


@click.group()
def weights() -> None:
    """Publish weights and show their rollout."""


@weights.command()
@click.argument("trainer")
@click.argument("model")
@click.argument("version", type=click.IntRange(min=1))
@control_option
@json_option
def publish(trainer: str, model: str, version: int, control: str, as_json: bool) -> None:
    """Publish VERSION of a TRAINER's MODEL."""
    command = c.Publish(trainer, model, version)
    reply = asyncio.run(call_control(control, calls.Propose(command)))
    if as_json:
        print_json(reply.result)
    else:
        click.echo(f"{model} is at version {reply.result.version}")


@weights.command("status")
@control_option
@json_option
def weights_status(control: str, as_json: bool) -> None:
    """Show the target versions, and the versions that each engine serves and loads."""
    report = query_control(control, "weights")
    if as_json:
        print_json(report)
        return
    for model, target in sorted(report.targets.items()):
        click.echo(f"{model}: target {target}")
    loading = {grant.upstream: f"{grant.model}={grant.version}" for grant in report.grants}
    rows = [
        [m.name, format_versions(m.models), loading.get(m.name, "-")]
        for m in sorted(report.members, key=lambda m: m.name)
        if m.models
    ]
    print_table(["ENGINE", "SERVES", "LOADS"], rows)


@click.group()
def samples() -> None:
    """Show the progress of sample generation."""


@samples.command("status")
@control_option
@json_option
def samples_status(control: str, as_json: bool) -> None:
    """Show the open steps of the trainers."""
    report = query_control(control, "samples")
    if as_json:
        print_json(report.trainers)
        return
    rows = [
        [t.trainer, t.version, t.step, t.slots, t.acknowledged, t.handed, t.ready, t.owner]
        for t in report.trainers
    ]
    titles = ["TRAINER", "VERSION", "STEP", "SAMPLES", "ACKNOWLEDGED", "HANDED", "READY", "OWNER"]
    print_table(titles, rows)


@click.command("events")
@json_option
@click.option("--markdown", is_flag=True, help="Print the event reference as Markdown.")
def events_command(as_json: bool, markdown: bool) -> None:
    """List the log events with their numbers and levels."""
    event_kinds = [events.CATALOGUE[number] for number in sorted(events.CATALOGUE)]
    if markdown:
        click.echo(events.catalogue_page(), nl=False)
    elif as_json:
        print_json(event_kinds)
    else:
        rows = [[kind.number, kind.name, kind.level, kind.summary] for kind in event_kinds]
        print_table(["NUMBER", "NAME", "LEVEL", "MEANING"], rows)
