"""RPCs to control replicas: grpclib clients with the project's own codec."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from apricotvale import events, metrics
from apricotvale.codec import pack, unpack
from apricotvale.consensus.calls import Interface

WINDOW_BYTES = 4 * 1024 * 1024
# The largest messages are configurations, of 32 MiB at most, and batches of log entries.
MAX_RECEIVED_BYTES = 64 * 1024 * 1024
# A connection counts as dead if its data is unacknowledged for this long, even without a reset.
USER_TIMEOUT_MS = 1_500


class MessageCodec(CodecBase):
    """Adapter of the project's codec to grpclib's codec interface."""

    __content_subtype__ = "msgpack"
    serialize = staticmethod(pack)

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Serialize a message of the given type or union."""
        data = self.serialize(message, message_type)
        metrics.MESSAGE_BYTES.labels(type(message).__name__).inc(len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Deserialize a message of the given type or union."""
        return unpack(data, message_type)


def window_configuration() -> Configuration:
    """Return a configuration whose flow-control windows are large enough for snapshots."""
    return Configuration(
        http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
    )


def limit_message_size(protocol: H2Protocol) -> H2Protocol:
    """Make a protocol abort its connection when a message states more than `MAX_RECEIVED_BYTES`.

    grpclib has no such limit: it would gather up to 4 GiB for one message.
    """
    connection_made = protocol.connection_made

    def on_connection(transport: Any) -> None:
        connection_made(transport)
        create_stream = protocol.connection.create_stream

        def create_limited_stream(**options: Any) -> Any:
            stream = create_stream(**options)
            receive = stream.recv_data

            async def receive_limited(size: int) -> bytes:
                if size > MAX_RECEIVED_BYTES:
                    events.emit(events.MESSAGE_TOO_LARGE, bytes=size, limit=MAX_RECEIVED_BYTES)
                    transport.abort()
                    raise ProtocolError(f"a message of {size} bytes exceeds the limit")
                return await receive(size)

            stream.recv_data = receive_limited  # type: ignore[method-assign]
            return stream

        protocol.connection.create_stream = create_limited_stream  # type: ignore[method-assign]

    protocol.connection_made = on_connection  # type: ignore[method-assign]
    return protocol


async def run_in_own_task(call: Coroutine[Any, Any, Any]) -> Any:
    """Run a call in a task of its own and return its result.

    On a timeout grpclib cancels the task that runs the call and does not undo the cancellation
    with `uncancel`. In the caller's task this would break an `asyncio.timeout` around the call.
    """
    caller = asyncio.current_task()
    cancellations = caller.cancelling() if caller else 0
    task = asyncio.ensure_future(call)
    try:
        return await task
    except (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError):
        if caller and caller.cancelling() > cancellations:
            # The caller was cancelled just as grpclib's timeout expired, and grpclib reported the
            # cancellation as its timeout.
            raise asyncio.CancelledError from None
        raise
    finally:
        task.cancel()


class AbortableChannel(Channel):
    """A grpclib channel that detects an unresponsive peer and can be aborted immediately.

    `on_lost` is called when the connection ends and was not aborted.
    """

    transport: asyncio.Transport | None = None
    aborted = False
    on_lost: Callable[[], None] | None = None

    def _protocol_factory(self) -> H2Protocol:
        protocol = limit_message_size(super()._protocol_factory())
        connection_lost = protocol.connection_lost

        def report_loss(exc: BaseException | None) -> None:
            connection_lost(exc)
            if self.on_lost is not None and not self.aborted:
                self.on_lost()

        protocol.connection_lost = report_loss  # type: ignore[method-assign]
        return protocol

    async def _create_connection(self) -> H2Protocol:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        # asyncio sets this only for sockets that were created with an explicit protocol number.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self._loop.sock_connect(sock, (self._host, self._port))
            transport, protocol = await self._loop.create_connection(
                self._protocol_factory, sock=sock
            )
        except BaseException:
            sock.close()
            raise
        if self.aborted:
            transport.abort()
            raise ConnectionAbortedError(
                f"channel to {self._host}:{self._port} was closed while connecting"
            )
        self.transport = transport
        return protocol

    def abort(self) -> None:
        """Abort the connection and discard unsent data.

        A regular close would wait for an unresponsive peer to read that data.
        """
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.close()


class RpcClient:
    """Client of one control replica.

    :param address: the replica's address as `host:port`.
    :param interface: the RPC interface that the replica serves.
    :param on_lost: called when the connection ends without `close`.
    """

    codec = MessageCodec()

    def __init__(
        self, address: str, interface: Interface, on_lost: Callable[[], None] | None = None
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.channel = AbortableChannel(
            host, int(port), codec=self.codec, config=window_configuration()
        )
        self.channel.on_lost = on_lost
        self.call_method: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            self.channel, interface.path, interface.request, interface.reply
        )

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Send a request and return its reply.

        :raises TimeoutError: if there is no reply within `timeout_s`.
        :raises OSError: if the connection cannot be made or is lost.
        """
        try:
            return await run_in_own_task(self.call_method(request, timeout=timeout_s))
        except AttributeError as error:
            # grpclib deletes the transport of a connection that is lost, and uses it unchecked in
            # calls that begin or read at that moment.
            if error.name != "_transport":
                raise
            raise ConnectionResetError(f"the connection to {self.address} was lost") from error

    def close(self) -> None:
        """Abort the connection; unsent data is discarded."""
        self.channel.abort()
