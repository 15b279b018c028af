"""Dispatcher of a leader: sends its orders to workers and its calls to the advice service.

>>> from siskintally.flow_dispatcher import ADVICE_MARGIN_S
>>> ADVICE_MARGIN_S > 0
True
"""

from siskintally.clock import now as steady
from siskintally.control_pb2 import StartBatch
from siskintally.error_isolation import isolated
from siskintally.errors import NotLeaderError, OutcomeUnknownError, SiskintallyError
from siskintally.log import get_logger

# Timeout of a call to the advice service beyond the call duration that its terms state.
ADVICE_MARGIN_S = 1.5
# Starts of one pass. A start among 176 workers takes 0.4 to 0.5 ms, and a pass has to hand back the
# event loop well within the timeout of an order, or orders to healthy workers fail.
MAX_STARTS_PER_PASS = 100

log = get_logger("flow-dispatcher")


class FlowDispatcher:
    """Sends start, stop, and throttle orders, and calls to the advice service.

    :param leader: :class:`~siskintally.control_leader.ControlLeader`.
    :param advice_pool: :class:`~siskintally.advice_client_pool.AdviceClientPool`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = ("_advice_pool", "_counters", "_leader")

    def __init__(self, *, leader, advice_pool, counters):
        self._leader = leader
        self._advice_pool = advice_pool
        self._counters = counters

    def run_pass(self, now, wall_ms, tasks):
        """Run a placement pass and send the resulting orders and calls.

        If the pass reaches its bound on starts, it requests the next one.

        :param now: steady time, s.
        :param wall_ms: Unix time, ms.
        :param tasks: task group for the calls.
        """
        self._log_releases()
        self._send_stops(tasks)
        self._send_throttles(tasks)
        scheduler = self._leader.scheduler
        actions = list(scheduler.place(now, wall_ms, max_starts=MAX_STARTS_PER_PASS))
        for action in actions:
            self._counters.starts.inc()
            self._counters.start_seconds.observe(now - action.task.step.flow.arrived_at)
            log.info(
                "start",
                task=action.task.id,
                run=action.run,
                worker=action.worker.id,
                term=self._leader.term,
                waited_ms=round((now - action.task.step.flow.arrived_at) * 1000),
            )
        if actions:
            tasks.start_soon(self._send_starts, actions, tasks)
        if len(actions) >= MAX_STARTS_PER_PASS:
            self._leader.request_pass()
        has_client = self._advice_pool.has_free
        for action in scheduler.plan_advice_calls(now, wall_ms, has_client=has_client):
            client = self._advice_pool.acquire(is_quick=action.is_quick)
            if client is not None:
                action.step.is_asking = True
                tasks.start_soon(self._request_advice, client, action)

    async def _send_starts(self, actions, tasks):
        """Commit on which workers tasks are started, then send the orders.

        So the next leader has to wait only for the recorded workers, not for every unresponsive
        one.
        """
        starts = [action.to_record() for action in actions]
        try:
            await self._leader.propose(starts=StartBatch(starts=starts))
        except (NotLeaderError, OutcomeUnknownError) as error:
            self._leader.end_term(str(error))
            return
        for action in actions:
            manager = self._leader.manager_of(action.worker.id)
            if manager is not None and manager.worker is action.worker:
                tasks.start_soon(manager.start, action)

    def _log_releases(self):
        releases, self._leader.scheduler.releases = self._leader.scheduler.releases, []
        for release in releases:
            self._counters.runs_released.labels(release.cause).inc()
            log.info(
                "run released",
                task=release.task_id,
                run=release.run,
                worker=release.worker_id,
                cause=str(release.cause),
            )

    def _send_throttles(self, tasks):
        throttles, self._leader.scheduler.throttles = self._leader.scheduler.throttles, []
        for action in throttles:
            manager = self._leader.manager_of(action.worker.id)
            if manager is not None and manager.worker is action.worker:
                self._counters.throttles.inc()
                log.info(
                    "pace", task=action.task.id, worker=action.worker.id, percent=action.percent
                )
                tasks.start_soon(manager.throttle, action)

    def _send_stops(self, tasks):
        stops, self._leader.scheduler.stops = self._leader.scheduler.stops, []
        for action in stops:
            manager = self._leader.manager_of(action.worker.id)
            if manager is None:
                self._record_dropped_stop(action, "worker gone")
            elif manager.worker is not action.worker:
                self._record_dropped_stop(action, "another incarnation")
            else:
                self._counters.stops.inc()
                if action.is_overdue:
                    log.warning(
                        "run still listed",
                        task=action.task_id,
                        run=action.run,
                        worker=action.worker.id,
                    )
                log.info("stop", task=action.task_id, run=action.run, worker=action.worker.id)
                manager.wake()
                tasks.start_soon(manager.stop, action)

    def _record_dropped_stop(self, action, reason):
        self._counters.stops_dropped.labels(reason).inc()
        log.info(
            "stop dropped",
            task=action.task_id,
            run=action.run,
            worker=action.worker.id,
            reason=reason,
        )

    @isolated
    async def _request_advice(self, client, action):
        tickets = None
        asked_at = steady()
        timeout = action.expected_s + ADVICE_MARGIN_S
        try:
            tickets = await client.ask(action.step.id, action.worker_ids, timeout=timeout)
        except SiskintallyError as error:
            log.info("advice failed", step=action.step.id, lane=client.name, error=str(error)[:120])
        finally:
            action.step.is_asking = False
            self._advice_pool.release(client)
        now = steady()
        self._counters.advice_seconds.observe(now - asked_at)
        queue = action.step.flow.queue
        valid_s = queue.advice.valid_ms / 1000 if queue is not None else 0.0
        self._leader.scheduler.apply_advice(action, tickets, now + valid_s, now)
        if tickets is not None:
            log.info(
                "advice",
                step=action.step.id,
                lane=client.name,
                asked=len(action.worker_ids),
                allowed=len(tickets),
                took_ms=round((now - asked_at) * 1000),
            )
        self._leader.request_pass()
