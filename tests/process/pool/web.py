"""A small HTTP/1.1 server and client on asyncio, for the stand-ins and the load
generator."""

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


def encode(value):
    return value if isinstance(value, bytes) else json.dumps(value).encode()


class Server:
    """Calls `handle(method, path, query, headers, body)` for each request. The handler
    returns a status and a value that is sent as JSON, or bytes that are sent as they
    are."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.connections = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), headers, body = message
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                value = json.loads(body) if body else {}
                status, answer = await self.handle(method, path, query, headers, value)
                data = encode(answer)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (
            DropConnection,
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def abort_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.abort_connections()


async def fetch_text(address, path, timeout=2.0):
    """Returns the body of a GET as text; empty if there was no response."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            host = address[0]
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            message = await read_message(reader)
            return "" if message is None else message[2].decode()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return ""
    finally:
        if writer is not None:
            writer.close()


async def call_json(
    address, method, path, value, headers=None, timeout=10.0, source=None
):
    """Returns the status and the JSON of the response, or None in place of another
    body; status 0 if there was no response."""
    host, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=(source, 0) if source else None
            )
            data = encode(value)
            fields = {"Host": host, "Content-Length": str(len(data)), **(headers or {})}
            text = "".join(f"{name}: {field}\r\n" for name, field in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            _, headers, body = message
            # Refusals of requests that a process has not read whole are plain text.
            is_json = headers.get("content-type", "").startswith("application/json")
            return int(message[0][1]), json.loads(body) if body and is_json else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
