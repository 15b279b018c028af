"""What the product asks of a platform: calls to workers and to the advice service.

>>> from siskintally.driver import EndKind
>>> EndKind.DONE.name
'DONE'
"""

from abc import ABC, abstractmethod
from enum import IntEnum

from siskintally.codes import Code
from siskintally.errors import SiskintallyError


class GoneError(SiskintallyError):
    """The incarnation that was meant does not exist any more; another one answered."""

    code = Code.NO_ENDPOINT


class BusyError(SiskintallyError):
    """The other side has done nothing and may be asked again later."""

    code = Code.OVERLOADED


class EndKind(IntEnum):
    """How a run ended."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    # Another member of the gang ended.
    BROKEN = 4
    # The gang was not complete in time.
    ALONE = 5


class Refusal(IntEnum):
    """Why a worker refused a start."""

    NONE = 0
    # A later leader has called the worker.
    FENCED = 1
    # The run is not higher than one that was stopped or has ended there.
    OLD = 2
    # The lease in the order is over.
    LATE = 3
    ROOM = 4
    TICKET = 5
    INVALID = 6


class Order:
    """A start, stop, or pace order for one run.

    :param spec: text that the flow was submitted with; starts only.
    :param lease_until_ms: end of the lease on the worker's clock; starts only.
    :param percent: share of the processor that the run may use; pace orders only.
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
    """Answer of a worker to an order.

    :param clock_ms: steady clock of the worker when it answered, None if it did not say.
    """

    __slots__ = ("clock_ms", "refusal")

    def __init__(self, *, refusal=Refusal.NONE, clock_ms=None):
        self.refusal = refusal
        self.clock_ms = clock_ms


class RunRow:
    """A run that is under way on a worker.

    ``percent``: progress, or 100 for a lasting task that is at work. ``load``: tail latency in ms
    of a task that serves, otherwise the processor time in use in thousandths of a core.
    """

    __slots__ = ("checkpoint", "load", "percent", "run", "task_id")

    def __init__(self, *, task_id, run, checkpoint="", percent=0, load=0):
        self.task_id = task_id
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        self.load = load


class EndRow:
    """A run that has ended on a worker; ``number`` counts the ends of an incarnation from 1."""

    __slots__ = ("checkpoint", "kind", "number", "run", "task_id")

    def __init__(self, *, number, task_id, run, kind, checkpoint=""):
        self.number = number
        self.task_id = task_id
        self.run = run
        self.kind = kind
        self.checkpoint = checkpoint


class WorkerReport:
    """What a worker says of its runs.

    :param is_partial: whether more ends than these are kept there.
    """

    __slots__ = ("clock_ms", "ended", "is_partial", "refusal", "running")

    def __init__(self, *, clock_ms, running=(), ended=(), is_partial=False, refusal=Refusal.NONE):
        self.clock_ms = clock_ms
        self.running = running
        self.ended = ended
        self.is_partial = is_partial
        self.refusal = refusal


class WorkerDriver(ABC):
    """Calls to workers; each names the incarnation that is meant.

    Every call raises :class:`~siskintally.errors.UnreachableError` if it was provably not sent,
    :class:`~siskintally.errors.OutcomeUnknownError` if it may be carried out, also seconds later,
    :class:`GoneError` if another incarnation answered, and :class:`BusyError` if the worker has
    done nothing.

    :param worker: :class:`~siskintally.control_pb2.PoolWorker`.
    :param timeout: seconds.
    """

    __slots__ = ()

    @abstractmethod
    async def start(self, worker, order, *, timeout):
        """Start a run; return an :class:`OrderReply`."""

    @abstractmethod
    async def stop(self, worker, order, *, timeout):
        """Stop a run, or refuse it when it arrives later; return an :class:`OrderReply`."""

    @abstractmethod
    async def pace(self, worker, order, *, timeout):
        """Limit a run to a share of the processor; return an :class:`OrderReply`."""

    @abstractmethod
    async def hold(self, worker, *, fence, lease_until_ms, noted, wait_ms, timeout):
        """Renew the lease and return a :class:`WorkerReport`.

        :param lease_until_ms: end of the lease on the worker's clock, None to leave it.
        :param noted: number of the last end that is committed.
        :param wait_ms: longest time to wait for an end.
        """

    @abstractmethod
    async def forget(self, worker):
        """Close the connections to a worker that is lost."""


class Ticket:
    """Permit to run the tasks of one step on one worker."""

    __slots__ = ("text", "worker_id")

    def __init__(self, *, worker_id, text):
        self.worker_id = worker_id
        self.text = text


class Advice(ABC):
    """Service that knows which workers may run a step."""

    __slots__ = ()

    @abstractmethod
    async def ask(self, step_id, worker_ids, *, timeout):
        """Return the :class:`Ticket` objects of the allowed workers.

        :raises SiskintallyError: no usable answer; the call may be repeated.
        """
