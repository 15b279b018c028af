"""Announcements whose incarnation or number cannot be that of a worker."""

from time import time

from anyio import run
from pytest import mark, raises

from siskintally.control_pb2 import PoolWorker, QueueDocument, WorkerSeen
from siskintally.control_service import ControlService
from siskintally.counters import Counters
from siskintally.errors import BadRequestError

NOW_MS = int(time() * 1000)
BORN_MS = NOW_MS - 3_600_000
DAY_MS = 86_400_000


class State:
    """The replicated workers, and a configuration without services."""

    def __init__(self):
        self.worker_by_id = {}
        self.document = QueueDocument()


class Leader:
    """Commits each announcement at once."""

    def __init__(self):
        self.state = State()
        self.joined = []

    async def wait_for_loss(self, record):
        """Return at once: no worker is given up."""

    def is_stored(self, record):
        """Return that the worker is stored."""
        return True

    async def verify_announcement(self, record):
        """Confirm each announcement."""

    async def propose(self, *, join):
        """Store a record."""
        self.state.worker_by_id[join.id] = join

    def handle_join(self, record):
        """Record what the scheduler would get."""
        self.joined.append((record.born_ms, record.seq))


def announcement(**fields):
    return WorkerSeen(worker=PoolWorker(**{"id": "w", "born_ms": BORN_MS, "seq": 7, **fields}))


@mark.parametrize("odd", [{"born_ms": NOW_MS + DAY_MS}, {"born_ms": 2**53}, {"seq": 2**53}])
def test_a_number_that_no_worker_reached_does_not_silence_the_true_worker(odd):
    """Guards against a worker whose announcements are ignored as those of the past."""
    leader = Leader()
    service = ControlService(leader=leader, counters=Counters())

    async def main():
        await service.handle(announcement())
        with raises(BadRequestError):
            await service.handle(announcement(**odd))
        await service.handle(announcement(seq=8))

    run(main)
    assert leader.joined == [(BORN_MS, 7), (BORN_MS, 8)]


def test_a_stored_incarnation_of_the_future_is_replaced_by_the_true_worker():
    """Guards against a record of an earlier version that shuts a worker out for good."""
    leader = Leader()
    leader.state.worker_by_id["w"] = announcement(born_ms=NOW_MS + DAY_MS).worker
    service = ControlService(leader=leader, counters=Counters())
    run(service.handle, announcement())
    assert leader.joined == [(BORN_MS, 7)]
    assert leader.state.worker_by_id["w"].born_ms == BORN_MS
