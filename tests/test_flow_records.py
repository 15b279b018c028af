"""Log lines and counters that explain a failed request or a cancellation that has no effect."""

from contextlib import suppress
from functools import partial
from types import SimpleNamespace

from anyio import create_task_group, fail_after, move_on_after, run, sleep, sleep_forever
from pytest import fixture, mark, raises
from structlog.testing import capture_logs

from siskintally.actions import StopAction
from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.committed_commands import CommittedCommands
from siskintally.control_pb2 import ControlNotice, FlowCancel, QueueAddress
from siskintally.control_service import ControlService
from siskintally.counters import Counters
from siskintally.driver import OrderReply, Refusal, RunStatus
from siskintally.errors import (
    NoConfigError,
    NotFoundError,
    NotLeaderError,
    RefusedError,
    SiskintallyError,
)
from siskintally.fleet import FleetWorker, WorkerStatus
from siskintally.flow import TaskState
from siskintally.flow_dispatcher import FlowDispatcher
from siskintally.flow_gateway import FlowGateway
from siskintally.leader_cache import LeaderCache
from siskintally.leader_contact import LeaderContact
from siskintally.link import Link, LinkServer
from siskintally.liveness import LinkTiming
from siskintally.session_log import SessionLog
from siskintally.wire_pb2 import ConfigState, Hello
from siskintally.worker_manager import WorkerManager
from tests.flow_harness import FlowHarness, make_flow, make_step, make_worker
from tests.forwarder import Forwarder
from tests.processes import free_ports
from tests.test_control_leader import TIMING, run_check
from tests.test_link import SECRET, Echo

FLOW_ID = "80eec93842d143e4"
SHORT_TIMING = LinkTiming(
    idle_ping_s=0.2, busy_ping_s=0.2, ping_timeout_s=0.3, connect_timeout_s=0.5, max_backoff_s=0.2
)


@fixture
def counters():
    """Return the metrics of a process."""
    return Counters()


def events(lines, event):
    """Return the captured log lines of one event."""
    return [line for line in lines if line["event"] == event]


def cancel_of(gateway):
    """Return a function that cancels a flow through a gateway."""
    address = QueueAddress(host="h", path=f"/{'p' * 90}/{FLOW_ID}")
    return partial(gateway.cancel, FLOW_ID, address, deadline_s=None)


def make_gateway(counters, *, call=None, has_leader=True):
    """Return the gateway of an entry with a function for its calls to the leader."""
    cache = LeaderCache(fresh_s=1.5)
    if has_leader:
        cache.apply_notice(ControlNotice(leads=True, version=1), sender="a:1", now=steady())

    async def wait_for_leader(*, timeout):
        return has_leader

    client = SimpleNamespace(call=call, wait_for_leader=wait_for_leader)
    return FlowGateway(cache=cache, client=client, counters=counters)


def test_a_refusal_names_its_call_and_its_flow(counters):
    """Guards against refused cancellations that look like refused submissions."""
    gateway = make_gateway(counters, has_leader=False)
    with capture_logs() as lines, raises(NoConfigError):
        run(cancel_of(gateway))
    [line] = events(lines, "request refused")
    assert (line["call"], line["id"]) == ("FlowCancel", FLOW_ID)
    label = 'siskintally_refusals_total{call="FlowCancel",reason="no leader in touch"} 1.0'
    assert label in counters.to_text()


def test_a_queue_that_the_leader_does_not_know_is_recorded_as_refused(counters):
    """Guards against requests for unknown queues that leave no line at the entry."""

    async def refuse(body, *, timeout):
        raise RefusedError("no such queue", code=Code.NOT_FOUND)

    gateway = make_gateway(counters, call=refuse)
    with capture_logs() as lines, raises(NotFoundError):
        run(cancel_of(gateway))
    [line] = events(lines, "request refused")
    assert (line["reason"], line["id"]) == ("no such queue", FLOW_ID)


def test_a_request_whose_caller_goes_away_is_not_counted_as_done(counters):
    """Guards against cancellations without a reply that the metrics show as completed."""

    async def call(body, *, timeout):
        await sleep(60)

    gateway = make_gateway(counters, call=call)

    async def main():
        async with create_task_group() as tasks:
            tasks.start_soon(cancel_of(gateway))
            await sleep(0.01)
            tasks.cancel_scope.cancel()

    run(main)
    expected = 'siskintally_requests_total{call="FlowCancel",outcome="caller gone"} 1.0'
    assert expected in counters.to_text()


