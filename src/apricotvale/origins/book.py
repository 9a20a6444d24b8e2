"""The replicated record of the origins of streams."""

from __future__ import annotations

import hashlib

from attrs import define, field, frozen

from apricotvale.discovery import Origin
from apricotvale.routes import Route

KEY_BYTES = 16
# Characters of the identity of a request that are kept; they only guard against mistakes.
REQUEST_CHARS = 16


@frozen
class StreamRecord:
    """The origin of one stream.

    :param key: identifies the stream, as returned by `stream_key`.
    :param request: begin of the identity of the request, which all of its submissions share.
    :param origin: None if it is not known.
    :param attempt: number of the record among those of the same stream.
    """

    key: str
    request: str
    origin: Origin | None = None
    attempt: int = 1


@frozen
class UsualOrigins:
    """The usual origins by host and path prefix, as of a position."""

    position: int
    by_route: dict[str, Origin]


@define
class OriginBookState:
    """The record, as stored in snapshots.

    A stream without a record began at the usual origin of its request, so that streams need a
    record only while several versions serve, or after a route has changed its service.

    :param position: log index of the last change of `usual`.
    :param usual: usual origin, by host and path prefix. It holds for the requests below the prefix
        whatever the routes are, so that a change of routes changes nothing for their streams.
    :param origins: the origins that `recent` and `former` refer to by index.
    :param recent: index of the origin, -1 if it is not known, request and attempt of the streams
        recorded since the last turn, by key; `former` holds those before it.
    """

    position: int = 0
    usual: dict[str, Origin] = field(factory=dict)
    origins: list[Origin] = field(factory=list)
    recent: dict[str, tuple[int, str, int]] = field(factory=dict)
    former: dict[str, tuple[int, str, int]] = field(factory=dict)


class OriginBook:
    """Operations on the replicated record."""

    def __init__(self, state: OriginBookState) -> None:
        self.state = state

    @property
    def is_empty(self) -> bool:
        """Return whether no stream is recorded."""
        return not (self.state.recent or self.state.former)

    def record(self, record: StreamRecord) -> None:
        """Record the origin of a stream; a later attempt replaces an earlier one.

        A record that was sent again may be committed after those of later attempts.
        """
        known = self.find(record.key)
        if known is not None and known.attempt > record.attempt:
            return
        origins = self.state.origins
        if record.origin is None:
            index = -1
        elif record.origin in origins:
            index = origins.index(record.origin)
        else:
            index = len(origins)
            origins.append(record.origin)
        self.state.recent[record.key] = (index, record.request, record.attempt)

    def find(self, key: str) -> StreamRecord | None:
        """Return the record of a stream, None without one."""
        known = self.state.recent.get(key) or self.state.former.get(key)
        if known is None:
            return None
        index, request, attempt = known
        origin = self.state.origins[index] if index >= 0 else None
        return StreamRecord(key, request, origin, attempt)

    def turn(self) -> None:
        """Forget the streams that were recorded before the last turn."""
        state = self.state
        state.former, state.recent = state.recent, {}
        if self.is_empty:
            state.origins = []

    def replace_usual(
        self, prefix: str, former: Origin | None, origin: Origin | None, position: int
    ) -> bool:
        """Replace the usual origin of a prefix; return whether it was replaced.

        It is not replaced if `former` is no longer its usual origin. Nor is one added below a
        prefix that has one: unrecorded streams below both began at that one.

        :param former: the usual origin until now, None without one; `origin` likewise from now on.
        """
        usual = self.state.usual
        if usual.get(prefix) != former or former == origin:
            return False
        if former is None and usual_origin(usual, prefix) is not None:
            return False
        if origin is None:
            del usual[prefix]
        else:
            usual[prefix] = origin
        self.state.position = position
        return True


def usual_origin(usual: dict[str, Origin], location: str) -> Origin | None:
    """Return the usual origin of the longest prefix of a location, None if it has none.

    :param usual: usual origin, by prefix; each prefix ends with a slash.
    :param location: host and path, as returned by `request_location`.
    """
    end = location.rfind("/")
    while end >= 0:
        origin = usual.get(location[: end + 1])
        if origin is not None:
            return origin
        end = location.rfind("/", 0, end)
    return None


def stream_key(caller: str, stream_id: str) -> str:
    """Return the key of a stream.

    The hash is cryptographic, so that no caller can make an id with the key of another stream.

    :param caller: customer that sent the request, empty without customers.
    :param stream_id: id of the submission that brought the first event.
    """
    text = f"{len(caller)} {caller} {stream_id}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def route_prefix(route: Route) -> str:
    """Return the host and path prefix that a route matches."""
    return f"{route.host.lower()}{route.prefix}"


def request_location(host: str, target: str) -> str:
    """Return the host and path of a request.

    :param target: path and query.
    """
    return f"{host.lower()}{target.partition('?')[0]}"
