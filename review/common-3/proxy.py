"""A TCP proxy on the loopback network that can reset a channel instead of forwarding an
answer."""

import asyncio

CHUNK_BYTES = 64 << 10


class Proxy:
    """Forwards connections to one address. While `resets_answers` is set, the channel is
    reset on both sides when the first bytes of an answer arrive."""

    def __init__(self, host, port, target, record):
        self.address = (host, port)
        self.target = target
        self.record = record
        self.resets_answers = False
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def stop(self):
        if self.server is not None:
            self.server.close()

    async def serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        forwarders = [
            asyncio.ensure_future(self.forward(reader, target_writer)),
            asyncio.ensure_future(self.answer(target_reader, writer)),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            for it in (writer, target_writer):
                if self.resets_answers:
                    it.transport.abort()
                else:
                    it.close()

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pass

    async def answer(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.resets_answers:
                    self.record(f"the channel to {self.target[0]} is reset")
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pass
