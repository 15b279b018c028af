"""Owner of a domain group: commits before starts, loss of leadership, leases, cancellations."""

import pytest
from anyio import Event, create_memory_object_stream, create_task_group, fail_after, run, sleep

from siskintally.codes import Code
from siskintally.domain import Domain
from siskintally.domain_state_pb2 import DomainBatch, DomainCommand, WorkerRecord
from siskintally.errors import BadRequestError, NotLeaderError, OutcomeUnknownError, RefusedError
from siskintally.messages import Leadership
from siskintally.metrics import Metrics
from siskintally.owner import Owner
from siskintally.settings import GroupSettings
from siskintally.wire_pb2 import (
    AttemptState,
    ConfigState,
    ConfigWatch,
    Done,
    JobItem,
    JobReport,
    JobSpec,
    LedgerBegin,
    Resources,
    SyncReply,
    SyncRequest,
    WorkerBeat,
)
from tests.fake_group import FakeGroup

GROUP = "g"
CAPACITY = Resources(cpu_milli=4000, memory_mb=4000)


class Clock:
    """A monotonic clock that only the test advances."""

    __slots__ = ("now",)

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time."""
        return self.now


class OwnerGroup(FakeGroup):
    """A fake group with leadership messages; a test can delay commits and quorum rounds."""

    __slots__ = ("commit_gate", "proposals", "round_gate", "watchers")

    def __init__(self, *, machine):
        super().__init__(machine=machine, name=GROUP)
        self.watchers = []
        self.commit_gate = self.round_gate = None
        self.proposals = []

    def watch(self):
        """Return a stream of Leadership."""
        sender, receiver = create_memory_object_stream(16)
        sender.send_nowait(Leadership(term=self.term, leader="s1", is_leader=self.is_leader))
        self.watchers.append(sender)
        return receiver

    def lose_leadership(self):
        """Lose the leadership."""
        self.is_leader = False
        for watcher in self.watchers:
            watcher.send_nowait(Leadership(term=self.term, leader="s2", is_leader=False))

    def win_leadership(self):
        """Win the leadership again, in a higher term."""
        self.is_leader, self.term = True, self.term + 1
        for watcher in self.watchers:
            watcher.send_nowait(Leadership(term=self.term, leader="s1", is_leader=True))

    async def propose(self, command):
        """Apply a command once the gate is open."""
        self.proposals.append(DomainCommand.FromString(command))
        if self.commit_gate is not None:
            await self.commit_gate.wait()
        if not self.is_leader:
            raise OutcomeUnknownError("leadership was lost")
        return await super().propose(command)

    async def confirm_leadership(self, *, urgent=True):
        """Complete a quorum round once its gate is open."""
        if self.round_gate is not None:
            await self.round_gate.wait()
        await super().confirm_leadership()


class WorkerLink:
    """A worker's link as the owner sees it."""

    __slots__ = ("sent",)

    def __init__(self):
        self.sent = []

    def send(self, body):
        """Record a message that the owner pushes."""
        self.sent.append(body)
        return True

    def starts(self):
        """Return the ids of the tasks whose start was pushed."""
        return [start.task_id for orders in self.sent for start in orders.start]

    def stops(self):
        """Return the ids of the tasks whose stop was pushed."""
        return [stop.task_id for orders in self.sent for stop in orders.stop]


class OwnerHarness:
    """An owner with a fake group, a fake cell leader and a clock that the test sets."""

    __slots__ = ("cell_index", "clock", "domain", "group", "owner", "pending_items", "reports")

    def __init__(self):
        self.clock = Clock()
        self.domain = Domain(group=GROUP)
        self.group = OwnerGroup(machine=self.domain)
        self.pending_items = []
        self.reports = []
        self.cell_index = 0
        settings = GroupSettings(name=GROUP, members=("s1",), domains=("d",))
        self.owner = Owner(
            group=self.group,
            domain=self.domain,
            settings=_OwnerSettings(group_by_name={GROUP: settings}),
            cell_call=self.cell_call,
            metrics=Metrics(address=None, prefix="test"),
            clock=self.clock,
            window_s=0.001,
        )

    async def cell_call(self, body, *, timeout):
        """Answer as the cell leader."""
        if isinstance(body, JobReport):
            self.reports.extend(body.jobs)
            return Done()
        assert isinstance(body, SyncRequest)
        while not self.pending_items:
            await sleep(0.005)
        items, self.pending_items = self.pending_items, []
        if isinstance(items[0], SyncReply):
            return items[0]
        return SyncReply(index=self.cell_index, jobs=items)

    def submit(self, name, *, tasks=1, cancelled=False, cpu=1000, **fields):
        """Let the cell send a job to the owner at its next sync."""
        self.cell_index += 1
        spec = JobSpec(name=name, each=Resources(cpu_milli=cpu, memory_mb=1), run_s=60, **fields)
        self.pending_items.append(
            JobItem(
                job_id=name,
                spec=spec,
                tasks=tasks,
                cancelled=cancelled,
                changed_at=self.cell_index,
            )
        )

    async def send_heartbeat(
        self, link, *, worker="w1", seq=1, session="a", full=True, attempts=()
    ):
        """Send a heartbeat; return the answer, which is also recorded on the link."""
        answer = await self.owner.handle_call(
            link,
            WorkerBeat(
                worker=worker,
                domain="d",
                rack="r",
                session=session,
                seq=seq,
                capacity=CAPACITY,
                full=full,
                attempts=attempts,
            ),
        )
        link.sent.append(answer)
        return answer


