"""Unexpected errors in the handling of one flow: the leader and all other flows go on."""

from functools import partial
from unittest.mock import patch

from anyio import run, sleep
from pytest import mark, raises

from siskintally.control_pb2 import FlowSubmit
from siskintally.control_state import Outcome
from siskintally.driver import EndKind
from siskintally.error_isolation import SUSPENSION_S
from siskintally.flow_scheduler import FlowScheduler
from siskintally.worker_manager import WorkerManager
from tests.flow_harness import QUEUE, FlowHarness, make_flow, make_step, make_worker
from tests.processes import wait_until
from tests.test_flow_cell import FlowCell, has_state

BAD = "bad"


class InjectedError(Exception):
    """The unexpected error."""


def is_bad(value):
    """Return whether an argument of a method belongs to the flow with the fault."""
    for path in (("flow", "id"), ("flow", "flow", "id"), ("id",), ("task_id",), ("task", "id")):
        found = value
        for name in path:
            found = getattr(found, name, None)
        if isinstance(found, str) and found.split(".")[0] == BAD:
            return True
    return False


def fail_for_bad_flow(method):
    """Return a method that raises for the flow with the fault and is unchanged for others."""

    def call(self, *arguments, **options):
        if any(is_bad(value) for value in arguments):
            raise InjectedError
        return method(self, *arguments, **options)

    return call


def injected(owner, name):
    """Return a context manager in which a method fails for the flow with the fault."""
    return patch.object(owner, name, fail_for_bad_flow(getattr(owner, name)))


class IsolatingHarness(FlowHarness):
    """A harness whose scheduler reports unexpected errors, as that of a leader does."""

    def __init__(self, **options):
        self.errors = []
        super().__init__(**options)

    def begin_term(self, term):
        """Begin a new term with a scheduler that reports errors."""
        self.scheduler = FlowScheduler(term=term, on_error=self._record)
        self.scheduler.restore(self.state, self.now)

    def _record(self, flow_id, error):
        assert isinstance(error, InjectedError)
        self.errors.append(flow_id)


def make_harness(*names):
    """Return a harness with a worker and flows, by default that with the fault and a sound one."""
    harness = IsolatingHarness()
    harness.add_worker(make_worker("w"))
    for name in names or (BAD, "good"):
        harness.submit(make_flow(name, make_step(1)))
    return harness


@mark.parametrize(
    "name", ["_place_tasks", "_reserve_room", "candidates", "_place_step", "sort_key"]
)
def test_an_error_in_the_placement_of_a_flow_holds_up_no_other(name):
    """Guards against one flow that ends each leader in its first placement pass."""
    harness = make_harness()
    with injected(FlowScheduler, name):
        started = harness.place()
        assert ("good.0.0.0", "w") in started
        assert harness.errors == [BAD]
        harness.place()
        assert harness.errors == [BAD], "a suspended flow takes no part in the next passes"
    harness.now += SUSPENSION_S
    started += harness.place()
    assert (f"{BAD}.0.0.0", "w") in started


def test_an_error_in_the_restoration_of_a_flow_leaves_the_others_in_place():
    """Guards against a state that no leader can restore."""
    harness = make_harness()
    harness.place()
    with injected(FlowScheduler, "_restore_flow"):
        harness.begin_term(3)
    harness.deliver_report("w")
    assert harness.errors == [BAD]
    assert harness.carry_out_stops() == [f"{BAD}.0.0.0"], "its run is not left without a leader"
    harness.end_run("w", "good.0.0.0")
    harness.deliver_report("w")
    assert harness.state.flow_by_id["good"].outcome == Outcome.COMPLETED
    harness.ended_by_worker["w"] = []
    harness.begin_term(4)
    harness.deliver_report("w")
    assert harness.place() == [(f"{BAD}.0.0.0", "w")], "the next leader goes on with it"


def fail_run(harness):
    """Let the run of the flow with the fault fail, and the leader hear of it."""
    harness.end_run("w", f"{BAD}.0.0.0", EndKind.FAILED)
    harness.deliver_report("w")


def acknowledge_ends(harness):
    """Let the worker forget its ends."""
    harness.ended_by_worker["w"] = []


def test_a_failure_in_a_flow_that_could_not_be_restored_counts():
    """Guards against a start beyond the limit of attempts, as the worker forgets known ends."""
    harness = make_harness()
    harness.place()
    for term in (3, 4):
        with injected(FlowScheduler, "_restore_flow"):
            harness.begin_term(term)
        fail_run(harness)
        acknowledge_ends(harness)
        harness.begin_term(term + 10)
        harness.deliver_report("w")
        assert harness.place() == [(f"{BAD}.0.0.0", "w")]
    fail_run(harness)
    assert harness.state.flow_by_id[BAD].outcome == Outcome.FAILED


