"""RPCs to control replicas: timeouts, cancellation and closing of connections.

A call that times out must not leave its caller's task cancelled.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import time
from collections import Counter
from contextlib import asynccontextmanager, suppress

import pytest
from attrs import frozen
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from prometheus_client import REGISTRY

from apricotvale.consensus.calls import Delivered, Interface, Redirect
from apricotvale.consensus.messages import AppendRequest, Entry, EntryKind, JoinRequest, PeerBatch
from apricotvale.control import calls
from apricotvale.daemons import peers, rpc, rpc_server
from apricotvale.daemons.link import ControlClient
from apricotvale.daemons.peers import PeerClient, PeerLink, payload_bytes
from apricotvale.daemons.rpc import RpcClient, run_in_own_task
from apricotvale.daemons.rpc_server import ControlService, make_server
from apricotvale.exceptions import MessageError
from apricotvale.outcomes import Ran, Reason
from scripts.ports import free_address

READY_TIMEOUT_S = 10.0
BROKEN_CASES = 100
PAYLOAD = b"x" * 512 * 1024
SLOW_BYTES_PER_S = 8 * 1024 * 1024


@frozen
class EchoRequest:
    """A request with a body that asks for a reply of a number of bytes."""

    reply_bytes: int
    body: bytes


def random_text(length):
    """Return a text that compression does not shorten to less than a half."""
    return random.Random(1).randbytes(length // 2).hex()


ECHO = Interface("/apricotvale.Test/Echo", EchoRequest, Redirect)


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
    client = PeerClient(f"127.0.0.1:{listener.getsockname()[1]}", calls.CONTROL)
    batch = PeerBatch([JoinRequest("x" * 8_000_000, "", "a", "b")])
    with pytest.raises((TimeoutError, StreamTerminatedError)):
        await client.send(batch, 0.2)
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


@pytest.fixture
async def echo_address():
    """Yield the address of a control replica that sends replies of the size asked for."""

    async def on_call(request):
        return Redirect(random_text(request.reply_bytes))

    server = make_server(ControlService(on_call, lambda batch: None, ECHO))
    address = free_address()
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
    yield address
    server.close()
    await server.wait_closed()


async def test_bytes_of_messages_are_counted_by_kind(echo_address):
    def sent_bytes(kind):
        return REGISTRY.get_sample_value("apricotvale_message_bytes_total", {"kind": kind}) or 0.0

    before = sent_bytes("EchoRequest"), sent_bytes("Redirect")
    client = RpcClient(echo_address, ECHO)
    await client.call(EchoRequest(5_000, os.urandom(3_000)), READY_TIMEOUT_S)
    client.close()
    assert 3_000 < sent_bytes("EchoRequest") - before[0] < 3_100
    assert 2_500 < sent_bytes("Redirect") - before[1] < 5_100


@pytest.mark.parametrize(
    "request_bytes, reply_bytes", [(8_000_000, 0), (0, 8_000_000)], ids=["request", "reply"]
)
async def test_a_message_over_the_limit_ends_its_connection_only(
    echo_address, monkeypatch, request_bytes, reply_bytes
):
    """Guards against a process that gathers up to 4 GiB for one message of a peer."""
    monkeypatch.setattr(rpc, "MAX_RECEIVED_BYTES", 1_000_000)
    client, other = (RpcClient(echo_address, ECHO) for _ in range(2))
    small = EchoRequest(10, b"")
    assert await other.call(small, READY_TIMEOUT_S) == Redirect(random_text(10))
    with pytest.raises((ConnectionError, ProtocolError, StreamTerminatedError)):
        await client.call(EchoRequest(reply_bytes, os.urandom(request_bytes)), READY_TIMEOUT_S)
    assert await other.call(small, READY_TIMEOUT_S) == Redirect(random_text(10))
    client.close()
    other.close()


async def test_entries_for_a_peer_are_sent_in_batches_of_limited_size():
    """Guards against a batch that cannot arrive in time, and is sent again without end."""
    link = PeerLink(free_address(), calls.CONTROL, lambda address: None)
    large = [
        AppendRequest(
            "a", "b", 1, n, 1, n, n, "a", [Entry(n + 1, 1, 0, EntryKind.COMMAND, PAYLOAD)]
        )
        for n in range(30)
    ]
    heartbeats = [AppendRequest("a", "b", 1, 30, 1, 30, 30 + n, "a") for n in range(5)]
    for message in [*large, *heartbeats]:
        link.send(message)
    batches = []
    while link.queue:
        batches.append(link.take_batch().messages)
    assert [message for batch in batches for message in batch] == [*large, *heartbeats]
    sizes = [sum(payload_bytes(message) for message in batch) for batch in batches]
    assert max(sizes) <= peers.MAX_BATCH_BYTES and len(batches) == 4
    link.client.close()


async def test_an_entry_over_the_batch_size_is_sent_alone():
    link = PeerLink(free_address(), calls.CONTROL, lambda address: None)
    entry = Entry(1, 1, 0, EntryKind.COMMAND, b"x" * (peers.MAX_BATCH_BYTES + 1))
    link.send(AppendRequest("a", "b", 1, 0, 0, 0, 1, "a", [entry]))
    link.send(AppendRequest("a", "b", 1, 1, 1, 0, 2, "a"))
    assert [len(link.take_batch().messages) for _ in range(2)] == [1, 1]
    link.client.close()


@asynccontextmanager
async def sending_link(server):
    """Run a server, and a link that sends messages to it."""
    address = free_address()
    await server.start("127.0.0.1", int(address.rpartition(":")[2]))
    link = PeerLink(address, ECHO, lambda address: None)
    sender = asyncio.create_task(link.run())
    try:
        yield link
    finally:
        sender.cancel()
        link.client.close()
        server.close()
        await server.wait_closed()


class SlowControlService(ControlService):
    """The service of a replica that takes `SLOW_BYTES_PER_S` of entries."""

    async def peer_stream(self, stream):
        with suppress(StreamTerminatedError):
            async for batch in stream:
                await asyncio.sleep(sum(map(payload_bytes, batch.messages)) / SLOW_BYTES_PER_S)
                self.on_peer(batch)
                await stream.send_message(Delivered())


async def test_a_peer_that_is_behind_and_slow_gets_all_entries(monkeypatch):
    """Guards against a replica that never catches up, as each batch for it is as large again."""
    monkeypatch.setattr(peers, "PEER_TIMEOUT_S", 0.4)
    lacking = {
        n: AppendRequest(
            "a", "b", 1, n, 1, n, n, "a", [Entry(n + 1, 1, 0, EntryKind.COMMAND, PAYLOAD)]
        )
        for n in range(16)
    }

    def receive(batch):
        for message in batch.messages:
            lacking.pop(message.sequence, None)

    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        sending_link(make_server(SlowControlService(None, receive, ECHO))) as link,
    ):
        while lacking:
            # The leader sends again what the peer lacks once a batch was lost.
            for message in list(lacking.values()):
                link.send(message)
            client = link.client
            while lacking and link.client is client:
                await asyncio.sleep(0.01)


class FormerControlService(ControlService):
    """The service of a build that receives each batch of peer messages as a call."""

    def __mapping__(self):
        mapping = super().__mapping__()
        del mapping[rpc_server.PEER_STREAM_PATH]
        return mapping


@pytest.mark.parametrize("service", [ControlService, FormerControlService])
async def test_messages_reach_a_peer_in_order_over_one_connection(service):
    received, protocols = [], []
    server = make_server(service(None, lambda batch: received.extend(batch.messages), ECHO))
    make_protocol = server._protocol_factory

    def record_protocol():
        protocols.append(make_protocol())
        return protocols[-1]

    server._protocol_factory = record_protocol
    sent = [AppendRequest("a", "b", 1, n, 1, n, n, "a") for n in range(200)]
    async with sending_link(server) as link:
        async with asyncio.timeout(READY_TIMEOUT_S):
            # The first batch is lost at a peer without streams, as after any failure.
            while not received:
                link.send(JoinRequest("a", "b", "c", "d"))
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        received.clear()
        for message in sent:
            link.send(message)
            if message.sequence % 7 == 0:
                await asyncio.sleep(0.001)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while len(received) < len(sent):
                await asyncio.sleep(0.01)
    assert received == sent and link.reachable
    assert len(protocols) == 1


async def test_a_peer_that_stops_reading_is_lost_within_the_time_limit():
    """Guards against a link that waits for ever on a stream of a frozen peer."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    link = PeerLink(f"127.0.0.1:{listener.getsockname()[1]}", ECHO, lambda address: None)
    sender = asyncio.create_task(link.run())
    link.send(JoinRequest("a", "b", "c", "d"))
    started = time.monotonic()
    async with asyncio.timeout(READY_TIMEOUT_S):
        while link.reachable:
            await asyncio.sleep(0.01)
    assert time.monotonic() - started >= peers.PEER_TIMEOUT_S * 0.9
    sender.cancel()
    link.client.close()
    listener.close()


