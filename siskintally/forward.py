"""HTTP client for endpoints; classifies each failure by whether the request may have run.

>>> from siskintally.forward import SendStatus
>>> SendStatus.NOT_SENT.value
'not sent'
"""

from enum import Enum
from hashlib import sha256
from ssl import PROTOCOL_TLS_CLIENT, SSLContext
from time import monotonic

from anyio import move_on_after
from httpx import (
    AsyncHTTPTransport,
    ConnectError,
    ConnectTimeout,
    HTTPError,
    InvalidURL,
    Limits,
    PoolTimeout,
    Request,
    TimeoutException,
)

ID_HEADER = "siskintally-request-id"
DIGEST_HEADER = "siskintally-digest"
# Less than the 5 s after which an idle connection must not be reused, and less than the keep-alive
# timeouts of common servers.
KEEPALIVE_EXPIRY_S = 4.0
CONNECT_TIMEOUT_S = 1.0
DEADLINE_PASSED = "no response before the deadline"
MAX_RESPONSE_BYTES = 1 << 20
NOT_FORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Endpoints have plain http URLs. Without a context, httpx loads the certificate authorities of the
# system for each endpoint: 41 ms of processor time in the event loop on a busy machine. This one
# trusts no authority.
_EMPTY_TLS_CONTEXT = SSLContext(PROTOCOL_TLS_CLIENT)


class SendStatus(Enum):
    """Outcome of an attempt: a complete response, no byte sent, or not known."""

    DONE = "done"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class SendResult:
    """Result of one attempt at an endpoint.

    :param headers: list of ``(name, value)``.
    :param reason: why there is no response.
    :param may_run: whether the endpoint may still be working on the request.
    :param unreachable: whether no connection to the endpoint could be made.
    """

    __slots__ = ("body", "headers", "may_run", "reason", "send_status", "status", "unreachable")

    def __init__(
        self,
        *,
        send_status,
        status=0,
        headers=(),
        body=b"",
        reason="",
        may_run=False,
        unreachable=False,
    ):
        self.send_status = send_status
        self.status = status
        self.headers = headers
        self.body = body
        self.reason = reason
        self.may_run = may_run
        self.unreachable = unreachable


class _BadResponseError(Exception):
    pass


class Forwarder:
    """HTTP client for one endpoint, with its connection pool.

    :param url: ``http://address:port``.
    :param connections: this entry's share of the endpoint's connections.
    """

    __slots__ = ("_host", "_transport", "_url")

    def __init__(self, *, url, connections):
        self._url = url
        self._host = url.partition("//")[2]
        self._transport = AsyncHTTPTransport(
            verify=_EMPTY_TLS_CONTEXT,
            limits=Limits(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            ),
        )

    async def close(self):
        """Close all connections."""
        await self._transport.aclose()

    async def send(self, *, request_id, method, target, headers, body, deadline):
        """Send a request, without retries.

        :param target: path with query.
        :param headers: list of ``(name, value)`` without hop-by-hop headers.
        :param deadline: monotonic time; the connection is closed if no response is complete then.
        :returns: a :class:`SendResult`.
        """
        remaining = deadline - monotonic()
        if remaining <= 0:
            return SendResult(send_status=SendStatus.NOT_SENT, reason="deadline passed")
        result = SendResult(send_status=SendStatus.UNKNOWN, reason=DEADLINE_PASSED, may_run=True)
        with move_on_after(remaining):
            try:
                request = self._request(request_id, method, target, headers, body, remaining)
            except (HTTPError, InvalidURL, ValueError) as error:
                return SendResult(send_status=SendStatus.NOT_SENT, reason=f"bad request: {error}")
            result = await self._exchange(request, request_id)
        return result  # noqa: RET504 - unchanged when the scope was cancelled

    def _request(self, request_id, method, target, headers, body, remaining):
        connect = min(CONNECT_TIMEOUT_S, remaining)
        timeout = {"connect": connect, "read": remaining, "write": remaining, "pool": connect}
        return Request(
            method,
            self._url + target,
            headers=[
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in (*headers, ("host", self._host), (ID_HEADER, request_id))
            ],
            content=body,
            extensions={"timeout": timeout},
        )

    async def _exchange(self, request, request_id):
        try:
            response = await self._transport.handle_async_request(request)
            try:
                _check_request_id(response, request_id)
                content = await _read_body(response)
            finally:
                # This closes the connection if the response was not read to its end.
                await response.aclose()
            _check_digest(response, content)
        except (ConnectError, ConnectTimeout) as error:
            return SendResult(
                send_status=SendStatus.NOT_SENT, reason=_describe_error(error), unreachable=True
            )
        except PoolTimeout as error:
            return SendResult(send_status=SendStatus.NOT_SENT, reason=_describe_error(error))
        except TimeoutException:
            return SendResult(send_status=SendStatus.UNKNOWN, reason=DEADLINE_PASSED, may_run=True)
        except (HTTPError, _BadResponseError) as error:
            return SendResult(
                send_status=SendStatus.UNKNOWN, reason=str(error) or type(error).__name__
            )
        return SendResult(
            send_status=SendStatus.DONE,
            status=response.status_code,
            headers=list(end_to_end_headers(_decode_headers(response.headers.raw))),
            body=content,
        )


def end_to_end_headers(headers):
    """Yield the headers to forward, without hop-by-hop headers, credentials and Host."""
    return ((name, value) for name, value in headers if name.lower() not in NOT_FORWARDED_HEADERS)


def _decode_headers(headers):
    return ((name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in headers)


def _check_request_id(response, request_id):
    if response.headers.get(ID_HEADER) != request_id:
        raise _BadResponseError("response of another request")


async def _read_body(response):
    chunks = []
    size = 0
    async for chunk in response.stream:
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise _BadResponseError(f"response over {MAX_RESPONSE_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def _check_digest(response, content):
    if response.headers.get(DIGEST_HEADER) != sha256(content).hexdigest():
        raise _BadResponseError("response with another digest")


def _describe_error(error):
    cause = error.__cause__ or error
    return f"{type(error).__name__}: {cause}" if str(cause) else type(error).__name__
