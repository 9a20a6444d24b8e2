"""Commands that run the daemons."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from apricotvale import events
from apricotvale.daemons.control import ControlDaemon
from apricotvale.daemons.entry import Entry
from apricotvale.daemons.runtime import run
from apricotvale.daemons.sidecar import Sidecar
from apricotvale.settings import ProcessSettings, load_process

settings_argument = click.argument("settings", type=click.Path(path_type=Path))


def load(path: Path) -> ProcessSettings:
    """Read a process's settings and set up its log."""
    loaded = load_process(path)
    events.configure(loaded.name, loaded.log_format, loaded.log_level)
    return loaded


@click.command()
@settings_argument
def entry(settings: Path) -> None:
    """Run an entry from a SETTINGS file."""
    run(Entry(load(settings)).run)


@click.command()
@settings_argument
def sidecar(settings: Path) -> None:
    """Run a sidecar from a SETTINGS file."""
    run(Sidecar(load(settings)).run)


@click.command()
@settings_argument
def control(settings: Path) -> None:
    """Run a control replica from a SETTINGS file."""
    run(ControlDaemon(load(settings)).run)


@click.command()
@click.argument("control_settings", type=click.Path(path_type=Path))
@click.argument("entry_settings", type=click.Path(path_type=Path))
@click.argument("sidecar_settings", nargs=-1, type=click.Path(path_type=Path))
def allinone(
    control_settings: Path, entry_settings: Path, sidecar_settings: tuple[Path, ...]
) -> None:
    """Run one control replica, an entry and sidecars in one process, for a very small site."""
    parts = [
        ControlDaemon(load(control_settings)),
        Entry(load_process(entry_settings)),
        *(Sidecar(load_process(path)) for path in sidecar_settings),
    ]

    async def run_all(stop: asyncio.Event) -> None:
        front = [asyncio.Event() for _ in parts]
        tasks = [
            asyncio.create_task(part.run(event))  # type: ignore[attr-defined]
            for part, event in zip(parts, front, strict=True)
        ]
        await stop.wait()
        for event, task in reversed(list(zip(front, tasks, strict=True))):
            event.set()
            await task

    run(run_all)
