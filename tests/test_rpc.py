"""RPCs to control replicas: timeouts, cancellation and closing of connections.

A call that times out must not leave its caller's task cancelled.
"""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress

import pytest
from grpclib.exceptions import StreamTerminatedError

from apricotvale.consensus.calls import PeerBatch
from apricotvale.consensus.messages import JoinRequest
from apricotvale.control import calls
from apricotvale.daemons.link import ControlClient
from apricotvale.daemons.rpc import ControlService, RpcClient, make_server, run_in_own_task
from apricotvale.outcomes import Ran, Reason
from scripts.ports import free_address


@pytest.fixture
async def unresponsive_address():
    """Yield the address of a control replica that never answers."""
    release = asyncio.Event()

    async def on_call(request):
        await release.wait()

    server = make_server(ControlService(on_call, lambda batch: None, calls.CONTROL))
    address = free_address()
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
    yield address
    release.set()
    server.close()
    await server.wait_closed()


async def test_a_call_that_times_out_does_not_cancel_its_caller(unresponsive_address):
    client = RpcClient(unresponsive_address, calls.CONTROL)
    with pytest.raises(asyncio.TimeoutError):
        await client.call(calls.Query("config"), 0.05)
    assert asyncio.current_task().cancelling() == 0
    client.close()


async def test_asyncio_timeout_around_calls_raises_timeout_error(unresponsive_address):
    client = ControlClient([unresponsive_address])
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await client.call(calls.Query("config"), time.monotonic() + 10, attempt_timeout_s=0.05)
    client.close()


async def test_an_unanswered_call_is_refused_at_its_deadline(unresponsive_address):
    client = ControlClient([unresponsive_address])
    started = time.monotonic()
    refusal = await client.call(calls.Query("config"), started + 0.2, attempt_timeout_s=0.05)
    assert (refusal.reason, refusal.ran) == (Reason.NO_QUORUM, Ran.NOT_RUN)
    assert time.monotonic() < started + 1.0
    client.close()


async def test_close_does_not_wait_for_a_peer_that_does_not_read():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    client = RpcClient(f"127.0.0.1:{listener.getsockname()[1]}", calls.CONTROL)
    batch = PeerBatch([JoinRequest("x" * 8_000_000, "", "a", "b")])
    with pytest.raises((TimeoutError, StreamTerminatedError)):
        await client.send_peer(batch, 0.2)
    transport = client.channel.transport
    client.close()
    await asyncio.sleep(0.05)
    assert transport.is_closing() and transport.get_write_buffer_size() == 0
    listener.close()


async def test_a_connection_established_after_close_is_aborted():
    opened, ended = [], []

    async def on_connection(reader, writer):
        opened.append(writer)
        with suppress(ConnectionError):
            await reader.read()
        ended.append(writer)

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = RpcClient(f"{host}:{port}", calls.CONTROL)
    call = asyncio.ensure_future(client.call(calls.Query("config"), 1.0))
    await asyncio.sleep(0)
    client.close()
    with pytest.raises((ConnectionAbortedError, StreamTerminatedError)):
        await call
    await asyncio.sleep(0.05)
    assert opened == ended
    server.close()


async def test_a_cancellation_during_the_calls_own_timeout_is_not_lost():
    async def call():
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            raise TimeoutError from None

    task = asyncio.create_task(run_in_own_task(call()))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
