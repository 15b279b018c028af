"""Links: calls, failures, connections that deliver nothing, restarts of the peer."""

from functools import partial
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    create_connection,
    create_server,
    socket,
)
from subprocess import Popen
from sys import executable

import pytest
from anyio import create_task_group, current_time, fail_after, move_on_after, run, sleep
from trustme import CA

from siskintally.codes import Code
from siskintally.control_pb2 import ControlNotice
from siskintally.errors import (
    OutcomeUnknownError,
    RefusedError,
    UnreachableError,
    VersionConflictError,
)
from siskintally.link import TCP_KEEPALIVE_OPTIONS, Link, LinkServer, enable_tcp_keepalive
from siskintally.link_pool import LINK_POOL_TIMING
from siskintally.session import Handler
from siskintally.settings import Tls
from siskintally.wire_pb2 import ConfigState, ConfigWatch, Done, Hello, JobReport
from tests.forwarder import Forwarder
from tests.processes import free_ports

SECRET = "0123456789abcdef"


class Echo(Handler):
    """Answers configuration watches with the next version and refuses job reports."""

    async def handle_call(self, session, body):
        """Answer a call."""
        if isinstance(body, ConfigWatch):
            return ConfigState(version=body.known_version + 1)
        if isinstance(body, JobReport):
            raise VersionConflictError("taken")
        return Done()


def free_port():
    with socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def with_link(check, *, secret=SECRET, tls=None, client_tls=None):
    """Run ``await check(link)`` with a link to a server on loopback.

    :param secret: secret of the client; the server has ``SECRET``.
    """

    async def main():
        port = free_port()
        hello = Hello(name="a", cell="demo", incarnation="1")
        server = LinkServer(hello=hello, secret=SECRET, handler=Echo(), tls=tls)
        link = Link(
            host="127.0.0.1",
            port=port,
            hello=hello,
            secret=secret,
            handler=Echo(),
            tls=client_tls,
        )

        async def serve():
            await server.serve(host="127.0.0.1", port=port)

        with fail_after(20):
            async with create_task_group() as tasks:
                tasks.start_soon(serve)
                tasks.start_soon(link.run)
                await check(link)
                tasks.cancel_scope.cancel()

    run(main)


def test_call_returns_the_reply_of_the_peer():
    """Guards against a call that gets no reply, or another one than the peer sent."""

    async def check(link):
        await link.wait_open()
        reply = await link.call(ConfigWatch(known_version=4), timeout=5)
        assert reply.version == 5

    with_link(check)


def test_failure_keeps_the_result_code():
    """Guards against a refusal whose result code is lost on the way to the caller."""

    async def check(link):
        await link.wait_open()
        with pytest.raises(RefusedError) as caught:
            await link.call(JobReport(), timeout=5)
        assert caught.value.code == Code.VERSION_CONFLICT

    with_link(check)


def test_link_is_probed_by_the_kernel():
    """Guards against a worker link that stays open for hours on a broken path; it has no pings."""

    async def check(link):
        await link.wait_open()
        sock = link.session._stream.peer._transport.get_extra_info("socket")
        assert sock.getsockopt(SOL_SOCKET, SO_KEEPALIVE)
        for option, value in TCP_KEEPALIVE_OPTIONS:
            assert sock.getsockopt(IPPROTO_TCP, option) == value

    with_link(check)


def test_accepted_connections_are_probed_by_the_kernel():
    """Guards against an owner that keeps the link of a worker whose network path is broken."""
    with create_server(("127.0.0.1", 0)) as listener:
        enable_tcp_keepalive(listener)
        with create_connection(listener.getsockname()), listener.accept()[0] as accepted:
            assert accepted.getsockopt(SOL_SOCKET, SO_KEEPALIVE)
            for option, value in TCP_KEEPALIVE_OPTIONS:
                assert accepted.getsockopt(IPPROTO_TCP, option) == value


