"""A TCP proxy on the loopback network that can delay, block or reset traffic."""

import asyncio

TO_TARGET, FROM_TARGET = 0, 1
CHUNK_BYTES = 64 << 10


class Proxy:
    """Forwards connections to one address. `delay_s` applies to both directions. A
    blocked direction holds its bytes back until it is restored."""

    def __init__(self, host, port, target):
        self.address = (host, port)
        self.target = target
        self.delay_s = 0.0
        self.restored = [asyncio.Event(), asyncio.Event()]
        self.writers = set()
        self.server = None
        for event in self.restored:
            event.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def stop(self):
        self.restore()
        if self.server is not None:
            self.server.close()
        self.reset_connections()

    def block(self, *directions):
        for direction in directions:
            self.restored[direction].clear()

    def restore(self):
        self.delay_s = 0.0
        for event in self.restored:
            event.set()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        forwarders = [
            asyncio.ensure_future(self.forward(reader, target_writer, TO_TARGET)),
            asyncio.ensure_future(self.forward(target_reader, writer, FROM_TARGET)),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
            # Bytes that the other side sent before it closed are still delivered.
            await asyncio.wait(forwarders, timeout=0.05)
        except asyncio.CancelledError:
            pass
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            self.writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def forward(self, reader, writer, direction):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                await self.restored[direction].wait()
                writer.write(data)
                await writer.drain()
            await self.restored[direction].wait()
        except (ConnectionError, RuntimeError):
            pass
