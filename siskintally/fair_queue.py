"""Queue of one request class: round robin over callers, earliest deadline first per caller.

>>> from siskintally.fair_queue import FairQueue, QueuedRequest
>>> queue = FairQueue()
>>> for caller, deadline in (("a", 3.0), ("a", 1.0), ("b", 9.0)):
...     queue.push(QueuedRequest(rank=1, caller=caller, deadline=deadline, queued_at=0.0))
>>> [(request.caller, request.deadline) for request in iter(queue.pop, None)]
[('a', 1.0), ('b', 9.0), ('a', 3.0)]
"""

from enum import Enum
from heapq import heappop, heappush
from itertools import count

# Above this number of remembered callers, those without a turn in a later round are dropped.
MAX_REMEMBERED_CALLERS = 1024


class RequestState(Enum):
    """State of a request: TAKEN was popped to be sent, GONE left the queue without being sent."""

    NEW = 0
    WAITING = 1
    TAKEN = 2
    GONE = 3


class QueuedRequest:
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
        "heap_item",
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
        self.state = RequestState.NEW
        self.endpoint = None
        self.heap_item = None


class _CallerQueue:
    __slots__ = ("heap", "next_round", "turn_version", "waiting_count")

    def __init__(self, *, round_number):
        self.heap = []
        self.waiting_count = 0
        self.next_round = round_number
        self.turn_version = 0


class FairQueue:
    """Waiting requests of one class.

    Each caller gets one request per round. A heap orders the callers' turns by round and deadline.
    """

    __slots__ = (
        "_current_round",
        "_next_round_by_caller",
        "_queue_by_caller",
        "_sequence",
        "_turns",
        "_waiting_count",
    )

    def __init__(self):
        self._queue_by_caller = {}
        self._turns = []
        self._sequence = count()
        self._current_round = 0
        self._next_round_by_caller = {}
        self._waiting_count = 0

    def __len__(self):
        return self._waiting_count

    def caller_count(self):
        """Return the number of callers with waiting requests."""
        return len(self._queue_by_caller)

    def count_waiting(self, caller):
        """Return the number of waiting requests of a caller."""
        caller_queue = self._queue_by_caller.get(caller)
        return caller_queue.waiting_count if caller_queue else 0

    def count_ahead(self, request):
        """Return how many waiting requests at most are popped before a new or a waiting one.

        Round robin gives each other caller at most as many turns as this caller needs until then.
        """
        caller_queue = self._queue_by_caller.get(request.caller)
        caller_count = self.caller_count() + (caller_queue is None)
        own = sum(
            1
            for heap_item in (caller_queue.heap if caller_queue else ())
            if heap_item[0] <= request.deadline
            and heap_item[2] is not request
            and _is_waiting(heap_item)
        )
        others = self._waiting_count - (request.state is RequestState.WAITING)
        return min(others, (own + 1) * caller_count - 1)

    def push(self, request):
        """Add a request."""
        caller_queue = self._queue_by_caller.get(request.caller)
        if caller_queue is None:
            # A caller whose queue was empty still gets only one turn per round.
            round_number = max(
                self._current_round, self._next_round_by_caller.get(request.caller, 0)
            )
            caller_queue = self._queue_by_caller[request.caller] = _CallerQueue(
                round_number=round_number
            )
        request.state = RequestState.WAITING
        request.heap_item = (request.deadline, next(self._sequence), request)
        heappush(caller_queue.heap, request.heap_item)
        caller_queue.waiting_count += 1
        self._waiting_count += 1
        if caller_queue.heap[0] is request.heap_item:
            self._schedule_turn(request.caller, caller_queue)

    def pop(self):
        """Remove and return the next request, or None."""
        while self._turns:
            round_number, _, _, caller, turn_version = heappop(self._turns)
            caller_queue = self._queue_by_caller.get(caller)
            if caller_queue is None or caller_queue.turn_version != turn_version:
                continue
            request = self._first_waiting(caller_queue)
            if request is None:
                continue
            heappop(caller_queue.heap)
            self._current_round = round_number
            caller_queue.next_round = round_number + 1
            request.state = RequestState.TAKEN
            self._finish_removal(request.caller, caller_queue)
            return request
        return None

    def remove(self, request):
        """Remove a waiting request."""
        caller_queue = self._queue_by_caller[request.caller]
        was_first = caller_queue.heap[0] is request.heap_item
        request.state = RequestState.GONE
        self._finish_removal(request.caller, caller_queue, reschedule=was_first)

    def latest_of_busiest_caller(self):
        """Return the latest-deadline request of the caller with the most requests, or None."""
        if not self._queue_by_caller:
            return None
        caller_queue = max(self._queue_by_caller.values(), key=lambda queue: queue.waiting_count)
        return max(filter(_is_waiting, caller_queue.heap), key=lambda heap_item: heap_item[:2])[2]

    def _finish_removal(self, caller, caller_queue, *, reschedule=True):
        caller_queue.waiting_count -= 1
        self._waiting_count -= 1
        if not caller_queue.waiting_count:
            del self._queue_by_caller[caller]
            self._remember_round(caller, caller_queue.next_round)
        elif reschedule:
            self._schedule_turn(caller, caller_queue)

    def _remember_round(self, caller, round_number):
        self._next_round_by_caller[caller] = round_number
        if len(self._next_round_by_caller) > MAX_REMEMBERED_CALLERS:
            later = {
                name: at
                for name, at in self._next_round_by_caller.items()
                if at > self._current_round
            }
            self._next_round_by_caller = later

    def _schedule_turn(self, caller, caller_queue):
        request = self._first_waiting(caller_queue)
        caller_queue.turn_version += 1
        turn = (
            caller_queue.next_round,
            request.deadline,
            next(self._sequence),
            caller,
            caller_queue.turn_version,
        )
        heappush(self._turns, turn)

    @staticmethod
    def _first_waiting(caller_queue):
        while caller_queue.heap and not _is_waiting(caller_queue.heap[0]):
            heappop(caller_queue.heap)
        return caller_queue.heap[0][2] if caller_queue.heap else None


def _is_waiting(heap_item):
    """Return whether a heap item is current; a promoted request leaves a stale one behind."""
    request = heap_item[2]
    return request.state is RequestState.WAITING and request.heap_item is heap_item
