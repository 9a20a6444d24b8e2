"""Callers that connect while a process still starts are served once it has started."""

from __future__ import annotations

import asyncio
import subprocess
import sys

import pytest
from aiohttp import web

import apricotvale
from apricotvale.daemons.runtime import HttpServer
from apricotvale.early_listener import open_listener
from scripts.ports import free_address


def settings_file(folder, text):
    path = folder / "settings.toml"
    path.write_text(text)
    return str(path)


async def test_a_caller_that_connects_during_the_start_is_answered(tmp_path):
    """Guards against refused connections for as long as the imports of a process take."""
    address = free_address()
    listener = open_listener(settings_file(tmp_path, f'requests = "{address}"\n'))
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")

    async def answer(request):
        return web.Response(text="answered")

    app = web.Application()
    app.router.add_get("/x", answer)
    async with HttpServer(app, address, listener=listener) as server:
        assert await asyncio.wait_for(reader.readline(), 3.0) == b"HTTP/1.1 200 OK\r\n"
        writer.close()
        await server.stop_accepting()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))


@pytest.mark.parametrize(
    "text",
    ["", 'requests = ""', 'requests = "nothing"', 'requests = "127.0.0.1:x"', "requests = 3", "["],
)
def test_without_a_usable_address_nothing_listens(tmp_path, text):
    assert open_listener(settings_file(tmp_path, text)) is None


def test_without_settings_nothing_listens(tmp_path):
    assert open_listener("") is None
    assert open_listener(str(tmp_path / "missing.toml")) is None


def test_an_address_in_use_is_left_to_the_start_of_the_process(tmp_path):
    path = settings_file(tmp_path, f'requests = "{free_address()}"')
    with open_listener(path):
        assert open_listener(path) is None


def test_the_module_that_listens_imports_no_large_library():
    """Guards against a port that opens late because of an import."""
    code = (
        "import sys, apricotvale.early_listener; "
        "print(*sorted({'asyncio', 'aiohttp', 'attrs', 'loguru', 'grpclib'} & set(sys.modules)))"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == ""


@pytest.mark.parametrize("name", apricotvale.__all__)
def test_public_names_are_imported_when_they_are_used(name):
    assert getattr(apricotvale, name).__name__ == name


def test_an_unknown_name_is_an_attribute_error():
    with pytest.raises(AttributeError):
        _ = apricotvale.unknown
