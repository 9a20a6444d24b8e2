"""Calls between processes and control replicas over grpclib, with the project's own codec."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from typing import Any

from attrs import frozen
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from apricotvale.codec import decode, encode
from apricotvale.control.calls import CallReply, CallRequest, Delivered, PeerBatch

PEER_PATH = "/apricotvale.Control/Peer"
WINDOW_BYTES = 4 * 1024 * 1024
# A connection whose data is not acknowledged for so long is dead, though nothing was reset.
USER_TIMEOUT_MS = 1_500


@frozen
class Interface:
    """The calls of one kind of server: where they go, and the unions of messages they carry."""

    path: str
    request: Any
    reply: Any


CONTROL = Interface("/apricotvale.Control/Call", CallRequest, CallReply)


class MessageCodec(CodecBase):
    """grpclib's codec interface over the project's messages."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return a message as bytes."""
        return encode(message, message_type)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in `data`."""
        return decode(data, message_type)


def window_configuration() -> Configuration:
    """Return connection settings with room for snapshots."""
    return Configuration(
        http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
    )


class ControlService:
    """The server's side of both calls."""

    def __init__(
        self,
        on_call: Callable[[Any], Awaitable[Any]],
        on_peer: Callable[[PeerBatch], None],
        interface: Interface = CONTROL,
    ) -> None:
        self.on_call = on_call
        self.on_peer = on_peer
        self.interface = interface

    async def call(self, stream: Stream[Any, Any]) -> None:
        """Answer one call; a caller that has gone gets no answer."""
        with suppress(StreamTerminatedError):
            request = await stream.recv_message()
            if request is not None:
                await stream.send_message(await self.on_call(request))

    async def peer(self, stream: Stream[Any, Any]) -> None:
        """Take a batch of peer messages."""
        batch = await stream.recv_message()
        if batch is not None:
            self.on_peer(batch)
            await stream.send_message(Delivered())

    def __mapping__(self) -> dict[str, Handler]:
        unary = Cardinality.UNARY_UNARY
        return {
            self.interface.path: Handler(
                self.call, unary, self.interface.request, self.interface.reply
            ),
            PEER_PATH: Handler(self.peer, unary, PeerBatch, Delivered),
        }


def make_server(service: ControlService) -> Server:
    """Return a server for the service."""
    return Server([service], codec=MessageCodec(), config=window_configuration())


async def in_own_task(call: Coroutine[Any, Any, Any]) -> Any:
    """Return a call's result, run in a task of its own.

    grpclib ends a call at its timeout by cancelling the task that runs it, and does not take the
    cancellation back; in the caller's task that would break `asyncio.timeout` around the call.
    """
    caller = asyncio.current_task()
    cancellations = caller.cancelling() if caller else 0
    task = asyncio.ensure_future(call)
    try:
        return await task
    except (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError):
        if caller and caller.cancelling() > cancellations:
            # The library turned the cancellation into its own timeout, which ran out just then.
            raise asyncio.CancelledError from None
        raise
    finally:
        task.cancel()


class DirectChannel(Channel):
    """A grpclib channel whose connection notices a silent peer and can be dropped at once."""

    transport: asyncio.Transport | None = None
    aborted = False

    async def _create_connection(self) -> H2Protocol:
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        made.setblocking(False)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        try:
            await self._loop.sock_connect(made, (self._host, self._port))
            transport, protocol = await self._loop.create_connection(
                self._protocol_factory, sock=made
            )
        except BaseException:
            made.close()
            raise
        if self.aborted:
            transport.abort()
            raise ConnectionAbortedError("the channel was closed while it connected")
        self.transport = transport
        return protocol

    def abort(self) -> None:
        """Drop the connection with what it has not sent; closing would wait for a silent peer."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.close()


class RpcClient:
    """A connection to one control replica."""

    def __init__(self, address: str, interface: Interface = CONTROL) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.channel = DirectChannel(
            host, int(port), codec=MessageCodec(), config=window_configuration()
        )
        self.call_method: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            self.channel, interface.path, interface.request, interface.reply
        )
        self.peer_method: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            self.channel, PEER_PATH, PeerBatch, Delivered
        )

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Send a call and return its reply."""
        return await in_own_task(self.call_method(request, timeout=timeout_s))

    async def send_peer(self, batch: PeerBatch, timeout_s: float) -> None:
        """Send peer messages."""
        await in_own_task(self.peer_method(batch, timeout=timeout_s))

    def close(self) -> None:
        """Close the connection."""
        self.channel.abort()
