"""The command that tests a running system."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click
import uvloop

from apricotvale.cli._calls import control_option
from apricotvale.trial import Trial, TrialPlan, TrialReport


@click.command("try")
@click.option(
    "--entry", "entries", multiple=True, required=True, help="Base URL of an entry; repeatable."
)
@control_option
@click.option(
    "--audit", "audits", multiple=True, help="URL of a stand-in service's run counts; repeatable."
)
@click.option("--steps", default=4, help="Number of steps per trainer.")
@click.option("--prompts", default=16, help="Number of prompts per step.")
@click.option("--max-tokens", default=64, help="Maximum tokens per sample.")
@click.option("--train-s", default=1.0, help="Training time per step, in seconds.")
@click.option("--drain", default="", help="Upstream to drain after half of the steps.")
@click.option(
    "--json", "json_file", type=click.Path(path_type=Path), help="Write the report to a JSON file."
)
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
    """Test a running system; exit with 1 if it violates a guarantee."""
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
    print_report(report)
    if json_file is not None:
        json_file.write_text(json.dumps(report.to_json(), indent=2) + "\n")
    sys.exit(1 if report.violations() else 0)


def print_report(report: TrialReport) -> None:
    """Print the values and notes of a report."""
    for name, value in report.to_json().items():
        if name != "notes":
            click.echo(f"{name:32} {value}")
    for note in report.notes:
        click.echo(f"note: {note}")
