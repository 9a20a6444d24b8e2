"""Links between the VMs of a soak, which can be cut: one proxy for each pair of VMs."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from attrs import define, field

CHUNK_BYTES = 65536
# Addresses of proxies begin here; the number of VMs is less than their distance.
FIRST_HOST = 100
HOST_STEP = 10


@define
class Link:
    """The connections from one VM to the internal port of another.

    Data on a link that is cut is held up; it arrives when the link is whole again.
    """

    host: str
    target: str
    port: int
    whole: asyncio.Event = field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    tasks: set = field(factory=set)

    async def open(self):
        """Listen; a link whose target does not run refuses connections."""
        if self.server is None:
            self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        target = None
        try:
            await self.whole.wait()
            target_reader, target = await asyncio.open_connection(self.target, self.port)
            ways = (self.pipe(reader, target), self.pipe(target_reader, writer))
            await asyncio.wait(
                [asyncio.create_task(way) for way in ways], return_when=asyncio.FIRST_COMPLETED
            )
        except OSError:
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            for end in (writer, target):
                if end is not None:
                    end.transport.abort()

    async def pipe(self, reader, writer):
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
        # The end of a connection does not cross a link that is cut either.
        await self.whole.wait()


@define
class Links:
    """All links of a site, by the names of the VMs at both ends."""

    links: dict = field(factory=dict)

    def add_all(self, site, port):
        for number, vm in enumerate(site.vms):
            for other, target in enumerate(site.controls):
                if vm is not target:
                    host = f"{site.network}.{FIRST_HOST + HOST_STEP * number + other}"
                    link = self.links[vm.name, target.name] = Link(host, target.ip, port)
                    link.whole.set()

    def hosts_from(self, vm):
        """Return the addresses to connect to, by the addresses that the VM knows."""
        return {link.target: link.host for (name, _), link in self.links.items() if name == vm.name}

    def find(self, *names):
        """Return the links of a VM, or those between two, in both directions."""
        return [link for ends, link in self.links.items() if set(names) <= set(ends)]

    async def open_to(self, vm):
        for (_, target), link in self.links.items():
            if target == vm.name:
                await link.open()

    def close_to(self, vm):
        for (_, target), link in self.links.items():
            if target == vm.name:
                link.close()

    def close(self):
        for link in self.links.values():
            link.close()
            for task in link.tasks:
                task.cancel()
