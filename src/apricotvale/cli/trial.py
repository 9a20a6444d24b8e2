"""The command that tries a running system."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click
import uvloop

from apricotvale.cli._calls import control_option
from apricotvale.trial import Trial, TrialPlan, TrialReport


@click.command("try")
@click.option("--entry", "entries", multiple=True, required=True, help="Base URL of an entry.")
@control_option
@click.option("--audit", "audits", multiple=True, help="URL of a stand-in service's run counts.")
@click.option("--steps", default=4, help="Steps of each trainer.")
@click.option("--prompts", default=16, help="Prompts in a step.")
@click.option("--max-tokens", default=64, help="Longest sample.")
@click.option("--train-s", default=1.0, help="Time a trainer works on a step.")
@click.option("--drain", default="", help="Upstream to drain half-way.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Write the report.")
def try_command(
    entries: tuple[str, ...],
    control: str,
    audits: tuple[str, ...],
    steps: int,
    prompts: int,
    max_tokens: int,
    train_s: float,
    drain: str,
    json_file: Path | None,
) -> None:
    """Try a running system; fail if it breaks one of its promises."""
    plan = TrialPlan(
        list(entries),
        control.split(","),
        list(audits),
        steps,
        prompts,
        max_tokens,
        train_s,
        drain=drain,
    )
    report = uvloop.run(Trial(plan, click.echo).run())
    show(report)
    if json_file is not None:
        json_file.write_text(json.dumps(report.to_json(), indent=2) + "\n")
    sys.exit(1 if report.broken() else 0)


def show(report: TrialReport) -> None:
    """Print a report."""
    for name, value in report.to_json().items():
        if name != "notes":
            click.echo(f"{name:32} {value}")
    for note in report.notes:
        click.echo(f"note: {note}")
