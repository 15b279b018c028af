"""Calls that wait for a commit or for a read round of a group.

>>> from siskintally.waiters import Waiters
>>> Waiters().is_empty
True
"""

from anyio import Event


class Waiter:
    """One waiting call.

    :param command: bytes to propose, None for a read round.
    :param urgent: whether a read round is sent at once.
    """

    __slots__ = ("_done", "_error", "_reply", "command", "urgent")

    def __init__(self, *, command=None, urgent=True):
        self.command = command
        self.urgent = urgent
        self._done = Event()
        self._reply = None
        self._error = None

    def resolve(self, reply=None):
        """End the call with a reply."""
        self._reply = reply
        self._done.set()

    def fail(self, error):
        """End the call with an exception, unless it has ended."""
        if not self._done.is_set():
            self._error = error
            self._done.set()

    async def wait(self):
        """Wait for the end of the call and return its reply."""
        await self._done.wait()
        if self._error is not None:
            raise self._error
        return self._reply


class Waiters:
    """All calls that a leader has accepted in its present term."""

    __slots__ = ("_by_index", "_by_round")

    def __init__(self):
        self._by_index = {}
        self._by_round = {}

    @property
    def is_empty(self):
        """Whether no call waits."""
        return not self._by_index and not self._by_round

    @property
    def has_proposals(self):
        """Whether a call waits for its command to be committed."""
        return bool(self._by_index)

    def add_proposals(self, waiters, last_index):
        """Add calls whose commands are the entries up to ``last_index``."""
        first = last_index - len(waiters) + 1
        for index, waiter in enumerate(waiters, first):
            self._by_index[index] = waiter

    def add_reads(self, waiters, round_):
        """Add calls that wait for a read round."""
        self._by_round.setdefault(round_, []).extend(waiters)

    def applied(self, index, reply):
        """End the call whose entry was applied."""
        waiter = self._by_index.pop(index, None)
        if waiter is not None:
            waiter.resolve(reply)

    def confirmed(self, round_):
        """End the calls of all read rounds up to one."""
        for number in [number for number in self._by_round if number <= round_]:
            for waiter in self._by_round.pop(number):
                waiter.resolve()

    def fail(self, *, proposals, reads):
        """End all calls with exceptions.

        :param proposals: function that returns the exception of a proposal.
        :param reads: function that returns the exception of a read.
        """
        for waiter in self._by_index.values():
            waiter.fail(proposals())
        for waiters in self._by_round.values():
            for waiter in waiters:
                waiter.fail(reads())
        self._by_index.clear()
        self._by_round.clear()
