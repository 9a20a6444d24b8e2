"""Client of a group of replicas that finds the replica that leads."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from apricotvale import clock
from apricotvale.consensus.calls import Interface, Redirect, Unconfirmed
from apricotvale.daemons.rpc import RpcClient
from apricotvale.exceptions import EncodingError
from apricotvale.outcomes import RETRY_AFTER_S, Reason, Refusal, not_run

ATTEMPT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.03


class LeaderClient:
    """Client of the control replica that currently leads.

    Calls are retried, so commands must be idempotent.

    :param addresses: addresses of the control replicas.
    :param interface: the RPC interface that the replicas serve.
    """

    def __init__(self, addresses: list[str], interface: Interface) -> None:
        self.addresses = list(addresses)
        self.interface = interface
        self.clients: dict[str, RpcClient] = {}
        self.current_address = addresses[0]
        # The last address that was asked in its turn, and not because a replica named it.
        self.searched_address = addresses[0]
        # When the latest attempt began, on `clock.now`, in seconds.
        self.asked_at = float("-inf")

    async def call(
        self, request: Any, deadline: float, attempt_timeout_s: float = ATTEMPT_TIMEOUT_S
    ) -> Any | Refusal:
        """Return the leader's reply, or a refusal if there is none by the deadline.

        :param request: a request of the interface.
        :param deadline: on the monotonic clock, in seconds.
        :param attempt_timeout_s: time limit of the attempt at one replica, in seconds.
        """
        silent: set[str] = set()
        while True:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return not_run(
                    Reason.NO_QUORUM,
                    "no control leader answered before the deadline",
                    RETRY_AFTER_S,
                )
            address = self.current_address
            self.asked_at = clock.now()
            try:
                reply = await self.client(address).call(request, min(remaining, attempt_timeout_s))
            except asyncio.CancelledError:
                raise
            except EncodingError as error:
                return not_run(Reason.BAD_REQUEST, error.format_message())
            except Exception as error:
                self.disconnect(address)
                if isinstance(error, TimeoutError):
                    silent.add(address)
                self.leave(address, silent)
                await asyncio.sleep(min(RETRY_PAUSE_S, max(0.0, remaining)))
                continue
            if isinstance(reply, Redirect):
                if reply.address and reply.address not in silent:
                    self.current_address = reply.address
                else:
                    # Another replica that names the same address knows it better.
                    silent.discard(reply.address)
                    self.leave(address, silent)
                await asyncio.sleep(RETRY_PAUSE_S)
            elif not isinstance(reply, Unconfirmed):
                return reply

    def leave(self, address: str, silent: set[str]) -> None:
        """Search on from an address that does not lead, unless another call has done so.

        Load pattern: many calls fail at the same address at the same time. If each of them moved on
        by one, they would end at the address that they left.

        :param silent: as in `search_on`.
        """
        if self.current_address == address or self.current_address in silent:
            self.search_on(silent)

    def search_on(self, silent: set[str]) -> None:
        """Ask the next address that is neither the current one nor silent.

        The order does not start anew at an address that a replica named. Otherwise a replica that
        goes on naming a former leader, which does not answer, would be asked again and again.

        :param silent: addresses that have not answered an attempt of this call in time.
        """
        for _ in self.addresses:
            self.searched_address = self.next_address(self.searched_address)
            if self.searched_address not in silent | {self.current_address}:
                break
        self.current_address = self.searched_address

    def now(self) -> float:
        """Return the current time on the clock of call deadlines, in seconds."""
        return time.monotonic()

    def client(self, address: str) -> RpcClient:
        """Return the client of an address; create it if there is none."""
        if address not in self.clients:
            self.clients[address] = RpcClient(address, self.interface)
        return self.clients[address]

    def disconnect(self, address: str) -> None:
        """Close the connection to an address, if there is one."""
        client = self.clients.pop(address, None)
        if client is not None:
            client.close()

    def next_address(self, address: str) -> str:
        """Return the address to try after the given one."""
        if address not in self.addresses:
            return self.addresses[0]
        return self.addresses[(self.addresses.index(address) + 1) % len(self.addresses)]

    def close(self) -> None:
        """Close all connections."""
        for address in list(self.clients):
            self.disconnect(address)
