"""What the check of a new connection to a worker proves about the process at its other end."""

from contextlib import suppress

from anyio import run
from pytest import mark, raises

from siskintally import worker_connections
from siskintally.control_pb2 import PoolWorker
from siskintally.driver import IncarnationGoneError, Order
from siskintally.errors import SiskintallyError
from siskintally.http_pool import HttpReply
from siskintally.platform.workers import PlatformWorkerDriver

FORMER = PoolWorker(id="w", born_ms=1, address="127.0.0.1:1")
TIMEOUT_S = 1.0


class OneConnection:
    """A pool with one connection, to the next life of the worker, that answers each request.

    The first reply, that of the check, has the status ``first_status`` and no start time.
    """

    first_status = 503

    def __init__(self, *, host, port):
        self.is_checked = False
        self.paths = []

    async def _exchange(self, method, path, *, headers=(), body=b""):
        self.paths.append(path)
        if len(self.paths) == 1:
            return HttpReply(status=self.first_status, headers=(), body=b"{}")
        reply = b'{"clockMs": 5, "born": 2, "running": [], "ended": []}'
        return HttpReply(status=200, headers=(), body=reply)

    async def request(self, method, path, *, headers=(), body=b"", timeout, check_peer=None):
        """Send a request after the check of the connection, as ``HttpPool`` does."""
        if not self.is_checked:
            reply = await check_peer(self._exchange)
            self.is_checked = True
            if reply is not None:
                return reply
        return await self._exchange(method, path, headers=headers, body=body)

    async def close(self):
        """Nothing to close."""


@mark.parametrize("status", [400, 409, 429, 500, 503])
@mark.parametrize("kind", ["start", "poll"])
def test_a_check_that_is_refused_does_not_prove_the_life_of_a_worker(monkeypatch, status, kind):
    """Guards against orders, reports, and leases of a former life that the next life takes.

    A busy worker refuses the check without a start time. The start then runs on the next life, and
    its reports count as those of the former one, until its first announcement requeues all tasks.
    """
    pools = []

    class Pool(OneConnection):
        first_status = status

        def __init__(self, **options):
            super().__init__(**options)
            pools.append(self)

    monkeypatch.setattr(worker_connections, "HttpPool", Pool)
    driver = PlatformWorkerDriver()
    order = Order(task_id="f.0.0.0", run=7, fence=2, lease_until_ms=9)

    async def poll():
        await driver.poll_status(
            FORMER,
            fence=2,
            lease_until_ms=9,
            committed_end_number=3,
            wait_ms=0,
            timeout=TIMEOUT_S,
        )

    async def main():
        if kind == "start":
            with raises(SiskintallyError):
                await driver.start(FORMER, order, timeout=TIMEOUT_S)
            assert "/run-start" not in pools[0].paths
            return
        with suppress(SiskintallyError):
            await poll()
        with raises(IncarnationGoneError):
            await poll()

    run(main)
