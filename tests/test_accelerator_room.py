"""Large tasks beside small ones: jobs of one accelerator keep a job of eight waiting.

Pattern: workers with eight accelerators; small tasks of one accelerator arrive all the time, and
now and then a job that needs all eight of one worker, of a higher priority.
"""

from pytest import mark

from siskintally.advice_planning import AdviceAction
from siskintally.control_pb2 import AdviceTerms, Flow, FlowStep, Queue
from siskintally.driver import Ticket
from tests.flow_harness import SERVICE, FlowHarness, make_worker

WORKER_COUNT = 6
ACCELERATORS = 8
SMALL_RUN_S = 3.0
LARGE_RUN_S = 4.0
TICK_S = 0.05
LENGTH_S = 60.0
LARGE_INTERVAL_S = 6.0
# Share of the accelerators that the small tasks would use alone.
SMALL_LOAD = 0.6
# The longest small task, and a moment for permits and passes.
LONGEST_WAIT_S = SMALL_RUN_S + 2.0
ADVICE_S = 0.6
TICKET_VALID_S = 2.0
SMALL_QUEUE = Queue(
    name="small", host="h", prefix="/s/", service=SERVICE, timeout_ms=3000, priority=2, stretch=4.0
)


def make_large_queue(*, has_advice):
    """Return the queue of the large jobs."""
    queue = Queue(
        name="large", host="h", prefix="/l/", service=SERVICE, timeout_ms=3000, priority=1
    )
    if has_advice:
        queue.advice.CopyFrom(
            AdviceTerms(decide_ms=ADVICE_S * 1000, valid_ms=TICKET_VALID_S * 1000)
        )
    return queue


class MixedLoad:
    """A leader, its workers, and flows of both kinds, in simulated time.

    With advice, two of the workers may run each large job.
    """

    def __init__(self, *, has_advice):
        self.harness = FlowHarness()
        self.large_queue = make_large_queue(has_advice=has_advice)
        self.wait_by_large_flow = {}
        self.runs = []
        self.pending_advice = []
        self.small_count = self.large_count = 0
        for number in range(WORKER_COUNT):
            record = make_worker(f"w{number}", cpu_milli=32_000)
            record.accelerators = ACCELERATORS
            self.harness.add_worker(record)

    def run(self):
        """Play the load; return the simulation."""
        start = self.harness.now
        for tick in range(round(LENGTH_S / TICK_S)):
            elapsed_s = tick * TICK_S
            self.harness.now = start + elapsed_s
            self._submit_due(elapsed_s)
            self._end_runs(elapsed_s)
            self._answer_advice(elapsed_s)
            self._place(elapsed_s)
            self._ask_advice(elapsed_s)
        return self

    def _submit_due(self, elapsed_s):
        rate = SMALL_LOAD * WORKER_COUNT * ACCELERATORS / SMALL_RUN_S
        while self.small_count < elapsed_s * rate:
            self.small_count += 1
            self._submit(f"s{self.small_count}", SMALL_QUEUE, 1, SMALL_RUN_S)
        while self.large_count < elapsed_s / LARGE_INTERVAL_S:
            self.large_count += 1
            name = f"l{self.large_count}"
            self.wait_by_large_flow[name] = elapsed_s
            self._submit(name, self.large_queue, ACCELERATORS, LARGE_RUN_S)

    def _submit(self, name, queue, accelerators, run_s):
        step = FlowStep(
            tasks=1, cpu_milli=1000, accelerators=accelerators, estimate_ms=int(run_s * 1000)
        )
        flow = Flow(id=name, queue=queue.name, spec="x", steps=[step])
        self.harness.commit(accept=flow)
        self.harness.scheduler.accept(flow, queue, self.harness.now)

    def _end_runs(self, elapsed_s):
        due = [run for run in self.runs if run[0] <= elapsed_s]
        self.runs = [run for run in self.runs if run[0] > elapsed_s]
        now = self.harness.now
        # Progress that does not change would count as a stall.
        percent = int(elapsed_s / TICK_S) % 98 + 1
        for _, task_id, worker_id in due:
            self.harness.end_run(worker_id, task_id)
            self.harness.deliver_report(worker_id, percent=percent)
            self.harness.ended_by_worker[worker_id].clear()
            self.harness.now = now

    def _place(self, elapsed_s):
        for task_id, worker_id in self.harness.place():
            name = task_id.partition(".")[0]
            is_large = name in self.wait_by_large_flow
            run_s = LARGE_RUN_S if is_large else SMALL_RUN_S
            self.runs.append((elapsed_s + run_s, task_id, worker_id))
            if is_large:
                self.wait_by_large_flow[name] = elapsed_s - self.wait_by_large_flow[name]
        for worker in self.harness.scheduler.worker_by_id.values():
            assert worker.free_accelerators >= 0

    def _ask_advice(self, elapsed_s):
        for action in self.harness.scheduler.plan_advice_calls(self.harness.now, 0):
            assert isinstance(action, AdviceAction)
            action.step.is_asking = True
            self.pending_advice.append((elapsed_s + ADVICE_S, action))

    def _answer_advice(self, elapsed_s):
        due = [item for item in self.pending_advice if item[0] <= elapsed_s]
        self.pending_advice = [item for item in self.pending_advice if item[0] > elapsed_s]
        for _, action in due:
            number = int(action.step.flow.id[1:])
            allowed = {f"w{number % WORKER_COUNT}", f"w{(number + 3) % WORKER_COUNT}"}
            tickets = [
                Ticket(worker_id=worker_id, text="t")
                for worker_id in action.worker_ids
                if worker_id in allowed
            ]
            now = self.harness.now
            self.harness.scheduler.apply_advice(action, tickets, now + TICKET_VALID_S, now)


