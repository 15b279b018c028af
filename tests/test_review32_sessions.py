"""A heartbeat of a former session of a worker of the cell that arrives after the next session."""

from contextlib import suppress

from anyio import sleep

from siskintally.errors import SiskintallyError
from tests.test_owner import WorkerLink, until, with_owner

SETTLE_S = 0.3


def test_a_late_heartbeat_of_a_former_session_ends_no_attempt_of_the_next_one():
    """Guards against a second attempt while the first one goes on under a valid lease.

    A session id has no order, so the owner takes the former session for a restart of the worker.
    """

    async def check(harness):
        first_link, link, other_link = WorkerLink(), WorkerLink(), WorkerLink()
        await harness.send_heartbeat(first_link, session="a")
        harness.owner.handle_session_end(first_link)
        await harness.send_heartbeat(link, session="b")
        harness.submit("j")
        await until(lambda: link.starts() == ["j/g.0"])
        await harness.send_heartbeat(other_link, worker="w2")
        with suppress(SiskintallyError):
            await harness.send_heartbeat(first_link, session="a", seq=2)
        await sleep(SETTLE_S)
        task = harness.domain.task("j/g.0")
        assert (task.worker, task.attempt, task.session) == ("w1", 1, "b")
        assert other_link.starts() == []

    with_owner(check)
