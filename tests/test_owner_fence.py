"""Owner of a domain group that may have been declared lost while its machines were down."""

from anyio import sleep

from siskintally.domain_state_pb2 import AssignmentRecord, DomainBatch, WorkerRecord
from siskintally.wire_pb2 import AttemptState, JobItem, JobSpec, SyncReply
from tests.test_owner import CAPACITY, WorkerLink, state, until, with_owner

# Several placement passes.
PASSES_S = 0.4


def sync_with_job(tasks):
    """Return a sync reply that carries one job."""
    spec = JobSpec(name="j", each={"cpu_milli": 1000, "memory_mb": 1}, run_s=60)
    return SyncReply(index=1, jobs=[JobItem(job_id="j", spec=spec, tasks=tasks, changed_at=1)])


def test_nothing_is_started_before_the_cell_has_answered():
    """Guards against a start by an owner whose group was declared lost while it was down.

    The tasks of such a group may already run in another group.
    """

    async def check(harness):
        term = harness.owner.owner_term
        record = WorkerRecord(name="w1", domain="d", rack="r", session="a", capacity=CAPACITY)
        assignment = AssignmentRecord(task_id="j/g.0", attempt=1, worker="w1", session="a")
        await term.commit(sync=sync_with_job(tasks=2))
        await term.commit(batch=DomainBatch(joined=[record], assigned=[assignment]))
        harness.group.lose_leadership()
        await until(lambda: harness.owner.owner_term is None)
        harness.group.win_leadership()
        await until(lambda: harness.owner.owner_term is not None)
        link = WorkerLink()
        await harness.send_heartbeat(link)
        await harness.send_heartbeat(link, seq=2)
        await sleep(PASSES_S)
        assert link.starts() == []
        assert harness.domain.task("j/g.1").worker == ""
        harness.pending_items = [SyncReply(index=1)]
        await until(lambda: sorted(link.starts()) == ["j/g.0", "j/g.1"])

    with_owner(check)


def test_owner_that_was_declared_lost_is_idle_only_after_everything_ended():
    """Guards against reporting a group as idle while an attempt or a lease may still run."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.submit("j", tasks=5)
        await until(lambda: len(link.starts()) == 4)
        harness.pending_items = [SyncReply(epoch=1, lost=True)]
        await until(lambda: harness.domain.fenced)
        await until(lambda: len(link.stops()) == 4)
        term = harness.owner.owner_term
        harness.clock.now += 100
        assert not term.is_idle(), "four attempts have not ended"
        stopped = [state(name, kind=AttemptState.STOPPED) for name in link.starts()]
        await harness.send_heartbeat(link, seq=2, full=False, attempts=stopped)
        assert term.is_idle()
        harness.clock.now -= 100
        assert not term.is_idle(), "leases of an earlier owner may still run"
        assert not harness.domain.job_by_id
        assert not term.placement.job_by_id
        harness.pending_items = [SyncReply(index=0, epoch=1, lost=True)]
        await sleep(PASSES_S)
        assert len(link.starts()) == 4

    with_owner(check)
