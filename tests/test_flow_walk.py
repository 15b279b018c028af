"""Random walks of the flow scheduler: no order of faults breaks its invariants."""

from random import Random

import pytest

from siskintally.control_pb2 import StartBatch
from siskintally.driver import EndKind, EndRow, RunRow, WorkerReport
from siskintally.fleet import WorkerStatus
from siskintally.flow import TaskState
from siskintally.task_id import TaskId
from tests.flow_rig import QUEUE, FlowRig, flow, start_record, step, worker

STEPS = 400
WORKERS = 5
CPU_MILLI = 4000


class Machine:
    """The true state of a worker: its runs, the highest run by task, and its ends."""

    def __init__(self, record):
        self.record = record
        self.run_by_task = {}
        self.highest_by_task = {}
        self.fence = 0
        self.number = 0
        self.ended = []

    def start(self, action, fence):
        """Carry out a start order, unless it is an old one."""
        task, run = action.task.id, action.run
        if fence < self.fence or run <= self.highest_by_task.get(task, 0):
            return False
        self.fence = fence
        self.highest_by_task[task] = run
        self.run_by_task[task] = run
        return True

    def end(self, task, kind):
        """End a run."""
        run = self.run_by_task.pop(task)
        self.highest_by_task[task] = max(run, self.highest_by_task.get(task, 0))
        self.number += 1
        row = EndRow(number=self.number, task_id=task, run=run, kind=kind, checkpoint="")
        self.ended.append(row)

    def stop(self, action):
        """Carry out a stop order; a start of that run is refused from now on."""
        task = action.task_id
        if self.run_by_task.get(task) == action.run:
            self.end(task, EndKind.STOPPED)
        self.highest_by_task[task] = max(action.run, self.highest_by_task.get(task, 0))


