"""Harness for tests of the flow scheduler: workers obey at once, no network, simulated time."""

from siskintally.control_pb2 import (
    ControlCommand,
    EndBatch,
    Flow,
    FlowStep,
    PoolWorker,
    Queue,
    QueueDocument,
    StartBatch,
    WorkerService,
)
from siskintally.control_state import ControlState
from siskintally.driver import EndKind, RunEnd, RunStatus, WorkerReport
from siskintally.fleet import WorkerStatus
from siskintally.flow_scheduler import FlowScheduler

SERVICE = "pool"
QUEUE = Queue(
    name="q",
    host="h",
    prefix="/q/",
    service=SERVICE,
    timeout_ms=3000,
    aim_ms=400,
    max_attempts=3,
    stretch=1.5,
)


def make_worker(name, *, cpu_milli=8000, memory_mb=8000, born_ms=1, rack="r1"):
    """Return an announcement of a worker."""
    return PoolWorker(
        id=name,
        born_ms=born_ms,
        service=SERVICE,
        address="127.0.0.1:1",
        domain="d",
        cpu_milli=cpu_milli,
        memory_mb=memory_mb,
        labels=["a", rack],
        rack=rack,
    )


def make_flow(name, *steps, queue="q"):
    """Return a flow with steps, by default one task of one core."""
    steps = steps or (FlowStep(tasks=1, cpu_milli=1000, memory_mb=10, estimate_ms=1000),)
    return Flow(id=name, queue=queue, spec="spec", steps=steps)


def make_step(tasks, **fields):
    """Return a step of tasks with one core each."""
    fields = {"cpu_milli": 1000, "memory_mb": 10, "estimate_ms": 1000, **fields}
    return FlowStep(tasks=tasks, **fields)


class FlowHarness:
    """A leader's scheduler, the replicated state, and workers that carry out orders at once."""

    def __init__(self, *, queue=QUEUE, term=2):
        self.queue = queue
        self.state = ControlState()
        self.index = 1
        self.now = 100.0
        self.end_number_by_worker = {}
        self.running_by_worker = {}
        self.ended_by_worker = {}
        self.started = []
        self.uncommitted = []
        self.scheduler = FlowScheduler(term=term)
        self.configure(queue)
        self.begin_term(term)

    def begin_term(self, term):
        """Begin a new term: everything that was not committed is lost."""
        self.uncommitted = []
        self.scheduler = FlowScheduler(term=term)
        self.scheduler.restore(self.state, self.now)

    def commit(self, **fields):
        """Apply a command."""
        self.index += 1
        command = ControlCommand(**fields).SerializeToString()
        self.state.apply(index=self.index, command=command)

    def add_worker(self, record):
        """Let a worker join and report, if it is a new incarnation, that nothing runs there."""
        self.commit(join=record)
        self.scheduler.join(record)
        worker = self.scheduler.worker_by_id[record.id]
        if worker.status == WorkerStatus.UNSEEN:
            report = WorkerReport(clock_ms=int(self.now * 1000))
            self.scheduler.apply_report(worker, report, self.now, self.now)
        self.running_by_worker.setdefault(record.id, {})
        self.ended_by_worker.setdefault(record.id, [])

    def configure(self, *queues):
        """Put the next version of the configuration in force."""
        document = QueueDocument(
            version=self.state.document.version + 1,
            queues=queues,
            services=[WorkerService(name=SERVICE)],
        )
        self.commit(document=document)
        self.scheduler.update_queues(self.state, self.now)

    def submit(self, flow):
        """Submit a flow; the same flow may be submitted again."""
        queue = self.state.queue(flow.queue)
        if queue is not None:
            flow.host, flow.prefix = queue.host, queue.prefix
        self.accept(flow)

    def accept(self, flow):
        """Commit a flow that names its queue."""
        self.commit(accept=flow)
        stored = self.state.flow_by_id[flow.id].flow
        self.scheduler.accept(stored, self.state.queue_of(stored), self.now)

    def place(self):
        """Start all tasks that can be started; return the (task id, worker id) pairs."""
        pairs = []
        actions = list(self.scheduler.place(self.now, 0))
        self.commit(starts=StartBatch(starts=[action.to_record() for action in actions]))
        for action in actions:
            runs = self.running_by_worker[action.worker.id]
            runs[action.task.id] = action.run
            self.scheduler.apply_started(action.task, action.run, self.now)
            pairs.append((action.task.id, action.worker.id))
        self.started.extend(pairs)
        return pairs

    def carry_out_stops(self):
        """Carry out the pending stop orders on their workers; return the task ids."""
        stops, self.scheduler.stops = self.scheduler.stops, []
        for action in stops:
            if self.running_by_worker[action.worker.id].get(action.task_id) == action.run:
                self.end_run(action.worker.id, action.task_id, EndKind.STOPPED)
            self.scheduler.apply_stopped(action, self.now)
        return [action.task_id for action in stops]

    def confirm_stops_without_effect(self):
        """Confirm the pending stop orders, but let the runs go on; return the task ids."""
        stops, self.scheduler.stops = self.scheduler.stops, []
        for action in stops:
            self.scheduler.apply_stopped(action, self.now)
        return [action.task_id for action in stops]

    def end_run(self, worker_id, task_id, kind=EndKind.DONE, checkpoint=""):
        """End a run on its worker; the leader learns of it from the next report."""
        run = self.running_by_worker[worker_id].pop(task_id)
        number = self.end_number_by_worker.get(worker_id, 0) + 1
        self.end_number_by_worker[worker_id] = number
        self.ended_by_worker[worker_id].append(
            RunEnd(number=number, task_id=task_id, run=run, kind=kind, checkpoint=checkpoint)
        )

    def deliver_report(self, worker_id, *, commit=True, percent=0, load=0):
        """Let the leader process a report of a worker; with ``commit``, commit the ends in it."""
        self.now += 0.01
        report = WorkerReport(
            clock_ms=int(self.now * 1000),
            running=[
                RunStatus(task_id=task_id, run=run, percent=percent, load=load)
                for task_id, run in self.running_by_worker[worker_id].items()
            ],
            ended=list(self.ended_by_worker[worker_id]),
        )
        worker = self.scheduler.worker_by_id[worker_id]
        ends = self.scheduler.apply_report(worker, report, self.now, self.now)
        self.uncommitted.extend(ends)
        if commit:
            self.commit_ends()
        return ends

    def commit_ends(self):
        """Commit the ends that were reported."""
        if self.uncommitted:
            self.commit(ends=EndBatch(ends=self.uncommitted))
            self.uncommitted = []