def test_a_loss_of_contact_with_the_leader_is_recorded_once(counters):
    """Guards against an outage that shows only in refused requests, or a line at each check."""
    contact = LeaderContact(fresh_s=1.5, counters=counters, now=0.0)
    with capture_logs() as lines:
        contact.check(9.0)
        contact.record_notice(10.0, leader="a:1")
        for now in (11.0, 12.0, 13.0):
            contact.check(now)
        contact.record_notice(14.0, leader="a:1")
        contact.record_notice(17.0, leader="a:1")
    assert [(line["event"], line["silent_ms"]) for line in lines] == [
        ("leader contact regained", 10000),
        ("leader contact lost", 2000),
        ("leader contact regained", 4000),
        ("leader contact lost", 3000),
        ("leader contact regained", 3000),
    ]
    assert "siskintally_leader_contact_losses_total 2.0" in counters.to_text()
    assert "siskintally_leader_notice_age_seconds " in counters.to_text()


class LeaderOfHarness:
    """A leader whose scheduler runs in a harness.

    :param before_commit: async function that is called before each commit.
    """

    def __init__(self, harness, before_commit):
        self.scheduler = harness.scheduler
        self.state = harness.state
        self._harness = harness
        self._before_commit = before_commit
        self._committed = CommittedCommands(
            scheduler=harness.scheduler, state=harness.state, on_document=None
        )
        harness.state.on_applied = self._committed.record

    async def propose(self, **body):
        """Commit a command."""
        await self._before_commit()
        self._harness.commit(**body)

    def apply_committed(self):
        """Let the scheduler follow what is committed."""
        self._committed.apply(now=0.0)


def cancel_running_flow(counters, before_commit):
    """Cancel a flow of two running tasks, for at most 0.1 s; return the log lines."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow(FLOW_ID, make_step(2)))
    assert len(harness.place()) == 2
    leader = LeaderOfHarness(harness, before_commit)
    service = ControlService(leader=leader, counters=counters)

    async def main():
        with move_on_after(0.1):
            with suppress(SiskintallyError):
                await service.handle(FlowCancel(id=FLOW_ID, queue="q"))

    with capture_logs() as lines:
        run(main)
    return lines


def test_a_cancellation_says_what_it_stops(counters):
    """Guards against a cancellation that is committed but stops nothing, without a trace."""

    async def commit_at_once():
        pass

    lines = cancel_running_flow(counters, commit_at_once)
    [line] = events(lines, "flow cancelled")
    assert (line["on_workers"], line["stop_orders"], line["scheduled"]) == (2, 2, True)
    assert 'siskintally_cancellations_total{outcome="committed"} 1.0' in counters.to_text()


def test_an_interrupted_cancellation_is_recorded(counters):
    """Guards against a cancellation that may be committed although nobody closes the flow.

    Scenario: the session of the entry ends while its call waits for the commit.
    """
    lines = cancel_running_flow(counters, sleep_forever)
    assert [line["reason"] for line in events(lines, "cancellation not confirmed")] == [
        "interrupted"
    ]
    assert events(lines, "flow cancelled") == []
    assert 'siskintally_cancellations_total{outcome="interrupted"} 1.0' in counters.to_text()


def test_a_cancellation_that_is_not_committed_is_recorded(counters):
    """Guards against a refused commit of a cancellation that only the entry knows of."""

    async def refuse():
        raise NotLeaderError("another store leads")

    lines = cancel_running_flow(counters, refuse)
    [line] = events(lines, "cancellation not confirmed")
    assert f'siskintally_cancellations_total{{outcome="{line["reason"]}"}} 1.0' in (
        counters.to_text()
    )


def release_unlisted(harness):
    """Release a run that the report of its worker does not list."""
    harness.running_by_worker["w"].clear()
    harness.deliver_report("w")


def release_refused(harness):
    """Release a run whose start is refused."""
    [task] = harness.scheduler.worker_by_id["w"].task_by_id.values()
    task.state = TaskState.STARTING
    harness.scheduler.apply_refusal(
        task, task.run, Refusal.ROOM, harness.now, was_sent_before=False
    )


RELEASES = {
    "unlisted": release_unlisted,
    "refused": release_refused,
    "lease expired": lambda harness: harness.scheduler.expire_lease(
        harness.scheduler.worker_by_id["w"]
    ),
    "worker gone": lambda harness: harness.scheduler.remove_worker(
        harness.scheduler.worker_by_id["w"]
    ),
}


@mark.parametrize("cause", RELEASES)
def test_a_run_that_counts_as_over_is_recorded_with_the_cause(counters, cause):
    """Guards against double runs whose logs don't say why the first run counted as over."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f"))
    harness.place()
    RELEASES[cause](harness)
    dispatcher = FlowDispatcher(
        leader=SimpleNamespace(scheduler=harness.scheduler), advice_pool=None, counters=counters
    )
    with capture_logs() as lines:
        dispatcher._log_releases()
        dispatcher._log_releases()
    [line] = events(lines, "run released")
    assert (line["task"], line["worker"], line["cause"]) == ("f.0.0.0", "w", cause)
    assert f'siskintally_runs_released_total{{cause="{cause}"}} 1.0' in counters.to_text()


