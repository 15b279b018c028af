"""Queue of one request class: round robin over callers, earliest deadline first per caller.

>>> from siskintally.fair_queue import FairQueue, Ticket
>>> queue = FairQueue()
>>> for caller, deadline in (("a", 3.0), ("a", 1.0), ("b", 9.0)):
...     queue.push(Ticket(rank=1, caller=caller, deadline=deadline, queued_at=0.0))
>>> [(ticket.caller, ticket.deadline) for ticket in iter(queue.pop, None)]
[('a', 1.0), ('b', 9.0), ('a', 3.0)]
"""

from enum import Enum
from heapq import heappop, heappush
from itertools import count

# Above this number of remembered callers, those without a turn in a later round are dropped.
MAX_ROUNDS_KEPT = 1024


class State(Enum):
    """State of a request in the queue: GONE is removed, TAKEN is sent on."""

    NEW = 0
    WAITING = 1
    TAKEN = 2
    GONE = 3


class Ticket:
    """A request that waits for a slot.

    :param rank: class, 0 is the most urgent.
    :param deadline: monotonic time.
    :param notify: called without arguments when the request gets a slot, is evicted, or expires.
    :param avoid: endpoint to use only if no other has a free slot.
    :param may_probe: whether the request may be sent to an ejected endpoint to probe it.
    """

    __slots__ = (
        "avoid",
        "caller",
        "deadline",
        "endpoint",
        "entry",
        "may_probe",
        "notify",
        "queued_at",
        "rank",
        "state",
    )

    def __init__(self, *, rank, caller, deadline, queued_at, notify=None, avoid="", may_probe=True):
        self.rank = rank
        self.caller = caller
        self.deadline = deadline
        self.queued_at = queued_at
        self.notify = notify
        self.avoid = avoid
        self.may_probe = may_probe
        self.state = State.NEW
        self.endpoint = None
        self.entry = None


class _Line:
    __slots__ = ("heap", "round", "version", "waiting")

    def __init__(self, *, turn):
        self.heap = []
        self.waiting = 0
        self.round = turn
        self.version = 0


class FairQueue:
    """Waiting requests of one class.

    Each caller gets one request per round. A heap orders the callers' turns by round and deadline.
    """

    __slots__ = ("_line_by_caller", "_numbers", "_order", "_round", "_round_by_caller", "_waiting")

    def __init__(self):
        self._line_by_caller = {}
        self._order = []
        self._numbers = count()
        self._round = 0
        self._round_by_caller = {}
        self._waiting = 0

    def __len__(self):
        return self._waiting

    def callers(self):
        """Return the number of callers with waiting requests."""
        return len(self._line_by_caller)

    def waiting_of(self, caller):
        """Return the number of waiting requests of a caller."""
        line = self._line_by_caller.get(caller)
        return line.waiting if line else 0

    def ahead_of(self, ticket):
        """Return how many waiting requests at most are popped before a new or a waiting one.

        Round robin gives each other caller at most as many turns as this caller needs until then.
        """
        line = self._line_by_caller.get(ticket.caller)
        callers = self.callers() + (line is None)
        own = sum(
            1
            for entry in (line.heap if line else ())
            if entry[0] <= ticket.deadline and entry[2] is not ticket and _is_waiting(entry)
        )
        others = self._waiting - (ticket.state is State.WAITING)
        return min(others, (own + 1) * callers - 1)

    def push(self, ticket):
        """Add a request."""
        line = self._line_by_caller.get(ticket.caller)
        if line is None:
            # A caller whose queue was empty still gets only one turn per round.
            turn = max(self._round, self._round_by_caller.get(ticket.caller, 0))
            line = self._line_by_caller[ticket.caller] = _Line(turn=turn)
        ticket.state = State.WAITING
        ticket.entry = (ticket.deadline, next(self._numbers), ticket)
        heappush(line.heap, ticket.entry)
        line.waiting += 1
        self._waiting += 1
        if line.heap[0] is ticket.entry:
            self._enter(ticket.caller, line)

    def pop(self):
        """Remove and return the next request, or None."""
        while self._order:
            turn, _, _, caller, version = heappop(self._order)
            line = self._line_by_caller.get(caller)
            if line is None or line.version != version:
                continue
            ticket = self._head(line)
            if ticket is None:
                continue
            heappop(line.heap)
            self._round = turn
            line.round = turn + 1
            ticket.state = State.TAKEN
            self._leave(ticket.caller, line)
            return ticket
        return None

    def remove(self, ticket):
        """Remove a waiting request."""
        line = self._line_by_caller[ticket.caller]
        was_head = line.heap[0] is ticket.entry
        ticket.state = State.GONE
        self._leave(ticket.caller, line, reenter=was_head)

    def latest_of_largest(self):
        """Return the latest-deadline request of the caller with the most requests, or None."""
        if not self._line_by_caller:
            return None
        line = max(self._line_by_caller.values(), key=lambda one: one.waiting)
        return max(filter(_is_waiting, line.heap), key=lambda entry: entry[:2])[2]

    def _leave(self, caller, line, *, reenter=True):
        line.waiting -= 1
        self._waiting -= 1
        if not line.waiting:
            del self._line_by_caller[caller]
            self._remember(caller, line.round)
        elif reenter:
            self._enter(caller, line)

    def _remember(self, caller, turn):
        self._round_by_caller[caller] = turn
        if len(self._round_by_caller) > MAX_ROUNDS_KEPT:
            late = {name: at for name, at in self._round_by_caller.items() if at > self._round}
            self._round_by_caller = late

    def _enter(self, caller, line):
        ticket = self._head(line)
        line.version += 1
        entry = (line.round, ticket.deadline, next(self._numbers), caller, line.version)
        heappush(self._order, entry)

    @staticmethod
    def _head(line):
        while line.heap and not _is_waiting(line.heap[0]):
            heappop(line.heap)
        return line.heap[0][2] if line.heap else None


def _is_waiting(entry):
    """Return whether a heap item is current; a promoted request leaves a stale one behind."""
    ticket = entry[2]
    return ticket.state is State.WAITING and ticket.entry is entry
