"""Ends of jobs that a domain owner committed, but did not report before it lost leadership."""

from siskintally.wire_pb2 import AttemptState
from tests.test_owner import WorkerLink, state, until, with_owner


def test_new_owner_reports_jobs_that_ended_under_the_former_one():
    """Guards against an ended job that the cell shows as running forever, and its used quota."""

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
        await until(lambda: any(report.job_id == "j" for report in bench.reports))
        assert bench.reports[-1].succeeded == 1

    with_owner(check)
