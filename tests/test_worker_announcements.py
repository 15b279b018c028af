"""Announcements of workers at successive leaders: late ones change nothing."""

from anyio import run
from pytest import fixture

from siskintally.control_pb2 import PoolWorker, WorkerGone, WorkerSeen
from siskintally.control_service import ControlService
from tests.flow_harness import FlowHarness, make_worker


class Leader:
    """Leader whose proposals are committed at once."""

    def __init__(self, harness):
        self.harness = harness
        self.state = harness.state

    async def wait_for_loss(self, record):
        """Return at once: no worker is given up."""

    def is_stored(self, record):
        """Return that the worker is stored."""
        return True

    async def verify_announcement(self, record):
        """Confirm each announcement."""

    async def propose(self, **body):
        """Commit a command."""
        self.harness.commit(**body)

    def handle_join(self, record):
        """Not used here."""


@fixture
def harness():
    """Return a harness without workers."""
    return FlowHarness()


def next_leader(harness):
    """Return the :class:`ControlService` of a new leader."""
    return ControlService(leader=Leader(harness), counters=None)


def announce(service, *, seq, leaving=False):
    """Let a worker announce itself."""
    record = PoolWorker()
    record.CopyFrom(make_worker("w"))
    record.seq, record.leaving = seq, leaving
    run(service.handle, WorkerSeen(worker=record))


def test_a_late_heartbeat_at_the_next_leader_does_not_bring_back_a_leaving_worker(harness):
    """Guards against new tasks on a worker that has reported to a former leader that it leaves."""
    former = next_leader(harness)
    announce(former, seq=5)
    announce(former, seq=9, leaving=True)
    announce(next_leader(harness), seq=6)
    assert harness.state.worker_by_id["w"].leaving


def test_a_late_heartbeat_does_not_bring_back_a_worker_that_has_deregistered(harness):
    """Guards against new tasks on a worker whose end another leader than its first one heard of."""
    announce(next_leader(harness), seq=9)
    service = next_leader(harness)
    run(service.handle, WorkerGone(id="w", born_ms=1))
    announce(service, seq=6)
    assert harness.state.worker_by_id["w"].leaving


def test_a_newer_heartbeat_is_accepted_by_the_next_leader(harness):
    """Guards against a worker whose changes are ignored after a change of leaders."""
    announce(next_leader(harness), seq=5)
    announce(next_leader(harness), seq=6, leaving=True)
    assert harness.state.worker_by_id["w"].leaving
