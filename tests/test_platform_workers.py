"""The driver of the platform's workers: records and replies that cannot be used."""

from functools import partial

from anyio import Event, create_task_group, run, sleep
from pytest import mark, raises

from siskintally.control_pb2 import PoolWorker
from siskintally.driver import Order, Refusal
from siskintally.errors import OutcomeUnknownError, UnreachableError
from siskintally.http_server import HttpApp, HttpResponse, serve_http
from siskintally.platform.workers import PlatformAdviceService, PlatformWorkerDriver
from tests.processes import free_ports

ORDER = Order(task_id="f.0.0.0", run=1, fence=1)


@mark.parametrize("address", ["127.0.0.1:99999", "a..b:80", "a\0b:80", "nowhere", ""])
def test_a_stored_address_that_cannot_be_used_is_an_unreachable_worker(address):
    """Guards against a leader that ends because of a record stored by an earlier version."""

    async def main():
        with raises(UnreachableError):
            await PlatformWorkerDriver().stop(
                PoolWorker(id="w", address=address), ORDER, timeout=1.0
            )

    run(main)


class FixedReplyApp(HttpApp):
    """Answers each request with the same body."""

    def __init__(self, *, status, body):
        self.response = HttpResponse(status=status, body=body)

    async def handle(self, request):
        """Answer one request."""
        return self.response


def run_with_reply(status, body, check):
    """Run a check with the address of a server that gives this reply."""

    async def main():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        stop_event = Event()
        app = FixedReplyApp(status=status, body=body)
        async with create_task_group() as tasks:
            tasks.start_soon(
                partial(serve_http, app, address=address, stop_event=stop_event, graceful_s=0.1)
            )
            await sleep(0.2)
            await check(address)
            stop_event.set()

    run(main)


ODD_REPLIES = [
    b"9" * 5000,
    b"[" * 100_000,
    b"[]",
    b'{"clockMs":"x"}',
    b'{"clockMs":1e400}',
    b"\xff",
]


@mark.parametrize("body", ODD_REPLIES)
def test_a_malformed_reply_to_an_order_is_an_unknown_outcome(body):
    """Guards against a reply that ends the term, or that confirms what it does not say."""

    async def check(address):
        with raises(OutcomeUnknownError):
            worker = PoolWorker(id="w", address=address)
            await PlatformWorkerDriver().start(worker, ORDER, timeout=2.0)

    run_with_reply(200, body, check)


def test_a_malformed_refusal_is_a_refusal_without_a_reason():
    """Guards against a refused start that is repeated for ever because its reason is unreadable."""

    async def check(address):
        worker = PoolWorker(id="w", address=address)
        reply = await PlatformWorkerDriver().start(worker, ORDER, timeout=2.0)
        assert (reply.refusal, reply.clock_ms) == (Refusal.INVALID, None)

    run_with_reply(409, b'{"reason":%s}' % (b"9" * 5000), check)


@mark.parametrize("row", [b"[]", b'["w"]', b'["w",%s1%s]' % (b"[" * 900, b"]" * 900), b"5"])
def test_malformed_advice_is_no_advice(row):
    """Guards against a reply of the advice service that ends the term of the leader."""

    async def check(address):
        with raises(OutcomeUnknownError):
            await PlatformAdviceService(address=address).ask("f.0.0", ("w",), timeout=2.0)

    run_with_reply(200, b'{"allowed":[%s]}' % row, check)
