"""Workers that give no answer to a start, carry it out seconds later, and refuse repeats meanwhile.

A call without a response may be executed later, after newer calls. The stub worker decides then
whether the start is still valid: by its lease, its fence, and the runs that were stopped or ended.
"""

from json import loads
from random import Random

from anyio import sleep

from siskintally.clock import now as steady
from siskintally.http_server import json_response
from tests.platform_worker import PlatformWorkerApp, read_order

# Longer than the timeout of an order.
NO_ANSWER_S = 0.5
# Answers to a repeat that arrives before its start is carried out: (status, reason). CARRIED_OUT
# stands for a repeat that starts the run, so that the first attempt has no effect any more.
CARRIED_OUT = "carried-out"
REPLY_BY_REPEAT = {
    "room": (409, {"reason": "room"}),
    "ticket": (409, {"reason": "ticket"}),
    "400": (400, {}),
    "503": (503, {}),
}


class LateStarts:
    """Which starts of a worker are carried out late, and what becomes of their repeats.

    Choices depend on the seed, the task and its run only, not on the order of the calls.

    :param share: share of the starts that are carried out late.
    :param delay_s: (shortest, longest) time until a start is carried out.
    :param repeats: answers to a repeat, one of which is chosen for each start.
    """

    __slots__ = ("_delay_s", "_repeats", "_seed", "_share")

    def __init__(self, *, seed, share, delay_s, repeats):
        self._seed = seed
        self._share = share
        self._delay_s = delay_s
        self._repeats = repeats

    def choose(self, order, received_at):
        """Return the :class:`LateStart` of an order, None if the order is carried out at once."""
        random = Random(f"{self._seed} {order.task_id} {order.run}")
        if random.random() >= self._share:
            return None
        due_at = received_at + random.uniform(*self._delay_s)
        return LateStart(order=order, due_at=due_at, repeat=random.choice(self._repeats))


class LateStart:
    """A start that its worker has received and not carried out yet.

    :param due_at: steady time at which it is carried out, s.
    :param repeat: answer to a repeat that arrives before.
    """

    __slots__ = ("due_at", "order", "repeat")

    def __init__(self, *, order, due_at, repeat):
        self.order = order
        self.due_at = due_at
        self.repeat = repeat


class LateStartWorkerApp(PlatformWorkerApp):
    """A worker that carries out some starts late.

    ``late_starts``: :class:`LateStarts`, None to carry out each start at once. ``refused_repeats``
    and ``executed_late`` hold (task id, run) of starts to which that has happened.
    """

    def __init__(self, *, worker):
        super().__init__(worker=worker)
        self.late_starts = None
        self.refused_repeats = set()
        self.executed_late = set()
        self._pending_by_run = {}
        self._received_runs = set()

    @property
    def has_pending_starts(self):
        """Whether a start is still to be carried out."""
        return bool(self._pending_by_run)

    async def handle(self, request):
        """Answer one call."""
        if request.path != "/run-start" or not self.is_addressed(request):
            return await super().handle(request)
        order = read_order(loads(request.body))
        run = (order.task_id, order.run)
        pending = self._pending_by_run.get(run)
        if pending is not None and pending.repeat != CARRIED_OUT:
            return self._refuse_repeat(pending)
        is_repeat = run in self._received_runs
        self._received_runs.add(run)
        if self.late_starts is None or is_repeat:
            return await super().handle(request)
        late_start = self.late_starts.choose(order, steady())
        if late_start is None:
            return await super().handle(request)
        self._pending_by_run[run] = late_start
        await sleep(NO_ANSWER_S)
        return None

    def _refuse_repeat(self, pending):
        self.refused_repeats.add((pending.order.task_id, pending.order.run))
        status, fields = REPLY_BY_REPEAT[pending.repeat]
        return json_response(status, {"clockMs": self.worker.clock_ms, **fields})

    def execute_due_starts(self):
        """Carry out the late starts that are due, as far as they are still valid."""
        now = steady()
        for run, pending in list(self._pending_by_run.items()):
            if now < pending.due_at:
                continue
            del self._pending_by_run[run]
            start_count = len(self.worker.history)
            self.worker.start(pending.order)
            if self._has_started(run, start_count):
                self.executed_late.add(run)

    def _has_started(self, run, first):
        events = self.worker.history[first:]
        return any(event == "START" and (task, number) == run for _, event, task, number in events)