@mark.parametrize("name", ["_record_run_time", "_release_from_worker", "_handle_failure"])
def test_a_failure_that_could_not_be_handled_counts(name):
    """Guards against a start beyond the limit of attempts after an unexpected error."""
    harness = make_harness(BAD)
    for _ in range(QUEUE.max_attempts):
        harness.place()
        with injected(FlowScheduler, name):
            fail_run(harness)
        acknowledge_ends(harness)
        harness.deliver_report("w")
        harness.now += SUSPENSION_S
    assert harness.state.flow_by_id[BAD].outcome == Outcome.FAILED


def test_a_failure_whose_handling_is_broken_off_later_counts_once():
    """Guards against a flow that fails early because an error came after the count."""
    harness = make_harness()
    harness.place()
    with injected(FlowScheduler, "_requeue"):
        fail_run(harness)
    assert harness.state.flow_by_id[BAD].failures_by_task[f"{BAD}.0.0.0"].count == 1


def test_an_end_of_a_flow_that_could_not_be_restored_counts():
    """Guards against a second run by the next leader, as the worker forgets acknowledged ends."""
    harness = make_harness()
    harness.place()
    with injected(FlowScheduler, "_restore_flow"):
        harness.begin_term(3)
    harness.end_run("w", f"{BAD}.0.0.0")
    harness.deliver_report("w")
    assert harness.state.flow_by_id[BAD].outcome == Outcome.COMPLETED


@mark.parametrize("name", ["_handle_done", "_release_from_worker", "_handle_end"])
def test_an_end_that_cannot_be_handled_counts_and_hides_no_other(name):
    """Guards against a task that is started again after its worker has forgotten its end."""
    harness = make_harness()
    harness.place()
    harness.end_run("w", f"{BAD}.0.0.0")
    harness.end_run("w", "good.0.0.0")
    with injected(FlowScheduler, name):
        harness.deliver_report("w")
    assert harness.errors
    outcomes = {flow_id: state.outcome for flow_id, state in harness.state.flow_by_id.items()}
    assert outcomes == {BAD: Outcome.COMPLETED, "good": Outcome.COMPLETED}
    harness.ended_by_worker["w"] = []
    harness.now += SUSPENSION_S
    harness.deliver_report("w")
    assert harness.place() == []
    assert harness.scheduler.worker_by_id["w"].task_by_id == {}


def test_a_run_whose_report_cannot_be_handled_hides_no_other():
    """Guards against a report of one run that makes the rest of the report void."""
    harness = make_harness()
    harness.place()
    harness.end_run("w", "good.0.0.0", EndKind.FAILED)
    with injected(FlowScheduler, "_update_run"):
        harness.deliver_report("w")
    assert harness.errors == [BAD]
    assert harness.place() == [("good.0.0.0", "w")]


def test_a_lost_worker_gives_back_the_tasks_of_all_other_flows():
    """Guards against tasks that wait for ever on a worker that is gone."""
    harness = make_harness()
    harness.place()
    worker = harness.scheduler.worker_by_id["w"]
    with injected(FlowScheduler, "_requeue"):
        harness.scheduler.expire_lease(worker)
    assert harness.errors == [BAD]
    harness.add_worker(make_worker("w2"))
    assert harness.place() == [("good.0.0.0", "w2")]


def test_an_error_is_raised_where_nobody_records_it():
    """Guards against tests that pass because an error of the scheduler is hidden."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow(BAD))
    with injected(FlowScheduler, "_place_tasks"), raises(InjectedError):
        harness.place()


INJECTIONS = {
    "pass": (FlowScheduler, "_place_tasks"),
    "acceptance": (FlowScheduler, "accept"),
    "start": (WorkerManager, "_try_start"),
    "confirmed start": (FlowScheduler, "apply_started"),
    "end": (FlowScheduler, "_handle_end"),
}


@mark.parametrize("name", INJECTIONS)
def test_a_leader_outlives_an_error_of_one_flow(tmp_path, name):
    """Guards against a flow that ends the leader, and each next one that restores it."""

    async def main():
        async with FlowCell(folder=tmp_path).running() as cell:
            await cell.configure("w1", "w2")
            leader = cell.leader()
            with injected(*INJECTIONS[name]):
                await cell.call(FlowSubmit(flow=make_flow(BAD, make_step(1))))
                await sleep(0.5)
                await cell.call(FlowSubmit(flow=make_flow("good", make_step(2))))
                await wait_until(partial(has_state, cell, "good", "completed"), "completed")
            await wait_until(partial(has_state, cell, BAD, "completed"), f"{BAD} completed")
            assert cell.leader() == leader
            counters = cell.node_by_host[leader]._counters.to_text()
            assert 'flow_errors_total{error="InjectedError"}' in counters

    run(main)
