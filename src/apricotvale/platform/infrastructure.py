"""HTTP client of the infrastructure, for the calls that only the holder of a duty makes."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ClientRequest

from apricotvale.duties.reporting import CallResult, Outcome
from apricotvale.http_client import make_connector
from apricotvale.platform import names
from apricotvale.platform.connections import make_socket

CALL_TIMEOUT_S = 1.0
MAX_DETAIL_CHARACTERS = 200
OUTCOME_BY_STATUS = {
    200: Outcome.ACCEPTED,
    409: Outcome.FENCED_OFF,
    429: Outcome.BUSY,
}
# SO_LINGER with a time of 0: closing discards data that the kernel has not sent yet. Otherwise a
# call that timed out could be delivered after a call of the next holder.
DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)


class LeaseLostError(Exception):
    """The process may not make the call any more."""


class CheckedRequest(ClientRequest):
    """A request that asks for permission when its connection is ready, just before it is sent.

    A check before the connection is made would be outdated if the process is frozen meanwhile.
    """

    may_send: Callable[[], bool]

    async def send(self, conn: Any) -> Any:
        """Send the request.

        :raises LeaseLostError: if it may not be sent; nothing is written then.
        """
        if not self.may_send():
            raise LeaseLostError
        return await super().send(conn)


def make_discarding_socket(address: tuple) -> socket.socket:
    """Create a socket that discards unsent data when it is closed."""
    sock = make_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_ON_CLOSE)
    return sock


class InfrastructureClient:
    """HTTP client of the infrastructure; each call has a connection of its own.

    :param address: host:port of the infrastructure.
    """

    def __init__(self, address: str) -> None:
        self.url = f"http://{address}{names.USAGE_PATH}"

    async def report_usage(
        self,
        window: int,
        counts: dict[str, int],
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> CallResult:
        """Report the counts of a window; a repeated report has the same bytes."""
        request_class = type(
            "UsageRequest", (CheckedRequest,), {"may_send": staticmethod(may_send)}
        )
        connector = make_connector(socket_factory=make_discarding_socket, force_close=True)
        headers = {
            names.LEASE_HOLDER: holder,
            names.FENCING_TOKEN: str(token),
            "Content-Type": "application/json",
        }
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                aiohttp.ClientSession(connector=connector, request_class=request_class) as session,
            ):
                # aiohttp would itself send a request with an idempotent method again.
                session._retry_connection = False
                async with session.post(
                    self.url,
                    data=format_usage(window, counts),
                    headers=headers,
                    allow_redirects=False,
                ) as response:
                    outcome = OUTCOME_BY_STATUS.get(response.status, Outcome.GARBLED)
                    return CallResult(outcome, f"status {response.status}")
        except LeaseLostError:
            return CallResult(Outcome.NOT_SENT)
        except TimeoutError:
            return CallResult(Outcome.TIMED_OUT)
        except (aiohttp.ClientConnectionError, OSError) as error:
            return CallResult(Outcome.UNREACHABLE, repr(error)[:MAX_DETAIL_CHARACTERS])
        except (aiohttp.ClientError, ValueError) as error:
            return CallResult(Outcome.GARBLED, repr(error)[:MAX_DETAIL_CHARACTERS])


def format_usage(window: int, counts: dict[str, int]) -> bytes:
    """Return the body of a report, the same bytes for the same counts."""
    document = {names.WINDOW_ID_FIELD: window, names.COUNTS_FIELD: counts}
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()