def test_wrong_secret_opens_no_session():
    """Guards against a server that accepts calls from a client with another secret."""

    async def check(link):
        with move_on_after(1.0):
            await link.wait_open()
        assert not link.is_open
        with pytest.raises(UnreachableError):
            await link.call(ConfigWatch(), timeout=1)

    with_link(check, secret="another secret!!")


def certificates(folder, *, name):
    """Return TLS settings with a new authority and a certificate that it has issued."""
    authority = CA()
    leaf = authority.issue_cert("127.0.0.1")
    paths = [folder / f"{name}.{part}" for part in ("authority", "pem", "key")]
    authority.cert_pem.write_to_path(paths[0])
    leaf.cert_chain_pems[0].write_to_path(paths[1])
    leaf.private_key_pem.write_to_path(paths[2])
    return Tls(authority=str(paths[0]), certificate=str(paths[1]), key=str(paths[2]))


def test_tls_link_carries_calls(tmp_path):
    """Guards against TLS settings with which no session opens."""

    async def check(link):
        await link.wait_open()
        assert (await link.call(ConfigWatch(known_version=1), timeout=5)).version == 2

    tls = certificates(tmp_path, name="a")
    with_link(check, tls=tls, client_tls=tls)


def test_certificate_of_another_authority_opens_no_session(tmp_path):
    """Guards against a peer that is trusted though another authority issued its certificate."""

    async def check(link):
        with move_on_after(1.0):
            await link.wait_open()
        assert not link.is_open

    ours, theirs = certificates(tmp_path, name="ours"), certificates(tmp_path, name="theirs")
    with_link(check, tls=ours, client_tls=theirs)


def test_calls_of_one_burst_get_their_own_replies():
    """Guards against replies that are assigned to the wrong one of many concurrent calls."""

    async def check(link):
        await link.wait_open()
        replies = {}

        async def ask(number):
            reply = await link.call(ConfigWatch(known_version=number), timeout=10)
            replies[number] = reply.version

        async with create_task_group() as tasks:
            for number in range(300):
                tasks.start_soon(ask, number)
        assert replies == {number: number + 1 for number in range(300)}

    with_link(check)


def test_silent_connection_is_closed_and_opened_again_while_a_call_waits():
    """Guards against a call that waits until its deadline on a connection that delivers nothing.

    A firewall or NAT between the peers may have dropped the state of the connection.
    """

    async def main():
        server_port, port = free_port(), free_port()
        hello = Hello(name="a", cell="demo", incarnation="1")
        server = LinkServer(hello=hello, secret=SECRET, handler=Echo())
        link = Link(host="127.0.0.1", port=port, hello=hello, secret=SECRET, handler=Echo())
        forwarder = Forwarder(port=port, target=server_port)

        async def serve():
            await server.serve(host="127.0.0.1", port=server_port)

        with fail_after(30):
            async with create_task_group() as tasks:
                tasks.start_soon(serve)
                tasks.start_soon(forwarder.run)
                tasks.start_soon(link.run)
                await link.wait_open()
                forwarder.silence()
                started = current_time()
                with pytest.raises(OutcomeUnknownError):
                    await link.call(ConfigWatch(), timeout=20)
                # The call fails with an unknown outcome long before its own deadline.
                assert current_time() - started < 10
                await link.wait_open()
                assert (await link.call(ConfigWatch(known_version=1), timeout=10)).version == 2
                tasks.cancel_scope.cancel()

    run(main)


SERVER_SCRIPT = """
from functools import partial
from sys import argv
from anyio import run
from siskintally.link import LinkServer
from tests.test_link import SECRET, Echo
from siskintally.wire_pb2 import Hello
server = LinkServer(hello=Hello(name="b", cell="demo"), secret=SECRET, handler=Echo())
run(partial(server.serve, host="127.0.0.1", port=int(argv[1])))
"""


