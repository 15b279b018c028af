"""The backlog after an outage: flows arrive at a constant rate while nothing starts for seconds.

Pattern: open loop of short flows of one class, at a share of the capacity; the leader is lost for
some seconds, in which the entries go on accepting, and then works off what has gathered.
"""

from pytest import mark

from siskintally.control_pb2 import Flow, FlowStep
from siskintally.driver import EndKind
from siskintally.flow_scheduler import FlowScheduler
from tests.flow_harness import QUEUE, FlowHarness, make_worker

WORKER_COUNT = 8
CPU_MILLI = 8000
TASKS_PER_FLOW = 4
RUN_S = 0.7
TICK_S = 0.05
OUTAGE_AT_S = 5.0
LENGTH_S = 60.0
# Flows that one second of all workers can carry.
CAPACITY_PER_S = WORKER_COUNT * CPU_MILLI / 1000 / RUN_S / TASKS_PER_FLOW
# Objective of a flow: the aim of its queue and a multiple of its run time.
OBJECTIVE_S = QUEUE.aim_ms / 1000 + QUEUE.stretch * RUN_S
# Longest wait of a flow whose objective is missed: it goes first once it is 30 s late.
LONGEST_WAIT_S = 32.0


class OutageSimulation:
    """A leader, its workers, and flows that arrive in an open loop, in simulated time."""

    def __init__(self, *, load, outage_s):
        self.harness = FlowHarness()
        self.rate = load * CAPACITY_PER_S
        self.outage_ends_s = OUTAGE_AT_S + outage_s
        self.outage_s = outage_s
        self.arrival_by_flow = {}
        self.response_by_flow = {}
        self.runs = []
        for number in range(WORKER_COUNT):
            self.harness.add_worker(make_worker(f"w{number}", cpu_milli=CPU_MILLI))

    def run(self):
        """Play the outage; return the simulation."""
        start = self.harness.now
        for tick in range(round(LENGTH_S / TICK_S)):
            elapsed_s = tick * TICK_S
            self.harness.now = start + elapsed_s
            self._submit_due(elapsed_s)
            if not OUTAGE_AT_S <= elapsed_s < self.outage_ends_s:
                self._end_runs(elapsed_s)
                self._place(elapsed_s)
        return self

    def _submit_due(self, elapsed_s):
        while len(self.arrival_by_flow) < elapsed_s * self.rate:
            name = f"f{len(self.arrival_by_flow):05}"
            step = FlowStep(
                tasks=TASKS_PER_FLOW, cpu_milli=1000, memory_mb=1, estimate_ms=int(RUN_S * 1000)
            )
            self.arrival_by_flow[name] = elapsed_s
            self.harness.submit(Flow(id=name, queue="q", spec="x", steps=[step]))

    def _end_runs(self, elapsed_s):
        due = [run for run in self.runs if run[0] <= elapsed_s]
        self.runs = [run for run in self.runs if run[0] > elapsed_s]
        for _, task_id, worker_id in due:
            self.harness.end_run(worker_id, task_id, EndKind.DONE)
        now = self.harness.now
        for worker_id in {worker_id for _, _, worker_id in due}:
            self.harness.deliver_report(worker_id)
            self.harness.ended_by_worker[worker_id].clear()
            self.harness.now = now
        for name in {task_id.partition(".")[0] for _, task_id, _ in due}:
            if name not in self.harness.scheduler.flow_by_id:
                self.response_by_flow[name] = elapsed_s - self.arrival_by_flow[name]

    def _place(self, elapsed_s):
        for task_id, worker_id in self.harness.place():
            self.runs.append((elapsed_s + RUN_S, task_id, worker_id))

    def share_in_time(self, *, arrived_from, arrived_until):
        """Return the share of the flows of a period that met their objective."""
        names = [
            name
            for name, arrival in self.arrival_by_flow.items()
            if arrived_from <= arrival < arrived_until
        ]
        in_time = [name for name in names if self.response_by_flow.get(name, 99.0) <= OBJECTIVE_S]
        return len(in_time) / len(names)


@mark.parametrize("outage_s", [2.0, 5.0, 10.0])
def test_flows_that_arrive_after_an_outage_do_not_wait_behind_its_backlog(outage_s):
    """Guards against an outage that makes flows late for many times its own length.

    With 0.7 of the capacity in use, the backlog takes 2.3 times the outage; in the order of their
    due times, every flow that arrives meanwhile would be late too.
    """
    simulation = OutageSimulation(load=0.7, outage_s=outage_s).run()
    ends_s = simulation.outage_ends_s
    assert simulation.share_in_time(arrived_from=ends_s + 1.0, arrived_until=40.0) >= 0.95


@mark.parametrize("load", [0.7, 1.2])
def test_flows_that_have_missed_their_objective_are_not_put_behind_others_for_ever(load):
    """Guards against starvation of the backlog while new flows fill the workers."""
    simulation = OutageSimulation(load=load, outage_s=5.0).run()
    for name, arrival in simulation.arrival_by_flow.items():
        if arrival < simulation.outage_ends_s:
            assert simulation.response_by_flow[name] <= LONGEST_WAIT_S + simulation.outage_s


def test_the_next_leader_counts_the_age_of_the_flows_that_it_takes_over():
    """Guards against a backlog that goes first after a change of leaders because it looks new."""
    harness = FlowHarness()
    wall_ms = 1_000_000_000
    for name, age_s in (("old", 10.0), ("new", 0.0), ("future", -3.0)):
        step = FlowStep(tasks=1, cpu_milli=1000, memory_mb=1, estimate_ms=int(RUN_S * 1000))
        accepted_ms = wall_ms - int(age_s * 1000)
        flow = Flow(id=name, queue="q", spec="x", steps=[step], accepted_ms=accepted_ms)
        harness.commit(accept=flow)
    scheduler = FlowScheduler(term=3)
    scheduler.restore(harness.state, harness.now, wall_ms=wall_ms)
    arrived_at = {flow.id: flow.arrived_at for flow in scheduler.flow_by_id.values()}
    assert arrived_at == {"old": harness.now - 10.0, "new": harness.now, "future": harness.now}
    order = [step.flow.id for step in scheduler.due_steps(harness.now, wall_ms)]
    assert order[-1] == "old"
