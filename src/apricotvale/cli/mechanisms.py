"""The command that lists the mechanisms of the policy."""

from __future__ import annotations

import click

from apricotvale.mechanisms import PURPOSES


@click.command()
def mechanisms() -> None:
    """List the mechanisms that the setting `disabled` can switch off, with their purposes."""
    width = max(map(len, PURPOSES))
    for mechanism, purpose in PURPOSES.items():
        click.echo(f"{mechanism.value:<{width}}  {purpose}")
