"""Commands for operators: status, drain, weights, samples and the event catalogue."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import click

from apricotvale import events
from apricotvale.cli._calls import call, control_option, json_option, print_json, print_table, query
from apricotvale.control import calls
from apricotvale.control import commands as c
from apricotvale.exceptions import RejectedError, UnreachableError


@click.command()
@control_option
@json_option
def status(control: str, as_json: bool) -> None:
    """Show members, versions and the control replicas."""
    report = query(control, "members")
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
        [m.name, m.kind, m.site, m.group, m.address, m.standing, versions(m.models)]
        for m in sorted(report.members, key=lambda m: m.name)
    ]
    print_table(["MEMBER", "KIND", "SITE", "GROUP", "ADDRESS", "STANDING", "VERSIONS"], rows)


def versions(models: dict[str, int]) -> str:
    """Return versions by model as text."""
    return " ".join(f"{model}={version}" for model, version in sorted(models.items()))


@click.command()
@click.argument("upstream")
@control_option
@json_option
def drain(upstream: str, control: str, as_json: bool) -> None:
    """Let an UPSTREAM take no new work; what runs there ends in peace."""
    found = [m for m in query(control, "members").members if m.name == upstream]
    if not found:
        raise RejectedError({"type": "unknown_upstream", "detail": upstream})
    answer = asyncio.run(post(f"http://{found[0].address}/drain"))
    if as_json:
        click.echo(json.dumps(answer))
    else:
        click.echo(f"{upstream} drains, {answer['active']} request(s) still run")


async def post(url: str) -> dict[str, int]:
    """Send an empty POST; raise UnreachableError if nobody answers."""
    try:
        async with aiohttp.ClientSession() as session, session.post(url) as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise UnreachableError(repr(error)) from error


@click.group()
def weights() -> None:
    """Publish weights and follow their rollout."""


@weights.command()
@click.argument("trainer")
@click.argument("model")
@click.argument("version", type=click.IntRange(min=1))
@control_option
@json_option
def publish(trainer: str, model: str, version: int, control: str, as_json: bool) -> None:
    """Publish VERSION of a TRAINER's MODEL."""
    command = c.Publish(trainer, model, version)
    reply = asyncio.run(call(control, calls.Propose(command)))
    if as_json:
        print_json(reply.result)
    else:
        click.echo(f"{model} is at version {reply.result.version}")


@weights.command("status")
@control_option
@json_option
def weights_status(control: str, as_json: bool) -> None:
    """Show targets, and what each engine serves and loads."""
    report = query(control, "weights")
    if as_json:
        print_json(report)
        return
    for model, target in sorted(report.targets.items()):
        click.echo(f"{model}: target {target}")
    loading = {grant.upstream: f"{grant.model}={grant.version}" for grant in report.grants}
    rows = [
        [m.name, versions(m.models), loading.get(m.name, "-")]
        for m in sorted(report.members, key=lambda m: m.name)
        if m.models
    ]
    print_table(["ENGINE", "SERVES", "LOADS"], rows)


@click.group()
def samples() -> None:
    """Follow trainers' steps."""


@samples.command("status")
@control_option
@json_option
def samples_status(control: str, as_json: bool) -> None:
    """Show the open steps."""
    report = query(control, "samples")
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
@click.option("--markdown", is_flag=True, help="Print the page of the documentation.")
def events_command(as_json: bool, markdown: bool) -> None:
    """List the log events."""
    kinds = [events.CATALOGUE[number] for number in sorted(events.CATALOGUE)]
    if markdown:
        click.echo(events.catalogue_page(), nl=False)
    elif as_json:
        print_json(kinds)
    else:
        rows = [[kind.number, kind.name, kind.level, kind.summary] for kind in kinds]
        print_table(["NUMBER", "NAME", "LEVEL", "MEANING"], rows)
