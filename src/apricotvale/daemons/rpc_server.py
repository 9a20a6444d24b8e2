"""RPC server of a control replica, for calls and for messages of its peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from grpclib.const import Cardinality, Handler
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from apricotvale.consensus.calls import Delivered, Interface
from apricotvale.consensus.messages import PeerBatch
from apricotvale.daemons.rpc import MessageCodec, limit_message_size, window_configuration

PEER_PATH = "/apricotvale.Control/Peer"
PEER_STREAM_PATH = "/apricotvale.Control/PeerStream"


class LimitedServer(Server):
    """A grpclib server whose connections accept messages of limited size only."""

    def _protocol_factory(self) -> H2Protocol:
        return limit_message_size(super()._protocol_factory())


class ControlService:
    """The server side of the call and peer methods.

    :param on_call: returns the reply to a request.
    :param on_peer: receives a batch of peer messages.
    :param interface: the call method that the server offers.
    """

    def __init__(
        self,
        on_call: Callable[[Any], Awaitable[Any]],
        on_peer: Callable[[PeerBatch], None],
        interface: Interface,
    ) -> None:
        self.on_call = on_call
        self.on_peer = on_peer
        self.interface = interface

    async def call(self, stream: Stream[Any, Any]) -> None:
        """Answer one call; send no reply if the caller has disconnected."""
        with suppress(StreamTerminatedError):
            request = await stream.recv_message()
            if request is not None:
                await stream.send_message(await self.on_call(request))

    async def peer(self, stream: Stream[Any, Any]) -> None:
        """Receive a batch of peer messages and acknowledge it."""
        batch = await stream.recv_message()
        if batch is not None:
            self.on_peer(batch)
            await stream.send_message(Delivered())

    async def peer_stream(self, stream: Stream[Any, Any]) -> None:
        """Receive batches of peer messages, and acknowledge each."""
        with suppress(StreamTerminatedError):
            async for batch in stream:
                self.on_peer(batch)
                await stream.send_message(Delivered())

    def __mapping__(self) -> dict[str, Handler]:
        unary = Cardinality.UNARY_UNARY
        return {
            self.interface.path: Handler(
                self.call, unary, self.interface.request, self.interface.reply
            ),
            PEER_PATH: Handler(self.peer, unary, PeerBatch, Delivered),
            PEER_STREAM_PATH: Handler(
                self.peer_stream, Cardinality.STREAM_STREAM, PeerBatch, Delivered
            ),
        }


def make_server(service: ControlService) -> Server:
    """Create a grpclib server for the service."""
    return LimitedServer([service], codec=MessageCodec(), config=window_configuration())