# Bytes that are no messages


def broken(data, rng):
    """Return bytes with one random change: cut, extended, repeated, or with some bytes replaced."""
    at = rng.randrange(len(data))
    change = rng.choice(["cut", "extend", "repeat", "replace", "noise"])
    if change == "cut":
        return data[:at]
    if change == "extend":
        return data[:at] + rng.randbytes(rng.randrange(1, 500)) + data[at:]
    if change == "repeat":
        return data + data[at:]
    if change == "replace":
        length = rng.randrange(1, 20)
        return data[:at] + rng.randbytes(length) + data[at + length :]
    return rng.randbytes(rng.randrange(1, 2_000))


async def record_bytes(address, act):
    """Return the bytes that a client sends first while `act` runs a call to a silent server."""
    received = bytearray()

    async def on_connection(reader, writer):
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                received.extend(data)

    host, _, port = address.rpartition(":")
    async with await asyncio.start_server(on_connection, host, int(port)):
        with suppress(TimeoutError, StreamTerminatedError):
            await act()
    return bytes(received)


async def test_broken_requests_disturb_no_other_caller(echo_address):
    """Guards against bytes on the internal port that end the process or block its other callers."""
    own_address = free_address()
    client = RpcClient(own_address, ECHO)
    data = await record_bytes(own_address, lambda: client.call(EchoRequest(10, b"body"), 0.2))
    client.close()
    assert data.startswith(b"PRI * HTTP/2.0")
    host, _, port = echo_address.rpartition(":")
    other, rng = RpcClient(echo_address, ECHO), random.Random(5)
    for _ in range(BROKEN_CASES):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(broken(data, rng))
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(0.02):
                await reader.read(65_536)
        assert await other.call(EchoRequest(10, b""), READY_TIMEOUT_S) == Redirect(random_text(10))
        writer.close()
    other.close()


