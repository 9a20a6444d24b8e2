"""The `apricotvale` command-line interface."""

from __future__ import annotations

import sys

import click

from apricotvale import __version__
from apricotvale.cli.bench import bench
from apricotvale.cli.config import config
from apricotvale.cli.explain import explain
from apricotvale.cli.mechanisms import mechanisms
from apricotvale.cli.operate import drain, events_command, samples, status, weights
from apricotvale.cli.processes import allinone, control, entry, sidecar
from apricotvale.cli.standins import standin
from apricotvale.cli.trial import try_command
from apricotvale.exceptions import ApricotvaleError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def cli() -> None:
    """Run and operate a rollout service."""


for command in (
    entry,
    sidecar,
    control,
    allinone,
    config,
    status,
    drain,
    weights,
    samples,
    events_command,
    explain,
    mechanisms,
    standin,
    bench,
    try_command,
):
    cli.add_command(command)


def main() -> None:
    """Run the command line; print an error to stderr and exit with its code."""
    try:
        cli.main(standalone_mode=False)
    except click.exceptions.Abort:
        sys.exit(130)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except ApricotvaleError as error:
        click.echo(f"Error: {error.format_message()}", err=True)
        sys.exit(error.exit_code)