def test_loss_of_a_killed_peer_does_not_end_the_process():
    """Guards against a cancellation by the gRPC library that ends the tasks around a link."""

    async def main():
        port = free_port()
        hello = Hello(name="a", cell="demo", incarnation="1")
        link = Link(host="127.0.0.1", port=port, hello=hello, secret=SECRET, handler=Echo())
        rounds = 0
        with fail_after(60):
            async with create_task_group() as tasks:
                tasks.start_soon(link.run)
                for _ in range(3):
                    with Popen([executable, "-c", SERVER_SCRIPT, str(port)]) as server:
                        await link.wait_open()
                        server.kill()
                    rounds += 1
                    while link.is_open:
                        await sleep(0.05)
                tasks.cancel_scope.cancel()
        assert rounds == 3

    run(main)


def test_the_end_of_the_peer_process_is_reported():
    """Guards against the end of a peer process that is taken for a network failure.

    The callback must run when the peer's port refuses connections, but not when the same
    incarnation answers again.
    """
    ended = []

    async def main():
        port = free_port()
        link = Link(
            host="127.0.0.1",
            port=port,
            hello=Hello(name="b", cell="demo", incarnation="7"),
            secret=SECRET,
            handler=Echo(),
            on_peer_exit=lambda: ended.append(current_time()),
        )
        with fail_after(20):
            async with create_task_group() as tasks:
                tasks.start_soon(link.run)
                while not ended:
                    await sleep(0.02)
                hello = Hello(name="a", cell="demo", incarnation="1")
                server = LinkServer(hello=hello, secret=SECRET, handler=Echo())
                tasks.start_soon(partial(server.serve, host="127.0.0.1", port=port))
                await link.wait_open()
                ended.clear()
                link.session.close()
                await sleep(0.05)
                await link.wait_open()
                assert not ended, "the same incarnation answers again"
                tasks.cancel_scope.cancel()

    run(main)


def test_another_incarnation_reports_the_end_of_the_previous_one():
    """Guards against a peer restart that stays unnoticed.

    A restart can be faster than the next attempt to connect; only the incarnation shows it then.
    """
    ended = []
    link = Link(
        host="127.0.0.1",
        port=1,
        hello=None,
        secret=SECRET,
        handler=Echo(),
        on_peer_exit=lambda: ended.append(1),
    )
    for incarnation in ("1", "1", "2"):
        link._check_incarnation(incarnation)
    assert len(ended) == 1


class Receiver(Echo):
    """Stores the messages that it receives."""

    def __init__(self):
        self.messages = []

    def handle_message(self, session, body):
        """Store a message."""
        self.messages.append(body)


def test_a_large_message_on_a_slow_link_is_received_before_the_link_counts_as_silent():
    """Guards against a link that is closed as silent while the bytes of a message arrive.

    The message would be sent again on the next link, and never be received.
    """
    bytes_per_s = 250_000
    # Longer than the silence after which the receiving side closes a link.
    transfer_s = 5

    async def main():
        server_port, port = free_ports(2)
        hello = Hello(name="a", cell="demo", incarnation="1")
        server = LinkServer(hello=hello, secret=SECRET, handler=Echo())
        receiver = Receiver()
        link = Link(
            host="127.0.0.1",
            port=port,
            hello=hello,
            secret=SECRET,
            handler=receiver,
            timing=LINK_POOL_TIMING,
        )
        forwarder = Forwarder(port=port, target=server_port, bytes_per_s=bytes_per_s)
        with fail_after(30):
            async with create_task_group() as tasks:
                tasks.start_soon(partial(server.serve, host="127.0.0.1", port=server_port))
                tasks.start_soon(forwarder.run)
                tasks.start_soon(link.run)
                await link.wait_open()
                session = link.session
                notice = ControlNotice(leader="x" * (bytes_per_s * transfer_s))
                for accepted in server.session_by_id.values():
                    assert accepted.send(notice)
                with move_on_after(2 * transfer_s):
                    while not receiver.messages and not session.closed:
                        await sleep(0.05)
                tasks.cancel_scope.cancel()
        assert [len(message.leader) for message in receiver.messages] == [bytes_per_s * transfer_s]

    run(main)
