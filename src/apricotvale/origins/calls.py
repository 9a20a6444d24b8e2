"""Calls of entries that concern the origins of streams."""

from __future__ import annotations

from attrs import frozen

from apricotvale.discovery import Origin
from apricotvale.origins.book import StreamRecord


@frozen
class RecordOrigins:
    """Record the origins of streams before their first events are passed on."""

    streams: list[StreamRecord]


@frozen
class FindOrigin:
    """Ask which origin a stream has.

    :param route: host and path of the request that goes on with it.
    :param key: key of the stream, empty if its caller does not name it.
    :param request: begin of the identity of the request that goes on with it.
    """

    route: str
    key: str = ""
    request: str = ""


@frozen
class OriginFound:
    """The origin of a stream, None if it cannot be known.

    :param is_other: whether the stream is that of another request.
    """

    origin: Origin | None = None
    is_other: bool = False
