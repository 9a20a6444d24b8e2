"""A stand-in for a model replica: event streams, reports and orders."""

from __future__ import annotations

import asyncio
import json

from lab.upstream import answer


def report(upstream, orders=0):
    """Return the bytes of the answer to a report call."""
    body = json.dumps(
        {
            "stage": "both",
            "models": upstream.models,
            "busy": False,
            "born": upstream.born,
            "sequence": orders,
            "waiting": 0,
            "running": upstream.busy,
            "kv_used": 0,
            "kv_total": 67574,
            "handles": 0,
        }
    ).encode()
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(data):
    """Return a chunk of a body in chunked encoding."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_head(upstream, request, version=1):
    """Return the head of an event stream."""
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {request.id}", f"Server-Stamp: {upstream.stamp()}"]
    lines += ["Content-Type: text/event-stream", f"Weight-Versions: {version}"]
    lines += ["Transfer-Encoding: chunked", "", ""]
    return "\r\n".join(lines).encode()


def event(number, data):
    """Return one event."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def parse_events(body):
    """Return the events of a body as (id, data); id is None where there is none."""
    found = []
    for block in body.decode().split("\n\n"):
        if not block.strip():
            continue
        number, lines = None, []
        for line in block.split("\n"):
            name, _, value = line.partition(":")
            if name == "id":
                number = int(value)
            elif name == "data":
                lines.append(value.removeprefix(" "))
        found.append((number, "\n".join(lines)))
    return found


async def handle_management(upstream, request, writer):
    """Answer a report or an order; return whether the request was one."""
    if request.target == "/api/report":
        writer.write(report(upstream))
        return True
    if request.target == "/api/order":
        writer.write(answer("400 Bad Request", request.id))
        return True
    return False


def abort(writer):
    """Reset a channel, as a replica does that ends."""
    import socket
    import struct

    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def pause(seconds):
    """Wait between two events."""
    await asyncio.sleep(seconds)
