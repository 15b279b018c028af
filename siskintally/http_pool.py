"""HTTP/1.1 client with a connection pool for one address, based on h11 and anyio streams.

A call takes a quarter of the processor time of a call with httpx. This matters for a leader, which
makes hundreds of calls a second.

>>> from siskintally.http_pool import HttpPool
>>> HttpPool(host="127.0.0.1", port=80).idle_count
0
"""

from ipaddress import ip_address
from re import compile as compile_pattern
from select import POLLIN, poll

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    aclose_forcefully,
    connect_tcp,
    fail_after,
)
from anyio.abc import SocketAttribute
from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)
from h11 import Connection as Protocol

from siskintally.errors import (
    BadRequestError,
    ConnectionLostError,
    OutcomeUnknownError,
    UnreachableError,
)

READ_BYTES = 65536
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 8
MAX_PORT = 65535
CONNECTION_ERRORS = (
    OSError,
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    RemoteProtocolError,
)
# Errors for an address that cannot be connected to, and for a header that cannot be written.
# connect_tcp wraps those of the connection attempt, except OSError, in a group.
INVALID_CALL_ERRORS = (ExceptionGroup, LocalProtocolError, OverflowError, ValueError)
_ADDRESS_PATTERN = compile_pattern(r"([0-9A-Fa-f.:]+):([0-9]{1,5})")


def parse_address(address):
    """Return the host and the port of ``host:port``.

    >>> parse_address("10.0.0.9:80")
    ('10.0.0.9', 80)

    :raises BadRequestError: the host is no IP address, or the port is out of range.
    """
    found = _ADDRESS_PATTERN.fullmatch(address)
    host, port = found.groups() if found else ("", "0")
    try:
        ip_address(host)
    except ValueError:
        host = ""
    if not host or not 1 <= int(port) <= MAX_PORT:
        raise BadRequestError(f"address = {address[:40]!r}: expected IP address:port")
    return host, int(port)


