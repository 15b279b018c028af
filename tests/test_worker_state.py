"""State of a worker: lease, session, term, repeated orders, orders that arrive out of order."""

from siskintally.wire_pb2 import AttemptState, StartOrder, StopOrder, WorkerOrders
from siskintally.worker_state import Faults, WorkerState


class WorkerHarness:
    """A worker state, and shorthand for its heartbeats and the orders of its owner."""

    __slots__ = ("state",)

    def __init__(self, **faults):
        self.state = WorkerState(session="s", faults=Faults(**faults))

    def send_heartbeat(self, *, sent, answered, term=1, **orders):
        """Send a heartbeat and apply its reply; return the kinds of the events."""
        heartbeat = self.state.next_heartbeat(now=sent)
        answer = WorkerOrders(
            session=heartbeat.session, seq=heartbeat.seq, lease_s=30, term=term, **orders
        )
        return [
            event.kind
            for event in self.state.apply_heartbeat_reply(heartbeat, answer, now=answered)
        ]

    def receive(self, *, now, session="s", seq=1, term=1, **orders):
        """Apply orders that arrive between heartbeats; return the kinds of the events."""
        message = WorkerOrders(session=session, seq=seq, lease_s=30, term=term, **orders)
        return [event.kind for event in self.state.apply_orders(message, now=now)]


def start(attempt=1, run_s=0.0):
    return StartOrder(task_id="j/g.0", attempt=attempt, run_s=run_s)


def test_a_lease_that_has_ended_is_not_revived_by_an_answer():
    """Guards against a paused worker that continues tasks which run elsewhere by now.

    The reply to a heartbeat from before the end of the lease arrives after it.
    """
    worker = WorkerHarness()
    assert worker.send_heartbeat(sent=0.0, answered=0.1, start=[start()]) == ["start"]
    assert worker.send_heartbeat(sent=29.0, answered=35.0) == ["stop"]
    assert worker.state.running == [] and worker.state.session != "s"


def test_orders_without_a_lease_or_of_another_session_or_term_have_no_effect():
    """Guards against late start orders of an owner that has lost its leadership."""
    worker = WorkerHarness()
    assert worker.receive(now=0.0, start=[start()]) == []
    worker.send_heartbeat(sent=0.0, answered=0.1, term=3)
    assert worker.receive(now=1.0, session="old", term=3, start=[start()]) == []
    assert worker.receive(now=1.0, term=2, start=[start()]) == []
    assert worker.receive(now=1.0, term=3, start=[start()]) == ["start"]
    assert worker.receive(now=31.0, term=3, start=[start(2)]) == ["stop"]


def test_repeated_orders_run_an_attempt_once():
    """Guards against a second run of an attempt when its start order is sent again."""
    worker = WorkerHarness()
    worker.send_heartbeat(sent=0.0, answered=0.1, start=[start(run_s=1)])
    assert worker.receive(now=0.5, start=[start(run_s=1)]) == []
    assert worker.receive(now=2.0) == ["end"]
    assert worker.receive(now=2.1, start=[start(run_s=1)]) == []
    seen = AttemptState(task_id="j/g.0", attempt=1, state=AttemptState.SUCCEEDED)
    assert worker.receive(now=2.2, seen=[seen], start=[start(run_s=1)]) == []
    assert worker.receive(now=2.3, start=[start(2)]) == ["start"]


def test_a_stop_that_overtakes_its_start_wins():
    """Guards against a cancelled task that starts after its stop was confirmed."""
    worker = WorkerHarness()
    worker.send_heartbeat(sent=0.0, answered=0.1)
    stop = StopOrder(task_id="j/g.0", attempt=1)
    assert worker.receive(now=0.2, stop=[stop]) == []
    assert worker.receive(now=0.3, start=[start()]) == []
    (reported,) = worker.state.next_heartbeat(now=0.4).attempts
    assert reported.state == AttemptState.STOPPED


def test_ends_are_reported_until_they_are_seen_and_full_lists_once():
    """Guards against the end of a task that never reaches the owner.

    Also guards against full lists in every heartbeat, which would cost control traffic.
    """
    worker = WorkerHarness()
    worker.send_heartbeat(sent=0.0, answered=0.1, start=[start()])
    assert [attempt.attempt for attempt in worker.state.next_heartbeat(now=0.2).attempts] == [1]
    worker.send_heartbeat(sent=0.3, answered=0.4)
    heartbeat = worker.state.next_heartbeat(now=0.5)
    assert not heartbeat.full and not heartbeat.attempts
    worker.receive(now=0.6, stop=[StopOrder(task_id="j/g.0", attempt=1)])
    for now in (0.7, 0.8):
        assert [attempt.attempt for attempt in worker.state.next_heartbeat(now=now).attempts] == [1]
    worker.state.reconnect()
    assert worker.state.next_heartbeat(now=0.9).full


def test_a_delayed_start_is_dropped_when_the_lease_ends_first():
    """Guards against a start order that arrives within the lease and is carried out after it."""
    worker = WorkerHarness(pause_s=20.0)
    worker.send_heartbeat(sent=0.0, answered=15.0, start=[start()])
    assert worker.state.tick(now=36.0) == [] and worker.state.running == []