def test_a_stop_order_that_is_not_sent_is_recorded(counters):
    """Guards against stop orders that vanish because their worker has been replaced."""
    replaced, gone = (FleetWorker(record=make_worker(name)) for name in "bc")
    manager = SimpleNamespace(worker=FleetWorker(record=make_worker("b", born_ms=2)))
    manager_by_worker = {"b": manager}
    stops = [StopAction("f.0.0.0", 7, replaced), StopAction("f.0.0.1", 8, gone)]
    leader = SimpleNamespace(
        manager_of=manager_by_worker.get, scheduler=SimpleNamespace(stops=stops)
    )
    dispatcher = FlowDispatcher(leader=leader, advice_pool=None, counters=counters)
    with capture_logs() as lines:
        dispatcher._send_stops(tasks=None)
    assert [(line["event"], line["task"], line["reason"]) for line in lines] == [
        ("stop dropped", "f.0.0.0", "another incarnation"),
        ("stop dropped", "f.0.0.1", "worker gone"),
    ]
    assert 'stops_dropped_total{reason="another incarnation"} 1.0' in counters.to_text()


@mark.parametrize(
    ("status", "reason"), [(WorkerStatus.LAPSED, "worker lapsed"), (WorkerStatus.READY, "fenced")]
)
def test_a_stop_order_that_is_given_up_is_recorded(status, reason):
    """Guards against a stop that is neither confirmed nor repeated, without a trace."""
    given_up = []

    async def refuse(worker, order, *, timeout):
        return OrderReply(clock_ms=None, refusal=Refusal.FENCED)

    async def wait():
        pass

    leader = SimpleNamespace(
        term=3,
        quorum_check=SimpleNamespace(wait=wait, is_confirmed=lambda now: True),
        end_term=lambda reason: None,
        handle_stop_unconfirmed=lambda action, reason: given_up.append((action.run, reason)),
    )
    worker = FleetWorker(record=make_worker("w"))
    worker.status = status
    manager = WorkerManager(
        worker=worker, leader=leader, driver=SimpleNamespace(stop=refuse), timing=TIMING
    )
    run(manager.stop, StopAction("f.0.0.0", 7, worker))
    assert given_up == [(7, reason)]


def test_an_unexpected_run_is_recorded_once():
    """Guards against a run of a closed flow that goes on unseen, or a line at each report."""
    row = RunStatus(task_id="gone.0.0.0", run=5, checkpoint="", percent=1, load=0)

    async def check(leader, group, driver):
        group.may_commit.set()
        with capture_logs() as lines:
            driver.running.append(row)
            await sleep(1.0)
        [line] = events(lines, "unexpected run")
        assert (line["task"], line["run"], line["state"]) == ("gone.0.0.0", 5, "unknown flow")
        assert "siskintally_unexpected_runs_total 1.0" in leader._counters.to_text()

    run_check(check)


class RecordingEcho(Echo):
    """Records the sessions of a process.

    :param counters: :class:`~siskintally.counters.Counters`.
    """

    def __init__(self, counters):
        self._session_log = SessionLog(counters=counters)

    def handle_session_start(self, session):
        """Record the start of a session."""
        self._session_log.record_start(session)

    def handle_session_end(self, session):
        """Record the end of a session."""
        self._session_log.record_end(session)


def test_a_silent_link_says_what_was_in_flight(counters):
    """Guards against a saturated link that looks like a broken one.

    Only the bytes in flight and the age of the last data tell the two apart.
    """

    async def main():
        server_port, port = free_ports(2)
        hello = Hello(name="a", cell="demo", incarnation="1")
        server = LinkServer(hello=hello, secret=SECRET, handler=Echo())
        link = Link(
            host="127.0.0.1",
            port=port,
            hello=hello,
            secret=SECRET,
            handler=RecordingEcho(counters),
            timing=SHORT_TIMING,
        )
        forwarder = Forwarder(port=port, target=server_port)
        with fail_after(20):
            async with create_task_group() as tasks:
                tasks.start_soon(partial(server.serve, host="127.0.0.1", port=server_port))
                tasks.start_soon(forwarder.run)
                tasks.start_soon(link.run)
                await link.wait_open()
                forwarder.silence()
                # The link may be open again, over a connection that works, before it is looked at.
                session = link.session
                while not session.closed:
                    link.send(ConfigState(document="x" * 1_000_000))
                    await sleep(0.1)
                await link.wait_open()
                tasks.cancel_scope.cancel()

    with capture_logs() as lines:
        run(main)
    [line] = events(lines, "link silent")
    undelivered = line["queued_bytes"] + line["buffered_bytes"] + line["unacked_bytes"]
    assert undelivered > 500_000
    assert 0 < line["received_bytes"] < 10_000
    [first, *_] = events(lines, "session ends")
    assert (first["peer"], first["reason"]) == ("a", "silent")
    assert first["age_ms"] > 300
    assert 'siskintally_sessions_ended_total{reason="silent"} 1.0' in counters.to_text()
