"""Starts without an answer that are carried out seconds later, after a repeat was refused."""

from anyio import fail_after, run
from pytest import mark

from tests.late_starts import LateStarts
from tests.processes import Processes, wait_until
from tests.soak import SETTLE_S, SoakCell

SEED = 33
LENGTH_S = 10.0
# The load takes up about 60 % of the workers: in a full cell there is no room to start a task again
# before its first start is carried out.
WORKER_COUNT = 3
SUBMIT_INTERVAL_S = 1.0
RUN_S = 1.8
LATE_START_SHARE = 0.3
LATE_START_DELAY_S = 1.5


class LateStartCell(SoakCell):
    """A cell whose only fault is that workers carry out a share of the starts late.

    :param repeat: answer to the repeat of a start that arrives before it is carried out.
    """

    worker_count = WORKER_COUNT
    submit_interval_s = SUBMIT_INTERVAL_S
    cancel_share = 0.0
    lasting_share = 0.0

    def __init__(self, *, processes, repeat):
        super().__init__(processes=processes, seed=SEED, length_s=LENGTH_S)
        self._repeat = repeat

    def run_s(self, task_id):
        """Return the run time of a task, s."""
        return RUN_S

    async def submit_flows(self, tasks):
        """Submit flows once the group has a leader, so that all are accepted."""
        await wait_until(self.is_ready, "entries ready")
        await super().submit_flows(tasks)

    async def is_ready(self):
        """Return whether the leader answers through an entry."""
        status, _ = await self.call_entry("GET", "/q/")
        return status == 200

    async def inject_faults(self, tasks):
        """Let all workers carry out some starts late until the load ends."""
        for life in self.lives:
            life.late_starts = LateStarts(
                seed=SEED,
                share=LATE_START_SHARE,
                delay_s=(LATE_START_DELAY_S, LATE_START_DELAY_S),
                repeats=(self._repeat,),
            )


def play_late_starts(folder, repeat):
    """Play the load; return the :class:`LateStartCell` with its violations."""

    async def main():
        with Processes(folder=folder) as processes:
            cell = LateStartCell(processes=processes, repeat=repeat)
            with fail_after(LENGTH_S + 4 * SETTLE_S):
                await cell.play()
            return cell

    return run(main)


@mark.parametrize("repeat", ["room", "400", "ticket", "503"])
def test_a_start_that_is_carried_out_after_its_refused_repeat_runs_alone(repeat, tmp_path):
    """Guards against a second run of a task whose first start may still be carried out.

    A refusal of a repeat says nothing about an earlier attempt that was not answered, so the task
    must not start again, nor its room be used, until that attempt can have no effect any more. A
    worker with status 503 did nothing; the start is repeated there.
    """
    cell = play_late_starts(tmp_path, repeat)
    assert cell.refused_repeat_count > 0
    assert all(flow.is_accepted for flow in cell.flow_by_id.values())
    assert sorted(set(cell.violations)) == []
