"""The platform's path from clients to one VM, as a TCP proxy. It falls silent when the VM loses power."""

import asyncio


class Gate:
    def __init__(self, port):
        self.target = port
        self.dark = False
        self.servers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def lose_power(self):
        """Open connections fall silent for good; new ones are not served until `return_power`."""
        self.dark = True
        for writer in self.servers:
            writer.transport.abort()

    def return_power(self):
        self.dark = False

    async def _forward(self, reader, writer):
        if self.dark:
            await self._hang(reader)
            writer.close()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.servers.add(server_writer)
        up = asyncio.create_task(self._copy(reader, server_writer))
        down = asyncio.create_task(self._copy(server_reader, writer))
        done, _ = await asyncio.wait([up, down], return_when=asyncio.FIRST_COMPLETED)
        if down in done and down.result() == "reset" and self.dark:
            # The VM has no power: nobody tells the client.
            up.cancel()
            await asyncio.wait([up])
            await self._hang(reader)
        elif down in done and down.result() == "reset":
            writer.transport.abort()
        up.cancel()
        down.cancel()
        self.servers.discard(server_writer)
        for one in (writer, server_writer):
            one.close()

    @staticmethod
    async def _hang(reader):
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            return "reset"
        return "reset" if self.dark else "end"
