"""Pending calls of a group: proposals by term and log index, and reads by read round.

>>> from siskintally.waiters import Waiters
>>> Waiters().is_empty
True
"""

from anyio import Event


class Waiter:
    """One pending call: a proposal or a read.

    :param command: bytes to propose, None for a read round.
    :param urgent: whether the read round is sent at once.
    """

    __slots__ = ("_done", "_error", "_reply", "command", "urgent")

    def __init__(self, *, command=None, urgent=True):
        self.command = command
        self.urgent = urgent
        self._done = Event()
        self._reply = None
        self._error = None

    def resolve(self, reply=None):
        """Complete the call with a reply."""
        self._reply = reply
        self._done.set()

    def fail(self, error):
        """Complete the call with an exception, unless it is complete."""
        if not self._done.is_set():
            self._error = error
            self._done.set()

    async def wait(self):
        """Wait until the call is complete; return its reply or raise its exception."""
        await self._done.wait()
        if self._error is not None:
            raise self._error
        return self._reply


class Waiters:
    """All calls that a leader has accepted in its current term.

    An entry is identified by its term and index: a later leader may replace an entry, so the index
    of a committed one does not tell whose command it has.
    """

    __slots__ = ("_by_entry", "_by_round")

    def __init__(self):
        self._by_entry = {}
        self._by_round = {}

    @property
    def is_empty(self):
        """Whether no call is pending."""
        return not self._by_entry and not self._by_round

    @property
    def has_proposals(self):
        """Whether a proposal is pending."""
        return bool(self._by_entry)

    def add_proposals(self, waiters, term, last_index):
        """Add proposals whose commands are the entries of a term up to ``last_index``."""
        first = last_index - len(waiters) + 1
        for index, waiter in enumerate(waiters, first):
            self._by_entry[term, index] = waiter

    def add_reads(self, waiters, round_):
        """Add reads that wait for a read round."""
        self._by_round.setdefault(round_, []).extend(waiters)

    def complete_proposal(self, entry, reply):
        """Complete the proposal whose entry was applied, if it was proposed here."""
        waiter = self._by_entry.pop((entry.term, entry.index), None)
        if waiter is not None:
            waiter.resolve(reply)

    def complete_reads(self, round_):
        """Complete the reads of all rounds up to a confirmed one."""
        for number in [number for number in self._by_round if number <= round_]:
            for waiter in self._by_round.pop(number):
                waiter.resolve()

    def fail_all(self, *, proposals, reads):
        """Fail all calls.

        :param proposals: function that returns the exception of a proposal.
        :param reads: function that returns the exception of a read.
        """
        for waiter in self._by_entry.values():
            waiter.fail(proposals())
        for waiters in self._by_round.values():
            for waiter in waiters:
                waiter.fail(reads())
        self._by_entry.clear()
        self._by_round.clear()
