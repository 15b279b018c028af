"""Ends of jobs that a domain owner committed and did not live to report."""

from siskintally.wire_pb2 import AttemptState
from tests.test_owner import WorkerLink, state, until, with_owner


def test_new_owner_reports_jobs_that_ended_under_the_former_one():
    """Guards against a job that the cell shows as running, with its quota held, for ever."""

    async def check(bench):
        link = WorkerLink()
        await bench.send_heartbeat(link)
        bench.submit("j")
        await until(link.starts)
        end = state("j/g.0", kind=AttemptState.SUCCEEDED)
        await bench.send_heartbeat(link, seq=2, full=False, attempts=[end])
        assert bench.domain.job_by_id["j"].has_ended
        bench.group.lose_leadership()
        await until(lambda: bench.owner.owner_term is None)
        bench.reports.clear()
        bench.group.win_leadership()
        await until(lambda: bench.owner.owner_term is not None)
        await until(lambda: any(one.job_id == "j" for one in bench.reports))
        assert bench.reports[-1].succeeded == 1

    with_owner(check)
