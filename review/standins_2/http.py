"""Small HTTP/1.1 client and server over asyncio, for the stand-ins of the review's cases."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    LimitOverrunError,
    open_connection,
    start_server,
    wait_for,
)
from json import dumps, loads

CONNECTION_ERRORS = (OSError, IncompleteReadError, LimitOverrunError, ValueError, TimeoutError)
REASON = {200: "OK", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}


async def read_message(reader):
    """Return the first line, the headers and the body of a request or a response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def call(method, host, port, path, *, body=None, headers=None, timeout_s=3.0):
    """Send a request on a new connection; return (status, JSON), or (0, None) if none came."""
    data = b"" if body is None else body if isinstance(body, bytes) else dumps(body).encode()
    fields = {"Host": f"{host}:{port}", "Content-Length": str(len(data))}
    fields.update({"Content-Type": "application/json", "Connection": "close", **(headers or {})})
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]

    async def exchange():
        reader, writer = await open_connection(host, port)
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        first_line, _, answer = await wait_for(exchange(), timeout_s)
    except CONNECTION_ERRORS:
        return 0, None
    try:
        return int(first_line.split()[1]), loads(answer) if answer else None
    except ValueError:
        return int(first_line.split()[1]), None


async def serve(host, port, handle):
    """Serve ``async handle(method, path, headers, body) -> (status, JSON)`` with keep-alive.

    A status of None closes the connection without an answer.
    """

    async def connected(reader, writer):
        try:
            while True:
                first_line, headers, body = await read_message(reader)
                method, path, _ = first_line.split()
                status, answer = await handle(method, path, headers, body)
                if status is None:
                    return
                data = dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} {REASON.get(status, 'Error')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (*CONNECTION_ERRORS, CancelledError):
            return
        finally:
            writer.close()

    return await start_server(connected, host, port)
