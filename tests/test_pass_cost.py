"""Load pattern of an overloaded leader: 176 workers, 600 waiting batch steps with advice terms.

The tests count the work of one pass; a pass that grows with the backlog blocks the event loop for
longer than the timeout of an order, so that orders to healthy workers fail.
"""

from types import SimpleNamespace

from pytest import fixture

from siskintally.advice_client_pool import AdviceClientPool
from siskintally.control_pb2 import AdviceTerms, Queue
from siskintally.counters import Counters
from siskintally.fleet import FleetWorker
from siskintally.flow_dispatcher import MAX_STARTS_PER_PASS, FlowDispatcher
from siskintally.flow_scheduler import FlowScheduler
from tests.flow_harness import QUEUE, FlowHarness, make_flow, make_step, make_worker

WORKERS = 176
BATCH_STEPS = 600
CLIENTS = 6
# Below 150 ms for a call about at most 100 workers, so such a call is quick.
QUICK_TERMS = AdviceTerms(decide_ms=20, per_worker_ms=1, valid_ms=2000)
# Above 150 ms for a call about one worker.
SLOW_TERMS = AdviceTerms(decide_ms=200, per_worker_ms=1, valid_ms=2000)


def make_queue(terms, *, priority):
    """Return a queue with advice terms, or without for None."""
    queue = Queue()
    queue.CopyFrom(QUEUE)
    queue.priority = priority
    if terms is not None:
        queue.advice.CopyFrom(terms)
    return queue


class RecordedTasks:
    """Stand-in for a task group that records which functions are started."""

    def __init__(self):
        self.started = []

    def start_soon(self, function, *arguments):
        """Record a started function and its arguments."""
        self.started.append((function.__name__, arguments))

    def asked_steps(self):
        """Return the ids of the steps for which the advice service is called."""
        return [
            arguments[1].step.id for name, arguments in self.started if name == "_request_advice"
        ]

    def starts(self):
        """Return the start actions that are sent."""
        return [
            action
            for name, arguments in self.started
            if name == "_send_starts"
            for action in arguments[0]
        ]


class LoadedLeader:
    """A leader with a backlog of batch flows and a pool of advice clients."""

    def __init__(self, *, terms=QUICK_TERMS, tasks_per_step=1, workers=WORKERS):
        self.harness = FlowHarness()
        self.scheduler = self.harness.scheduler
        self.term = 2
        self.passes_requested = 0
        for number in range(workers):
            self.harness.add_worker(make_worker(f"w{number}"))
        self.pool = AdviceClientPool(
            clients=lambda: [SimpleNamespace(name=f"c{number}") for number in range(CLIENTS)]
        )
        self.dispatcher = FlowDispatcher(leader=self, advice_pool=self.pool, counters=Counters())
        queue = make_queue(terms, priority=2)
        for number in range(BATCH_STEPS):
            self.accept(f"b{number:03d}", queue, tasks=tasks_per_step)

    def accept(self, name, queue, **fields):
        """Accept a flow of one step."""
        flow = make_flow(name, make_step(fields.pop("tasks", 1), **fields))
        self.scheduler.accept(flow, queue, self.harness.now)

    def occupy_clients(self, count, *, is_quick):
        """Mark clients as busy with calls."""
        return [self.pool.acquire(is_quick=is_quick) for _ in range(count)]

    def run_pass(self):
        """Run a pass; return the recorded tasks."""
        tasks = RecordedTasks()
        self.dispatcher.run_pass(self.harness.now, 0, tasks)
        return tasks

    def manager_of(self, worker_id):
        """Return no manager: nothing is sent."""

    def request_pass(self):
        """Count a requested pass."""
        self.passes_requested += 1


def count_calls(monkeypatch, owner, name):
    """Return a list that grows by the arguments of each call of a method."""
    calls = []
    original = getattr(owner, name)

    def record(self, *arguments, **named):
        calls.append(arguments)
        return original(self, *arguments, **named)

    monkeypatch.setattr(owner, name, record)
    return calls


@fixture
def planned(monkeypatch):
    """Calls that choose the workers to ask about for one step."""
    return count_calls(monkeypatch, FlowScheduler, "_workers_to_ask")


def test_a_pass_without_free_client_plans_no_call(planned):
    """Guards against planning the whole backlog in each pass although no call can be made."""
    leader = LoadedLeader()
    leader.occupy_clients(CLIENTS, is_quick=True)
    assert leader.run_pass().asked_steps() == []
    assert planned == []


def test_a_pass_plans_one_call_per_free_client(planned):
    """Guards against planning that goes on after the last free client got a call."""
    leader = LoadedLeader()
    leader.occupy_clients(CLIENTS - 2, is_quick=True)
    assert leader.run_pass().asked_steps() == ["b000.0.0", "b001.0.0"]
    assert len(planned) == 2


