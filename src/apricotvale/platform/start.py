"""Start a process of the deployment in a given role: entry or control."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

from apricotvale import events, mechanisms, metrics
from apricotvale.daemons.http_server import HttpServer, open_files_limit
from apricotvale.daemons.runtime import install_reload_handler, run
from apricotvale.exceptions import ApricotvaleError
from apricotvale.log_writer import configure_bounded
from apricotvale.platform import names, wire
from apricotvale.platform.client import PlatformClient
from apricotvale.requests.held_bytes import ByteBudget, held_limit
from apricotvale.requests.peer_bounds import PeerBounds, make_bounds
from apricotvale.settings.fleet import FleetSettings, load_fleet

# The imports of a role and its first messages are over by then.
GARBAGE_DELAY_S = 2.0
SETTINGS_VARIABLE = "APRICOTVALE_BOOT"

Role = Callable[[FleetSettings, PeerBounds, asyncio.Event], Awaitable[None]]


async def run_entry(settings: FleetSettings, bounds: PeerBounds, stop: asyncio.Event) -> None:
    """Run an entry: serve callers until `stop` is set, then finish their requests."""
    # Imports of one role are left to it: half of the time to restart an entry are imports.
    from apricotvale.daemons.fleet_entry import FleetEntry
    from apricotvale.platform.requests import RequestInterface

    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(PlatformClient())
        entry = FleetEntry(settings, client, wire.parse_table, bounds.held)
        interface = RequestInterface(entry)
        app = interface.make_readiness_app()
        readiness = HttpServer(app, settings.readiness, bounds=bounds)
        await stack.enter_async_context(readiness)
        server = interface.make_server(settings.requests, bounds)
        await stack.enter_async_context(server)
        events.emit(events.STARTED, listen=settings.requests)
        metrics.record_start()
        install_reload_handler(lambda: reload(entry.apply_settings))
        await entry.run(stop, server.drain)
        entry.close()
    events.emit(events.STOPPED)


async def run_control(settings: FleetSettings, bounds: PeerBounds, stop: asyncio.Event) -> None:
    """Run control: serve operators, trainers, upstreams and entries until `stop` is set."""
    from apricotvale.daemons.fleet_control import FleetControl
    from apricotvale.platform.infrastructure import InfrastructureClient
    from apricotvale.platform.interface import ControlInterface

    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(PlatformClient())
        address = settings.infrastructure
        infrastructure = InfrastructureClient(address) if address else None
        control = FleetControl(
            settings, client, wire.parse_table, names.EVENT_VERSION_FIELD, infrastructure
        )
        app = ControlInterface(control, bounds.held).make_app()
        server = HttpServer(app, settings.interface, bounds=bounds)
        await stack.enter_async_context(server)
        install_reload_handler(lambda: reload(control.apply_settings))
        await control.run(stop, server.drain)


def reload(apply_settings: Callable[[FleetSettings], None]) -> None:
    """Reload the settings file and apply it; if it is invalid, the old settings stay in force.

    :param apply_settings: applies the new settings.
    """
    try:
        settings = load_fleet(Path(os.environ[SETTINGS_VARIABLE]))
    except ApricotvaleError as error:
        events.emit(events.RELOAD_FAILED, error=error.format_message())
        return
    events.emit(events.RELOADED, contacts=settings.contacts)
    apply_settings(settings)


def collect_garbage() -> None:
    """Collect garbage from now on, but not among the objects that the start has created."""
    gc.freeze()
    gc.enable()


def process_bounds(settings: FleetSettings) -> PeerBounds:
    """Return the bounds that all listeners of a process share."""
    held = ByteBudget(held_limit(settings.memory_mb))
    return make_bounds(settings.memory_mb, open_files_limit(settings.max_fds), held)


async def run_role(role: Role, settings: FleetSettings, stop: asyncio.Event) -> None:
    """Run a role, with its metrics served alongside if an address for them is set."""
    asyncio.get_running_loop().call_later(GARBAGE_DELAY_S, collect_garbage)
    bounds = process_bounds(settings)
    async with AsyncExitStack() as stack:
        if settings.metrics:
            server = HttpServer(metrics.make_app(), settings.metrics, bounds=bounds)
            await stack.enter_async_context(server)
        await role(settings, bounds, stop)


ROLES: dict[str, Role] = {"entry": run_entry, "control": run_control}


def main() -> None:
    """Run the role named by the first command-line argument.

    The settings file is named by the environment variable `APRICOTVALE_BOOT`.
    """
    role = ROLES[sys.argv[1]]
    try:
        settings = load_fleet(Path(os.environ[SETTINGS_VARIABLE]))
        mechanisms.disable(settings.disabled)
        configure_bounded(settings.name, settings.log_level)
        run(lambda stop: run_role(role, settings, stop))
    except ApricotvaleError as error:
        sys.stderr.write(f"Error: {error.format_message()}\n")
        sys.exit(error.exit_code)
