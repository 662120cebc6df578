"""An HTTP/1.1 server and client on asyncio for the stand-ins."""

import asyncio
import json
import urllib.parse


async def read_message(reader):
    """Returns the parts of the first line, the headers with lower-case names and the
    body; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while field := (await reader.readline()).decode().strip():
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().split(None, 2), headers, body


class Server:
    """Calls `handle(method, path, query, headers, value)` for each request. The handler
    returns a status and a value that is sent as JSON."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=1024)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, _), headers, body = message
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                value = json.loads(body) if body else {}
                status, answer = await self.handle(method, path, query, headers, value)
                data = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


def encode_request(method, path, value, headers):
    data = json.dumps(value).encode() if value is not None else b""
    fields = {"Content-Type": "application/json", "Content-Length": len(data), **headers}
    head = "".join(f"{name}: {field}\r\n" for name, field in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data


async def call(
    address, method, path, value=None, headers=None, timeout_s=10.0, source=None
):
    """Makes a call over a new channel, from the host `source` if it is given. Returns
    the status and the JSON of the answer; status 0 if there was none. The channel is
    closed at the timeout."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, local_addr=(source, 0) if source else None
            )
            fields = {"Host": address[0], **(headers or {})}
            writer.write(encode_request(method, path, value, fields))
            message = await read_message(reader)
            if message is None:
                return 0, None
            return int(message[0][1]), json.loads(message[2]) if message[2] else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