def test_slow_calls_are_not_planned_while_only_reserved_clients_are_free(planned):
    """Guards against planning slow calls in each pass that no free client may make.

    The urgent flow comes first by priority and gets a reserved client.
    """
    leader = LoadedLeader(terms=SLOW_TERMS)
    assert all(leader.occupy_clients(CLIENTS - 2, is_quick=False))
    leader.accept("u", make_queue(QUICK_TERMS, priority=0))
    assert leader.run_pass().asked_steps() == ["u.0.0"]
    assert len(planned) == 1


def test_a_quick_call_behind_slow_ones_gets_a_reserved_client(planned):
    """Guards against quick calls that wait because slower steps before them find no client."""
    leader = LoadedLeader(terms=SLOW_TERMS)
    leader.occupy_clients(CLIENTS - 2, is_quick=False)
    leader.accept("z", make_queue(QUICK_TERMS, priority=3))
    assert leader.run_pass().asked_steps() == ["z.0.0"]
    assert len(planned) == 1


def test_each_waiting_step_is_asked_for_in_turn():
    """Guards against steps that starve because planning ends before it reaches them."""
    leader = LoadedLeader()
    asked = []
    for _ in range(BATCH_STEPS // CLIENTS):
        asked.extend(leader.run_pass().asked_steps())
        for number in range(CLIENTS):
            leader.pool.release(SimpleNamespace(name=f"c{number}"))
    assert asked == [f"b{number:03d}.0.0" for number in range(BATCH_STEPS)]


def test_a_pass_walks_the_workers_once_for_equal_steps(monkeypatch):
    """Guards against a walk over all workers for each waiting step in each pass.

    Placement and the planning of calls may each walk them once per service and label.
    """
    leader = LoadedLeader()
    leader.occupy_clients(CLIENTS, is_quick=True)
    walks = count_calls(monkeypatch, FlowScheduler, "eligible_workers")
    fits = count_calls(monkeypatch, FleetWorker, "fits")
    leader.run_pass()
    assert len(walks) <= 2
    assert len(fits) <= 2 * WORKERS


def test_steps_that_fit_on_no_worker_cost_no_walk_each(monkeypatch):
    """Guards against a walk over all workers for each step that waits for a full fleet."""
    leader = LoadedLeader()
    for worker in leader.scheduler.worker_by_id.values():
        worker.free_cpu_milli = 0
    walks = count_calls(monkeypatch, FlowScheduler, "eligible_workers")
    fits = count_calls(monkeypatch, FleetWorker, "fits")
    assert leader.run_pass().started == []
    assert len(walks) <= 2
    assert len(fits) <= 2 * WORKERS


def test_a_pass_starts_a_bounded_number_of_tasks_and_the_next_one_follows():
    """Guards against a pass that blocks the event loop while it places a whole backlog."""
    leader = LoadedLeader(terms=None)
    started = []
    for _ in range(BATCH_STEPS // MAX_STARTS_PER_PASS):
        starts = leader.run_pass().starts()
        assert len(starts) == MAX_STARTS_PER_PASS
        started.extend(action.task.id for action in starts)
    assert started == [f"b{number:03d}.0.0.0" for number in range(BATCH_STEPS)]
    assert leader.passes_requested == BATCH_STEPS // MAX_STARTS_PER_PASS
    assert leader.run_pass().starts() == []
    assert leader.passes_requested == BATCH_STEPS // MAX_STARTS_PER_PASS


def test_the_bound_on_starts_never_splits_a_gang():
    """Guards against a gang that starts in part because a pass has reached its bound."""
    leader = LoadedLeader(terms=None)
    urgent = make_queue(None, priority=0)
    leader.accept("a", urgent, tasks=MAX_STARTS_PER_PASS - 1)
    leader.accept("g", urgent, tasks=40, gang=True)
    started = [action.task.step.id for action in leader.run_pass().starts()]
    assert started == ["a.0.0"] * (MAX_STARTS_PER_PASS - 1) + ["g.0.0"] * 40


def test_stops_are_sent_before_new_starts():
    """Guards against stop orders that wait while a pass places the tasks of its backlog."""
    leader = LoadedLeader(terms=None)
    [first, *_] = leader.run_pass().starts()
    leader.scheduler.cancel(first.task.step.flow.id)
    manager = SimpleNamespace(worker=first.worker, wake=lambda: None)

    async def stop(action):
        raise NotImplementedError

    manager.stop = stop
    leader.manager_of = lambda worker_id: manager
    names = [name for name, _ in leader.run_pass().started]
    assert names == ["stop", "_send_starts"]


def test_calls_that_turn_out_slow_cost_no_sort_while_only_reserved_clients_are_free(monkeypatch):
    """Guards against sorting all workers for each step whose call no free client may make.

    A call about one worker would be quick, the one about all workers isn't.
    """
    leader = LoadedLeader(terms=AdviceTerms(decide_ms=33.6, per_worker_ms=5, valid_ms=2000))
    leader.occupy_clients(CLIENTS - 2, is_quick=False)
    sorts = count_calls(monkeypatch, FlowScheduler, "sort_key")
    fits = count_calls(monkeypatch, FleetWorker, "fits")
    assert leader.run_pass().asked_steps() == []
    assert sorts == []
    assert len(fits) <= 2 * WORKERS
