"""The HTTP client for workers: the error of a failed call, and reuse of connections."""

from functools import partial

from anyio import create_task_group, create_tcp_listener, run, sleep, sleep_forever
from anyio.abc import SocketAttribute
from pytest import mark, raises

from siskintally.errors import ConnectionLostError, OutcomeUnknownError, UnreachableError
from siskintally.http_pool import HttpPool

OK_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ScriptedServer:
    """Answers each request with the next of some raw responses; None means no answer."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.connections = 0
        self.requests = []

    async def serve(self, stream):
        """Serve one connection."""
        self.connections += 1
        async with stream:
            while True:
                try:
                    self.requests.append(await stream.receive())
                except Exception:
                    return
                response = self.responses.pop(0)
                if response is None:
                    await sleep_forever()
                await stream.send(response)
                if b"close" in response:
                    return


class SlowServer(ScriptedServer):
    """Answers each request after a delay."""

    delay_s = 0.4

    async def serve(self, stream):
        """Serve one connection."""
        async with stream:
            while True:
                try:
                    self.requests.append(await stream.receive())
                except Exception:
                    return
                await sleep(self.delay_s)
                await stream.send(self.responses.pop(0))


def run_check(server, check):
    """Run a check with a pool that calls a server."""

    async def main():
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            pool = HttpPool(host="127.0.0.1", port=port)
            await check(pool)
            await pool.close()
            tasks.cancel_scope.cancel()

    run(main)


post = partial(HttpPool.request, method="POST", path="/x", body=b"{}", timeout=1.0)


def test_one_connection_carries_many_requests():
    """Guards against a new connection for each call to a worker."""
    server = ScriptedServer(OK_RESPONSE, OK_RESPONSE, OK_RESPONSE)

    async def check(pool):
        for _ in range(3):
            assert (await post(pool)).body == b"ok"

    run_check(server, check)
    assert server.connections == 1


def test_a_connection_that_the_peer_closed_is_not_used_again():
    """Guards against an unknown outcome for a call that was sent on a dead connection."""
    server = ScriptedServer(
        OK_RESPONSE.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"), OK_RESPONSE
    )

    async def check(pool):
        await post(pool)
        await sleep(0.05)
        assert (await post(pool)).status == 200

    run_check(server, check)
    assert server.connections == 2


def test_a_timeout_after_the_request_was_written_is_an_unknown_outcome():
    """Guards against a start that is reported as not sent though it may be carried out."""

    async def check(pool):
        with raises(OutcomeUnknownError):
            await post(pool, timeout=0.1)
        assert (await post(pool)).status == 200

    server = ScriptedServer(None, OK_RESPONSE)
    run_check(server, check)
    assert server.connections == 2


def test_a_timeout_on_one_connection_closes_the_idle_ones():
    """Guards against several dead connections that are detected one by one, a timeout each."""
    server = ScriptedServer(OK_RESPONSE, OK_RESPONSE, None, OK_RESPONSE)

    async def check(pool):
        async with create_task_group() as tasks:
            tasks.start_soon(post, pool)
            tasks.start_soon(post, pool)
        assert pool.idle_count == 2
        with raises(OutcomeUnknownError):
            await post(pool, timeout=0.1)
        assert pool.idle_count == 0
        assert (await post(pool)).status == 200

    run_check(server, check)
    assert server.connections == 3


def test_a_reset_connection_is_distinguished_from_a_timeout():
    """Guards against a worker that counts as unresponsive because a connection was reset."""

    async def check(pool):
        with raises(ConnectionLostError):
            await post(pool)

    run_check(ScriptedServer(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nclose"), check)


def test_a_refused_connection_is_provably_not_sent():
    """Guards against calls that are not retried though they were provably never sent."""

    async def main():
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        await listener.aclose()
        with raises(UnreachableError):
            await post(HttpPool(host="127.0.0.1", port=port))

    run(main)


@mark.parametrize("host", ["127.0.0.1", "a..b", "a\0b", "x" * 300])
def test_an_address_that_cannot_be_connected_to_is_provably_not_sent(host):
    """Guards against an error without a code, which ended the process of the leader."""

    async def main():
        with raises(UnreachableError):
            await post(HttpPool(host=host, port=99_999))

    run(main)


def test_a_header_that_cannot_be_written_is_provably_not_sent():
    """Guards against an error without a code for a worker whose id is no valid header value."""

    async def check(pool):
        with raises(UnreachableError):
            await post(pool, headers=(("x", "a\r\nb"),))
        assert (await post(pool)).status == 200

    run_check(ScriptedServer(OK_RESPONSE), check)


def test_a_broken_answer_is_an_unknown_outcome():
    """Guards against a truncated or malformed response that counts as an answer."""

    async def check(pool):
        for _ in range(2):
            with raises(OutcomeUnknownError):
                await post(pool, timeout=0.3)

    run_check(
        ScriptedServer(
            b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nclose", b"nonsense close\r\n"
        ),
        check,
    )


class CheckFailedError(Exception):
    """The error of a check."""


def make_check(*, delay_s=0.0, error=None, answers=False):
    """Return a check of the peer that sends one request, waits, and fails or answers."""

    async def check_peer(exchange):
        reply = await exchange("POST", "/check", body=b"{}")
        await sleep(delay_s)
        if error is not None:
            raise error
        return reply if answers else None

    return check_peer


def test_a_check_precedes_the_first_request_of_each_connection_only():
    """Guards against a request sent to a process that nobody has checked, and needless checks."""
    server = ScriptedServer(OK_RESPONSE, OK_RESPONSE, OK_RESPONSE)

    async def check(pool):
        for _ in range(2):
            await post(pool, check_peer=make_check())

    run_check(server, check)
    paths = [request.split()[1] for request in server.requests]
    assert paths == [b"/check", b"/x", b"/x"]


def test_a_request_is_not_sent_after_a_failed_check():
    """Guards against an order that reaches another process than it is meant for."""
    server = ScriptedServer(OK_RESPONSE)

    async def check(pool):
        with raises(CheckFailedError):
            await post(pool, check_peer=make_check(error=CheckFailedError()))
        assert pool.idle_count == 0

    run_check(server, check)
    assert [request.split()[1] for request in server.requests] == [b"/check"]


def test_a_check_that_answers_the_request_replaces_it():
    """Guards against two status polls where one says everything."""
    server = ScriptedServer(OK_RESPONSE, OK_RESPONSE)

    async def check(pool):
        for _ in range(2):
            assert (await post(pool, check_peer=make_check(answers=True))).body == b"ok"

    run_check(server, check)
    assert [request.split()[1] for request in server.requests] == [b"/check", b"/x"]


def test_the_set_up_of_a_connection_takes_nothing_from_the_timeout_of_its_request():
    """Guards against a busy process whose requests never get beyond the check."""
    server = SlowServer(OK_RESPONSE, OK_RESPONSE)

    async def check(pool):
        reply = await post(pool, timeout=1.5 * SlowServer.delay_s, check_peer=make_check())
        assert reply.body == b"ok"

    run_check(server, check)


def test_a_timeout_of_a_check_leaves_the_idle_connections_open():
    """Guards against a busy process that opens ever more connections, each with a check."""
    server = ScriptedServer(OK_RESPONSE, OK_RESPONSE, OK_RESPONSE)

    async def check(pool):
        async with create_task_group() as tasks:
            tasks.start_soon(post, pool)
            with raises(OutcomeUnknownError):
                await post(pool, timeout=0.1, check_peer=make_check(delay_s=5.0))
        assert pool.idle_count == 1

    run_check(server, check)
