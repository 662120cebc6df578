"""A TCP proxy on the loopback network that can delay, block or reset traffic."""

import asyncio

UP, DOWN = 0, 1
CHUNK = 64 << 10


class Proxy:
    """Forwards connections to one address. `delay_s` applies to both directions. A
    blocked direction holds its bytes back until it is restored."""

    def __init__(self, host, port, target):
        self.address = (host, port)
        self.target = target
        self.delay_s = 0.0
        self.healed = [asyncio.Event(), asyncio.Event()]
        self.writers = set()
        self.server = None
        for event in self.healed:
            event.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def stop(self):
        self.heal()
        if self.server is not None:
            self.server.close()
        self.reset()

    def cut(self, *directions):
        for direction in directions:
            self.healed[direction].clear()

    def heal(self):
        self.delay_s = 0.0
        for event in self.healed:
            event.set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        pumps = [
            asyncio.ensure_future(self.pump(reader, up_writer, UP)),
            asyncio.ensure_future(self.pump(up_reader, writer, DOWN)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            # Bytes that the other side sent before it closed are still delivered.
            await asyncio.wait(pumps, timeout=0.05)
        except asyncio.CancelledError:
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            self.writers -= {writer, up_writer}
            writer.close()
            up_writer.close()

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(CHUNK):
                await asyncio.sleep(self.delay_s)
                await self.healed[direction].wait()
                writer.write(data)
                await writer.drain()
            await self.healed[direction].wait()
        except (ConnectionError, RuntimeError):
            pass
