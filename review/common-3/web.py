"""A small HTTP/1.1 server and client on asyncio, for the stand-ins and the clients."""

import asyncio
import json
import urllib.parse


class DropConnection(Exception):
    """Raised by a handler to close the connection without a response."""


async def read_message(reader):
    """Returns the split first line, the headers with lower-case names, and the body;
    None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = (await reader.readline()).decode().strip()
        if not field:
            break
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().split(None, 2), headers, body


class Server:
    """Calls `handle(method, path, query, headers, body)` for each request. The handler
    returns a status and a value that is sent as JSON."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.connections = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while message := await read_message(reader):
                (method, target, _), headers, body = message
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                value = json.loads(body) if body else {}
                status, answer = await self.handle(method, path, query, headers, value)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (DropConnection, OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def stop(self):
        """Ends the server and resets its connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()


async def call(address, method, path, value=None, headers=None, timeout_s=10.0):
    """Returns the status and the JSON of the response; status 0 if there was none."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if value is None else json.dumps(value).encode()
            fields = {
                "Host": address[0],
                "Content-Type": "application/json",
                "Content-Length": str(len(data)),
                **(headers or {}),
            }
            text = "".join(f"{name}: {field}\r\n" for name, field in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            body = message[2]
            return int(message[0][1]), json.loads(body) if body else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