class _OwnerSettings:
    __slots__ = ("group_by_name",)

    def __init__(self, *, group_by_name):
        self.group_by_name = group_by_name


async def until(condition):
    while not condition():
        await sleep(0.005)


def with_owner(check):
    async def main():
        harness = OwnerHarness()
        with fail_after(60):
            async with create_task_group() as tasks:
                tasks.start_soon(harness.owner.run)
                await until(lambda: harness.owner.owner_term is not None)
                await check(harness)
                tasks.cancel_scope.cancel()

    run(main)


def state(task_id, attempt=1, kind=AttemptState.RUNNING):
    return AttemptState(task_id=task_id, attempt=attempt, state=kind)


def test_a_start_is_sent_only_after_its_assignment_is_committed():
    """Guards against a started task that the next owner does not know of."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.submit("j")
        await until(lambda: "j" in harness.domain.job_by_id)
        harness.group.commit_gate = Event()
        await until(lambda: any(command.batch.assigned for command in harness.group.proposals))
        await sleep(0.1)
        assert link.starts() == []
        harness.group.commit_gate.set()
        await until(lambda: link.starts() == ["j/g.0"])
        assert link.sent[-1].seq == 1 and link.sent[-1].session == "a"

    with_owner(check)


def test_an_owner_that_lost_leadership_sends_and_answers_nothing():
    """Guards against two owners that start tasks or renew leases at the same time."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.submit("j")
        await until(lambda: "j" in harness.domain.job_by_id)
        harness.group.commit_gate = Event()
        await until(lambda: any(command.batch.assigned for command in harness.group.proposals))
        owner_term = harness.owner.owner_term
        harness.group.lose_leadership()
        harness.group.commit_gate.set()
        await until(lambda: harness.owner.owner_term is None)
        assert link.starts() == [] and owner_term.is_over
        with pytest.raises(NotLeaderError):
            await harness.send_heartbeat(link, seq=2, full=False)
        with pytest.raises(NotLeaderError):
            owner_term.push_orders()

    with_owner(check)


def test_a_heartbeat_is_answered_only_after_a_quorum_round():
    """Guards against a former owner that renews a lease before it notices the next one."""

    async def check(harness):
        link, answers = WorkerLink(), []
        await harness.send_heartbeat(link)
        harness.group.round_gate = Event()

        async def send_heartbeat():
            try:
                answers.append(await harness.send_heartbeat(link, seq=2, full=False))
            except NotLeaderError:
                answers.append(None)

        async with create_task_group() as tasks:
            tasks.start_soon(send_heartbeat)
            await sleep(0.1)
            assert answers == []
            harness.group.is_leader = False
            harness.group.round_gate.set()
        assert answers == [None]

    with_owner(check)


def test_a_worker_is_lost_only_after_its_lease_and_its_tasks_are_placed_again():
    """Guards against two running attempts, and against tasks that are never placed again."""

    async def check(harness):
        first_link, second_link = WorkerLink(), WorkerLink()
        await harness.send_heartbeat(first_link)
        harness.submit("j")
        await until(lambda: first_link.starts() == ["j/g.0"])
        harness.clock.now += 20.0
        await harness.send_heartbeat(second_link, worker="w2")
        harness.clock.now += 11.0
        await harness.owner._worker_service.end_lost_workers()
        assert harness.domain.task("j/g.0").worker == "w1"
        harness.clock.now += 0.7
        await harness.owner._worker_service.end_lost_workers()
        await until(lambda: second_link.starts() == ["j/g.0"])
        assert harness.domain.task("j/g.0").attempt == 2
        assert "w1" not in harness.domain.worker_by_name

    with_owner(check)


