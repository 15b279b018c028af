"""A minimal HTTP/1.1 server and client for JSON bodies, on asyncio streams."""

import asyncio
import json

MAX_HEAD_BYTES = 64 * 1024


class Reply:
    """A response: ``status`` and the parsed JSON ``body`` (None if there is none)."""

    def __init__(self, status, body):
        self.status = status
        self.body = body


async def _read_head(reader):
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class Server:
    """Serves one address until it is aborted, as the kernel does for a process that is killed.

    :param handle: ``async handle(method, path, headers, body)`` that returns (status, body), or
        None to leave the request without an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=4 * 1024 * 1024, reuse_address=True
        )

    def abort(self):
        """Stop to listen and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await _read_head(reader)) is not None:
                first, headers = head
                method, path, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self._handle(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, fields = answer
                data = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, body=None, *, host=None, headers=None, timeout=1.0):
    """Send one request on a new connection; return a :class:`Reply`, None without an answer."""
    ip, _, port = address.rpartition(":")
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host or address}",
        f"Content-Length: {len(data)}",
    ]
    lines.append("Content-Type: application/json")
    lines.append("Connection: close")
    lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=MAX_HEAD_BYTES)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                return None
            first, reply_headers = head
            text = await reader.readexactly(int(reply_headers.get("content-length", "0")))
            return Reply(int(first.split(" ", 2)[1]), json.loads(text) if text else None)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
