"""Starts without an answer: what a later reply of the worker proves about the run.

An attempt without an answer may be carried out seconds later, after newer orders.
"""

from pytest import fixture, mark

from siskintally.control_pb2 import StartBatch
from siskintally.driver import EndKind, Order, Refusal
from siskintally.fleet import WorkerStatus
from siskintally.stub_pool import StubPool
from tests.flow_harness import FlowHarness, make_flow, make_step, make_worker
from tests.test_flow_walk import RandomWalk

CPU_MILLI = 4000
# Refusals that speak only for the attempt that they answer.
INCONCLUSIVE = (Refusal.ROOM, Refusal.TICKET, Refusal.INVALID, Refusal.LATE)


class LateHarness(FlowHarness):
    """A harness in which the workers carry out start orders only when told to."""

    def __init__(self, *names):
        super().__init__()
        for name in names:
            self.add_worker(make_worker(name, cpu_milli=CPU_MILLI))

    def send_starts(self):
        """Place tasks and commit their starts; return the actions, none of which is answered."""
        actions = list(self.scheduler.place(self.now, 0))
        self.commit(starts=StartBatch(starts=[action.to_record() for action in actions]))
        return actions

    def refuse(self, action, refusal, *, was_sent_before=True):
        """Refuse a start."""
        self.scheduler.apply_refusal(
            action.task, action.run, refusal, self.now, was_sent_before=was_sent_before
        )

    def carry_out(self, action):
        """Carry out a start order."""
        self.running_by_worker[action.worker.id][action.task.id] = action.run

    def free_cpu_milli(self, action):
        """Return the free processor time of the worker of an action."""
        return self.scheduler.worker_by_id[action.worker.id].free_cpu_milli


STEPS = {
    "single": [make_step(1)],
    "lasting": [make_step(1, lasting=True)],
    "later step": [make_step(1), make_step(1, after=[0])],
    "speculative": [make_step(1, speculative=True)],
}


def start_last_step(kind):
    """Return a harness with an unanswered start of the last step of a flow, and the action."""
    harness = LateHarness("w0", "w1")
    harness.submit(make_flow("f", *STEPS[kind]))
    [action] = harness.send_starts()
    if kind == "later step":
        harness.carry_out(action)
        harness.end_run(action.worker.id, action.task.id)
        harness.deliver_report(action.worker.id)
        [action] = harness.send_starts()
    return harness, action


@fixture(params=STEPS)
def unanswered(request):
    """Return a harness and a start that got no answer."""
    return start_last_step(request.param)


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_refused_repeat_of_an_unanswered_start_keeps_room_and_task(unanswered, refusal):
    """Guards against a second run, and an overfull worker, when the first attempt comes late."""
    harness, action = unanswered
    harness.refuse(action, refusal)
    assert harness.send_starts() == []
    assert harness.free_cpu_milli(action) == CPU_MILLI - 1000
    harness.deliver_report(action.worker.id)
    assert harness.send_starts() == [], "the report was built before the stop"
    harness.carry_out(action)
    harness.deliver_report(action.worker.id)
    assert harness.send_starts() == []
    assert harness.carry_out_stops() == [action.task.id]
    harness.deliver_report(action.worker.id)
    [later] = harness.send_starts()
    assert (later.task.id, later.run > action.run) == (action.task.id, True)


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_run_that_never_came_is_released_after_its_stop(unanswered, refusal):
    """Guards against a task that waits for ever for a run that its worker will not start."""
    harness, action = unanswered
    harness.refuse(action, refusal)
    assert harness.carry_out_stops() == [action.task.id]
    assert harness.send_starts() == [], "no report was asked for since the stop"
    harness.deliver_report(action.worker.id)
    assert len(harness.send_starts()) == 1


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_late_run_that_ends_before_its_stop_counts(refusal):
    """Guards against a task that is done by its late run and runs once more."""
    harness, action = start_last_step("single")
    harness.refuse(action, refusal)
    harness.carry_out(action)
    harness.end_run(action.worker.id, action.task.id)
    harness.deliver_report(action.worker.id)
    assert harness.carry_out_stops() == [action.task.id]
    assert harness.send_starts() == []
    assert harness.scheduler.flow_by_id == {}


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_late_run_that_fails_before_its_stop_is_counted_once(refusal):
    """Guards against a flow that fails early, or never, by the failures of late runs."""
    harness, action = start_last_step("single")
    harness.refuse(action, refusal)
    harness.carry_out(action)
    harness.end_run(action.worker.id, action.task.id, EndKind.FAILED)
    harness.deliver_report(action.worker.id)
    harness.deliver_report(action.worker.id)
    assert harness.state.flow_by_id["f"].failures_by_task[action.task.id].count == 1
    assert len(harness.send_starts()) == 1


