"""The fixture of a whole deployment reports why a process fails to start."""

from __future__ import annotations

import socket

import pytest

from tests import platform_site


async def test_a_port_in_use_is_reported_at_once(tmp_path, monkeypatch):
    port = platform_site.free_port("127.0.0.3")
    with socket.socket() as listener:
        listener.bind(("127.0.0.3", port))
        listener.listen()
        monkeypatch.setattr(platform_site, "free_port", lambda _: port)
        async with platform_site.Site(tmp_path) as site:
            with pytest.raises(OSError, match="address already in use"):
                await site.wait_until_ready()
