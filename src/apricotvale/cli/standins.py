"""Commands that run the stand-ins for external systems."""

from __future__ import annotations

import asyncio

import click
from aiohttp import web

from apricotvale.daemons.http_server import HttpServer
from apricotvale.daemons.runtime import run
from apricotvale.standins.engine import Engine, EngineSpec, make_app
from apricotvale.standins.service import (
    PlainService,
    Scorer,
    WeightStore,
    make_scorer_app,
    make_service_app,
    make_store_app,
)

listen_option = click.option("--listen", required=True, help="Address to listen on, host:port.")


def serve(app: web.Application, listen: str) -> None:
    """Serve an application until the process is asked to stop."""

    async def serve_until_stopped(stop: asyncio.Event) -> None:
        async with HttpServer(app, listen):
            await stop.wait()

    run(serve_until_stopped)


@click.group()
def standin() -> None:
    """Run stand-ins for the external systems."""


@standin.command("engine")
@listen_option
@click.option("--model", "models", multiple=True, required=True, help="Model to serve; repeatable.")
@click.option("--step-ms", default=5.0, help="Duration of a batch step, in milliseconds.")
@click.option("--slots", default=16, help="Maximum sequences in a batch.")
@click.option(
    "--swap-ms",
    default=50.0,
    help="Duration of a weight load without its download, in milliseconds.",
)
@click.option(
    "--checks-fencing", is_flag=True, help="Reject load orders with an old fencing token."
)
@click.option("--store", default="", help="Address of the weight store, host:port.")
def engine_command(
    listen: str,
    models: tuple[str, ...],
    step_ms: float,
    slots: int,
    swap_ms: float,
    checks_fencing: bool,
    store: str,
) -> None:
    """Run a model engine."""
    spec = EngineSpec(
        models,
        step_s=step_ms / 1000,
        slots=slots,
        checks_fencing=checks_fencing,
        store=store,
        swap_s=swap_ms / 1000,
    )
    serve(make_app(Engine(spec)), listen)


@standin.command("service")
@listen_option
@click.option("--delay-ms", default=0.0, help="Duration of each call, in milliseconds.")
def service_command(listen: str, delay_ms: float) -> None:
    """Run a plain service."""
    serve(make_service_app(PlainService(delay_ms / 1000)), listen)


@standin.command("scorer")
@listen_option
def scorer_command(listen: str) -> None:
    """Run a scoring service."""
    serve(make_scorer_app(Scorer()), listen)


@standin.command("weights")
@listen_option
@click.option("--load-ms", default=100.0, help="Duration of each download, in milliseconds.")
@click.option("--concurrent", default=4, help="Maximum concurrent downloads.")
def weights_command(listen: str, load_ms: float, concurrent: int) -> None:
    """Run a weight store."""
    serve(make_store_app(WeightStore(load_ms / 1000, concurrent)), listen)
