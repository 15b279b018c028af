"""HTTP server of a daemon: a plain ASGI app that hypercorn serves in the daemon's event loop.

>>> from siskintally.http_server import HttpRequest
>>> HttpRequest(method="GET", path="/a", query="x=1", header_items=[], body=b"").target
'/a?x=1'
"""

from abc import ABC, abstractmethod
from functools import partial
from json import dumps

from anyio import create_task_group
from hypercorn.asyncio import serve
from hypercorn.config import Config

from siskintally.codes import Code
from siskintally.errors import SiskintallyError
from siskintally.log import get_logger

MAX_BODY_BYTES = 1 << 20
# A body over the limit is read and discarded up to this size.
MAX_DISCARDED_BYTES = 8 << 20
KEEP_ALIVE_TIMEOUT_S = 30.0
# h11 refuses larger request heads with status 400.
MAX_HEAD_BYTES = 32 * 1024

log = get_logger("http")


class TooLargeError(SiskintallyError):
    """The request body is over the size limit."""

    code = Code.TOO_LARGE


class HttpRequest:
    """A complete request.

    :param path: as received, percent-encoded.
    :param header_items: list of ``(lower-case name, value)``.
    """

    __slots__ = ("body", "header_items", "headers", "method", "path", "peer", "query")

    def __init__(self, *, method, path, query, header_items, body, peer=""):
        self.method = method
        self.path = path
        self.query = query
        self.header_items = header_items
        self.headers = dict(header_items)
        self.body = body
        self.peer = peer

    @property
    def target(self):
        """Path with query."""
        return f"{self.path}?{self.query}" if self.query else self.path


class HttpResponse:
    """A complete response.

    :param headers: list of ``(name, value)`` strings.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status, body=b"", headers=()):
        self.status = status
        self.body = body
        self.headers = headers


def json_response(status, fields, headers=()):
    """Return a response with a JSON body."""
    body = dumps(fields).encode()
    return HttpResponse(
        status=status, body=body, headers=[("content-type", "application/json"), *headers]
    )


def error_response(status, code, message):
    """Return a JSON error response with the result code in the body and in siskintally-code."""
    fields = {"code": int(code), "message": message}
    return json_response(status, fields, headers=[("siskintally-code", str(int(code)))])


class HttpApp(ABC):
    """ASGI app whose handlers get complete requests and return complete responses."""

    __slots__ = ()
    max_body_bytes = MAX_BODY_BYTES

    @abstractmethod
    async def handle(self, request):
        """Return the :class:`HttpResponse` to a request, or None to abort the response."""

    def error_to_response(self, error):
        """Return the :class:`HttpResponse` for a refused request."""
        return error_response(413 if error.code == Code.TOO_LARGE else 400, error.code, str(error))

    async def __call__(self, scope, receive, send):
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope, receive, send):
        try:
            request = await _read_request(scope, receive, self.max_body_bytes)
            if request is None:
                return
            response = await self.handle(request)
        except SiskintallyError as error:
            response = self.error_to_response(error)
        except Exception as error:  # a fault in one request must not end the daemon
            log.exception("request failed", path=scope.get("path", ""))
            response = error_response(500, Code.INTERNAL, type(error).__name__)
        if response is not None:
            await respond(send, response)


async def respond(send, response):
    """Send a response."""
    headers = [(name.lower().encode(), value.encode("latin-1")) for name, value in response.headers]
    headers.append((b"content-length", str(len(response.body)).encode()))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body, "more_body": False})


async def _lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_request(scope, receive, max_body_bytes):
    items = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]]
    body = await _read_body(receive, max_body_bytes)
    if body is None:
        return None
    client = scope.get("client")
    return HttpRequest(
        method=scope["method"],
        path=scope["raw_path"].decode("latin-1"),
        query=scope["query_string"].decode("latin-1"),
        header_items=items,
        body=body,
        peer=client[0] if client else "",
    )


async def _read_body(receive, max_body_bytes):
    chunks = []
    size = 0
    more = True
    # The rest of a body over the limit is read and discarded, because a client whose connection is
    # closed while it writes doesn't see the answer.
    while more and size <= MAX_DISCARDED_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunk = message.get("body", b"")
        size += len(chunk)
        if size <= max_body_bytes:
            chunks.append(chunk)
        more = message.get("more_body", False)
    if size > max_body_bytes:
        raise TooLargeError(f"body: expected at most {max_body_bytes} bytes")
    return b"".join(chunks)


async def serve_http(app, *, address, stop_event, graceful_s):
    """Serve an app until an event is set, then finish the requests in progress.

    :param stop_event: anyio Event that stops the server.
    :param graceful_s: longest time in seconds to finish the requests in progress.
    """
    config = Config()
    config.bind = [address]
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = graceful_s
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.include_server_header = False
    config.include_date_header = False
    # Runs in its own task: on Python 3.11 hypercorn's task group leaves a pending cancellation
    # count on its task, which would break the caller's cancel scopes.
    async with create_task_group() as tasks:
        tasks.start_soon(partial(serve, app, config, shutdown_trigger=stop_event.wait, mode="asgi"))