class HttpReply:
    """A complete response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class _Connection:
    __slots__ = ("protocol", "request_count", "stream")

    def __init__(self, *, stream):
        self.stream = stream
        self.protocol = Protocol(CLIENT)
        self.request_count = 0


class HttpPool:
    """Pool of connections to one address; each carries one request at a time.

    :param host: IP address.
    """

    __slots__ = ("_host", "_idle", "_port", "opened_count")

    def __init__(self, *, host, port):
        self._host = host
        self._port = port
        self._idle = []
        self.opened_count = 0

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self._idle)

    async def request(self, method, path, *, headers=(), body=b"", timeout, check_peer=None):
        """Send a request and return the :class:`HttpReply`.

        :param headers: pairs of strings.
        :param timeout: seconds for the exchange, and again for the set-up of a new connection.
        :param check_peer: ``async check_peer(exchange)`` that is called once for each new
            connection before its first request; ``await exchange(method, path, headers=,
            body=)`` sends a request on that connection and returns the reply. An error that it
            raises ends the connection, and the request is not sent. A reply that it returns is
            that of the request, which is not sent either.
        :raises UnreachableError: the request was certainly not sent.
        :raises ConnectionLostError: the connection was lost, or the response was invalid or too
            large, after (part of) the request was sent.
        :raises OutcomeUnknownError: the timeout expired after (part of) the request was sent.
        """
        connection = await self._take_idle()
        reply = None
        if connection is None:
            connection, reply = await self._set_up(check_peer, timeout)
        if reply is None:
            reply = await self._exchange(connection, timeout, method, path, headers, body)
        await self._release(connection)
        return reply

    async def _set_up(self, check_peer, timeout):
        """Open and check a connection; return it, and the reply if the check has given one.

        A check without a reply counts as a request without one, so that a slow process repeats it
        at the same peer. The idle connections stay open, or it would open ever more.
        """
        connection = None
        try:
            with fail_after(timeout):
                self.opened_count += 1
                connection = _Connection(stream=await connect_tcp(self._host, self._port))
                reply = await self._check(connection, check_peer)
        except (TimeoutError, *INVALID_CALL_ERRORS, *CONNECTION_ERRORS) as error:
            await self._close(connection)
            if connection is None or isinstance(error, LocalProtocolError):
                raise UnreachableError(self._describe(error)) from error
            if isinstance(error, TimeoutError):
                raise OutcomeUnknownError(self._describe(error)) from error
            raise ConnectionLostError(self._describe(error)) from error
        except BaseException:
            await self._close(connection)
            raise
        return connection, reply

    async def _check(self, connection, check_peer):
        """Check the peer of a connection, which stays the same process until it is closed."""
        if check_peer is None:
            return None

        async def exchange(method, path, *, headers=(), body=b""):
            data = self._encode_request(connection, method, path, headers, body)
            await connection.stream.send(data)
            return await _receive_reply(connection)

        return await check_peer(exchange)

    async def _exchange(self, connection, timeout, method, path, headers, body):
        sent = False
        try:
            with fail_after(timeout):
                data = self._encode_request(connection, method, path, headers, body)
                sent = True
                await connection.stream.send(data)
                return await _receive_reply(connection)
        except INVALID_CALL_ERRORS as error:
            await self._close(connection)
            if sent:
                raise ConnectionLostError(self._describe(error)) from error
            raise UnreachableError(self._describe(error)) from error
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            await self._close(connection)
            # The same fault may affect the idle connections, and each of them would cost another
            # timeout.
            await self.close()
            if isinstance(error, TimeoutError):
                raise OutcomeUnknownError(self._describe(error)) from error
            raise ConnectionLostError(self._describe(error)) from error
        except BaseException:
            await self._close(connection)
            raise

    def _describe(self, error):
        return f"{self._host}:{self._port}: {type(error).__name__} {error}"

    async def _take_idle(self):
        """Return an idle connection, None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if not _is_stale(connection):
                return connection
            await self._close(connection)
        return None

    def _encode_request(self, connection, method, path, headers, body):
        all_headers = [
            ("host", f"{self._host}:{self._port}"),
            ("content-length", str(len(body))),
            *headers,
        ]
        protocol = connection.protocol
        if protocol.our_state is DONE:
            protocol.start_next_cycle()
        data = protocol.send(Request(method=method, target=path, headers=all_headers))
        if body:
            data += protocol.send(Data(data=body))
        return data + protocol.send(EndOfMessage())

    async def _release(self, connection):
        # In any other state the peer has asked to close the connection.
        is_reusable = connection.protocol.our_state is DONE
        if not is_reusable or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            await self._close(connection)
            return
        connection.request_count += 1
        self._idle.append(connection)

    async def _close(self, connection):
        if connection is not None:
            # Skip the shutdown handshake, which would wait for an unresponsive peer.
            await aclose_forcefully(connection.stream)

    async def close(self):
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await self._close(connection)


def _is_stale(connection):
    """Return whether the peer has closed an idle connection or sent unsolicited data."""
    poller = poll()
    poller.register(connection.stream.extra(SocketAttribute.raw_socket).fileno(), POLLIN)
    return bool(poller.poll(0))


async def _receive_reply(connection):
    protocol = connection.protocol
    status, headers, chunks, size = 0, (), [], 0
    while True:
        event = protocol.next_event()
        if event is NEED_DATA:
            protocol.receive_data(await connection.stream.receive(READ_BYTES))
        elif isinstance(event, Response):
            status, headers = event.status_code, event.headers
        elif isinstance(event, Data):
            size += len(event.data)
            if size > MAX_RESPONSE_BYTES:
                raise RemoteProtocolError("response too large")
            chunks.append(bytes(event.data))
        elif isinstance(event, EndOfMessage):
            return HttpReply(status=status, headers=headers, body=b"".join(chunks))
        elif isinstance(event, ConnectionClosed):
            raise EndOfStream
