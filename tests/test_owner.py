"""Owner: commits before starts, silence after deposition, leases, cancellation waves."""

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
    """Monotonic time that a test moves."""

    __slots__ = ("now",)

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time."""
        return self.now


class OwnerGroup(FakeGroup):
    """A fake group with leadership messages, and commits and rounds that a test can hold up."""

    __slots__ = ("ends", "gate", "proposals", "round_gate")

    def __init__(self, *, machine):
        super().__init__(machine=machine, name=GROUP)
        self.ends = []
        self.gate = self.round_gate = None
        self.proposals = []

    def watch(self):
        """Return a stream of Leadership."""
        sender, receiver = create_memory_object_stream(16)
        sender.send_nowait(Leadership(term=self.term, leader="s1", is_leader=self.is_leader))
        self.ends.append(sender)
        return receiver

    def depose(self):
        """Lose the leadership."""
        self.is_leader = False
        for end in self.ends:
            end.send_nowait(Leadership(term=self.term, leader="s2", is_leader=False))

    def elect(self):
        """Win it again, in a higher term."""
        self.is_leader, self.term = True, self.term + 1
        for end in self.ends:
            end.send_nowait(Leadership(term=self.term, leader="s1", is_leader=True))

    async def propose(self, command):
        """Apply a command once the gate is open."""
        self.proposals.append(DomainCommand.FromString(command))
        if self.gate is not None:
            await self.gate.wait()
        if not self.is_leader:
            raise OutcomeUnknownError("leadership was lost")
        return await super().propose(command)

    async def confirm(self, *, urgent=True):
        """Complete a round once its gate is open."""
        if self.round_gate is not None:
            await self.round_gate.wait()
        await super().confirm()


class WorkerLink:
    """A worker's link as the owner sees it."""

    __slots__ = ("sent",)

    def __init__(self):
        self.sent = []

    def send(self, body):
        """Keep what the owner pushes."""
        self.sent.append(body)
        return True

    def starts(self):
        """Return the ids of the tasks whose start was pushed."""
        return [start.task_id for orders in self.sent for start in orders.start]

    def stops(self):
        """Return the ids of the tasks whose stop was pushed."""
        return [stop.task_id for orders in self.sent for stop in orders.stop]


