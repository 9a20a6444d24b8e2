"""Calls that every group of replicas serves, whatever its state machine holds.

They are apart from the calls of `control` and `fleet`, so that a process imports only the messages
that it sends: the definition of a message class takes about a millisecond of processor time.
"""

from __future__ import annotations

from typing import Any

from attrs import field, frozen


@frozen
class Interface:
    """The RPC method of one kind of server.

    :param path: the gRPC path of the method.
    :param request: the union of its request messages.
    :param reply: the union of its reply messages.
    """

    path: str
    request: Any
    reply: Any


@frozen
class ReadPart:
    """Request of a replica that installs a snapshot for one of its parts."""

    digest: str


@frozen
class JoinProbe:
    """Request of a replica without data for what a peer knows about the group."""

    name: str
    data_id: str


@frozen
class Redirect:
    """This replica is not the leader; `address` is the leader's, empty if unknown."""

    address: str = ""


@frozen
class Unconfirmed:
    """It is unknown whether the call was committed; the caller should retry."""

    detail: str = ""


@frozen
class PartRead:
    """A part of a snapshot; the content is empty if the replica does not hold the part."""

    content: bytes


@frozen
class ProbeReply:
    """Reply to a join probe.

    :param empty: whether the peer has no data, so that it belongs to no group yet.
    :param leader_id: data id of the leader, empty if unknown.
    :param addresses: addresses of the group's members.
    :param address: address at which the prober reached the peer, set by the prober.
    """

    name: str
    data_id: str
    empty: bool
    leader_id: str = ""
    addresses: list[str] = field(factory=list)
    address: str = ""


@frozen
class Delivered:
    """Acknowledges that a batch of peer messages arrived."""