def test_no_heartbeat_renews_a_lease_while_the_loss_is_committed():
    """Guards against a renewed lease for a worker whose loss is being committed."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.clock.now += 31.7
        harness.group.commit_gate = Event()
        async with create_task_group() as tasks:
            tasks.start_soon(harness.owner._worker_service.end_lost_workers)
            await until(lambda: bool(harness.owner.owner_term.losing_workers))
            with pytest.raises(RefusedError):
                await harness.send_heartbeat(link, seq=2, full=False)
            harness.group.commit_gate.set()
        answer = await harness.send_heartbeat(link, seq=3, session="b")
        assert answer.seq == 3

    with_owner(check)


def test_a_new_owner_counts_no_worker_as_lost_before_old_leases_end():
    """Guards against a new owner that ignores the leases that its predecessor granted."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.clock.now += 500.0
        harness.group.lose_leadership()
        await until(lambda: harness.owner.owner_term is None)
        harness.group.win_leadership()
        await until(lambda: harness.owner.owner_term is not None)
        harness.clock.now += 31.5
        await harness.owner._worker_service.end_lost_workers()
        assert "w1" in harness.domain.worker_by_name
        harness.clock.now += 0.2
        await harness.owner._worker_service.end_lost_workers()
        assert "w1" not in harness.domain.worker_by_name

    with_owner(check)


def test_reports_are_reconciled_with_the_assignments():
    """Guards against lost starts, unassigned tasks that run, and ends dropped before a commit."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.submit("j", tasks=2)
        await until(lambda: len(link.starts()) == 2)
        reconnected_link = WorkerLink()
        done = state("j/g.1", kind=AttemptState.SUCCEEDED)
        answer = await harness.send_heartbeat(
            reconnected_link, seq=2, attempts=[state("x/g.0"), done]
        )
        assert [start.task_id for start in answer.start] == ["j/g.0"]
        assert [stop.task_id for stop in answer.stop] == ["x/g.0"]
        assert [seen.task_id for seen in answer.seen] == ["j/g.1"]
        assert harness.domain.job_by_id["j"].succeeded == 1
        await harness.send_heartbeat(reconnected_link, seq=3, full=False, attempts=[state("j/g.0")])
        await until(lambda: harness.reports and harness.reports[-1].running == 1)

    with_owner(check)


def test_a_restarted_worker_loses_its_attempts_and_gets_new_ones():
    """Guards against an attempt that counts as running though its worker session has ended."""

    async def check(harness):
        link, reconnected_link = WorkerLink(), WorkerLink()
        await harness.send_heartbeat(link)
        harness.submit("j")
        await until(lambda: link.starts() == ["j/g.0"])
        harness.owner.handle_session_end(link)
        await harness.send_heartbeat(reconnected_link, session="b")
        await until(lambda: reconnected_link.starts() == ["j/g.0"])
        assert harness.domain.task("j/g.0").attempt == 2

    with_owner(check)


def test_changes_without_a_full_report_are_refused():
    """Guards against an owner that takes a list of changes for a full report."""

    async def check(harness):
        with pytest.raises(BadRequestError):
            await harness.send_heartbeat(WorkerLink(), full=False)

    with_owner(check)


def test_a_burst_of_cancellations_is_one_commit_and_stops_only_running_tasks():
    """Guards against a commit for each of 10,000 cancellations, and starts of cancelled tasks."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        for number in range(10_000):
            harness.submit(f"j{number}")
        await until(lambda: len(link.starts()) == 4)
        proposals_before = len(harness.group.proposals)
        for number in range(10_000):
            harness.submit(f"j{number}", cancelled=True)
        await until(lambda: len(link.stops()) == 4)
        commits = [
            command
            for command in harness.group.proposals[proposals_before:]
            if command.HasField("sync")
        ]
        assert len(commits) == 1
        ends = [state(task, kind=AttemptState.STOPPED) for task in link.starts()]
        await harness.send_heartbeat(link, seq=2, full=False, attempts=ends)
        await sleep(0.2)
        assert len(link.starts()) == 4
        assert all(job.cancelled == 1 for job in harness.domain.job_by_id.values())

    with_owner(check)