class Bench:
    """An owner with a fake group, a cell that a test feeds, and a clock."""

    __slots__ = ("cell_index", "clock", "domain", "group", "items", "owner", "reports")

    def __init__(self):
        self.clock = Clock()
        self.domain = Domain(group=GROUP)
        self.group = OwnerGroup(machine=self.domain)
        self.items = []
        self.reports = []
        self.cell_index = 0
        settings = GroupSettings(name=GROUP, members=("s1",), domains=("d",))
        self.owner = Owner(
            group=self.group,
            domain=self.domain,
            settings=_Settings(group_by_name={GROUP: settings}),
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
        while not self.items:
            await sleep(0.005)
        items, self.items = self.items, []
        if isinstance(items[0], SyncReply):
            return items[0]
        return SyncReply(index=self.cell_index, jobs=items)

    def submit(self, name, *, tasks=1, cancelled=False, cpu=1000, **more):
        """Have the cell send a job."""
        self.cell_index += 1
        spec = JobSpec(name=name, each=Resources(cpu_milli=cpu, memory_mb=1), run_s=60, **more)
        self.items.append(
            JobItem(
                job_id=name,
                spec=spec,
                tasks=tasks,
                cancelled=cancelled,
                changed_at=self.cell_index,
            )
        )

    async def beat(self, link, *, worker="w1", seq=1, session="a", full=True, attempts=()):
        """Send a heartbeat and return the answer, which the link keeps too."""
        answer = await self.owner.answer(
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


class _Settings:
    __slots__ = ("group_by_name",)

    def __init__(self, *, group_by_name):
        self.group_by_name = group_by_name


async def until(condition):
    while not condition():
        await sleep(0.005)


def with_owner(check):
    async def main():
        bench = Bench()
        with fail_after(60):
            async with create_task_group() as tasks:
                tasks.start_soon(bench.owner.run)
                await until(lambda: bench.owner.owner_term is not None)
                await check(bench)
                tasks.cancel_scope.cancel()

    run(main)


def state(task_id, attempt=1, kind=AttemptState.RUNNING):
    return AttemptState(task_id=task_id, attempt=attempt, state=kind)


def test_a_start_is_sent_only_after_its_assignment_is_committed():
    """Guards against a start that no later owner knows of."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        bench.submit("j")
        await until(lambda: "j" in bench.domain.job_by_id)
        bench.group.gate = Event()
        await until(lambda: any(one.batch.assigned for one in bench.group.proposals))
        await sleep(0.1)
        assert link.starts() == []
        bench.group.gate.set()
        await until(lambda: link.starts() == ["j/g.0"])
        assert link.sent[-1].seq == 1 and link.sent[-1].session == "a"

    with_owner(check)


def test_a_deposed_owner_sends_nothing_and_answers_nothing():
    """Guards against two owners that start tasks or renew leases."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        bench.submit("j")
        await until(lambda: "j" in bench.domain.job_by_id)
        bench.group.gate = Event()
        await until(lambda: any(one.batch.assigned for one in bench.group.proposals))
        owner_term = bench.owner.owner_term
        bench.group.depose()
        bench.group.gate.set()
        await until(lambda: bench.owner.owner_term is None)
        assert link.starts() == [] and owner_term.is_over
        with pytest.raises(NotLeaderError):
            await bench.beat(link, seq=2, full=False)
        with pytest.raises(NotLeaderError):
            owner_term.push_orders()

    with_owner(check)


def test_a_heartbeat_is_answered_only_after_a_quorum_round():
    """Guards against a deposed owner that renews a lease before it notices."""

    async def check(bench):
        link, answers = WorkerLink(), []
        await bench.beat(link)
        bench.group.round_gate = Event()

        async def beat():
            try:
                answers.append(await bench.beat(link, seq=2, full=False))
            except NotLeaderError:
                answers.append(None)

        async with create_task_group() as tasks:
            tasks.start_soon(beat)
            await sleep(0.1)
            assert answers == []
            bench.group.is_leader = False
            bench.group.round_gate.set()
        assert answers == [None]

    with_owner(check)


def test_a_worker_is_lost_only_after_its_lease_and_its_tasks_are_placed_again():
    """Guards against two running attempts, and against tasks that are never placed again."""

    async def check(bench):
        one, two = WorkerLink(), WorkerLink()
        await bench.beat(one)
        bench.submit("j")
        await until(lambda: one.starts() == ["j/g.0"])
        bench.clock.now += 20.0
        await bench.beat(two, worker="w2")
        bench.clock.now += 11.0
        await bench.owner._worker_service.end_lost_workers()
        assert bench.domain.task("j/g.0").worker == "w1"
        bench.clock.now += 0.7
        await bench.owner._worker_service.end_lost_workers()
        await until(lambda: two.starts() == ["j/g.0"])
        assert bench.domain.task("j/g.0").attempt == 2
        assert "w1" not in bench.domain.worker_by_name

    with_owner(check)


def test_no_heartbeat_renews_a_lease_while_the_loss_is_committed():
    """Guards against an answer that overtakes the decision that the worker is lost."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        bench.clock.now += 31.7
        bench.group.gate = Event()
        async with create_task_group() as tasks:
            tasks.start_soon(bench.owner._worker_service.end_lost_workers)
            await until(lambda: bool(bench.owner.owner_term.losing_workers))
            with pytest.raises(RefusedError):
                await bench.beat(link, seq=2, full=False)
            bench.group.gate.set()
        answer = await bench.beat(link, seq=3, session="b")
        assert answer.seq == 3

    with_owner(check)


def test_a_new_owner_counts_no_worker_as_lost_before_old_leases_end():
    """Guards against an owner that knows nothing of the leases its predecessor gave."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        bench.clock.now += 500.0
        bench.group.depose()
        await until(lambda: bench.owner.owner_term is None)
        bench.group.elect()
        await until(lambda: bench.owner.owner_term is not None)
        bench.clock.now += 31.5
        await bench.owner._worker_service.end_lost_workers()
        assert "w1" in bench.domain.worker_by_name
        bench.clock.now += 0.2
        await bench.owner._worker_service.end_lost_workers()
        assert "w1" not in bench.domain.worker_by_name

    with_owner(check)


def test_reports_are_reconciled_with_the_assignments():
    """Guards against lost starts, tasks nobody assigned, and ends that are forgotten too soon."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        bench.submit("j", tasks=2)
        await until(lambda: len(link.starts()) == 2)
        again = WorkerLink()
        done = state("j/g.1", kind=AttemptState.SUCCEEDED)
        answer = await bench.beat(again, seq=2, attempts=[state("x/g.0"), done])
        assert [start.task_id for start in answer.start] == ["j/g.0"]
        assert [stop.task_id for stop in answer.stop] == ["x/g.0"]
        assert [seen.task_id for seen in answer.seen] == ["j/g.1"]
        assert bench.domain.job_by_id["j"].succeeded == 1
        await bench.beat(again, seq=3, full=False, attempts=[state("j/g.0")])
        await until(lambda: bench.reports and bench.reports[-1].running == 1)

    with_owner(check)


def test_a_restarted_worker_loses_its_attempts_and_gets_new_ones():
    """Guards against an attempt that is believed to run in a session that is gone."""

    async def check(bench):
        link, again = WorkerLink(), WorkerLink()
        await bench.beat(link)
        bench.submit("j")
        await until(lambda: link.starts() == ["j/g.0"])
        bench.owner.closed(link)
        await bench.beat(again, session="b")
        await until(lambda: again.starts() == ["j/g.0"])
        assert bench.domain.task("j/g.0").attempt == 2

    with_owner(check)


def test_changes_without_a_full_report_are_refused():
    """Guards against an owner that takes a change list for the whole list."""

    async def check(bench):
        with pytest.raises(BadRequestError):
            await bench.beat(WorkerLink(), full=False)

    with_owner(check)


def test_a_cancellation_wave_is_one_commit_and_stops_only_what_runs():
    """Guards against 10,000 commits, and against tasks that are started after the wave."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        for number in range(10_000):
            bench.submit(f"j{number}")
        await until(lambda: len(link.starts()) == 4)
        before = len(bench.group.proposals)
        for number in range(10_000):
            bench.submit(f"j{number}", cancelled=True)
        await until(lambda: len(link.stops()) == 4)
        commits = [one for one in bench.group.proposals[before:] if one.HasField("sync")]
        assert len(commits) == 1
        ends = [state(task, kind=AttemptState.STOPPED) for task in link.starts()]
        await bench.beat(link, seq=2, full=False, attempts=ends)
        await sleep(0.2)
        assert len(link.starts()) == 4
        assert all(job.cancelled == 1 for job in bench.domain.job_by_id.values())

    with_owner(check)


def test_a_gang_with_a_failed_task_is_stopped_and_started_again_whole():
    """Guards against a gang that goes on with a part of its tasks."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        bench.submit("gang", tasks=3, kind=JobSpec.GANG)
        await until(lambda: len(link.starts()) == 3)
        failed = state("gang/g.0", kind=AttemptState.FAILED)
        await bench.beat(link, seq=2, full=False, attempts=[failed])
        await until(lambda: sorted(link.stops()) == ["gang/g.1", "gang/g.2"])
        ends = [state(task, kind=AttemptState.STOPPED) for task in ("gang/g.1", "gang/g.2")]
        await bench.beat(link, seq=3, full=False, attempts=ends)
        await until(lambda: len(link.starts()) == 6)

    with_owner(check)


def test_a_term_is_built_from_the_committed_state():
    """Guards against a new owner that forgets running tasks and places them again."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        bench.submit("j", tasks=6)
        await until(lambda: len(link.starts()) == 4)
        bench.group.depose()
        await until(lambda: bench.owner.owner_term is None)
        bench.group.elect()
        await until(lambda: bench.owner.owner_term is not None)
        pool = bench.owner.owner_term.placement.pool
        assert len(pool.allocation_by_task) == 4 and pool.worker_by_name["w1"].free.cpu == 0
        running = [state(task) for task in link.starts()]
        answer = await bench.beat(link, seq=2, attempts=running)
        assert not answer.start and not answer.stop and answer.term == bench.group.term

    with_owner(check)


def test_configuration_and_ledger_are_answered_from_the_group():
    """Guards against a configuration that is not committed, and a ledger past the log."""

    async def check(bench):
        begin = LedgerBegin(key="k", caller="c", digest=b"d", attempt="a")
        reply = await bench.owner.answer(None, begin)
        assert reply.verdict == reply.GRANTED
        answers = []

        async def watch():
            answers.append(await bench.owner.answer(None, ConfigWatch(wait_s=30)))

        async with create_task_group() as tasks:
            tasks.start_soon(watch)
            await sleep(0.05)
            assert answers == []
            command = DomainCommand(
                at=1, sync=SyncReply(index=1, config=ConfigState(version=7, preset="ordinary"))
            )
            await bench.group.propose(command.SerializeToString())
            bench.owner._handle_config_change()
        assert answers[0].version == 7

    with_owner(check)


def test_a_shorter_lease_counts_only_when_longer_ones_are_over():
    """Guards against a worker counted as lost while a lease of an earlier preset runs."""

    async def configure(bench, version, lease_s):
        document = f"[presets.ordinary]\nlease_s = {lease_s}\n"
        config = ConfigState(version=version, preset="ordinary", document=document)
        command = DomainCommand(at=1, sync=SyncReply(index=bench.cell_index, config=config))
        await bench.group.propose(command.SerializeToString())
        bench.owner._handle_config_change()

    async def check(bench):
        link, worker_service = WorkerLink(), bench.owner._worker_service
        await configure(bench, 1, 60)
        assert (await bench.beat(link)).lease_s == 60
        await configure(bench, 2, 10)
        bench.clock.now += 62.1
        await worker_service.end_lost_workers()
        assert "w1" in bench.domain.worker_by_name
        assert (await bench.beat(link, seq=2, full=False)).lease_s == 10
        bench.clock.now += 0.2
        await worker_service.end_lost_workers()
        assert bench.domain.longest_lease_s == 10
        bench.clock.now += 11.2
        await worker_service.end_lost_workers()
        assert "w1" not in bench.domain.worker_by_name

    with_owner(check)


def test_a_refused_assignment_is_placed_again():
    """Guards against a task that is lost when the domain refuses what placement decided."""

    async def check(bench):
        link = WorkerLink()
        await bench.beat(link)
        record = WorkerRecord(name="w1", domain="d", rack="r", session="z", capacity=CAPACITY)
        command = DomainCommand(at=1, batch=DomainBatch(joined=[record]))
        bench.submit("j")
        await until(lambda: "j" in bench.domain.job_by_id)
        bench.group.gate = Event()
        await until(lambda: any(one.batch.assigned for one in bench.group.proposals))
        bench.domain.apply(index=99, command=command.SerializeToString())
        bench.group.gate.set()
        await until(lambda: bench.domain.task("j/g.0").worker == "w1")
        assert bench.domain.task("j/g.0").session == "z"

    with_owner(check)


def test_a_job_that_never_fits_is_reported_with_the_reason():
    """Guards against a job that waits silently for ever."""

    async def check(bench):
        await bench.beat(WorkerLink())
        bench.submit("big", cpu=99_000)
        await until(lambda: bench.reports and bench.reports[-1].reason)
        assert bench.reports[-1].code == 0
        bench.clock.now += 11.0
        await until(lambda: bench.reports[-1].code == Code.NEVER_FITS)
        assert "99000 cpu_milli" in bench.reports[-1].reason

    with_owner(check)
