"""Tasks whose start, end or stop is broken off by an unexpected error, or by a wrong loss."""

from pytest import mark

from siskintally.pass_index import PassIndex
from tests.flow_harness import make_flow, make_step
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
