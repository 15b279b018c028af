"""Tasks whose start, end or stop is broken off by an unexpected error, or by a wrong loss."""

from pytest import mark

from siskintally.driver import EndKind
from siskintally.pass_index import PassIndex
from tests.flow_harness import FlowHarness, make_flow, make_step, make_worker
from tests.test_unanswered_starts import CPU_MILLI, LateHarness

# Longer than the suspension of a flow after an error.
PAST_SUSPENSION_S = 100.0


@mark.parametrize("tasks", [1, 4])
@mark.parametrize("gang", [False, True])
def test_a_task_whose_placement_is_broken_off_by_an_error_is_started_once(monkeypatch, tasks, gang):
    """Guards against a task that waits for ever, with its room held, for a start never sent."""
    harness = LateHarness("w")
    errors = []
    harness.scheduler.on_error = lambda flow_id, error: errors.append(flow_id)
    harness.submit(make_flow("f", make_step(tasks, gang=gang)))
    update_room = PassIndex.update_room

    def fail(self, worker):
        raise ArithmeticError("unexpected")

    monkeypatch.setattr(PassIndex, "update_room", fail)
    actions = harness.send_starts()
    assert errors == ["f"]
    monkeypatch.setattr(PassIndex, "update_room", update_room)
    harness.now += PAST_SUSPENSION_S
    for _ in range(3):
        harness.deliver_report("w")
        harness.carry_out_stops()
        harness.deliver_report("w")
        actions += harness.send_starts()
    assert sorted(action.task.id for action in actions) == [f"f.0.0.{i}" for i in range(tasks)]
    assert harness.scheduler.worker_by_id["w"].free_cpu_milli == CPU_MILLI - 1000 * tasks


def break_off_end(monkeypatch, harness, task_id, *, method):
    """Deliver the report of an end in whose handling a method of the scheduler fails once."""
    kind = type(harness.scheduler)

    with monkeypatch.context() as patch:
        original = getattr(kind, method)

        def fail(self, *arguments):
            patch.setattr(kind, method, original)
            raise ArithmeticError("unexpected")

        patch.setattr(kind, method, fail)
        harness.end_run("w", task_id, EndKind.STOPPED)
        harness.deliver_report("w")


@mark.parametrize("method", ["_handle_failure", "_handle_other_end", "_requeue"])
def test_an_end_whose_handling_is_broken_off_by_an_error_leaves_its_task_startable(
    monkeypatch, method
):
    """Guards against a task that waits for ever after an error between release and requeue."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.scheduler.on_error = lambda flow_id, error: None
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    break_off_end(monkeypatch, harness, "f.0.0.0", method=method)
    harness.now += PAST_SUSPENSION_S
    harness.deliver_report("w")
    assert harness.place() == [("f.0.0.0", "w")]
    assert harness.place() == [], "it is queued once"


def test_an_error_after_the_requeue_does_not_queue_a_task_twice(monkeypatch):
    """Guards against two starts of a task whose end was handled up to the stop of its gang."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.scheduler.on_error = lambda flow_id, error: None
    harness.submit(make_flow("f", make_step(2, gang=True)))
    first = harness.place()
    break_off_end(monkeypatch, harness, "f.0.0.0", method="stop_gang")
    harness.now += PAST_SUSPENSION_S
    for _ in range(2):
        harness.deliver_report("w")
        harness.carry_out_stops()
        harness.deliver_report("w")
    assert sorted(harness.place()) == sorted(first)


def test_an_error_in_an_end_of_a_closed_flow_starts_nothing(monkeypatch):
    """Guards against a task of a cancelled flow that is queued again after an error."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.scheduler.on_error = lambda flow_id, error: None
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.scheduler.cancel("f")
    break_off_end(monkeypatch, harness, "f.0.0.0", method="_handle_failure")
    harness.now += PAST_SUSPENSION_S
    harness.deliver_report("w")
    assert harness.place() == []
