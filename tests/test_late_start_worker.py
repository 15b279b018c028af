"""The stand-in for a worker that carries out starts late keeps to the contract of calls."""

from json import dumps, loads

from anyio import create_task_group, run, sleep
from pytest import mark

from siskintally.clock import now as steady
from siskintally.driver import Order
from siskintally.http_server import HttpRequest
from siskintally.stub_pool import StubPool
from tests.late_starts import CARRIED_OUT, LateStarts, LateStartWorkerApp

TASK = "f.0.0.0"
DELAY_S = 0.2
LEASE_MS = 60_000


def make_app(repeat):
    """Return a worker that carries out each start late."""
    worker = StubPool(clock=steady, run_s=lambda task_id: 60.0).add(
        "w", cpu_milli=4000, memory_mb=4000
    )
    app = LateStartWorkerApp(worker=worker)
    app.late_starts = LateStarts(seed=1, share=1.0, delay_s=(DELAY_S, DELAY_S), repeats=(repeat,))
    return app


async def send_start(app, *, run_number=1, lease_ms=LEASE_MS):
    """Send a start; return the response, None without one."""
    body = {
        "task": TASK,
        "run": run_number,
        "fence": 3,
        "untilMs": app.worker.clock_ms + lease_ms,
    }
    request = HttpRequest(
        method="POST",
        path="/run-start",
        query="",
        header_items=[("siskintally-expect-instance", "w")],
        body=dumps(body).encode(),
    )
    return await app.handle(request)


def started_runs(app):
    """Return the numbers of the runs that have started."""
    return [number for _, event, _, number in app.worker.history if event == "START"]


def run_late_start(app, meanwhile, **fields):
    """Send a start, call ``await meanwhile()`` before it is carried out, then carry it out."""

    async def main():
        async with create_task_group() as tasks:
            tasks.start_soon(check_unanswered)
            await sleep(0)
            app.execute_due_starts()
            assert started_runs(app) == []
            await meanwhile()
            await sleep(DELAY_S + 0.05)
            app.execute_due_starts()
            assert not app.has_pending_starts

    async def check_unanswered():
        assert await send_start(app, **fields) is None

    run(main)


async def do_nothing():
    """Send nothing meanwhile."""


@mark.parametrize(
    ("repeat", "status", "reason"),
    [("room", 409, "room"), ("ticket", 409, "ticket"), ("400", 400, None), ("503", 503, None)],
)
def test_a_refused_repeat_leaves_the_first_attempt_to_come(repeat, status, reason):
    """Guards against a stand-in whose refusal also revokes the start that it has not answered."""
    app = make_app(repeat)

    async def meanwhile():
        response = await send_start(app)
        assert (response.status, loads(response.body).get("reason")) == (status, reason)
        assert started_runs(app) == []

    run_late_start(app, meanwhile)
    assert started_runs(app) == [1]
    assert app.executed_late == app.refused_repeats == {(TASK, 1)}


def test_a_run_that_its_repeat_has_started_does_not_start_twice():
    """Guards against a stand-in that starts a run both for the repeat and for the first attempt."""
    app = make_app(CARRIED_OUT)

    async def meanwhile():
        assert (await send_start(app)).status == 200

    run_late_start(app, meanwhile)
    assert started_runs(app) == [1]
    assert app.executed_late == set()


def test_a_stopped_run_does_not_start_late():
    """Guards against a stand-in that forgets a stop, which no leader could get right."""
    app = make_app("room")

    async def meanwhile():
        app.worker.stop(Order(task_id=TASK, run=1, fence=3))

    run_late_start(app, meanwhile)
    assert started_runs(app) == []


def test_a_start_of_a_former_leader_is_not_carried_out():
    """Guards against a stand-in that obeys a lower fence than it has seen."""
    app = make_app("room")

    async def meanwhile():
        app.worker.poll_status(fence=4, lease_until_ms=None, committed_end_number=0)

    run_late_start(app, meanwhile)
    assert started_runs(app) == []


def test_a_start_whose_lease_is_over_is_not_carried_out():
    """Guards against a stand-in that starts runs after the time that their leader waits for."""
    app = make_app("room")
    run_late_start(app, do_nothing, lease_ms=int(DELAY_S * 500))
    assert started_runs(app) == []