@mark.parametrize("has_advice", [False, True])
def test_a_job_of_all_accelerators_of_a_worker_is_not_kept_waiting_by_small_tasks(has_advice):
    """Guards against a large job that waits until chance empties a worker that it may use."""
    load = MixedLoad(has_advice=has_advice).run()
    started = dict(load.wait_by_large_flow)
    latest = f"l{load.large_count}"
    started.pop(latest)
    assert max(started.values()) <= LONGEST_WAIT_S, started


@mark.parametrize("has_advice", [False, True])
def test_small_tasks_go_on_beside_reserved_workers(has_advice):
    """Guards against reservations that leave most of the accelerators unused."""
    load = MixedLoad(has_advice=has_advice).run()
    waiting = sum(
        len(step.waiting)
        for flow in load.harness.scheduler.flow_by_id.values()
        for step in flow.steps()
        if flow.id.startswith("s")
    )
    assert waiting <= WORKER_COUNT * ACCELERATORS / 2


def make_waiting_leader():
    """Return a load of idle workers, and as many large flows that wait for their permits."""
    load = MixedLoad(has_advice=True)
    for number in range(WORKER_COUNT):
        load._submit(f"l{number}", load.large_queue, ACCELERATORS, LARGE_RUN_S)
    for action in list(load.harness.scheduler.plan_advice_calls(load.harness.now, 0)):
        tickets = [Ticket(worker_id=worker_id, text="t") for worker_id in action.worker_ids]
        expired_at = load.harness.now
        load.harness.scheduler.apply_advice(action, tickets, expired_at, load.harness.now)
    return load


def test_reservations_leave_most_workers_to_smaller_tasks():
    """Guards against small tasks that nothing starts while large ones wait for their permits."""
    load = make_waiting_leader()
    count = WORKER_COUNT * ACCELERATORS
    for number in range(count):
        load._submit(f"s{number}", SMALL_QUEUE, 1, SMALL_RUN_S)
    used = {worker_id for _, worker_id in load.harness.place()}
    assert len(used) >= WORKER_COUNT / 2


def test_a_small_task_that_is_late_does_not_go_around_reserved_workers():
    """Guards against a small task that waits for ever because its workers stay reserved."""
    load = make_waiting_leader()
    for number in range(WORKER_COUNT * ACCELERATORS):
        load._submit(f"s{number}", SMALL_QUEUE, 1, SMALL_RUN_S)
    # Beyond the latest start that meets the due time of the small tasks.
    load.harness.now += SMALL_QUEUE.stretch * SMALL_RUN_S
    assert len({worker_id for _, worker_id in load.harness.place()}) == WORKER_COUNT
