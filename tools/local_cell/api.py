"""HTTP client for callers, operators and tests."""

import dataclasses
import http.client
import json
import socket
from typing import Any, Optional

OPERATOR_TOKEN = "local"


@dataclasses.dataclass(frozen=True)
class Address:
    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class Response:
    """Result of a call. Status 0 (NOT_CONNECTED): the connection failed, so no
    request was sent. Status -1 (ABORTED): the request was sent, but no response
    arrived."""

    status: int
    body: Any = None


NOT_CONNECTED = 0
ABORTED = -1


def call(address, method, path, body: Optional[dict] = None, timeout_s=90.0,
         token: Optional[str] = None):
    """Makes one call on a new connection. Network errors do not raise; they are
    reported in the status."""
    connection = http.client.HTTPConnection(address.host, address.port,
                                            timeout=timeout_s)
    try:
        connection.connect()
    except OSError:
        return Response(NOT_CONNECTED)
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    text = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, text, headers)
        answer = connection.getresponse()
        raw = answer.read()
    except (OSError, http.client.HTTPException, socket.timeout):
        return Response(ABORTED)
    finally:
        connection.close()
    try:
        return Response(answer.status, json.loads(raw) if raw else None)
    except ValueError:
        return Response(answer.status, raw.decode("utf-8", "replace"))


def operate(address, method, path, body=None, timeout_s=10.0):
    """Makes one call with the operator token."""
    return call(address, method, path, body, timeout_s, OPERATOR_TOKEN)
