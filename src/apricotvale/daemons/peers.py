"""Peers of a control replica: the replicas it may form a group with, and the links to them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, NoReturn

from attrs import define, field
from grpclib.client import Stream, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from apricotvale import clock, events
from apricotvale.codec import encode
from apricotvale.consensus.calls import Delivered, Interface
from apricotvale.consensus.messages import AppendRequest, PeerBatch, PeerMessage
from apricotvale.consensus.types import GroupPolicy
from apricotvale.daemons.rpc import MessageCodec, RpcClient, run_in_own_task
from apricotvale.daemons.rpc_server import PEER_PATH, PEER_STREAM_PATH

PEER_RETRY_PAUSE_S = 0.02
PEER_TIMEOUT_S = 1.0
PEER_QUEUE_MESSAGES = 256
MAX_BATCH_BYTES = 4 * 1024 * 1024
MIN_BATCH_BYTES = 64 * 1024
# A batch that arrives within this share of `PEER_TIMEOUT_S` may be followed by a larger one.
QUICK_BATCH_SHARE = 0.25


@define
class Peers:
    """The replicas that a replica may form or join a group with.

    :param name: the replica's own name.
    :param address: the replica's own address.
    :param contacts: addresses of replicas to probe; with `founds` they also form the first group.
    :param interface: the RPC interface that the replicas serve.
    :param founds: whether this replica takes part in forming the first group.
    :param replicas: addresses by name, if the group is a fixed table of names.
    :param policy: how the group maintains its size.
    """

    name: str
    address: str
    contacts: list[str]
    interface: Interface
    founds: bool = True
    replicas: dict[str, str] = field(factory=dict)
    policy: GroupPolicy = field(factory=GroupPolicy)


def fixed_peers(name: str, replicas: dict[str, str], interface: Interface) -> Peers:
    """Return the peers of a replica whose group is a fixed table of names.

    :param replicas: addresses by name, including this replica's own.
    """
    return Peers(name, replicas[name], sorted(replicas.values()), interface, True, replicas)


def payload_bytes(message: PeerMessage) -> int:
    """Return the bytes of the log entries in a message."""
    if not isinstance(message, AppendRequest):
        return 0
    return sum(len(entry.payload) for entry in message.entries)


def is_unimplemented(error: Exception) -> bool:
    """Return whether an error says that the peer does not know the method."""
    return isinstance(error, GRPCError) and error.status is Status.UNIMPLEMENTED


class PeerCodec(MessageCodec):
    """Codec for batches of peer messages, whose large entries are compressed already."""

    serialize = staticmethod(encode)


class PeerClient(RpcClient):
    """Client that sends batches of consensus messages to one peer."""

    codec = PeerCodec()

    def __init__(
        self, address: str, interface: Interface, on_lost: Callable[[], None] | None = None
    ) -> None:
        super().__init__(address, interface, on_lost)
        self.batch_method: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            self.channel, PEER_PATH, PeerBatch, Delivered
        )
        self.stream_method: StreamStreamMethod[Any, Any] = StreamStreamMethod(
            self.channel, PEER_STREAM_PATH, PeerBatch, Delivered
        )

    async def send(self, batch: PeerBatch, timeout_s: float) -> None:
        """Send a batch of messages as a call, and wait for the acknowledgement."""
        await run_in_own_task(self.batch_method(batch, timeout=timeout_s))

    def open_stream(self) -> Stream[Any, Any]:
        """Return a stream for batches; the peer answers each with `Delivered`.

        A batch costs about a quarter of the processor time of `send`, which sends header fields
        with each.
        """
        return self.stream_method.open()


class PeerLink:
    """Send messages to one peer in batches; a full queue drops its oldest message.

    :param interface: the RPC interface that the peer serves.
    :param on_refused: called with the peer's address when it refuses a connection, which means
        that no process listens there.
    """

    def __init__(
        self, address: str, interface: Interface, on_refused: Callable[[str], None]
    ) -> None:
        self.address = address
        self.interface = interface
        self.on_refused = on_refused
        self.wake = asyncio.Event()
        self.client = self.connect()
        self.reachable = True
        self.takes_streams = True
        self.queue: deque[PeerMessage] = deque(maxlen=PEER_QUEUE_MESSAGES)
        # Bytes of the entries in the last batch, and of those in the next one at most.
        self.batch_bytes = 0
        self.max_batch_bytes = MAX_BATCH_BYTES

    def connect(self) -> PeerClient:
        """Return a client for a new connection, which wakes this link when it ends."""
        return PeerClient(self.address, self.interface, self.wake.set)

    def send(self, message: PeerMessage) -> None:
        """Queue a message for the next batch."""
        self.queue.append(message)
        self.wake.set()

    def take_batch(self) -> PeerBatch:
        """Remove the next messages from the queue, up to `max_batch_bytes` of entries.

        Load pattern: a peer that was cut off is sent the entries of several seconds at once. One
        batch of all of them would not arrive within `PEER_TIMEOUT_S` over a slow network link, or
        at a peer or from a leader with little processor time.
        """
        batch: list[PeerMessage] = []
        left = self.max_batch_bytes
        while self.queue and (not batch or left >= payload_bytes(self.queue[0])):
            message = self.queue.popleft()
            left -= payload_bytes(message)
            batch.append(message)
        self.batch_bytes = sum(map(payload_bytes, batch))
        return PeerBatch(batch)

    async def run(self) -> None:
        """Send queued messages until cancelled.

        A failed batch is lost; the consensus protocol sends its messages again.
        """
        while True:
            send = self.send_on_stream if self.takes_streams else self.send_as_calls
            try:
                await run_in_own_task(send())
            except Exception as error:
                if is_unimplemented(error):
                    self.takes_streams = False
                    continue
                # A connection can stop responding without a reset; only a new one shows whether
                # the peer answers. Messages queued in the meantime are stale.
                self.set_reachable(False, repr(error))
                if isinstance(error, TimeoutError) and self.batch_bytes:
                    tried_bytes = min(self.max_batch_bytes, self.batch_bytes)
                    self.max_batch_bytes = max(MIN_BATCH_BYTES, tried_bytes // 4)
                self.queue.clear()
                self.client.close()
                self.client = self.connect()
                if isinstance(error, ConnectionRefusedError):
                    self.on_refused(self.address)
                elif isinstance(error, StreamTerminatedError):
                    # An empty batch shows whether the peer still listens.
                    self.wake.set()
                await asyncio.sleep(PEER_RETRY_PAUSE_S)

    async def next_batch(self) -> PeerBatch:
        """Return the next batch, once there is a message or the connection has ended."""
        await self.wake.wait()
        self.wake.clear()
        batch = self.take_batch()
        if self.queue:
            self.wake.set()
        return batch

    async def send_on_stream(self) -> NoReturn:
        """Send batches on one stream until it fails."""
        batch = await self.next_batch()
        async with self.client.open_stream() as stream:
            while True:
                sent_at = clock.now()
                async with asyncio.timeout(PEER_TIMEOUT_S):
                    await stream.send_message(batch)
                    if await stream.recv_message() is None:
                        raise ConnectionResetError(f"{self.address} ended the stream")
                self.set_reachable(True, "")
                self.adjust_batch_size(clock.now() - sent_at)
                batch = await self.next_batch()

    def adjust_batch_size(self, took_s: float) -> None:
        """Allow larger batches again once a full one has arrived quickly.

        :param took_s: time until the peer had the last batch, in seconds.
        """
        is_full = 2 * self.batch_bytes >= self.max_batch_bytes
        if is_full and took_s < QUICK_BATCH_SHARE * PEER_TIMEOUT_S:
            self.max_batch_bytes = min(MAX_BATCH_BYTES, 2 * self.max_batch_bytes)

    async def send_as_calls(self) -> NoReturn:
        """Send each batch as a call, to a peer of a build without streams."""
        while True:
            await self.client.send(await self.next_batch(), PEER_TIMEOUT_S)
            self.set_reachable(True, "")

    def set_reachable(self, reachable: bool, error: str) -> None:
        """Record whether the peer answers, and log a change.

        :param error: why it does not answer; empty if it does.
        """
        if reachable != self.reachable:
            self.reachable = reachable
            event = events.PEER_FOUND if reachable else events.PEER_LOST
            events.emit(event, address=self.address, error=error, batch_bytes=self.batch_bytes)
