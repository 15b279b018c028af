"""Random walks of the flow scheduler: no order of faults breaks its invariants."""

from collections import Counter
from random import Random

import pytest

from siskintally.control_pb2 import Queue, StartBatch
from siskintally.control_state import Outcome
from siskintally.driver import EndKind, RunEnd, RunStatus, WorkerReport
from siskintally.fleet import WorkerStatus
from siskintally.flow import TaskState
from siskintally.report_handling import STOP_AGAIN_S
from siskintally.task_id import TaskId
from tests.flow_harness import QUEUE, FlowHarness, make_flow, make_step, make_worker

STEPS = 400
WORKER_COUNT = 5
CPU_MILLI = 4000
# Share of the stop orders that a worker confirms without ending the run.
INEFFECTIVE_STOP_SHARE = 0.1
# Reports of each worker, at intervals of more than STOP_AGAIN_S, after which no run of a closed
# flow is left: the first may order a stop, the second shows a stop without effect and orders
# another one, after which the third lists nothing.
REPORTS_UNTIL_STOPPED = 3


class SimulatedWorker:
    """The true state of a worker: its runs, the highest run by task, and its ends.

    ``lapsed_end_number``: number of its last end before its lease expired.
    """

    def __init__(self, record):
        self.record = record
        self.run_by_task = {}
        self.highest_run_by_task = {}
        self.fence = 0
        self.end_number = 0
        self.lapsed_end_number = 0
        self.ended = []

    def start(self, action, fence):
        """Carry out a start order, unless it is an old one."""
        task, run = action.task.id, action.run
        if fence < self.fence or run <= self.highest_run_by_task.get(task, 0):
            return False
        self.fence = fence
        self.highest_run_by_task[task] = run
        self.run_by_task[task] = run
        return True

    def end(self, task, kind):
        """End a run."""
        run = self.run_by_task.pop(task)
        self.highest_run_by_task[task] = max(run, self.highest_run_by_task.get(task, 0))
        self.end_number += 1
        row = RunEnd(number=self.end_number, task_id=task, run=run, kind=kind, checkpoint="")
        self.ended.append(row)

    def lapse(self):
        """Kill everything because the lease has expired."""
        self.run_by_task.clear()
        self.lapsed_end_number = self.end_number

    def acknowledged_failures(self):
        """Yield the failed ends that the leader knows of while their lease is held."""
        for row in self.ended:
            if row.kind == EndKind.FAILED and row.number > self.lapsed_end_number:
                yield row

    def stop(self, action, *, is_effective=True):
        """Carry out a stop order; a start of that run is refused from now on.

        A stop without effect leaves a run that is there, but still refuses its start.
        """
        task = action.task_id
        if is_effective and self.run_by_task.get(task) == action.run:
            self.end(task, EndKind.STOPPED)
        self.highest_run_by_task[task] = max(action.run, self.highest_run_by_task.get(task, 0))


