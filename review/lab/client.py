"""A client: requests on kept or new channels."""

from __future__ import annotations

import asyncio
import secrets


class Response:
    """A response; `status` is None if the channel ended without a complete one."""

    def __init__(self, status=None, headers=None, body=b"", complete=False):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete = complete


async def read_response(reader, on_bytes=None):
    """Read one response."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response()
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int(await reader.readline(), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
                if on_bytes:
                    on_bytes(chunk[:-2])
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Response(status, headers, body)
    return Response(status, headers, body, True)


class Client:
    """A client of one entry. `address` is its own address, any one by default."""

    def __init__(self, site, entry, address=None):
        self.site, self.entry = site, entry
        self.own = (address, 0) if address else None

    async def send(
        self, path, body=b"", method="POST", host="desk.example", budget_ms=2000, fields=(), **more
    ):
        """Send a request on a new channel; return its id and the response."""
        request_id = more.get("request_id") or secrets.token_hex(8)
        record = self.site.record
        record.note(f"client sends {request_id} {method} {path} to {self.entry.name}")
        response = Response()
        try:
            async with asyncio.timeout(budget_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(
                    self.entry.ip, self.site.request_port, local_addr=self.own
                )
                try:
                    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
                    lines += [f"Request-Id: {request_id}", f"Deadline-Ms: {budget_ms}"]
                    lines += [f"{name}: {value}" for name, value in fields]
                    lines += [f"Content-Length: {len(body)}", "", ""]
                    writer.write("\r\n".join(lines).encode() + body)
                    response = await read_response(reader, more.get("on_bytes"))
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            record.note(f"client {request_id}: {error!r}")
        whole = "" if response.complete else " (not complete)"
        record.note(f"client gets {response.status} for {request_id}{whole}")
        return request_id, response


class Channel:
    """A kept channel of a client: one request after the other."""

    def __init__(self, site, entry):
        self.site, self.entry = site, entry
        self.reader = self.writer = None

    @property
    def is_open(self):
        return self.writer is not None and not self.reader.at_eof()

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.entry.ip, self.site.request_port
        )

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, path, body=b"", host="desk.example", budget_ms=2000):
        """Send a request; return its id and the response, and close if that says so."""
        request_id = secrets.token_hex(8)
        record = self.site.record
        record.note(f"client sends {request_id} POST {path} to {self.entry.name} (kept channel)")
        response = Response()
        try:
            async with asyncio.timeout(budget_ms / 1000 + 1.0):
                lines = [f"POST {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}"]
                lines += [f"Deadline-Ms: {budget_ms}", f"Content-Length: {len(body)}", "", ""]
                self.writer.write("\r\n".join(lines).encode() + body)
                response = await read_response(self.reader)
        except (OSError, TimeoutError) as error:
            record.note(f"client {request_id}: {error!r}")
        whole = "" if response.complete else " (not complete)"
        record.note(f"client gets {response.status} for {request_id}{whole}")
        if not response.complete or "close" in response.headers.get("connection", "").lower():
            self.close()
        return request_id, response
