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
from apricotvale.settings.loader import load_process
from apricotvale.settings.schema import ProcessSettings

settings_argument = click.argument("settings", type=click.Path(path_type=Path))


def load_settings(path: Path) -> ProcessSettings:
    """Read a process's settings file and configure logging from it."""
    settings = load_process(path)
    events.configure(settings.name, settings.log_format, settings.log_level)
    return settings


@click.command()
@settings_argument
def entry(settings: Path) -> None:
    """Run an entry from a SETTINGS file."""
    run(Entry(load_settings(settings)).run)


@click.command()
@settings_argument
def sidecar(settings: Path) -> None:
    """Run a sidecar from a SETTINGS file."""
    run(Sidecar(load_settings(settings)).run)


@click.command()
@settings_argument
def control(settings: Path) -> None:
    """Run a control replica from a SETTINGS file."""
    run(ControlDaemon(load_settings(settings)).run)


@click.command()
@click.argument("control_settings", type=click.Path(path_type=Path))
@click.argument("entry_settings", type=click.Path(path_type=Path))
@click.argument("sidecar_settings", nargs=-1, type=click.Path(path_type=Path))
def allinone(
    control_settings: Path, entry_settings: Path, sidecar_settings: tuple[Path, ...]
) -> None:
    """Run one control replica, an entry and sidecars in one process, for a very small site."""
    daemons = [
        ControlDaemon(load_settings(control_settings)),
        Entry(load_process(entry_settings)),
        *(Sidecar(load_process(path)) for path in sidecar_settings),
    ]

    async def run_all(stop: asyncio.Event) -> None:
        stop_events = [asyncio.Event() for _ in daemons]
        tasks = [
            asyncio.create_task(daemon.run(stop_event))  # type: ignore[attr-defined]
            for daemon, stop_event in zip(daemons, stop_events, strict=True)
        ]
        await stop.wait()
        for stop_event, task in reversed(list(zip(stop_events, tasks, strict=True))):
            stop_event.set()
            await task

    run(run_all)
