"""Interfaces that a platform implements: calls to workers and to the advice service.

>>> from siskintally.driver import EndKind
>>> EndKind.DONE.name
'DONE'
"""

from abc import ABC, abstractmethod
from enum import IntEnum

from siskintally.codes import Code
from siskintally.errors import SiskintallyError


class IncarnationGoneError(SiskintallyError):
    """The addressed incarnation of a worker no longer exists; another one answered."""

    code = Code.NO_ENDPOINT


class BusyError(SiskintallyError):
    """The peer did nothing; the call may be repeated later."""

    code = Code.OVERLOADED


class EndKind(IntEnum):
    """How a run ended."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    # Another task of the gang ended.
    BROKEN = 4
    # The gang was not complete in time.
    ALONE = 5


class Refusal(IntEnum):
    """Reason for which a worker refused an order."""

    NONE = 0
    # The worker has seen the fence of a later leader.
    FENCED = 1
    # The run number is not higher than that of a run which was stopped or has ended there.
    OLD = 2
    # The lease in the order has expired.
    LATE = 3
    # The worker lacks free resources.
    ROOM = 4
    # The ticket is missing or not valid.
    TICKET = 5
    INVALID = 6


class Order:
    """A start, stop, or throttle order for one run.

    :param fence: term of the leader; a worker refuses orders with a lower fence than it has seen.
    :param spec: specification text of the flow; start orders only.
    :param lease_until_ms: end of the lease on the worker's steady clock; start orders only.
    :param checkpoint: checkpoint to resume from, empty for none; start orders only.
    :param ticket: permit of the advice service, empty for none; start orders only.
    :param percent: processor share that the run may use, in percent; throttle orders only.
    """

    __slots__ = (
        "checkpoint",
        "fence",
        "lease_until_ms",
        "percent",
        "run",
        "spec",
        "task_id",
        "ticket",
    )

    def __init__(
        self,
        *,
        task_id,
        run,
        fence,
        spec="",
        lease_until_ms=0,
        checkpoint="",
        ticket="",
        percent=100,
    ):
        self.task_id = task_id
        self.run = run
        self.fence = fence
        self.spec = spec
        self.lease_until_ms = lease_until_ms
        self.checkpoint = checkpoint
        self.ticket = ticket
        self.percent = percent


class OrderReply:
    """Reply of a worker to an order.

    :param clock_ms: steady clock of the worker at the time of the reply, None if not included.
    """

    __slots__ = ("clock_ms", "refusal")

    def __init__(self, *, refusal=Refusal.NONE, clock_ms=None):
        self.refusal = refusal
        self.clock_ms = clock_ms


class RunStatus:
    """A run in progress on a worker.

    ``percent``: progress, or 100 for a long-running task that is ready. ``load``: tail latency in
    ms of a task that serves requests, otherwise the processor use in thousandths of a core.
    """

    __slots__ = ("checkpoint", "load", "percent", "run", "task_id")

    def __init__(self, *, task_id, run, checkpoint="", percent=0, load=0):
        self.task_id = task_id
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        self.load = load


class RunEnd:
    """A run that ended on a worker; ``number`` counts the ends of the incarnation from 1."""

    __slots__ = ("checkpoint", "kind", "number", "run", "task_id")

    def __init__(self, *, number, task_id, run, kind, checkpoint=""):
        self.number = number
        self.task_id = task_id
        self.run = run
        self.kind = kind
        self.checkpoint = checkpoint


class WorkerReport:
    """Status report of a worker.

    :param ended: ends that the worker keeps until they are acknowledged.
    :param is_partial: whether the worker may keep more ends than the report lists.
    """

    __slots__ = ("clock_ms", "ended", "is_partial", "refusal", "running")

    def __init__(self, *, clock_ms, running=(), ended=(), is_partial=False, refusal=Refusal.NONE):
        self.clock_ms = clock_ms
        self.running = running
        self.ended = ended
        self.is_partial = is_partial
        self.refusal = refusal


class WorkerDriver(ABC):
    """Calls to workers; each call addresses one incarnation.

    A call has no effect on another incarnation, not even on one that started again under the same
    id at the same address: leases, run numbers, and acknowledged ends mean nothing there.

    Every call raises :class:`~siskintally.errors.UnreachableError` if it was certainly not sent,
    :class:`~siskintally.errors.OutcomeUnknownError` if the worker may execute it, even seconds
    later, :class:`IncarnationGoneError` if another incarnation answered, and :class:`BusyError`
    if the worker did nothing.

    :param worker: :class:`~siskintally.control_pb2.PoolWorker`.
    :param timeout: seconds.
    """

    __slots__ = ()

    @abstractmethod
    async def start(self, worker, order, *, timeout):
        """Start a run; return an :class:`OrderReply`."""

    @abstractmethod
    async def stop(self, worker, order, *, timeout):
        """Stop a run; return an :class:`OrderReply`.

        If the run has not started yet, the worker refuses its start order when that arrives later.
        """

    @abstractmethod
    async def throttle(self, worker, order, *, timeout):
        """Limit the processor share of a run; return an :class:`OrderReply`."""

    @abstractmethod
    async def poll_status(
        self, worker, *, fence, lease_until_ms, committed_end_number, wait_ms, timeout
    ):
        """Poll the status of a worker and renew its lease; return a :class:`WorkerReport`.

        :param lease_until_ms: end of the lease on the worker's steady clock, None not to renew it.
        :param committed_end_number: number of the last committed end; the worker may discard ends
            up to it.
        :param wait_ms: longest time that the worker waits for a run to end before it replies.
        """

    @abstractmethod
    async def disconnect(self, worker):
        """Close the connections to a lost worker."""


class Ticket:
    """Permit to run the tasks of one step on one worker."""

    __slots__ = ("text", "worker_id")

    def __init__(self, *, worker_id, text):
        self.worker_id = worker_id
        self.text = text


class AdviceService(ABC):
    """Service that decides which workers may run a step."""

    __slots__ = ()

    @abstractmethod
    async def ask(self, step_id, worker_ids, *, timeout):
        """Return the :class:`Ticket` objects of the allowed workers.

        :raises SiskintallyError: no usable reply; the call may be repeated.
        """
