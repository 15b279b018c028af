"""The driver of the platform's workers: records and replies that cannot be used."""

from anyio import run
from pytest import mark, raises

from siskintally.control_pb2 import PoolWorker
from siskintally.driver import Order
from siskintally.errors import UnreachableError
from siskintally.platform.workers import PlatformWorkerDriver

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
