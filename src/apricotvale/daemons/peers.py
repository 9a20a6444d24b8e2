"""A control replica's peers: whom it may form a group with, and the links to them."""

from __future__ import annotations

import asyncio
from collections import deque

from attrs import define, field

from apricotvale import events
from apricotvale.consensus.messages import PeerMessage
from apricotvale.consensus.types import GroupPolicy
from apricotvale.control.calls import PeerBatch
from apricotvale.daemons.rpc import CONTROL, Interface, RpcClient

PEER_PAUSE_S = 0.02
PEER_TIMEOUT_S = 1.0
PEER_QUEUE = 256


@define
class Peers:
    """Whom a replica may form or join a group with.

    :param name: the replica's own name.
    :param address: the replica's own address.
    :param contacts: addresses of replicas to ask; with `founds` also those that form the group.
    :param founds: whether this replica takes part in forming the first group.
    :param replicas: address by name where the group is a fixed table of names.
    :param policy: how the group keeps its size.
    :param interface: the calls that the replicas answer.
    """

    name: str
    address: str
    contacts: list[str]
    founds: bool = True
    replicas: dict[str, str] = field(factory=dict)
    policy: GroupPolicy = field(factory=GroupPolicy)
    interface: Interface = CONTROL


def fixed_peers(name: str, replicas: dict[str, str]) -> Peers:
    """Return the peers of a replica in a fixed table of names."""
    return Peers(name, replicas[name], sorted(replicas.values()), True, replicas)


class PeerLink:
    """Sends messages to one peer in batches, dropping the oldest when it does not keep up."""

    def __init__(self, address: str, interface: Interface) -> None:
        self.address = address
        self.interface = interface
        self.client = RpcClient(address, interface)
        self.reachable = True
        self.queue: deque[PeerMessage] = deque(maxlen=PEER_QUEUE)
        self.wake = asyncio.Event()

    def send(self, message: PeerMessage) -> None:
        """Queue a message."""
        self.queue.append(message)
        self.wake.set()

    async def run(self) -> None:
        """Send what is queued; a failed batch is lost, and the protocol repeats it."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = PeerBatch(list(self.queue))
            self.queue.clear()
            try:
                await self.client.send_peer(batch, PEER_TIMEOUT_S)
                self.note(True, "")
            except Exception as error:
                # A connection can go silent without a reset: only a new one shows. What gathered
                # meanwhile is out of date.
                self.note(False, repr(error))
                self.queue.clear()
                self.client.close()
                self.client = RpcClient(self.address, self.interface)
                await asyncio.sleep(PEER_PAUSE_S)

    def note(self, reachable: bool, error: str) -> None:
        """Log when the peer is lost or found again."""
        if reachable != self.reachable:
            self.reachable = reachable
            kind = events.PEER_FOUND if reachable else events.PEER_LOST
            events.emit(kind, address=self.address, error=error)