def test_a_gang_with_a_failed_task_is_stopped_and_started_again_whole():
    """Guards against a gang that continues with only some of its tasks."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.submit("gang", tasks=3, kind=JobSpec.GANG)
        await until(lambda: len(link.starts()) == 3)
        failed = state("gang/g.0", kind=AttemptState.FAILED)
        await harness.send_heartbeat(link, seq=2, full=False, attempts=[failed])
        await until(lambda: sorted(link.stops()) == ["gang/g.1", "gang/g.2"])
        ends = [state(task, kind=AttemptState.STOPPED) for task in ("gang/g.1", "gang/g.2")]
        await harness.send_heartbeat(link, seq=3, full=False, attempts=ends)
        await until(lambda: len(link.starts()) == 6)

    with_owner(check)


def test_a_term_is_built_from_the_committed_state():
    """Guards against a new owner that forgets running tasks and places them again."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        harness.submit("j", tasks=6)
        await until(lambda: len(link.starts()) == 4)
        harness.group.lose_leadership()
        await until(lambda: harness.owner.owner_term is None)
        harness.group.win_leadership()
        await until(lambda: harness.owner.owner_term is not None)
        pool = harness.owner.owner_term.placement.pool
        assert len(pool.allocation_by_task) == 4 and pool.worker_by_name["w1"].free.cpu == 0
        running = [state(task) for task in link.starts()]
        answer = await harness.send_heartbeat(link, seq=2, attempts=running)
        assert not answer.start and not answer.stop and answer.term == harness.group.term

    with_owner(check)


def test_configuration_and_ledger_are_answered_from_the_group():
    """Guards against a configuration that is not committed, and a ledger that bypasses the log."""

    async def check(harness):
        begin = LedgerBegin(key="k", caller="c", digest=b"d", attempt="a")
        reply = await harness.owner.handle_call(None, begin)
        assert reply.verdict == reply.GRANTED
        answers = []

        async def watch():
            answers.append(await harness.owner.handle_call(None, ConfigWatch(wait_s=30)))

        async with create_task_group() as tasks:
            tasks.start_soon(watch)
            await sleep(0.05)
            assert answers == []
            command = DomainCommand(
                at=1, sync=SyncReply(index=1, config=ConfigState(version=7, preset="ordinary"))
            )
            await harness.group.propose(command.SerializeToString())
            harness.owner._handle_config_change()
        assert answers[0].version == 7

    with_owner(check)


def test_a_shorter_lease_counts_only_when_longer_ones_are_over():
    """Guards against a worker counted as lost while a lease of an earlier preset runs."""

    async def configure(harness, version, lease_s):
        document = f"[presets.ordinary]\nlease_s = {lease_s}\n"
        config = ConfigState(version=version, preset="ordinary", document=document)
        command = DomainCommand(at=1, sync=SyncReply(index=harness.cell_index, config=config))
        await harness.group.propose(command.SerializeToString())
        harness.owner._handle_config_change()

    async def check(harness):
        link, worker_service = WorkerLink(), harness.owner._worker_service
        await configure(harness, 1, 60)
        assert (await harness.send_heartbeat(link)).lease_s == 60
        await configure(harness, 2, 10)
        harness.clock.now += 62.1
        await worker_service.end_lost_workers()
        assert "w1" in harness.domain.worker_by_name
        assert (await harness.send_heartbeat(link, seq=2, full=False)).lease_s == 10
        harness.clock.now += 0.2
        await worker_service.end_lost_workers()
        assert harness.domain.longest_lease_s == 10
        harness.clock.now += 11.2
        await worker_service.end_lost_workers()
        assert "w1" not in harness.domain.worker_by_name

    with_owner(check)


def test_a_refused_assignment_is_placed_again():
    """Guards against a task that is lost when the domain rejects an assignment by placement."""

    async def check(harness):
        link = WorkerLink()
        await harness.send_heartbeat(link)
        record = WorkerRecord(name="w1", domain="d", rack="r", session="z", capacity=CAPACITY)
        command = DomainCommand(at=1, batch=DomainBatch(joined=[record]))
        harness.submit("j")
        await until(lambda: "j" in harness.domain.job_by_id)
        harness.group.commit_gate = Event()
        await until(lambda: any(command.batch.assigned for command in harness.group.proposals))
        harness.domain.apply(index=99, command=command.SerializeToString())
        harness.group.commit_gate.set()
        await until(lambda: harness.domain.task("j/g.0").worker == "w1")
        assert harness.domain.task("j/g.0").session == "z"

    with_owner(check)


def test_a_job_that_never_fits_is_reported_with_the_reason():
    """Guards against a job that waits for ever and is not reported."""

    async def check(harness):
        await harness.send_heartbeat(WorkerLink())
        harness.submit("big", cpu=99_000)
        await until(lambda: harness.reports and harness.reports[-1].reason)
        assert harness.reports[-1].code == 0
        harness.clock.now += 11.0
        await until(lambda: harness.reports[-1].code == Code.NEVER_FITS)
        assert "99000 cpu_milli" in harness.reports[-1].reason

    with_owner(check)