@mark.parametrize("refusal", INCONCLUSIVE)
def test_refusals_in_a_row_order_one_stop(unanswered, refusal):
    """Guards against a stop for each repeat, and a task that counts twice as waiting."""
    harness, action = unanswered
    for _ in range(3):
        harness.refuse(action, refusal)
    assert harness.carry_out_stops() == [action.task.id]
    harness.deliver_report(action.worker.id)
    assert len(harness.send_starts()) == 1


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_refused_repeat_keeps_the_room_of_a_closed_flow(unanswered, refusal):
    """Guards against an overfull worker when the start of a cancelled flow comes late."""
    harness, action = unanswered
    harness.scheduler.cancel("f")
    harness.refuse(action, refusal)
    assert harness.free_cpu_milli(action) == CPU_MILLI - 1000
    harness.carry_out_stops()
    harness.deliver_report(action.worker.id)
    assert harness.free_cpu_milli(action) == CPU_MILLI
    assert harness.scheduler.flow_by_id == {}


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_refused_repeat_to_one_member_stops_the_whole_gang(refusal):
    """Guards against members of two runs of a gang that go on at once."""
    harness = LateHarness("w0", "w1")
    harness.submit(make_flow("f", make_step(4, gang=True, max_per_worker=2)))
    actions = harness.send_starts()
    for action in actions[1:]:
        harness.carry_out(action)
        harness.scheduler.apply_started(action.task, action.run, harness.now)
    harness.refuse(actions[0], refusal)
    assert harness.send_starts() == []
    harness.carry_out(actions[0])
    assert sorted(harness.carry_out_stops()) == [f"f.0.0.{index}" for index in range(4)]
    for name in ("w0", "w1"):
        assert harness.send_starts() == []
        harness.deliver_report(name)
    assert len(harness.send_starts()) == 4


@mark.parametrize("refusal", INCONCLUSIVE)
def test_the_next_leader_waits_for_the_worker_of_a_refused_start(unanswered, refusal):
    """Guards against a second run by a leader that has the record of the start only."""
    harness, action = unanswered
    harness.refuse(action, refusal)
    harness.begin_term(3)
    assert harness.send_starts() == []
    other = {"w0": "w1", "w1": "w0"}[action.worker.id]
    harness.deliver_report(other)
    assert harness.send_starts() == []
    # The fence of the poll makes the worker refuse the start of the former leader from now on.
    harness.deliver_report(action.worker.id)
    assert len(harness.send_starts()) == 1


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_refused_start_is_over_with_the_lease_of_its_worker(unanswered, refusal):
    """Guards against a task that waits for the confirmation of a worker that is gone."""
    harness, action = unanswered
    harness.refuse(action, refusal)
    harness.scheduler.expire_lease(action.worker)
    [later] = harness.send_starts()
    assert later.worker is not action.worker


@mark.parametrize("refusal", INCONCLUSIVE)
def test_a_start_refused_at_its_only_attempt_is_released_at_once(unanswered, refusal):
    """Guards against a stop order for each start that a full worker refuses."""
    harness, action = unanswered
    harness.refuse(action, refusal, was_sent_before=False)
    assert harness.scheduler.stops == []
    assert len(harness.send_starts()) == 1


def test_a_repeat_refused_as_old_is_settled_by_the_next_report(unanswered):
    """Guards against a stop order for a run that has ended, whose end is on its way."""
    harness, action = unanswered
    harness.refuse(action, Refusal.OLD)
    assert harness.scheduler.stops == []
    assert harness.send_starts() == []
    harness.deliver_report(action.worker.id)
    assert len(harness.send_starts()) == 1


def test_a_copy_whose_start_got_no_answer_keeps_its_room_until_its_stop():
    """Guards against an overfull worker when the start of a superseded run comes late."""
    harness, action = start_last_step("speculative")
    action.worker.status = WorkerStatus.SUSPECT
    harness.scheduler.speculate(action.worker, harness.now)
    [later] = harness.send_starts()
    assert later.worker is not action.worker
    harness.refuse(action, Refusal.ROOM)
    assert harness.free_cpu_milli(action) == CPU_MILLI - 1000
    assert harness.carry_out_stops() == [action.task.id]
    harness.deliver_report(action.worker.id)
    assert harness.free_cpu_milli(action) == CPU_MILLI


class RefusedRepeatsWalk(RandomWalk):
    """A walk in which repeats of starts that are still in flight are refused."""

    def refuse_repeat(self):
        """Refuse the repeat of a start of the current leader that has not arrived yet."""
        own = [action for scheduler, action in self.orders_in_flight if scheduler is self.scheduler]
        if own:
            action = self.random.choice(own)
            self.scheduler.apply_refusal(
                action.task,
                action.run,
                self.random.choice(INCONCLUSIVE),
                self.harness.now,
                was_sent_before=True,
            )

    def run(self):
        """Take random actions; a refused repeat follows some of them."""
        deliver_order = self.deliver_order

        def deliver_or_refuse():
            if self.random.random() < 0.3:
                self.refuse_repeat()
            else:
                deliver_order()

        self.deliver_order = deliver_or_refuse
        super().run()
        self.deliver_order = deliver_order


@mark.parametrize("seed", range(60))
def test_no_schedule_of_refused_repeats_breaks_capacity_or_runs_a_task_twice(seed):
    """Guards against double runs by starts that are carried out after a refused repeat."""
    walk = RefusedRepeatsWalk(seed)
    walk.run()
    walk.finish_all()


def test_a_stop_of_a_run_that_is_not_there_keeps_its_late_start_out():
    """Guards against stub workers that start a run although its stop was confirmed."""
    worker = StubPool(clock=lambda: 1.0).add("w", cpu_milli=1000, memory_mb=10)
    order = Order(task_id="f.0.0.0", run=7, fence=3, lease_until_ms=5000)
    worker.stop(order)
    assert worker.start(order).refusal == Refusal.OLD