async def test_broken_answers_end_the_call_with_a_typed_error():
    """Guards against an answer of a peer that is taken for a sound one, or ends a task."""
    server_bytes = bytearray()
    rng = random.Random(7)

    async def on_call(request):
        return Redirect(random_text(400))

    server = make_server(ControlService(on_call, lambda batch: None, ECHO))
    address, relay_address = free_address(), free_address()
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))

    async def copy(reader, writer):
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                writer.write(data)
        writer.close()

    async def relay(reader, writer):
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        sending = asyncio.create_task(copy(reader, up_writer))
        with suppress(ConnectionError):
            while data := await up_reader.read(65_536):
                server_bytes.extend(data)
                writer.write(broken(data, rng))
        await sending
        writer.close()

    relay_host, _, relay_port = relay_address.rpartition(":")
    outcomes = Counter()
    async with await asyncio.start_server(relay, relay_host, int(relay_port)):
        for _ in range(BROKEN_CASES):
            client = RpcClient(relay_address, ECHO)
            try:
                reply = await client.call(EchoRequest(400, b""), 0.1)
                assert isinstance(reply, Redirect)
                outcomes["answered"] += 1
            except (
                OSError,
                GRPCError,
                ProtocolError,
                StreamTerminatedError,
                MessageError,
            ) as error:
                outcomes[type(error).__name__] += 1
            finally:
                client.close()
    server.close()
    await server.wait_closed()
    assert sum(outcomes.values()) == BROKEN_CASES and len(outcomes) > 2, outcomes


async def test_a_connection_lost_while_a_call_begins_ends_the_call_only(echo_address, monkeypatch):
    """Guards against a control replica that ends because a peer was lost at that moment."""
    connect = Channel.__connect__

    async def connect_and_lose(channel):
        protocol = await connect(channel)
        protocol.processor.close("Connection lost")
        return protocol

    monkeypatch.setattr(Channel, "__connect__", connect_and_lose)
    client = RpcClient(echo_address, ECHO)
    with pytest.raises(ConnectionResetError):
        await client.call(EchoRequest(1, b""), 1.0)
    monkeypatch.undo()
    client.close()


async def test_other_errors_of_a_call_are_not_taken_for_a_lost_connection(
    echo_address, monkeypatch
):
    """Guards against errors of the program itself that pass for network errors."""
    client = RpcClient(echo_address, ECHO)
    monkeypatch.setattr(client, "call_method", lambda *args, **options: fail_with_missing_name())
    with pytest.raises(AttributeError):
        await client.call(EchoRequest(1, b""), 1.0)
    client.close()


async def fail_with_missing_name():
    return PAYLOAD.missing
