"""Domain state machine: refusals, idempotence, snapshots, arbitrary bytes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally.codes import Code
from siskintally.domain import Domain
from siskintally.domain_job import MAX_TASK_FAILURES
from siskintally.domain_state_pb2 import (
    AssignmentRecord,
    AttemptEnd,
    DomainBatch,
    DomainCommand,
    DomainReply,
    WorkerRecord,
)
from siskintally.errors import DamagedDataError
from siskintally.wire_pb2 import (
    ConfigState,
    DrainItem,
    JobItem,
    JobSpec,
    LedgerBegin,
    LedgerBeginReply,
    Resources,
    SyncReply,
)


class Driver:
    """Applies commands to a domain with increasing log indexes."""

    __slots__ = ("domain", "index")

    def __init__(self):
        self.domain = Domain(group="g")
        self.index = 0

    def apply(self, **change):
        """Apply one change and return the reply."""
        self.index += 1
        command = DomainCommand(at=100.0 + self.index, **change).SerializeToString()
        return DomainReply.FromString(self.domain.apply(index=self.index, command=command))

    def job(self, name, *, tasks=1, cpu=1000, changed_at=1, **fields):
        """Apply the item of a job as the cell sends it."""
        cancelled = fields.pop("cancelled", False)
        spec = JobSpec(name=name, each=Resources(cpu_milli=cpu), **fields)
        item = JobItem(
            job_id=name, spec=spec, tasks=tasks, cancelled=cancelled, changed_at=changed_at
        )
        return self.apply(sync=SyncReply(index=changed_at, jobs=[item]))

    def worker(self, name, *, cpu=4000, session="s1"):
        """Record that a worker joined; return the refused names."""
        record = WorkerRecord(
            name=name, domain="d", rack="r", session=session, capacity=Resources(cpu_milli=cpu)
        )
        return list(self.apply(batch=DomainBatch(joined=[record])).refused)

    def assign(self, task_id, worker, *, attempt=1, session="s1"):
        """Assign a task and return whether the assignment was accepted."""
        record = AssignmentRecord(task_id=task_id, attempt=attempt, worker=worker, session=session)
        return not self.apply(batch=DomainBatch(assigned=[record])).refused

    def end(self, task_id, attempt, cause):
        """End an attempt."""
        end = AttemptEnd(task_id=task_id, attempt=attempt, cause=cause)
        return self.apply(batch=DomainBatch(ended=[end]))


def driver_with_job():
    driver = Driver()
    driver.worker("w1")
    driver.worker("w2")
    driver.job("j", tasks=5)
    return driver


def test_assignments_beyond_the_capacity_are_refused():
    """Guards against overcommitment by an owner with an outdated view of the workers."""
    driver = driver_with_job()
    assert all(driver.assign(f"j/g.{n}", "w1") for n in range(4))
    assert not driver.assign("j/g.4", "w1")
    assert driver.worker("w1", cpu=3000) == ["w1"]
    assert driver.assign("j/g.4", "w2")


def test_a_task_never_gets_a_second_live_attempt():
    """Guards against a task that runs in two places."""
    driver = driver_with_job()
    assert driver.assign("j/g.0", "w1")
    assert not driver.assign("j/g.0", "w2", attempt=2)
    driver.end("j/g.0", 1, AttemptEnd.LOST)
    assert not driver.assign("j/g.0", "w2", attempt=1)
    assert driver.assign("j/g.0", "w2", attempt=2)


def test_an_old_session_or_a_cancelled_job_gets_no_assignment():
    """Guards against starts for a worker that has restarted, and after a cancellation."""
    driver = driver_with_job()
    driver.worker("w1", session="s2")
    assert not driver.assign("j/g.0", "w1", session="s1")
    driver.job("j", tasks=5, changed_at=2, cancelled=True)
    assert not driver.assign("j/g.0", "w1", session="s2")
    assert driver.domain.job_by_id["j"].cancelled == 5


def test_a_late_end_of_an_old_attempt_changes_nothing():
    """Guards against a repeated report of an old attempt that ends the new one."""
    driver = driver_with_job()
    driver.assign("j/g.0", "w1")
    driver.end("j/g.0", 1, AttemptEnd.STOPPED)
    driver.assign("j/g.0", "w2", attempt=2)
    driver.end("j/g.0", 1, AttemptEnd.SUCCEEDED)
    assert driver.domain.task("j/g.0").worker == "w2"


def test_a_repeated_item_of_a_job_runs_nothing_twice():
    """Guards against an ended job that runs again when the cell repeats its item."""
    driver = driver_with_job()
    driver.job("k", changed_at=5)
    driver.assign("k/g.0", "w1")
    driver.end("k/g.0", 1, AttemptEnd.SUCCEEDED)
    driver.job("k", changed_at=6)
    assert driver.domain.job_by_id["k"].has_ended
    assert driver.domain.job_by_id["k"].succeeded == 1


def test_a_reduced_number_of_tasks_drops_only_waiting_tasks():
    """Guards against the loss of running tasks when the cell moves a share to another group."""
    driver = driver_with_job()
    driver.assign("j/g.0", "w1")
    driver.job("j", tasks=1, changed_at=2)
    assert list(driver.domain.job_by_id["j"].task_by_id) == ["j/g.0"]


def test_a_batch_task_that_always_fails_ends_as_failed():
    """Guards against a job that fails forever."""
    driver = driver_with_job()
    for attempt in range(1, MAX_TASK_FAILURES + 1):
        assert driver.assign("j/g.0", "w1", attempt=attempt)
        driver.end("j/g.0", attempt, AttemptEnd.FAILED)
    assert driver.domain.job_by_id["j"].failed == 1


def test_a_lost_worker_frees_its_tasks():
    """Guards against tasks that stay assigned to a lost worker."""
    driver = driver_with_job()
    driver.assign("j/g.0", "w1")
    driver.apply(batch=DomainBatch(lost=["w1"]))
    assert not driver.domain.task("j/g.0").worker and "w1" not in driver.domain.worker_by_name


def test_configuration_and_cell_index_never_go_back():
    """Guards against a late reply of a former cell leader that brings back older state."""
    driver = Driver()
    driver.apply(sync=SyncReply(index=9, config=ConfigState(version=3)))
    driver.apply(sync=SyncReply(index=8, config=ConfigState(version=2)))
    driver.apply(sync=SyncReply(index=10, config=ConfigState(version=2)))
    assert (driver.domain.config.version, driver.domain.cell_index) == (3, 10)


def test_ledger_commands_are_delegated():
    """Guards against a key that is granted twice, also across a snapshot."""
    driver = Driver()
    for attempt, verdict in (("a", LedgerBeginReply.GRANTED), ("b", LedgerBeginReply.IN_PROGRESS)):
        begin = LedgerBegin(key="k", caller="c", digest=b"d", attempt=attempt)
        assert driver.apply(ledger_begin=begin).ledger_begin.verdict == verdict
        driver.domain.restore(driver.domain.snapshot())


def test_restore_gives_the_same_state():
    """Guards against replicas that differ after a snapshot."""
    driver = driver_with_job()
    driver.assign("j/g.0", "w1")
    driver.apply(
        sync=SyncReply(index=4, drains=[DrainItem(kind="worker", name="w1", draining=True)])
    )
    restored = Driver()
    restored.domain.restore(driver.domain.snapshot())
    for replica in (driver, restored):
        replica.index = 50
        replica.assign("j/g.1", "w1")
        replica.end("j/g.0", 1, AttemptEnd.SUCCEEDED)
    assert restored.domain.snapshot() == driver.domain.snapshot()


BATCHES = st.builds(
    DomainBatch,
    ended=st.lists(
        st.builds(
            AttemptEnd,
            task_id=st.sampled_from(("j/g.0", "j/g.1", "x", "")),
            attempt=st.integers(0, 3),
            cause=st.integers(0, 3),
        ),
        max_size=2,
    ),
    lost=st.lists(st.sampled_from(("w1", "w2", "", "x")), max_size=1),
    assigned=st.lists(
        st.builds(
            AssignmentRecord,
            task_id=st.sampled_from(("j/g.0", "j/g.1", "j/g.2", "j/g.9", "")),
            attempt=st.integers(0, 4),
            worker=st.sampled_from(("w1", "w2", "")),
            session=st.sampled_from(("s1", "s2")),
        ),
        max_size=4,
    ),
)


@settings(max_examples=200, deadline=None)
@given(batches=st.lists(BATCHES, max_size=12))
def test_no_sequence_of_batches_breaks_the_capacity(batches):
    """Guards against used resources that differ from the assigned tasks or exceed a worker."""
    driver = driver_with_job()
    for batch in batches:
        assert driver.apply(batch=batch).code == Code.DONE
        for name, worker in driver.domain.worker_by_name.items():
            tasks = [driver.domain.task(task_id) for task_id in worker.task_ids]
            assert all(task.worker == name for task in tasks)
            assert worker.used.cpu == 1000 * len(tasks) <= worker.capacity.cpu


@settings(max_examples=300, deadline=None)
@given(data=st.binary(max_size=200), cut=st.integers(0, 60), at=st.floats())
def test_arbitrary_bytes_give_a_numbered_error_and_change_nothing(data, cut, at):
    """Guards against a replica that stops, or diverges, after a malformed command."""
    driver = driver_with_job()
    before = driver.domain.snapshot()
    spec = JobSpec(kind=cut, run_s=at)
    command = DomainCommand(at=at, sync=SyncReply(index=1, jobs=[JobItem(job_id="q", spec=spec)]))
    valid = command.SerializeToString()
    for command_bytes in (data, valid[:cut] + data, valid):
        reply = DomainReply.FromString(driver.domain.apply(index=9, command=command_bytes))
        assert Code(reply.code)
        if reply.code != Code.DONE:
            assert driver.domain.snapshot() == before
        before = driver.domain.snapshot()


@given(data=st.binary(min_size=1, max_size=100))
def test_a_damaged_snapshot_changes_nothing(data):
    """Guards against a state that a damaged snapshot has replaced in part."""
    driver = driver_with_job()
    before = driver.domain.snapshot()
    with pytest.raises(DamagedDataError):
        driver.domain.restore(data)
    assert driver.domain.snapshot() == before