class Walk:
    """A leader, workers, and start orders in flight; each step takes one random action."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.rig = FlowRig(queue=QUEUE)
        self.machines = {}
        self.orders = []
        self.steps_by_task = {}
        self.flows = 0
        for number in range(WORKERS):
            record = worker(f"w{number}", cpu_milli=CPU_MILLI)
            self.machines[record.id] = Machine(record)
            self.rig.add(record)

    @property
    def scheduler(self):
        """Scheduler of the current leader."""
        return self.rig.scheduler

    def submit(self):
        """Submit a flow of one to three steps."""
        self.flows += 1
        shapes = [
            step(
                self.random.randint(1, 4),
                cpu_milli=self.random.choice((500, 1000, 2000)),
                speculative=self.random.random() < 0.5,
                gang=self.random.random() < 0.2,
                after=[number - 1] if number else [],
            )
            for number in range(self.random.randint(1, 3))
        ]
        self.rig.submit(flow(f"f{self.flows}", *shapes))

    def place(self):
        """Commit starts and send their orders; they are in flight until delivered."""
        actions = list(self.scheduler.place(self.rig.now, 0))
        starts = StartBatch(starts=[start_record(action) for action in actions])
        self.rig.commit(starts=starts)
        self.orders.extend((self.scheduler, action) for action in actions)

    def deliver(self):
        """Deliver a random start order, perhaps long after it was sent; its answer may be lost."""
        if not self.orders:
            return
        scheduler, action = self.orders.pop(self.random.randrange(len(self.orders)))
        machine = self.machines[action.worker.id]
        taken = machine.start(action, scheduler.term)
        self.check()
        is_answered = scheduler is self.scheduler and self.random.random() < 0.7
        if taken and is_answered:
            scheduler.apply_started(action.task, action.run, self.rig.now)
        elif not taken and is_answered and action.task.state == TaskState.STARTING:
            self.orders.append((scheduler, action))

    def end(self):
        """End a random run as failed or done."""
        busy = [one for one in self.machines.values() if one.run_by_task]
        if busy:
            machine = self.random.choice(busy)
            task = self.random.choice(sorted(machine.run_by_task))
            if self.random.random() < 0.25:
                machine.end(task, EndKind.FAILED)
            else:
                self.finish(machine, task)

    def finish(self, machine, task):
        """End a run as done; members of a gang end together, and only when all of them run."""
        if not self.spec(task).gang:
            machine.end(task, EndKind.DONE)
            return
        run, prefix = machine.run_by_task[task], task.rpartition(".")[0] + "."
        members = [
            (one, name)
            for one in self.machines.values()
            for name, its_run in one.run_by_task.items()
            if name.startswith(prefix) and its_run == run
        ]
        if len(members) == self.spec(task).tasks:
            for one, name in members:
                one.end(name, EndKind.DONE)

    def report(self):
        """Let the leader process the report of a random worker."""
        machine = self.random.choice(list(self.machines.values()))
        machine.fence = max(machine.fence, self.scheduler.term)
        found = self.scheduler.worker_by_id[machine.record.id]
        if found.status == WorkerStatus.LAPSED:
            machine.run_by_task.clear()
        rows = [
            RunRow(task_id=task, run=run, checkpoint="", percent=self.random.randint(1, 99), load=0)
            for task, run in machine.run_by_task.items()
        ]
        report = WorkerReport(clock_ms=1, running=rows, ended=list(machine.ended))
        self.rig.uncommitted.extend(
            self.scheduler.apply_report(found, report, self.rig.now, self.rig.now)
        )
        if self.random.random() < 0.9:
            self.rig.settle()

    def stop(self):
        """Deliver the stop orders."""
        stops, self.scheduler.stops = self.scheduler.stops, []
        for action in stops:
            self.machines[action.worker.id].stop(action)
            self.scheduler.apply_stopped(action, self.rig.now)

    def suspect(self):
        """Make a worker suspect, as if it had become unresponsive."""
        found = self.random.choice(list(self.scheduler.worker_by_id.values()))
        if found.status == WorkerStatus.READY:
            found.status = WorkerStatus.SUSPECT
            self.scheduler.speculate(found, self.rig.now)

    def expire_lease(self):
        """Expire the lease of an unresponsive worker.

        Its tasks are killed, and orders in flight to it are dropped, as they arrive too late.
        """
        for found in list(self.scheduler.worker_by_id.values()):
            if found.status in (WorkerStatus.SUSPECT, WorkerStatus.UNSEEN):
                self.machines[found.id].run_by_task.clear()
                self.orders = [one for one in self.orders if one[1].worker.id != found.id]
                self.scheduler.expire_lease(found)
                return

    def lead(self):
        """Let another leader take over; what the last one had not committed is lost."""
        self.rig.lead(self.scheduler.term + 1)

    def cancel(self):
        """Cancel a flow."""
        open_flows = sorted(self.scheduler.flow_by_id)
        if open_flows:
            flow_id = self.random.choice(open_flows)
            self.rig.commit(cancel={"id": flow_id})
            self.scheduler.cancel(flow_id)

    def check(self):
        """Check that no worker is over its capacity and no task has more runs than allowed."""
        runs_by_task = {}
        for machine in self.machines.values():
            used = 0
            for name, run in machine.run_by_task.items():
                spec = self.spec(name)
                used += spec.cpu_milli
                runs_by_task.setdefault(name, []).append(run)
            assert used <= CPU_MILLI, f"{machine.record.id} uses {used} cpu_milli"
        for name, runs in runs_by_task.items():
            limit = 2 if self.spec(name).speculative and not self.spec(name).gang else 1
            assert len(runs) <= limit, f"{name} runs {len(runs)} times at once: {runs}"

    def spec(self, name):
        """Return the step of a task."""
        task = TaskId.parse(name)
        return self.rig.state.flow_by_id[task.flow].flow.steps[task.step]

    def go(self):
        """Take ``STEPS`` random actions and check the invariants after each."""
        weights = {
            self.place: 20,
            self.deliver: 30,
            self.end: 15,
            self.report: 25,
            self.stop: 10,
            self.submit: 4,
            self.suspect: 3,
            self.expire_lease: 2,
            self.lead: 1,
            self.cancel: 1,
        }
        for _ in range(STEPS):
            self.rig.now += 0.05
            [act] = self.random.choices(list(weights), list(weights.values()))
            act()
            self.check()

    def settle(self):
        """Finish all runs without faults; check that all flows end and free their resources."""
        for _ in range(200):
            self.rig.now += 1.0
            self.stop()
            for machine in self.machines.values():
                for task in list(machine.run_by_task):
                    if task in machine.run_by_task:
                        self.finish(machine, task)
            for _ in range(WORKERS * 4):
                self.report()
            self.rig.settle()
            self.place()
            while self.orders:
                scheduler, action = self.orders.pop()
                machine = self.machines[action.worker.id]
                if machine.start(action, scheduler.term) and scheduler is self.scheduler:
                    scheduler.apply_started(action.task, action.run, self.rig.now)
            self.check()
            if not self.scheduler.flow_by_id and self.is_empty():
                return
        raise AssertionError(
            f"flows never end or resources are in use: {self.scheduler.flow_by_id}"
        )

    def is_empty(self):
        """Return whether no worker has a task or allocated resources."""
        return all(
            not found.task_by_id and found.free_cpu_milli == CPU_MILLI
            for found in self.scheduler.worker_by_id.values()
        )


@pytest.mark.parametrize("seed", range(60))
def test_no_schedule_breaks_capacity_or_runs_a_task_twice(seed):
    """Guards against double runs, overcommitted workers, and flows that never end."""
    walk = Walk(seed)
    walk.go()
    walk.settle()
