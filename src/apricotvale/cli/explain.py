"""The command that traces a request through log files."""

from __future__ import annotations

from pathlib import Path

import click

from apricotvale import explanation


@click.command()
@click.argument("request_id")
@click.argument("log_files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
def explain(request_id: str, log_files: tuple[Path, ...]) -> None:
    """Show the lines of LOG_FILES about a request, job or item, and why it failed."""
    lines = []
    for path in log_files:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += explanation.read_lines(file)
    matching = explanation.lines_about(lines, request_id)
    for line in matching:
        click.echo(line.format())
    click.echo(f"cause: {explanation.find_cause(matching)}")
