"""Peers of a control replica: the replicas it may form a group with, and the links to them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field

from apricotvale import events
from apricotvale.consensus.calls import Interface, PeerBatch
from apricotvale.consensus.messages import AppendRequest, PeerMessage
from apricotvale.consensus.types import GroupPolicy
from apricotvale.daemons.rpc import RpcClient

PEER_RETRY_PAUSE_S = 0.02
PEER_TIMEOUT_S = 1.0
PEER_QUEUE_MESSAGES = 256
MAX_BATCH_BYTES = 4 * 1024 * 1024


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
        self.queue: deque[PeerMessage] = deque(maxlen=PEER_QUEUE_MESSAGES)

    def connect(self) -> RpcClient:
        """Return a client for a new connection.

        When a connection ends, an empty batch shows at once whether the peer still listens.
        """
        return RpcClient(self.address, self.interface, self.wake.set)

    def send(self, message: PeerMessage) -> None:
        """Queue a message for the next batch."""
        self.queue.append(message)
        self.wake.set()

    def take_batch(self) -> PeerBatch:
        """Remove the next messages from the queue, up to `MAX_BATCH_BYTES` of entries.

        Load pattern: a peer that was cut off is sent the entries of several seconds at once. One
        batch of all of them would not arrive within `PEER_TIMEOUT_S` over a slow network link.
        """
        batch: list[PeerMessage] = []
        left = MAX_BATCH_BYTES
        while self.queue and (not batch or left >= payload_bytes(self.queue[0])):
            message = self.queue.popleft()
            left -= payload_bytes(message)
            batch.append(message)
        return PeerBatch(batch)

    async def run(self) -> None:
        """Send queued messages until cancelled.

        A failed batch is lost; the consensus protocol sends its messages again.
        """
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = self.take_batch()
            if self.queue:
                self.wake.set()
            try:
                await self.client.send_peer(batch, PEER_TIMEOUT_S)
                self.set_reachable(True, "")
            except Exception as error:
                # A connection can stop responding without a reset; only a new one shows whether
                # the peer answers. Messages queued in the meantime are stale.
                self.set_reachable(False, repr(error))
                self.queue.clear()
                self.client.close()
                self.client = self.connect()
                if isinstance(error, ConnectionRefusedError):
                    self.on_refused(self.address)
                await asyncio.sleep(PEER_RETRY_PAUSE_S)

    def set_reachable(self, reachable: bool, error: str) -> None:
        """Record whether the peer answers, and log a change.

        :param error: why it does not answer; empty if it does.
        """
        if reachable != self.reachable:
            self.reachable = reachable
            event = events.PEER_FOUND if reachable else events.PEER_LOST
            events.emit(event, address=self.address, error=error)