class RandomWalk:
    """A leader, workers, and start orders in flight; each step takes one random action."""

    def __init__(self, seed, *, max_attempts=QUEUE.max_attempts, failed_share=0.25):
        self.random = Random(seed)
        self.failed_share = failed_share
        queue = Queue()
        queue.CopyFrom(QUEUE)
        queue.max_attempts = max_attempts
        self.harness = FlowHarness(queue=queue)
        self.failed_runs_by_task = {}
        self.simulated_by_id = {}
        self.orders_in_flight = []
        self.steps_by_task = {}
        self.flow_count = 0
        for number in range(WORKER_COUNT):
            record = make_worker(f"w{number}", cpu_milli=CPU_MILLI)
            self.simulated_by_id[record.id] = SimulatedWorker(record)
            self.harness.add_worker(record)

    @property
    def scheduler(self):
        """Scheduler of the current leader."""
        return self.harness.scheduler

    def submit_flow(self):
        """Submit a flow of one to three steps."""
        self.flow_count += 1
        steps = [
            make_step(
                self.random.randint(1, 4),
                cpu_milli=self.random.choice((500, 1000, 2000)),
                speculative=self.random.random() < 0.5,
                gang=self.random.random() < 0.2,
                after=[number - 1] if number else [],
            )
            for number in range(self.random.randint(1, 3))
        ]
        self.harness.submit(make_flow(f"f{self.flow_count}", *steps))

    def place_tasks(self):
        """Commit starts and send their orders; they are in flight until delivered."""
        actions = list(self.scheduler.place(self.harness.now, 0))
        for action in actions:
            self.check_attempts(action.task.id)
        starts = StartBatch(starts=[action.to_record() for action in actions])
        self.harness.commit(starts=starts)
        self.orders_in_flight.extend((self.scheduler, action) for action in actions)

    def deliver_order(self):
        """Deliver a random start order, perhaps long after it was sent; its answer may be lost."""
        if not self.orders_in_flight:
            return
        scheduler, action = self.orders_in_flight.pop(
            self.random.randrange(len(self.orders_in_flight))
        )
        simulated = self.simulated_by_id[action.worker.id]
        is_accepted = simulated.start(action, scheduler.term)
        self.check_invariants()
        is_answered = scheduler is self.scheduler and self.random.random() < 0.7
        if is_accepted and is_answered:
            scheduler.apply_started(action.task, action.run, self.harness.now)
        elif not is_accepted and is_answered and action.task.state == TaskState.STARTING:
            self.orders_in_flight.append((scheduler, action))

    def end_run(self):
        """End a random run as failed or done."""
        busy = [worker for worker in self.simulated_by_id.values() if worker.run_by_task]
        if busy:
            simulated = self.random.choice(busy)
            task = self.random.choice(sorted(simulated.run_by_task))
            if self.random.random() < self.failed_share:
                simulated.end(task, EndKind.FAILED)
            else:
                self.finish_run(simulated, task)

    def finish_run(self, simulated, task):
        """End a run as done; members of a gang end together, and only when all of them run."""
        if not self.step_of(task).gang:
            simulated.end(task, EndKind.DONE)
            return
        run, prefix = simulated.run_by_task[task], task.rpartition(".")[0] + "."
        members = [
            (member, name)
            for member in self.simulated_by_id.values()
            for name, member_run in member.run_by_task.items()
            if name.startswith(prefix) and member_run == run
        ]
        if len(members) == self.step_of(task).tasks:
            for member, name in members:
                member.end(name, EndKind.DONE)

    def deliver_report(self):
        """Let the leader process the report of a random worker."""
        self.deliver_report_of(self.random.choice(list(self.simulated_by_id.values())))

    def deliver_report_of(self, simulated):
        """Let the leader process the report of a worker."""
        simulated.fence = max(simulated.fence, self.scheduler.term)
        worker = self.scheduler.worker_by_id[simulated.record.id]
        if worker.status == WorkerStatus.LAPSED:
            simulated.lapse()
        rows = [
            RunStatus(
                task_id=task, run=run, checkpoint="", percent=self.random.randint(1, 99), load=0
            )
            for task, run in simulated.run_by_task.items()
        ]
        report = WorkerReport(clock_ms=1, running=rows, ended=list(simulated.ended))
        self.harness.uncommitted.extend(
            self.scheduler.apply_report(worker, report, self.harness.now, self.harness.now)
        )
        if self.random.random() < 0.9:
            self.harness.commit_ends()
            for row in simulated.acknowledged_failures():
                key = self.attempts_key(row.task_id)
                self.failed_runs_by_task.setdefault(key, set()).add(row.run)

    def deliver_stops(self, ineffective_share=0.0):
        """Deliver the stop orders; a share of them has no effect although it is confirmed."""
        stops, self.scheduler.stops = self.scheduler.stops, []
        for action in stops:
            is_effective = not ineffective_share or self.random.random() >= ineffective_share
            self.simulated_by_id[action.worker.id].stop(action, is_effective=is_effective)
            self.scheduler.apply_stopped(action, self.harness.now)

    def deliver_faulty_stops(self):
        """Deliver the stop orders, some without effect."""
        self.deliver_stops(INEFFECTIVE_STOP_SHARE)

    def suspect_worker(self):
        """Make a worker suspect, as if it had become unresponsive."""
        worker = self.random.choice(list(self.scheduler.worker_by_id.values()))
        if worker.status == WorkerStatus.READY:
            worker.status = WorkerStatus.SUSPECT
            self.scheduler.speculate(worker, self.harness.now)

    def expire_lease(self):
        """Expire the lease of an unresponsive worker.

        Its tasks are killed, and orders in flight to it are dropped, as they arrive too late.
        """
        for worker in list(self.scheduler.worker_by_id.values()):
            if worker.status in (WorkerStatus.SUSPECT, WorkerStatus.UNSEEN):
                self.simulated_by_id[worker.id].lapse()
                self.orders_in_flight = [
                    order for order in self.orders_in_flight if order[1].worker.id != worker.id
                ]
                self.scheduler.expire_lease(worker)
                return

    def change_leader(self):
        """Let another leader take over; what the last one had not committed is lost."""
        self.harness.begin_term(self.scheduler.term + 1)

    def cancel_flow(self):
        """Cancel a flow."""
        open_flows = sorted(self.scheduler.flow_by_id)
        if open_flows:
            flow_id = self.random.choice(open_flows)
            self.harness.commit(cancel={"id": flow_id})
            self.scheduler.cancel(flow_id)

    def check_invariants(self):
        """Check that no worker is over its capacity and no task has more runs than allowed."""
        runs_by_task = {}
        for simulated in self.simulated_by_id.values():
            used = 0
            for name, run in simulated.run_by_task.items():
                spec = self.step_of(name)
                used += spec.cpu_milli
                runs_by_task.setdefault(name, []).append(run)
            assert used <= CPU_MILLI, f"{simulated.record.id} uses {used} cpu_milli"
        for name, runs in runs_by_task.items():
            limit = 2 if self.step_of(name).speculative and not self.step_of(name).gang else 1
            assert len(runs) <= limit, f"{name} runs {len(runs)} times at once: {runs}"

    def attempts_key(self, name):
        """Return the task under which the attempts of a task, or of its gang, are counted."""
        return str(TaskId.parse(name)._replace(index=0)) if self.step_of(name).gang else name

    def check_attempts(self, name):
        """Check that a task that starts has not used up its attempts."""
        runs = self.failed_runs_by_task.get(self.attempts_key(name), ())
        limit = self.harness.queue.max_attempts
        assert len(runs) < limit, f"{name} starts after {len(runs)} of {limit} attempts failed"

    def check_failed_flows(self):
        """Check that each failed flow has a task whose attempts have all failed."""
        ends = {
            (self.attempts_key(row.task_id), row.run)
            for simulated in self.simulated_by_id.values()
            for row in simulated.ended
            if row.kind == EndKind.FAILED
        }
        count_by_task = Counter(name for name, _ in ends)
        for flow_id, state in self.harness.state.flow_by_id.items():
            if state.outcome == Outcome.FAILED:
                counts = [n for name, n in count_by_task.items() if name.startswith(f"{flow_id}.")]
                assert max(counts, default=0) >= self.harness.queue.max_attempts, flow_id

    def step_of(self, name):
        """Return the step of a task."""
        task = TaskId.parse(name)
        return self.harness.state.flow_by_id[task.flow].flow.steps[task.step]

    def run(self, *, are_stops_reliable=True):
        """Take ``STEPS`` random actions and check the invariants after each."""
        weight_by_action = {
            self.place_tasks: 20,
            self.deliver_order: 30,
            self.end_run: 15,
            self.deliver_report: 25,
            self.deliver_stops if are_stops_reliable else self.deliver_faulty_stops: 10,
            self.submit_flow: 4,
            self.suspect_worker: 3,
            self.expire_lease: 2,
            self.change_leader: 1,
            self.cancel_flow: 1,
        }
        for _ in range(STEPS):
            self.harness.now += 0.05
            [take_action] = self.random.choices(
                list(weight_by_action), list(weight_by_action.values())
            )
            take_action()
            self.check_invariants()

    def finish_all(self):
        """Finish all runs without faults; check that all flows end and free their resources."""
        for _ in range(200):
            self.harness.now += 1.0
            self.deliver_stops()
            for simulated in self.simulated_by_id.values():
                for task in list(simulated.run_by_task):
                    if task in simulated.run_by_task:
                        self.finish_run(simulated, task)
            for _ in range(WORKER_COUNT * 4):
                self.deliver_report()
            self.harness.commit_ends()
            self.place_tasks()
            while self.orders_in_flight:
                scheduler, action = self.orders_in_flight.pop()
                simulated = self.simulated_by_id[action.worker.id]
                if simulated.start(action, scheduler.term) and scheduler is self.scheduler:
                    scheduler.apply_started(action.task, action.run, self.harness.now)
            self.check_invariants()
            if not self.scheduler.flow_by_id and self.all_resources_are_free():
                return
        raise AssertionError(
            f"flows never end or resources are in use: {self.scheduler.flow_by_id}"
        )

    def close_all(self):
        """Cancel all flows; check that their runs end within a bounded number of reports."""
        for flow_id in sorted(self.scheduler.flow_by_id):
            self.harness.commit(cancel={"id": flow_id})
            self.scheduler.cancel(flow_id)
        while self.orders_in_flight:
            self.deliver_order()
        for _ in range(REPORTS_UNTIL_STOPPED):
            self.deliver_stops()
            self.harness.now += STOP_AGAIN_S + 0.1
            for simulated in self.simulated_by_id.values():
                self.deliver_report_of(simulated)
            self.place_tasks()
            assert not self.orders_in_flight, "a task of a closed flow is started"
        runs = [
            (simulated.record.id, simulated.run_by_task)
            for simulated in self.simulated_by_id.values()
            if simulated.run_by_task
        ]
        assert not runs, f"runs of closed flows go on: {runs}"
        assert not self.scheduler.flow_by_id
        assert self.all_resources_are_free()

    def all_resources_are_free(self):
        """Return whether no worker has a task or allocated resources."""
        return all(
            not worker.task_by_id and worker.free_cpu_milli == CPU_MILLI
            for worker in self.scheduler.worker_by_id.values()
        )


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
@pytest.mark.parametrize("seed", range(60))
def test_no_schedule_starts_a_task_after_its_attempts_have_failed(seed, max_attempts):
    """Guards against failures that do not count, or count twice, whatever order they come in."""
    walk = RandomWalk(seed, max_attempts=max_attempts, failed_share=0.6)
    walk.run()
    walk.finish_all()
    walk.check_failed_flows()


@pytest.mark.parametrize("seed", range(60))
def test_no_schedule_breaks_capacity_or_runs_a_task_twice(seed):
    """Guards against double runs, overcommitted workers, and flows that never end."""
    walk = RandomWalk(seed)
    walk.run()
    walk.finish_all()


def test_a_task_with_speculative_copies_runs_twice_at_most_across_leaders():
    """Guards against a third run of a task while two runs of former leaders go on.

    Seed 893 lies outside the seeds above.
    """
    RandomWalk(893).run()


@pytest.mark.parametrize("are_stops_reliable", [True, False])
@pytest.mark.parametrize("seed", range(60))
def test_no_run_of_a_closed_flow_goes_on_after_the_faults_have_ended(seed, are_stops_reliable):
    """Guards against a task of a cancelled flow that runs on because nobody stops it again."""
    walk = RandomWalk(seed)
    walk.run(are_stops_reliable=are_stops_reliable)
    walk.close_all()
