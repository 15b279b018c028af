"""Waiting requests of one class: round robin among callers, earliest deadline first in a caller.

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

MAX_ROUNDS_KEPT = 1024


class State(Enum):
    """Where a ticket is."""

    NEW = 0
    WAITING = 1
    TAKEN = 2
    GONE = 3


class Ticket:
    """A request that waits for a slot.

    :param rank: class, 0 is the most urgent.
    :param deadline: monotonic time.
    :param notify: called without arguments when the ticket was taken, evicted, or expired.
    :param avoid: endpoint to use only if no other has a free slot.
    :param may_probe: whether it may be the probe of an ejected endpoint.
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
    """Tickets of one class."""

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
        """Return how many callers wait."""
        return len(self._line_by_caller)

    def waiting_of(self, caller):
        """Return how many tickets of a caller wait."""
        line = self._line_by_caller.get(caller)
        return line.waiting if line else 0

    def ahead_of(self, ticket):
        """Return how many waiting tickets are popped before a new or a waiting one.

        Round robin gives others at most as many turns as this caller has up to the ticket.
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
        """Add a ticket."""
        line = self._line_by_caller.get(ticket.caller)
        if line is None:
            # A caller that comes back has no more turns in a round than one that stayed.
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
        """Return the next ticket, or None."""
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
        """Take out a waiting ticket."""
        line = self._line_by_caller[ticket.caller]
        was_head = line.heap[0] is ticket.entry
        ticket.state = State.GONE
        self._leave(ticket.caller, line, reenter=was_head)

    def latest_of_largest(self):
        """Return the ticket with the latest deadline of the caller with most tickets, or None."""
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
    """Tell whether a ticket waits at this place; a promoted one leaves its old entry behind."""
    ticket = entry[2]
    return ticket.state is State.WAITING and ticket.entry is entry
